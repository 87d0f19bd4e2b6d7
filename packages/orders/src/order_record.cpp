#include "orders/order_record.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <string_view>

namespace chicorygap::orders {

namespace {

// Stored names of the enum values, in the order of the enums. `order_status::rejected` is stored as
// "refused".
constexpr std::array<std::string_view, 6> kinds{"request_servers", "release_server", "load_model",
                                                "load_adapter",    "set_version",    "change_role"};
constexpr std::array<std::string_view, 3> statuses{"open", "accepted", "refused"};

template <typename Enum, std::size_t N>
Enum from_name(const std::array<std::string_view, N>& names, const std::string& name) {
    const auto it = std::find(names.begin(), names.end(), name);
    if (it == names.end()) {
        throw Poco::DataFormatException{name};
    }
    return static_cast<Enum>(it - names.begin());
}

}  // namespace

std::string encode(const order_record& r) {
    Poco::JSON::Object o;
    o.set("sequence", r.sequence);
    o.set("need", r.deduplication_key);
    o.set("kind", std::string{kinds.at(static_cast<std::size_t>(r.content.kind))});
    o.set("service", r.content.service);
    o.set("server", r.content.server);
    o.set("argument", r.content.argument);
    o.set("count", r.content.count);
    o.set("receiver_fences", r.content.receiver_fences);
    o.set("term", r.term);
    o.set("status", std::string{statuses.at(static_cast<std::size_t>(r.status))});
    o.set("token", r.token);
    std::ostringstream os;
    o.stringify(os);
    return os.str();
}

std::optional<order_record> decode_order(const std::string& text) {
    try {
        Poco::JSON::Parser parser;
        const auto o = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
        order_record r;
        r.sequence = o->getValue<Poco::UInt64>("sequence");
        r.deduplication_key = o->getValue<std::string>("need");
        r.content.kind = from_name<order_kind>(kinds, o->getValue<std::string>("kind"));
        r.content.service = o->getValue<std::string>("service");
        r.content.server = o->getValue<std::string>("server");
        r.content.argument = o->getValue<std::string>("argument");
        r.content.count = o->getValue<Poco::UInt32>("count");
        r.content.receiver_fences = o->getValue<bool>("receiver_fences");
        r.term = o->getValue<Poco::UInt64>("term");
        r.status = from_name<order_status>(statuses, o->getValue<std::string>("status"));
        r.token = o->getValue<std::string>("token");
        return r;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

}  // namespace chicorygap::orders
