#include "front/refusal.h"

#include <Poco/JSONString.h>

#include <sstream>

namespace chicorygap::front {

namespace {

std::string quoted(std::string_view text) {
    return Poco::toJSON(std::string{text}, Poco::JSON_WRAP_STRINGS);
}

}  // namespace

std::string problem_json(const refusal& r) {
    const auto number = static_cast<int>(r.code);
    const auto name = quoted(base::to_string(r.code));
    const auto detail = quoted(r.detail);
    std::ostringstream out;
    out << R"({"type":"about:blank","title":)" << name << R"(,"status":)" << base::http_status(r.code)
        << R"(,"code":)" << number << R"(,"name":)" << name << R"(,"run_state":")" << base::to_string(r.state)
        << R"(","detail":)" << detail;
    // Chat client libraries raise an exception only if an `error` object is present.
    out << R"(,"error":{"message":)" << detail << R"(,"type":)" << name << R"(,"code":)" << number << "}}";
    return out.str();
}

}  // namespace chicorygap::front
