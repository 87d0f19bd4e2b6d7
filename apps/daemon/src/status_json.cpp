#include "status_json.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <sstream>

namespace chicorygap::daemon_app {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Array::Ptr documents_json(const configuration_agent& d) {
    Array::Ptr out = new Array;
    for (const auto& v : d.document_states()) {
        Object o;
        o.set("object", v.key);
        o.set("version", v.version);
        if (!v.fault.empty()) {
            o.set("fault", v.fault);
        }
        out->add(o);
    }
    return out;
}

Array::Ptr servers_json(const dispatch::status& s) {
    Array::Ptr out = new Array;
    for (const auto& v : s.servers) {
        Object o;
        o.set("id", v.id.str());
        o.set("zone", v.zone.str());
        o.set("load", v.load);
        o.set("own_in_flight", v.own_in_flight);
        o.set("slots", v.slots);
        o.set("leaving", v.draining);
        o.set("ejected", v.ejected);
        o.set("weight", v.weight);
        out->add(o);
    }
    return out;
}

Array::Ptr classes_json(const dispatch::status& s) {
    Array::Ptr out = new Array;
    for (const auto& v : s.admission.classes) {
        Object o;
        o.set("id", v.id.str());
        o.set("tier", static_cast<int>(v.tier.level));
        o.set("queued", v.queued);
        o.set("running", v.running);
        o.set("started", v.started);
        o.set("refused", v.rejected);
        o.set("preempted", v.preempted);
        out->add(o);
    }
    return out;
}

Object service_json(const gateway::service_runtime& runtime) {
    const auto s = runtime.snapshot();
    Object o;
    o.set("service", runtime.current_document()->document().name.str());
    o.set("slots", s.admission.slots);
    o.set("queued", s.admission.queued);
    o.set("running", s.admission.running);
    o.set("pressure_level", static_cast<int>(s.admission.pressure.level));
    o.set("completed", s.totals.completed);
    o.set("rejected", s.totals.rejected);
    o.set("retried", s.totals.retried);
    o.set("delivered_tokens", s.totals.delivered_tokens);
    o.set("wasted_tokens", s.totals.wasted_tokens);
    o.set("classes", classes_json(s));
    o.set("servers", servers_json(s));
    return o;
}

}  // namespace

std::string status_json(const settings::daemon_settings& s, const gateway::registry& r,
                        const configuration_agent& d, bool ready, bool draining) {
    Object out;
    out.set("vm", s.vm.str());
    out.set("zone", s.zone.str());
    out.set("ready", ready);
    out.set("draining", draining);
    out.set("documents", documents_json(d));
    Array services;
    for (const auto& runtime : r.all()) {
        services.add(service_json(*runtime));
    }
    out.set("services", services);
    std::ostringstream buf;
    out.stringify(buf);
    return buf.str();
}

}  // namespace chicorygap::daemon_app
