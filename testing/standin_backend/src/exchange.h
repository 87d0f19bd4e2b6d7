/// @file
/// One request and its answer.
#pragma once

#include "standin_backend/server.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstddef>
#include <optional>
#include <string>

namespace chicorygap::standin_backend {

/// Wraps POCO's request and response for the handlers.
class exchange {
public:
    /// Reads the body.
    exchange(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

    [[nodiscard]] const received_request& request() const { return received_; }
    [[nodiscard]] std::string path() const;
    /// @return the query parameter's number, or nothing.
    [[nodiscard]] std::optional<std::uint64_t> number(const std::string& parameter) const;

    /// Makes the answer carry another request id.
    void echo_wrong_id();
    /// Sends a whole JSON answer.
    void json(int status, const std::string& text);
    /// Starts a chunked answer.
    void begin(const std::string& type);
    /// Sends bytes of a chunked answer. @return false if the client is gone.
    bool write(const std::string& bytes);
    /// Resets the connection.
    void reset();
    /// Closes the connection without the end of the answer.
    void cut();
    void set(const std::string& name, const std::string& value);

private:
    Poco::Net::HTTPServerRequest& request_;
    Poco::Net::HTTPServerResponse& response_;
    received_request received_;
    std::ostream* out_ = nullptr;
};

}  // namespace chicorygap::standin_backend
