/// @file
/// Reads and checks one request.
#pragma once

#include "backend/guarded_socket.h"
#include "credential.h"
#include "front/call.h"
#include "front/hooks.h"
#include "front/server_options.h"
#include "memory_budget.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace chicorygap::front {

/// Body of an answer that needs no backend server.
struct local_answer {
    std::string json;
};

/// Thrown inside the reader to end the checks.
struct refused {
    refusal reason;
};

/// Checks one request in the order: method and target, key, framing, body, permission.
class request_reader {
public:
    request_reader(const server_options& options, const hooks& h, Poco::Net::HTTPServerRequest& request,
                   Poco::Net::HTTPServerResponse& response, backend::guarded_socket& guard,
                   reservation& memory);

    /// @return a call for the executor, a local answer, or a refusal.
    std::variant<call, local_answer, refusal> read(const base::request_id& id);

    /// @return true when the request's bytes have been read to their end.
    [[nodiscard]] bool consumed() const { return consumed_; }

private:
    std::variant<call, local_answer, refusal> read_checked(const base::request_id& id);
    void check_target();
    [[nodiscard]] credential check_key();
    void check_framing();
    [[nodiscard]] std::shared_ptr<const std::string> read_body();
    void append_body(std::string& body);
    void check_copies(const credential& key, const std::string& body) const;
    [[nodiscard]] grant authorize(const credential& key, const std::string& model) const;
    [[nodiscard]] backend::headers forwarded_fields(const credential& key) const;

    const server_options& options_;
    const hooks& hooks_;
    Poco::Net::HTTPServerRequest& request_;
    Poco::Net::HTTPServerResponse& response_;
    backend::guarded_socket& guard_;
    reservation& memory_;
    std::string path_;
    bool consumed_ = false;
};

/// @param guard connection, which may have been stopped by a limit.
/// @param what message of the exception with which reading a request head failed.
/// @param bytes bytes of the head that were received.
/// @return the refusal for it.
refusal head_refusal(const backend::guarded_socket& guard, const std::string& what, std::uint64_t bytes);

}  // namespace chicorygap::front
