#include "signal_endpoint.h"

#include "backpressure/signal_table.h"
#include "decision_log.h"

#include <string>
#include <string_view>
#include <utility>

namespace chicorygap::daemon_app {

namespace {

constexpr std::string_view path = "/server-signals";
constexpr int status_method_not_allowed = 405;

std::string to_json(const backpressure::server_status& s) {
    std::string out = R"({"server":")" + s.server.str() + R"(","service":")" + s.service.str() + '"';
    if (s.limit) {
        out += R"(,"limit_per_s":)" + std::to_string(*s.limit) + R"(,"named_per_s":)" +
               std::to_string(s.named_limit) + R"(,"share_per_s":)" + std::to_string(s.share) +
               R"(,"daemons":)" + std::to_string(s.daemons) + R"(,"limit_age_ms":)" +
               std::to_string(to_ms(s.limit_age));
    }
    if (s.cold > base::duration{}) {
        out += R"(,"cold_ms":)" + std::to_string(to_ms(s.cold)) + R"(,"cold_source":")" +
               std::string{s.cold_source} + R"(","cold_share_per_s":)" + std::to_string(s.cold_share) +
               R"(,"cold_daemons":)" + std::to_string(s.cold_daemons);
    }
    return out + R"(,"wait_ms":)" + std::to_string(to_ms(s.wait)) + R"(,"leaving":)" +
           (s.leaving ? "true" : "false") + '}';
}

}  // namespace

bool signal_endpoint::handle(http::server_session& s, const http::request& r, base::time_point now) const {
    if (r.head.target != path) {
        return false;
    }
    if (r.head.method != "GET") {
        s.respond({.status = status_method_not_allowed}, {});
        return true;
    }
    std::string body = "[";
    for (const auto& status : signals_.status(now)) {
        body += (body.size() > 1 ? ",\n" : "") + to_json(status);
    }
    http::response_head head{.status = 200};
    head.headers.add("Content-Type", "application/json");
    s.respond(std::move(head), body + "]\n");
    return true;
}

}  // namespace chicorygap::daemon_app
