#include "debug_json.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <functional>
#include <sstream>

namespace chicorygap::standin_backend {

namespace {

std::string wrapped(const std::string& name, const Poco::Dynamic::Var& value) {
    Poco::JSON::Object out;
    out.set(name, value);
    std::ostringstream text;
    out.stringify(text);
    return text.str();
}

}  // namespace

std::string received_json(const std::vector<received_request>& requests) {
    Poco::JSON::Array list;
    for (const auto& r : requests) {
        Poco::JSON::Array fields;
        for (const auto& [name, value] : r.fields) {
            Poco::JSON::Object field;
            field.set("name", name);
            field.set("value", value);
            fields.add(field);
        }
        Poco::JSON::Object o;
        o.set("method", r.method);
        o.set("target", r.target);
        o.set("headers", fields);
        o.set("body_bytes", r.body.size());
        list.add(o);
    }
    return wrapped("received", list);
}

std::string runs_json(const std::map<std::string, std::uint64_t>& runs) {
    Poco::JSON::Object o;
    for (const auto& [key, n] : runs) {
        o.set(key, n);
    }
    return wrapped("runs", o);
}

std::string orders_json(const std::vector<order_entry>& orders) {
    Poco::JSON::Array list;
    for (const auto& e : orders) {
        Poco::JSON::Object o;
        o.set("id", e.id);
        o.set("fencing_token", e.fencing_token);
        o.set("body", e.body);
        list.add(o);
    }
    return wrapped("orders", list);
}

std::string cancelled_json(const std::vector<std::string>& ids) {
    Poco::JSON::Array list;
    for (const auto& id : ids) {
        list.add(id);
    }
    return wrapped("cancelled", list);
}

std::string events_json(const std::vector<cache_event>& events) {
    Poco::JSON::Array list;
    for (const auto& e : events) {
        std::ostringstream hash;
        hash << std::hex << std::hash<std::string>{}(e.prefix);
        Poco::JSON::Object o;
        o.set("sequence", e.sequence);
        o.set("kind", e.stored ? "stored" : "evicted");
        o.set("prefix", hash.str());
        list.add(o);
    }
    return wrapped("events", list);
}

}  // namespace chicorygap::standin_backend
