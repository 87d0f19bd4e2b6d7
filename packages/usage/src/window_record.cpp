#include "usage/window_record.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace chicorygap::usage {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

void add(Array& a, const counts& n) {
    a.add(n.requests);
    a.add(n.prompt_tokens);
    a.add(n.output_tokens);
}

counts counts_at(const Array& a, unsigned i) {
    return {a.getElement<Poco::UInt64>(i), a.getElement<Poco::UInt64>(i + 1),
            a.getElement<Poco::UInt64>(i + 2)};
}

void add(Array& a, const row_key& k) {
    a.add(k.service.str());
    a.add(k.workspace.str());
    a.add(k.traffic_class.str());
}

row_key key_at(const Array& a, unsigned i) {
    return {base::service_id{a.getElement<std::string>(i)},
            base::workspace_id{a.getElement<std::string>(i + 1)},
            base::class_id{a.getElement<std::string>(i + 2)}};
}

Array::Ptr rows_json(const std::vector<window_row>& rows) {
    Array::Ptr out = new Array;
    for (const auto& r : rows) {
        Array::Ptr a = new Array;
        add(*a, r.key);
        add(*a, r.figures);
        add(*a, r.carry_over);
        out->add(a);
    }
    return out;
}

// Row keys are listed once and marks refer to them by position, because a zone has many sources for the same
// rows.
void add_marks(Object& o, const mark_table& marks) {
    std::map<row_key, std::size_t> positions;
    Array::Ptr keys = new Array;
    Array::Ptr sources = new Array;
    for (const auto& [from, rows] : marks) {
        Array::Ptr s = new Array;
        s->add(from.daemon);
        s->add(from.incarnation);
        for (const auto& [key, n] : rows) {
            const auto [it, added] = positions.try_emplace(key, positions.size());
            if (added) {
                Array::Ptr k = new Array;
                add(*k, key);
                keys->add(k);
            }
            s->add(static_cast<Poco::UInt64>(it->second));
            add(*s, n);
        }
        sources->add(s);
    }
    o.set("keys", keys);
    o.set("marks", sources);
}

mark_table marks_of(const Object& o) {
    const auto keys = o.getArray("keys");
    mark_table out;
    for (const auto& v : *o.getArray("marks")) {
        const auto& s = v.extract<Array::Ptr>();
        auto& rows = out[{s->getElement<std::string>(0), s->getElement<Poco::UInt64>(1)}];
        for (unsigned i = 2; i + 3 < s->size(); i += 4) {
            const auto key = keys->getArray(s->getElement<unsigned>(i));
            rows[key_at(*key, 0)] = counts_at(*s, i + 1);
        }
    }
    return out;
}

std::string to_text(const Object& o) {
    std::ostringstream os;
    o.stringify(os);
    return os.str();
}

Object::Ptr parse(const std::string& text) {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Object::Ptr>();
}

}  // namespace

std::string encode(const window_record& r) {
    Object o;
    o.set("window", r.window);
    o.set("token", r.token);
    o.set("rows", rows_json(r.rows));
    add_marks(o, r.marks);
    Object::Ptr oldest = new Object;
    for (const auto& [daemon, incarnation] : r.oldest_incarnation) {
        oldest->set(daemon, incarnation);
    }
    o.set("oldest", oldest);
    return to_text(o);
}

std::string encode(const head_record& r) {
    Object o;
    o.set("origin", r.origin);
    o.set("frozen", r.frozen);
    o.set("reported", r.reported);
    o.set("token", r.token);
    return to_text(o);
}

std::optional<window_record> decode_window(const std::string& text) {
    try {
        const auto o = parse(text);
        window_record r;
        r.window = o->getValue<Poco::Int64>("window");
        r.token = o->getValue<std::string>("token");
        for (const auto& v : *o->getArray("rows")) {
            const auto& a = v.extract<Array::Ptr>();
            r.rows.push_back({key_at(*a, 0), counts_at(*a, 3), counts_at(*a, 6)});
        }
        r.marks = marks_of(*o);
        for (const auto& [daemon, incarnation] : *o->getObject("oldest")) {
            r.oldest_incarnation[daemon] = incarnation.convert<Poco::UInt64>();
        }
        return r;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

std::optional<head_record> decode_head(const std::string& text) {
    try {
        const auto o = parse(text);
        return head_record{o->getValue<Poco::Int64>("origin"), o->getValue<Poco::Int64>("frozen"),
                           o->getValue<Poco::Int64>("reported"), o->getValue<std::string>("token")};
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

}  // namespace chicorygap::usage
