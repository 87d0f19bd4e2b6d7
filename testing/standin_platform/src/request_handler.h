/// @file
/// Answers the HTTP requests of the stand-in platform.
#pragma once

#include "ports/json.h"
#include "standin_platform/server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace chicorygap::standin_platform {

/// State shared by all handlers.
struct platform_state {
    explicit platform_state(const options& o);

    /// Waits for `d`, or until the server stops.
    void pause(base::duration d);
    void stop();
    void restart(base::duration outage);
    /// @return true while the restart lasts.
    bool down();
    void count(const std::string& method, const std::string& path);

    const base::now_function now;
    object_table objects;
    fleet_table fleet;
    order_book orders;
    billing_book billing;
    fault_plan faults;

    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping = false;
    base::time_point down_until = base::time_point::min();
    std::map<std::string, std::uint64_t> calls;
};

/// Reply to one request; `status` 0 closes the connection without a reply.
struct reply {
    int status = 0;
    std::string body;
    std::string etag;
};

/// Parsed request.
struct request {
    std::string method;
    std::string path;  ///< decoded, without query.
    std::map<std::string, std::string> query;
    std::string if_match;
    std::string body;
};

/// Routes a request to the state. Malformed requests are answered with status 400.
reply answer(platform_state& state, const request& r);

class request_handler final : public Poco::Net::HTTPRequestHandler {
public:
    explicit request_handler(platform_state& state) : state_{state} {}
    void handleRequest(Poco::Net::HTTPServerRequest& in, Poco::Net::HTTPServerResponse& out) override;

private:
    reply with_faults(const request& r);

    platform_state& state_;
};

}  // namespace chicorygap::standin_platform
