/// @file
/// Serves the requests of one caller connection.
#pragma once

#include "http_responder.h"
#include "server_context.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>

#include <memory>
#include <optional>

namespace chicorygap::front {

/// Used instead of POCO's `HTTPServerConnection`, which answers a malformed head without a code and keeps no
/// limits.
class caller_connection : public Poco::Net::TCPServerConnection {
public:
    caller_connection(const Poco::Net::StreamSocket& socket, std::shared_ptr<server_context> context);
    ~caller_connection() override;
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    void run() override;

private:
    enum class next { keep, close, linger };

    void serve(Poco::Net::HTTPServerSession& session);
    next serve_request(Poco::Net::HTTPServerSession& session);
    next refuse_head(Poco::Net::HTTPServerResponseImpl& response, const std::string& what);
    next answer(Poco::Net::HTTPServerRequestImpl& request, Poco::Net::HTTPServerResponseImpl& response);
    void execute(call& c, http_responder& out);
    void refuse(const refusal& r, http_responder& out);
    void limit_head();
    void limit_answer();
    [[nodiscard]] bool may_keep(const Poco::Net::HTTPServerRequestImpl& request) const;

    std::shared_ptr<server_context> context_;
    backend::guarded_socket* guard_;  // owned by the socket
    /// Set when the connection was ended while it waited for its current request.
    std::optional<base::result_code> ended_;
    std::uint64_t head_start_ = 0;  // bytes received before the current head
};

}  // namespace chicorygap::front
