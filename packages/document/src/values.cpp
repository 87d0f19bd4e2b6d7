#include "document/section_reader.h"

#include <array>
#include <cctype>
#include <charconv>
#include <ctime>
#include <limits>

namespace chicorygap::document {

namespace {

struct unit {
    std::string_view name;
    std::int64_t nanoseconds;
};

// Largest first, so that formatting finds the largest exact unit.
constexpr std::array units{
    unit{"d", 86'400'000'000'000},
    unit{"h", 3'600'000'000'000},
    unit{"min", 60'000'000'000},
    unit{"s", 1'000'000'000},
    unit{"ms", 1'000'000},
    unit{"us", 1'000},
    unit{"ns", 1},
};

constexpr const char* wall_time_format = "%Y-%m-%dT%H:%M:%SZ";

}  // namespace

bool is_name(std::string_view text) {
    if (text.empty() || text.size() > name_limit) {
        return false;
    }
    if (std::isalnum(static_cast<unsigned char>(text.front())) == 0) {
        return false;
    }
    for (const char c : text) {
        if (std::isalnum(static_cast<unsigned char>(c)) == 0 && c != '.' && c != '_' && c != '-') {
            return false;
        }
    }
    return true;
}

std::optional<base::duration> parse_duration(std::string_view text) {
    std::int64_t n = 0;
    const auto* const end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc{} || n < 0) {
        return std::nullopt;
    }
    const std::string_view name{rest, static_cast<std::size_t>(end - rest)};
    for (const auto& u : units) {
        if (u.name == name && n <= std::numeric_limits<std::int64_t>::max() / u.nanoseconds) {
            return base::duration{n * u.nanoseconds};
        }
    }
    return std::nullopt;
}

std::string format_duration(base::duration d) {
    if (d.count() == 0) {
        return "0s";
    }
    for (const auto& u : units) {
        if (d.count() % u.nanoseconds == 0) {
            return std::to_string(d.count() / u.nanoseconds) + std::string{u.name};
        }
    }
    return {};
}

std::string format_real(double value) {
    std::array<char, 32> buf{};
    const auto r = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    return {buf.data(), r.ptr};
}

std::optional<base::wall_time> parse_wall_time(const std::string& text) {
    std::tm tm{};
    const char* const end = strptime(text.c_str(), wall_time_format, &tm);
    if (end == nullptr || *end != '\0') {
        return std::nullopt;
    }
    // The nanoseconds of system_clock would overflow after the year 2262.
    const base::wall_time result{std::chrono::seconds{timegm(&tm)}};
    // timegm moves 31 February to March; such a date does not read back as written.
    return format_wall_time(result) == text ? std::optional{result} : std::nullopt;
}

std::string format_wall_time(base::wall_time t) {
    const auto seconds = std::chrono::floor<std::chrono::seconds>(t);
    const std::time_t time = seconds.time_since_epoch().count();
    std::tm tm{};
    gmtime_r(&time, &tm);
    std::array<char, 32> buf{};
    const auto n = std::strftime(buf.data(), buf.size(), wall_time_format, &tm);
    return {buf.data(), n};
}

}  // namespace chicorygap::document
