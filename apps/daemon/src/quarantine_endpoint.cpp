#include "quarantine_endpoint.h"

#include "crash_guard/prompt_guard.h"

#include <charconv>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace chicorygap::daemon_app {

namespace {

constexpr std::string_view list_path = "/quarantine";
constexpr std::string_view part_path_prefix = "/quarantine/";
constexpr int status_not_found = 404;
constexpr int status_method_not_allowed = 405;

/// @return the hexadecimal id at the end of the path, or nothing if it is invalid.
std::optional<std::uint64_t> parse_part(std::string_view path) {
    const auto text = path.substr(part_path_prefix.size());
    std::uint64_t part = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), part, 16);
    return ec == std::errc{} && end == text.data() + text.size() ? std::optional{part} : std::nullopt;
}

std::string to_json(const crash_guard::part_status& p) {
    const auto ms = [](base::duration d) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
    };
    return R"({"part":")" + crash_guard::part_text(p.part) + R"(","quarantined":)" +
           (p.quarantined ? "true" : "false") + R"(,"servers":)" + std::to_string(p.servers) + R"(,"ends":)" +
           std::to_string(p.ends) + R"(,"chance":)" + std::to_string(p.chance) + R"(,"age_ms":)" + ms(p.age) +
           R"(,"retry_after_ms":)" + ms(p.retry_after) + '}';
}

}  // namespace

bool quarantine_endpoint::handle(http::server_session& s, const http::request& r, base::time_point now) {
    const std::string_view path = r.head.target;
    if (path != list_path && !path.starts_with(part_path_prefix)) {
        return false;
    }
    const auto part = path == list_path ? std::nullopt : parse_part(path);
    if (path != list_path && !part) {
        s.respond({.status = status_not_found}, {});
        return true;
    }
    if (part && r.head.method == "PUT") {
        guard_.quarantine(*part, now);
    } else if (part && r.head.method == "DELETE") {
        guard_.release(*part, now);
    } else if (part || r.head.method != "GET") {
        s.respond({.status = status_method_not_allowed}, {});
        return true;
    }
    std::string body = "[";
    for (const auto& p : guard_.status(now)) {
        body += (body.size() > 1 ? ",\n" : "") + to_json(p);
    }
    http::response_head head{.status = 200};
    head.headers.add("Content-Type", "application/json");
    s.respond(std::move(head), body + "]\n");
    return true;
}

}  // namespace chicorygap::daemon_app
