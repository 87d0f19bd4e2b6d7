#include "lease/lease_record.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace chicorygap::lease {

std::string encode(const lease_record& r) {
    Poco::JSON::Object o;
    o.set("holder", r.holder);
    o.set("incarnation", r.incarnation);
    o.set("term", r.term);
    o.set("length_ms", std::chrono::duration_cast<std::chrono::milliseconds>(r.lease_duration).count());
    o.set("free", r.free);
    o.set("token", r.token);
    std::ostringstream os;
    o.stringify(os);
    return os.str();
}

std::optional<lease_record> decode_lease(const std::string& text) {
    try {
        Poco::JSON::Parser parser;
        const auto o = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
        lease_record r;
        r.holder = o->getValue<std::string>("holder");
        r.incarnation = o->getValue<Poco::UInt64>("incarnation");
        r.term = o->getValue<Poco::UInt64>("term");
        const auto lease_duration = base::stored_duration(o->getValue<Poco::Int64>("length_ms"));
        if (!lease_duration) {
            return std::nullopt;
        }
        r.lease_duration = *lease_duration;
        r.free = o->getValue<bool>("free");
        r.token = o->getValue<std::string>("token");
        return r;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

}  // namespace chicorygap::lease
