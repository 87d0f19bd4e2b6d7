#include "idempotency/segment.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace chicorygap::idempotency {

namespace {

using array_ptr = Poco::JSON::Array::Ptr;

// Hex digests, quotes and separators of one entry.
constexpr std::size_t entry_overhead = 80;
// A control character becomes a \u escape of six characters.
constexpr std::size_t longest_escape = 6;

array_ptr to_json(const entry& e) {
    array_ptr a = new Poco::JSON::Array;
    a->add(e.id.hex());
    if (e.body) {
        a->add(e.body->hex());
    } else if (e.result) {
        a->add(e.result->status);
        a->add(e.result->body);
        a->add(e.result->whole);
    }
    return a;
}

digest to_digest(const Poco::JSON::Array& a, unsigned index) {
    const auto d = digest::from_hex(a.getElement<std::string>(index));
    if (!d) {
        throw Poco::DataFormatException{"digest"};
    }
    return *d;
}

entry to_entry(const Poco::JSON::Array& a) {
    entry e;
    e.id = to_digest(a, 0);
    if (a.size() == 2) {
        e.body = to_digest(a, 1);
    } else {
        e.result = outcome{a.getElement<int>(1), a.getElement<std::string>(2), a.getElement<bool>(3)};
    }
    return e;
}

segment to_segment(const Poco::JSON::Object& o) {
    segment s;
    s.sequence = o.getValue<Poco::UInt64>("sequence");
    s.token = o.getValue<std::string>("token");
    if (o.has("next")) {
        s.next = o.getValue<Poco::UInt64>("next");
    }
    for (const auto& v : *o.getArray("ages")) {
        const auto& a = v.extract<array_ptr>();
        const auto age = base::stored_duration(a->getElement<Poco::Int64>(1));
        if (!age) {
            throw Poco::DataFormatException{"age"};
        }
        s.ages.push_back({a->getElement<Poco::UInt64>(0), *age});
    }
    for (const auto& v : *o.getArray("entries")) {
        s.entries.push_back(to_entry(*v.extract<array_ptr>()));
    }
    return s;
}

}  // namespace

std::size_t encoded_size(const entry& e) {
    return entry_overhead + (e.result ? longest_escape * e.result->body.size() : 0);
}

std::string encode(const segment& s) {
    Poco::JSON::Object o;
    o.set("sequence", s.sequence);
    o.set("token", s.token);
    if (s.next) {
        o.set("next", static_cast<Poco::UInt64>(*s.next));
    }
    array_ptr ages = new Poco::JSON::Array;
    for (const auto& v : s.ages) {
        array_ptr a = new Poco::JSON::Array;
        a->add(v.sequence);
        a->add(std::chrono::duration_cast<std::chrono::milliseconds>(v.age).count());
        ages->add(a);
    }
    o.set("ages", ages);
    array_ptr entries = new Poco::JSON::Array;
    for (const auto& e : s.entries) {
        entries->add(to_json(e));
    }
    o.set("entries", entries);
    std::ostringstream os;
    o.stringify(os);
    return os.str();
}

std::optional<segment> decode_segment(const std::string& text) {
    try {
        Poco::JSON::Parser parser;
        return to_segment(*parser.parse(text).extract<Poco::JSON::Object::Ptr>());
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

}  // namespace chicorygap::idempotency
