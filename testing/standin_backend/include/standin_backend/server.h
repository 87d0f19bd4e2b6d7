/// @file
/// Stand-in backend server, in process.
#pragma once

#include "standin_backend/fault.h"
#include "standin_backend/options.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chicorygap::standin_backend {

/// Head of a received request.
struct received_request {
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /// @return the field's value, or empty.
    [[nodiscard]] std::string field(const std::string& name) const;
    /// @return head and body as one text, for searches.
    [[nodiscard]] std::string text() const;
};

/// Serves the HTTP face of an engine (design, 2.4) on loopback.
///
/// Usage: `server s{options{}}; connect to s.port(); s.inject({fault_kind::crash, "/v1", 1, {}, 3});`
class server {
public:
    /// Binds and starts. @throws base::error with `settings_invalid` if the port is taken.
    explicit server(options o);
    /// Ends all requests.
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    [[nodiscard]] std::uint16_t port() const;
    void inject(const fault& f);

    [[nodiscard]] std::vector<received_request> received() const;
    /// @return how often a plain call with this key was executed.
    [[nodiscard]] std::uint64_t runs(const std::string& idempotency_key) const;
    /// @return ids of requests that a /cancel call stopped.
    [[nodiscard]] std::vector<std::string> cancelled() const;
    /// Blocks until the number of running and queued chat requests is `n`.
    /// @return false if that did not happen within the limit.
    [[nodiscard]] bool wait_for_jobs(std::size_t n, base::duration limit) const;
    /// Blocks until `n` requests have been received. @return false if that did not happen within the limit.
    [[nodiscard]] bool wait_for_received(std::size_t n, base::duration limit) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

/// @return the text that a complete answer of `tokens` tokens holds, from token `first` on.
[[nodiscard]] std::string expected_text(std::uint64_t tokens, std::uint64_t first = 0);

/// @return the body of a plain call with `?bytes=n`.
[[nodiscard]] std::string expected_bytes(std::size_t n);

}  // namespace chicorygap::standin_backend
