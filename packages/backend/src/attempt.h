/// @file
/// One attempt on one connection.
#pragma once

#include "backend/backend_client.h"
#include "backend/http_backend_client.h"
#include "chat_chunk.h"
#include "connection.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <functional>
#include <istream>
#include <string>
#include <string_view>

namespace chicorygap::backend {

/// Sends a request, reads its answer and determines the outcome.
class attempt {
public:
    attempt(const http_client_options& options, const backend_request& request, const answer_sink& sink,
            const cancel_token& cancel, connection& c);

    attempt_outcome run();

    /// @return true when the answer was read to its end and the server keeps the connection open.
    [[nodiscard]] bool reusable() const { return reusable_; }
    /// @return true when the server may still be working on the request although nobody waits for it.
    [[nodiscard]] bool abandoned() const;
    /// @return true when not a single byte could be sent because the connection had failed.
    [[nodiscard]] bool connection_was_dead() const { return lost_ && sent() == 0; }

private:
    void send();
    std::istream& receive_head();
    void read(std::istream& in);
    void read_refusal(std::istream& in);
    void read_events(std::istream& in);
    bool handle_event(const std::string& data);
    void read_chat(std::istream& in);
    void read_body(std::istream& in);
    void finish_stream(std::istream& in);
    void discard(std::istream& in);

    [[nodiscard]] bool body_whole(std::uint64_t bytes) const;
    [[nodiscard]] std::uint64_t sent() const { return guard_.sent() - sent_before_; }
    void deliver(const std::function<void()>& part);
    void deliver_head();
    void mark_first();
    void complete();
    void fail(base::result_code code, std::string detail);

    const http_client_options& options_;
    const backend_request& request_;
    const answer_sink& sink_;
    connection& connection_;
    guarded_socket& guard_;
    std::uint64_t sent_before_;
    base::time_point started_;
    Poco::Net::HTTPResponse response_;
    chat_chunk_parser chunks_;
    stream_end end_;
    attempt_outcome outcome_;
    bool head_received_ = false;
    bool done_event_ = false;
    bool reusable_ = false;
    bool lost_ = false;
};

}  // namespace chicorygap::backend
