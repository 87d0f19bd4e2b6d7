// One odd entry in a list of the store must not take the others along.
#include "base/log.h"
#include "input.h"
#include "json_slices.h"
#include "platform/object_codec.h"
#include "platform/store_client.h"

#include <algorithm>
#include <string>

extern "C" int LLVMFuzzerInitialize(int* /*argc*/,
                                    char*** /*argv*/) {  // NOLINT(readability-identifier-naming)
    chicorygap::base::configure_log(chicorygap::base::log_level::error);
    return 0;
}

namespace {

using namespace chicorygap;

std::string entry(const std::string& name) {
    return R"({"metadata":{"name":")" + name +
           R"(","revision":7},"spec":{"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready"}})";
}

/// @return the input as it is if it is one value, else as the content of a string.
std::string as_value(const std::string& input) {
    const auto array = '[' + input + ']';
    const auto wrapped = R"({"x":)" + array + '}';
    const auto object = platform::split_object(wrapped);
    const auto list = platform::split_array(array);
    if (object && platform::member(*object, "x") == array && list && list->size() == 1 &&
        list->front() == input) {
        return input;
    }
    auto text = input;
    std::erase_if(text, [](char c) { return c == '"' || c == '\\'; });
    return R"({"metadata":{"name":"odd","revision":1},"spec":{"x":")" + text + R"("}})";
}

}  // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const auto odd = as_value(fuzz::to_text(data, size));
    const auto l = platform::decode_listing(R"({"items":[)" + entry("a") + ',' + odd + ',' + entry("b") +
                                            R"(],"has_more":false,"as_of":9})");
    fuzz::check(l.has_value(), "a list with one odd entry is read");
    const auto has = [&](const char* name) {
        return std::any_of(l->items.begin(), l->items.end(), [&](const auto& i) {
            return i.name == name && platform::decode_server(i.name, i.spec);
        });
    };
    fuzz::check(has("a") && has("b"), "the other entries are all there");
    // What a daemon passes on to its peers is read by them in the same way.
    const auto copy = platform::decode_listing(platform::encode_listing(*l));
    fuzz::check(copy && copy->items.size() == l->items.size(), "a copy has the same entries");
    return 0;
}
