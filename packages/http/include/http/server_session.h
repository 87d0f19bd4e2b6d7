/// @file
/// One caller's connection.
#pragma once

#include "base/time.h"
#include "http/connection_shedding.h"
#include "http/head_budget.h"
#include "http/message.h"
#include "http/message_reader.h"
#include "memory/charge.h"
#include "net/loop.h"
#include "net/stream.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace chicorygap::http {

struct request {
    request_head head;
    std::string body;
    memory::charge body_charge;
    /// Of the head, until the request is destroyed.
    memory::charge head_charge;
};

/// @return the body with its charge, both of which are released with the last reference.
std::shared_ptr<const std::string> share_body(request&& r);

/// Bounds on what a caller may send and how long it may take.
struct session_limits {
    std::size_t head_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    base::duration head_time = std::chrono::seconds{3};
    base::duration idle_time = std::chrono::seconds{15};
    /// Counts the buffers of the session; null counts nothing. Bodies and heads for which it has no room are
    /// refused.
    memory::account* account = nullptr;
};

class server_session;

struct session_hooks {
    /// A whole request was read. The owner answers it, now or later; the next one is read afterwards.
    std::function<void(server_session&, request&&)> received;
    /// There is no memory for the body of a request, which was not read. The owner answers it; the connection
    /// is closed afterwards. Without this hook the session answers with 503.
    std::function<void(server_session&, const request_head&)> body_refused;
    /// There is no memory for the head of a request, which is not run. The owner answers it; the connection
    /// is closed afterwards. Without this hook the session answers with 503.
    /// @param head null if the head is not complete.
    std::function<void(server_session&, const request_head* head)> head_refused;
    /// A head was refused with 431 since it is longer than the limit.
    std::function<void()> head_too_long;
    /// The caller left while its request was not answered.
    std::function<void(server_session&)> caller_gone;
    /// All output was taken by the kernel.
    std::function<void(server_session&)> drained;
    /// The connection is closed. The owner drops the session.
    std::function<void(server_session&)> closed;
};

/// One caller's connection: reads one request after the other and writes their answers.
///
/// Usage: `auto s = server_session::start(l, socket, limits, hooks);` then in `received` either `respond`, or
/// `begin`, `send` and `finish`. `abort` ends an answer so that the caller sees it as incomplete.
class server_session : public std::enable_shared_from_this<server_session> {
public:
    static std::shared_ptr<server_session> start(net::loop& l, const Poco::Net::StreamSocket& socket,
                                                 session_limits limits, session_hooks hooks);
    server_session(const server_session&) = delete;
    server_session& operator=(const server_session&) = delete;
    ~server_session();

    /// Sends a whole answer. No hook is called from within; the next request is reported after the return.
    /// @param head status and fields without framing.
    void respond(response_head head, std::string_view body);

    /// Begins an answer whose length is not known.
    void begin(response_head head);
    /// Sends a part of the body. Empty parts are ignored.
    void send(std::string_view part);
    /// Ends the body and with it the answer, as `respond` does.
    void finish();

    /// Closes the connection at once; an answer that was begun stays visibly incomplete.
    void abort();

    /// Closes an idle connection, or refuses the head that is being read. Does nothing else.
    void give_up();

    /// @return what the connection is doing, and what it holds for that.
    [[nodiscard]] held_connection holding() const;

    /// Answers name `Connection: close` from now on.
    void close_after_answer() noexcept { last_request_ = true; }

    /// @return true while a request was read and its answer is not complete.
    [[nodiscard]] bool busy() const noexcept { return busy_; }
    /// @return bytes that the caller has not taken yet.
    [[nodiscard]] std::size_t buffered() const { return stream_->buffered(); }
    /// @return since when the caller has taken nothing of the buffered bytes.
    [[nodiscard]] base::time_point last_progress() const { return stream_->last_progress(); }
    [[nodiscard]] bool open() const { return stream_->open(); }
    /// @return true if the caller has left, also if the loop has not reported it yet.
    [[nodiscard]] bool caller_has_left() const { return stream_->peer_has_ended(); }

private:
    server_session(net::loop& l, session_limits limits, session_hooks hooks);

    void received(std::string_view bytes);
    void process_input();
    /// Goes on with the input in the next round of the loop.
    void continue_later();
    /// Takes no further input: that behind the current request is dropped.
    void stop_reading();
    /// Counts input that is not processed, and ends the session if it is more than a whole request.
    void drop_input(std::size_t n);
    void request_complete();
    void refuse_input(int status);
    void refuse_body();
    /// Refuses the head that was read, or is being read.
    void refuse_head();
    /// Sets the state in which a refusal is answered.
    void begin_refusal();
    /// Takes a whole head, or marks its request as refused.
    void take_head(request_head&& h);
    /// Takes part of a body, or marks the request as refused.
    void add_to_body(std::string_view part);
    /// Reserves memory for the declared length of a body.
    void reserve_body();
    /// @return false if a body of this size is refused.
    [[nodiscard]] bool charge_body(std::size_t bytes);
    void count_input();
    /// Counts a head that is being read.
    /// @return false if there is no memory for it.
    [[nodiscard]] bool count_head();
    [[nodiscard]] bool in_unfinished_head() const { return reader_.in_message() && !reader_.in_body(); }
    void ended();
    void set_timer(base::duration d);
    void on_timer();
    void write_head(response_head& head);
    void answer_done();
    /// Closes the connection so that an answer which was begun is seen to be incomplete.
    void close_visibly();

    net::loop& loop_;
    session_limits limits_;
    session_hooks hooks_;
    message_reader reader_;
    std::shared_ptr<net::stream> stream_;
    net::timer_id timer_ = net::timer_id::none;
    std::string input_;
    head_budget budget_;
    memory::charge connection_charge_;
    memory::charge input_charge_;
    memory::charge head_charge_;  ///< of a head that is not complete
    base::time_point last_input_;
    request current_;
    bool busy_ = false;
    bool processing_ = false;
    bool last_request_ = false;
    bool close_after_current_ = false;
    bool ending_ = false;  ///< the last answer was given
    bool chunked_answer_ = false;
    bool ends_with_connection_ = false;  ///< only the end of the connection ends the answer that was begun
    bool no_answer_body_ = false;
    bool body_too_large_ = false;
    bool no_memory_for_body_ = false;
    bool no_memory_for_head_ = false;
    bool body_time_added_ = false;
    bool dropping_input_ = false;
    std::size_t dropped_bytes_ = 0;
};

}  // namespace chicorygap::http
