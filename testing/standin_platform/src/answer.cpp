#include "request_handler.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>

#include <charconv>
#include <chrono>
#include <utility>

namespace chicorygap::standin_platform {

namespace {

using ports::json_object;
using ports::parse_object;
using ports::to_json;
using ports::to_text;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 412;
constexpr int status_too_large = 413;
constexpr std::size_t value_limit = 1'000'000;
constexpr Poco::UInt32 default_silence_ms = 3'600'000;
constexpr std::string_view objects_path = "/objects/";

json_object make() {
    return new Poco::JSON::Object;
}

reply failure(int status, const std::string& reason) {
    auto j = make();
    j->set("error", reason);
    return {status, to_text(*j), ""};
}

reply success(const json_object& j) {
    return {status_ok, to_text(*j), ""};
}

template <typename Items, typename Convert>
reply item_list(const std::string& member, const Items& items, Convert convert) {
    Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
    for (const auto& it : items) {
        array->add(convert(it));
    }
    auto j = make();
    j->set(member, array);
    return success(j);
}

std::string query_value(const request& r, const std::string& name, const std::string& fallback = "") {
    const auto it = r.query.find(name);
    return it == r.query.end() ? fallback : it->second;
}

std::uint64_t number(const std::string& text) {
    std::uint64_t n = 0;
    const auto* const end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc{} || rest != end) {
        throw Poco::DataFormatException("not a number: " + text);
    }
    return n;
}

std::uint64_t expected_version(const request& r) {
    std::string text = r.if_match;
    std::erase(text, '"');
    return number(text);
}

reply put_reply(const ports::put_result& r) {
    auto j = make();
    if (r.applied) {
        j->set("version", Poco::UInt64{r.version});
        return {status_ok, to_text(*j), std::to_string(r.version)};
    }
    if (r.current) {
        j->set("current", to_json(*r.current));
    }
    return {status_conflict, to_text(*j), ""};
}

reply object_call(platform_state& state, const request& r) {
    const auto key = r.path.substr(objects_path.size());
    if (r.method == "GET") {
        const auto found = state.objects.get(key);
        if (!found) {
            return failure(status_not_found, "no such object");
        }
        return {status_ok, to_text(*to_json(*found)), std::to_string(found->version)};
    }
    if (r.method == "PUT") {
        const auto value = parse_object(r.body)->getValue<std::string>("value");
        if (value.size() > value_limit) {
            return failure(status_too_large, "value exceeds 1 MB");
        }
        return put_reply(state.objects.put(key, value, expected_version(r)));
    }
    if (r.method == "DELETE") {
        return put_reply(state.objects.remove(key, expected_version(r)));
    }
    return failure(status_bad_request, "method not supported");
}

reply list_objects(platform_state& state, const request& r) {
    const auto prefix = query_value(r, "prefix");
    const auto to_item = [](const ports::object& o) { return to_json(o); };
    if (!r.query.contains("after")) {
        return item_list("objects", state.objects.list(prefix), to_item);
    }
    const std::chrono::milliseconds wait{number(query_value(r, "wait_ms", "0"))};
    const auto changed = state.objects.watch(prefix, number(query_value(r, "after")), wait);
    return item_list("objects", changed, to_item);
}

bool removes(const Poco::JSON::Object& j) {
    return j.optValue<std::string>("state", "") == "gone";
}

reply fleet_call(platform_state& state, const request& r) {
    const bool vms = r.path == "/vms";
    if (r.method == "GET" && vms) {
        return item_list("vms", state.fleet.vms(), [](const ports::vm& v) { return to_json(v); });
    }
    if (r.method == "GET") {
        const base::zone_id zone{query_value(r, "zone")};
        return item_list("servers", state.fleet.servers(zone),
                         [](const ports::backend_server& s) { return to_json(s); });
    }
    const auto j = parse_object(r.body);
    if (removes(*j)) {
        state.fleet.remove(j->getValue<std::string>("id"));
    } else if (vms) {
        state.fleet.set(ports::vm_from_json(*j));
    } else {
        state.fleet.set(ports::server_from_json(*j));
    }
    return success(make());
}

json_object record_to_json(const order_record& record) {
    auto j = make();
    j->set("first", to_json(record.first));
    j->set("received", Poco::UInt64{record.received});
    j->set("applied", Poco::UInt64{record.applied});
    j->set("stale", Poco::UInt64{record.stale});
    return j;
}

json_object window_to_json(const billed_window& w) {
    Poco::JSON::Array::Ptr reports = new Poco::JSON::Array;
    for (const auto& it : w.reports) {
        reports->add(to_json(it));
    }
    auto j = make();
    j->set("reports", reports);
    j->set("differing", w.differing);
    return j;
}

reply order_call(platform_state& state, const request& r) {
    if (r.method == "GET") {
        return item_list("orders", state.orders.records(), record_to_json);
    }
    return success(to_json(state.orders.submit(ports::order_from_json(*parse_object(r.body)))));
}

reply usage_call(platform_state& state, const request& r) {
    if (r.method == "GET") {
        return item_list("windows", state.billing.windows(), window_to_json);
    }
    return success(to_json(state.billing.report(ports::usage_report_from_json(*parse_object(r.body)))));
}

reply call_counts(platform_state& state) {
    auto j = make();
    const std::lock_guard lock{state.mutex};
    for (const auto& [call, n] : state.calls) {
        j->set(call, Poco::UInt64{n});
    }
    return success(j);
}

reply fault_call(platform_state& state, const request& r) {
    const auto j = parse_object(r.body);
    const auto name = j->getValue<std::string>("kind");
    if (name == "clear") {
        state.faults.clear();
        return success(make());
    }
    const auto kind = parse_fault_kind(name);
    if (!kind) {
        return failure(status_bad_request,
                       "kind must be refuse, delay, drop_reply, silent, restart or clear");
    }
    const Poco::UInt32 default_delay = *kind == fault_kind::silent ? default_silence_ms : 0;
    const std::chrono::milliseconds delay{j->optValue<Poco::UInt32>("delay_ms", default_delay)};
    if (*kind == fault_kind::restart) {
        state.restart(delay);
    } else {
        state.faults.add({*kind, j->optValue<std::string>("path", ""), j->optValue<std::string>("method", ""),
                          j->optValue<Poco::UInt64>("count", 1), delay});
    }
    return success(make());
}

reply dispatch(platform_state& state, const request& r) {
    if (r.path == "/objects") {
        return list_objects(state, r);
    }
    if (r.path.starts_with(objects_path)) {
        return object_call(state, r);
    }
    if (r.path == "/vms" || r.path == "/servers") {
        return fleet_call(state, r);
    }
    if (r.path == "/orders") {
        return order_call(state, r);
    }
    if (r.path == "/usage") {
        return usage_call(state, r);
    }
    if (r.path == "/calls") {
        return call_counts(state);
    }
    if (r.path == "/fault") {
        return fault_call(state, r);
    }
    return failure(status_not_found, "no such path");
}

}  // namespace

reply answer(platform_state& state, const request& r) {
    try {
        return dispatch(state, r);
    } catch (const Poco::Exception& e) {
        return failure(status_bad_request, e.displayText());
    }
}

}  // namespace chicorygap::standin_platform
