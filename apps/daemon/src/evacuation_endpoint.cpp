#include "evacuation_endpoint.h"

#include "decision_log.h"
#include "evacuation_agent.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <cstdint>
#include <sstream>
#include <string_view>
#include <utility>

namespace chicorygap::daemon_app {

namespace {

constexpr std::string_view path = "/evacuations";
constexpr int status_method_not_allowed = 405;

}  // namespace

evacuation_endpoint::evacuation_endpoint(const evacuation_agent& agent, running_query running)
    : agent_{agent}, running_{std::move(running)} {}

bool evacuation_endpoint::handle(http::server_session& s, const http::request& r,
                                 base::time_point now) const {
    if (!agent_.enabled() || r.head.target != path) {
        return false;
    }
    if (r.head.method != "GET") {
        s.respond({.status = status_method_not_allowed}, {});
        return true;
    }
    const auto running = running_();
    Poco::JSON::Array list;
    for (const auto& e : agent_.evacuations()) {
        const auto age = now - e.since;
        const auto it = running.find(e.zone);
        Poco::JSON::Object::Ptr o = new Poco::JSON::Object{true};  // preserves the order of members
        o->set("zone", e.zone.str());
        o->set("since_ms",
               static_cast<std::int64_t>(base::wall_clock_now().time_since_epoch().count() - to_ms(age)));
        o->set("age_ms", static_cast<std::int64_t>(to_ms(age)));
        o->set("source", e.kept ? "kept" : platform::to_string(agent_.cache().source()));
        o->set("revision", e.revision);
        o->set("running", static_cast<std::uint64_t>(it == running.end() ? 0 : it->second));
        list.add(o);
    }
    std::ostringstream body;
    list.stringify(body);
    body << '\n';
    http::response_head head{.status = 200};
    head.headers.add("Content-Type", "application/json");
    s.respond(std::move(head), body.str());
    return true;
}

}  // namespace chicorygap::daemon_app
