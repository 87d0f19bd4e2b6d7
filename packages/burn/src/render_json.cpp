#include "burn/render.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

namespace chicorygap::burn {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr counts_object(const counts& c) {
    Object::Ptr o = new Object;
    o->set("requests", c.total);
    o->set("attained", c.good);
    o->set("attainment", c.attainment());
    return o;
}

Object::Ptr windows_object(const class_report& c) {
    Object::Ptr o = new Object;
    for (std::size_t i = 0; i < window_count; ++i) {
        Object::Ptr w = counts_object(c.windows[i].requests);
        w->set("burn_rate", c.windows[i].burn_rate);
        o->set(std::string{windows[i].name}, w);
    }
    return o;
}

// Requests and attained requests per window; a fixed order keeps the output of 2,000 workspaces small.
Array::Ptr pair_array(const counts& c) {
    Array::Ptr a = new Array;
    a->add(c.total);
    a->add(c.good);
    return a;
}

Array::Ptr workspaces_array(const class_report& c) {
    Array::Ptr a = new Array;
    for (const auto& w : c.workspaces) {
        Object::Ptr o = new Object;
        o->set("workspace", w.workspace.str());
        for (std::size_t i = 0; i < window_count; ++i) {
            o->set(std::string{windows[i].name}, pair_array(w.windows[i]));
        }
        a->add(o);
    }
    return a;
}

Array::Ptr causes_array(const std::vector<cause>& v) {
    Array::Ptr a = new Array;
    for (const auto& c : v) {
        Object::Ptr o = new Object;
        o->set("name", c.name);
        o->set("misses", c.misses);
        a->add(o);
    }
    return a;
}

Object::Ptr class_object(const class_report& c) {
    Object::Ptr o = new Object;
    o->set("service", c.target.service.str());
    o->set("class", c.target.service_class.str());
    o->set("tier", int(c.target.tier.level));
    o->set("target", c.target.attainment);
    o->set("windows", windows_object(c));
    o->set("budget_left", c.budget_left);
    if (c.time_left) {
        o->set("time_left_s", std::chrono::duration_cast<std::chrono::seconds>(*c.time_left).count());
    }
    o->set("alert", std::string{to_string(c.urgency)});
    o->set("workspaces", workspaces_array(c));
    Object::Ptr reasons = new Object;
    reasons->set("by_code", causes_array(c.reasons.by_code));
    reasons->set("by_zone", causes_array(c.reasons.by_zone));
    reasons->set("by_backend_server", causes_array(c.reasons.by_server));
    o->set("misses", reasons);
    return o;
}

Array::Ptr names_array(const std::vector<base::vm_id>& ids) {
    Array::Ptr a = new Array;
    for (const auto& id : ids) {
        a->add(id.str());
    }
    return a;
}

}  // namespace

void write_json(std::ostream& out, const report& r, base::wall_time at) {
    Object::Ptr root = new Object;
    root->set("at_ms", static_cast<Poco::Int64>(at.time_since_epoch().count()));
    root->set("daemons_included", names_array(r.included));
    root->set("daemons_missing", names_array(r.missing));
    Array::Ptr classes = new Array;
    for (const auto& c : r.classes) {
        classes->add(class_object(c));
    }
    root->set("classes", classes);
    root->stringify(out);
}

}  // namespace chicorygap::burn
