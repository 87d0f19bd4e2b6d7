#include "ports/json.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace chicorygap::ports {

namespace {

json_object make() {
    return new Poco::JSON::Object;
}

std::string text(const Poco::JSON::Object& j, const std::string& key) {
    return j.getValue<std::string>(key);
}

std::uint64_t number(const Poco::JSON::Object& j, const std::string& key) {
    return j.getValue<Poco::UInt64>(key);
}

bool flag(const Poco::JSON::Object& j, const std::string& key) {
    return j.optValue<bool>(key, false);
}

void set(Poco::JSON::Object& j, const std::string& key, std::uint64_t value) {
    j.set(key, Poco::UInt64{value});
}

std::string state_name(vm_state s) {
    return s == vm_state::live ? "live" : "leaving";
}

vm_state state_from(const Poco::JSON::Object& j) {
    return text(j, "state") == "leaving" ? vm_state::leaving : vm_state::live;
}

json_object to_json(const usage_line& l) {
    auto j = make();
    j->set("service", l.service.str());
    j->set("workspace", l.workspace.str());
    j->set("class", l.class_id.str());
    set(*j, "requests", l.requests);
    set(*j, "prompt_tokens", l.prompt_tokens);
    set(*j, "output_tokens", l.output_tokens);
    j->set("carried_over", l.carried_over);
    return j;
}

usage_line line_from_json(const Poco::JSON::Object& j) {
    return {base::service_id{text(j, "service")},
            base::workspace_id{text(j, "workspace")},
            base::class_id{text(j, "class")},
            number(j, "requests"),
            number(j, "prompt_tokens"),
            number(j, "output_tokens"),
            flag(j, "carried_over")};
}

}  // namespace

json_object to_json(const object& o) {
    auto j = make();
    j->set("key", o.key);
    j->set("value", o.value);
    set(*j, "version", o.version);
    j->set("deleted", o.deleted);
    return j;
}

object object_from_json(const Poco::JSON::Object& j) {
    return {text(j, "key"), text(j, "value"), number(j, "version"), flag(j, "deleted")};
}

json_object to_json(const vm& v) {
    auto j = make();
    j->set("id", v.id.str());
    j->set("zone", v.zone.str());
    j->set("peer_address", v.peer_address);
    j->set("state", state_name(v.state));
    return j;
}

vm vm_from_json(const Poco::JSON::Object& j) {
    return {base::vm_id{text(j, "id")}, base::zone_id{text(j, "zone")}, text(j, "peer_address"),
            state_from(j)};
}

json_object to_json(const backend_server& s) {
    auto j = make();
    j->set("id", s.id.str());
    j->set("zone", s.zone.str());
    j->set("service", s.service.str());
    j->set("kind", s.kind);
    j->set("address", s.address);
    j->set("reclaimable", s.reclaimable);
    set(*j, "slots", s.slots);
    j->set("state", state_name(s.state));
    return j;
}

backend_server server_from_json(const Poco::JSON::Object& j) {
    return {base::backend_server_id{text(j, "id")},
            base::zone_id{text(j, "zone")},
            base::service_id{text(j, "service")},
            text(j, "kind"),
            text(j, "address"),
            flag(j, "reclaimable"),
            j.getValue<Poco::UInt32>("slots"),
            state_from(j)};
}

json_object to_json(const order& o) {
    auto j = make();
    j->set("id", o.id);
    j->set("zone", o.zone.str());
    j->set("service", o.service.str());
    j->set("action", std::string{o.action == order_action::request ? "request" : "release"});
    j->set("server_kind", o.server_kind);
    set(*j, "count", o.count);
    j->set("server", o.server.str());
    set(*j, "fencing_token", o.fencing_token);
    return j;
}

order order_from_json(const Poco::JSON::Object& j) {
    order o;
    o.id = text(j, "id");
    o.zone = base::zone_id{text(j, "zone")};
    o.service = base::service_id{j.optValue<std::string>("service", "")};
    o.action = text(j, "action") == "release" ? order_action::release : order_action::request;
    o.server_kind = j.optValue<std::string>("server_kind", "");
    o.count = j.optValue<Poco::UInt32>("count", 1);
    o.server = base::backend_server_id{j.optValue<std::string>("server", "")};
    o.fencing_token = number(j, "fencing_token");
    return o;
}

json_object to_json(const order_reply& r) {
    auto j = make();
    j->set("accepted", r.accepted);
    j->set("repeated", r.repeated);
    set(*j, "newest_token", r.newest_token);
    return j;
}

order_reply order_reply_from_json(const Poco::JSON::Object& j) {
    return {j.getValue<bool>("accepted"), flag(j, "repeated"), number(j, "newest_token")};
}

json_object to_json(const usage_report& r) {
    auto j = make();
    Poco::JSON::Array::Ptr lines = new Poco::JSON::Array;
    for (const auto& l : r.lines) {
        lines->add(to_json(l));
    }
    j->set("zone", r.zone.str());
    j->set("window_start_ms", Poco::Int64{r.window_start.time_since_epoch().count()});
    set(*j, "term", r.term);
    j->set("lines", lines);
    return j;
}

usage_report usage_report_from_json(const Poco::JSON::Object& j) {
    usage_report r;
    r.zone = base::zone_id{text(j, "zone")};
    r.window_start = base::wall_time{std::chrono::milliseconds{j.getValue<Poco::Int64>("window_start_ms")}};
    r.term = number(j, "term");
    const auto lines = j.getArray("lines");
    for (std::size_t i = 0; lines && i < lines->size(); ++i) {
        r.lines.push_back(line_from_json(*lines->getObject(static_cast<unsigned>(i))));
    }
    return r;
}

json_object to_json(const usage_reply& r) {
    auto j = make();
    j->set("accepted", r.accepted);
    j->set("repeated", r.repeated);
    return j;
}

usage_reply usage_reply_from_json(const Poco::JSON::Object& j) {
    return {j.getValue<bool>("accepted"), flag(j, "repeated")};
}

std::string to_text(const Poco::JSON::Object& j) {
    std::ostringstream out;
    j.stringify(out);
    return out.str();
}

json_object parse_object(const std::string& text) {
    return Poco::JSON::Parser{}.parse(text).extract<json_object>();
}

}  // namespace chicorygap::ports
