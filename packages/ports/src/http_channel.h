/// @file
/// Pooled HTTP connections to the platform.
#pragma once

#include "base/time.h"
#include "ports/call_counter.h"
#include "ports/http_platform.h"

#include <Poco/Net/HTTPClientSession.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace chicorygap::ports {

/// One call to the platform.
struct http_call {
    call_kind kind = call_kind::read;
    std::string method;
    std::string target;  ///< path and query, encoded.
    std::string body;    ///< JSON; empty for none.
    std::string if_match;
    bool has_effect = false;  ///< a lost reply leaves the outcome unknown.
    send_guard may_send;      ///< empty for calls that need no lease.
};

/// Reply to a call.
struct http_reply {
    int status = 0;
    std::string etag;
    std::string body;
};

/// Client session that can connect before it sends, so that a refused connection is known to have no effect.
class platform_session final : public Poco::Net::HTTPClientSession {
public:
    using HTTPClientSession::HTTPClientSession;
    void open() { reconnect(); }
};

/// Runs calls over kept-alive connections. A connection is reused only after a complete exchange.
class http_channel {
public:
    http_channel(http_platform_options o, call_counter& calls);

    /// Runs one call.
    /// @param timeout limit for the whole exchange.
    /// @throws base::error with `platform_unavailable`, `platform_reply_lost` or `lease_not_held`.
    http_reply run(const http_call& c, base::duration timeout);

private:
    using session = platform_session;

    std::unique_ptr<session> take();
    void give_back(std::unique_ptr<session> s);
    std::unique_ptr<session> connect(base::duration timeout) const;

    http_platform_options options_;
    call_counter& calls_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<session>> idle_;
};

/// @return the text with all characters outside of the unreserved set and `/` percent-encoded.
std::string encoded(const std::string& text);

}  // namespace chicorygap::ports
