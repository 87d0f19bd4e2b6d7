#include "input.h"
#include "ports/json.h"

#include <Poco/Exception.h>

namespace {

using namespace chicorygap::ports;

/// Reads the object as one type; `Poco::Exception` is the only documented error.
template <typename Read>
void read_as(const Poco::JSON::Object& j, Read read) {
    try {
        const auto text = to_text(*to_json(read(j)));
        const auto again = to_text(*to_json(read(*parse_object(text))));
        chicorygap::fuzz::check(again == text, "a value reads back as equal");
    } catch (const Poco::Exception&) {
    }
}

}  // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    json_object j;
    try {
        j = parse_object(chicorygap::fuzz::to_text(data, size));
    } catch (const Poco::Exception&) {
        return 0;
    }
    read_as(*j, object_from_json);
    read_as(*j, vm_from_json);
    read_as(*j, server_from_json);
    read_as(*j, order_from_json);
    read_as(*j, order_reply_from_json);
    read_as(*j, usage_report_from_json);
    read_as(*j, usage_reply_from_json);
    return 0;
}
