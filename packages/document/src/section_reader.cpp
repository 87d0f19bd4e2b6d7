#include "document/section_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace chicorygap::document {

namespace {

std::string joined(const std::vector<std::string>& items) {
    std::string out;
    for (const auto& it : items) {
        out += (out.empty() ? "" : ", ") + it;
    }
    return out;
}

template <typename T>
std::optional<T> parse_whole(const std::string& text) {
    T value{};
    const auto* const end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, value);
    return ec == std::errc{} && rest == end ? std::optional{value} : std::nullopt;
}

std::string name_rule() {
    return "1 to " + std::to_string(name_limit) +
           " letters, digits, '.', '_' and '-', beginning with a letter or digit";
}

std::string describe(range<std::uint64_t> r) {
    return std::to_string(r.minimum) + " to " + std::to_string(r.maximum);
}

std::string describe(range<double> r) {
    return format_real(r.minimum) + " to " + format_real(r.maximum);
}

std::string describe(range<base::duration> r) {
    return format_duration(r.minimum) + " to " + format_duration(r.maximum) + ", for example 250ms, 5s or 1h";
}

std::string quoted(const std::string& value) {
    return "'" + value + "'";
}

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> out;
    std::size_t start = 0;
    while (start <= text.size()) {
        const auto end = std::min(text.find(',', start), text.size());
        auto item = text.substr(start, end - start);
        item.erase(0, std::min(item.find_first_not_of(" \t"), item.size()));
        item.erase(item.find_last_not_of(" \t") + 1);
        out.push_back(std::move(item));
        start = end + 1;
    }
    return out;
}

}  // namespace

section_reader::section_reader(const ini_section& section, std::string file, std::vector<fault>& faults)
    : section_{section}, file_{std::move(file)}, faults_{faults} {}

const ini_entry* section_reader::find(const std::string& key) const {
    const auto& entries = section_.entries;
    const auto it = std::find_if(entries.begin(), entries.end(), [&](const auto& e) { return e.key == key; });
    return it == entries.end() ? nullptr : &*it;
}

const ini_entry* section_reader::single(const std::string& key, bool required) {
    known_.insert(key);
    const auto* const first = find(key);
    if (first == nullptr) {
        if (required) {
            report(key, "key is missing");
        }
        return nullptr;
    }
    for (const auto& e : section_.entries) {
        if (e.key == key && &e != first) {
            report_line(e.line, key, "key repeated; first at line " + std::to_string(first->line));
        }
    }
    return first;
}

std::string section_reader::text(const std::string& key, const std::optional<std::string>& fallback) {
    const auto* const e = single(key, !fallback.has_value());
    if (e == nullptr) {
        return fallback.value_or("");
    }
    if (e->value.empty()) {
        report(key, "value is empty");
    }
    return e->value;
}

std::string section_reader::name(const std::string& key, const std::optional<std::string>& fallback) {
    const auto* const e = single(key, !fallback.has_value());
    if (e == nullptr) {
        return fallback.value_or("");
    }
    if (!is_name(e->value)) {
        report(key, quoted(e->value) + " is not a name", name_rule());
    }
    return e->value;
}

std::uint64_t section_reader::number(const std::string& key, range<std::uint64_t> allowed,
                                     std::optional<std::uint64_t> fallback) {
    const auto* const e = single(key, !fallback.has_value());
    if (e == nullptr) {
        return fallback.value_or(allowed.minimum);
    }
    const auto value = parse_whole<std::uint64_t>(e->value);
    if (!value) {
        report(key, quoted(e->value) + " is not a whole number", describe(allowed));
    } else if (*value < allowed.minimum || *value > allowed.maximum) {
        report(key, quoted(e->value) + " is out of range", describe(allowed));
    }
    return value.value_or(allowed.minimum);
}

double section_reader::real(const std::string& key, range<double> allowed, std::optional<double> fallback) {
    const auto* const e = single(key, !fallback.has_value());
    if (e == nullptr) {
        return fallback.value_or(allowed.minimum);
    }
    const auto value = parse_whole<double>(e->value);
    if (!value || !std::isfinite(*value)) {
        report(key, quoted(e->value) + " is not a number", describe(allowed));
    } else if (*value < allowed.minimum || *value > allowed.maximum) {
        report(key, quoted(e->value) + " is out of range", describe(allowed));
    }
    return value.value_or(allowed.minimum);
}

bool section_reader::flag(const std::string& key, std::optional<bool> fallback) {
    std::optional<std::size_t> index;
    if (fallback) {
        index = *fallback ? 1 : 0;
    }
    return choice(key, {"no", "yes"}, index) == 1;
}

base::duration section_reader::time(const std::string& key, range<base::duration> allowed,
                                    std::optional<base::duration> fallback) {
    const auto* const e = single(key, !fallback.has_value());
    if (e == nullptr) {
        return fallback.value_or(allowed.minimum);
    }
    const auto value = parse_duration(e->value);
    if (!value) {
        report(key, quoted(e->value) + " is not a duration", describe(allowed));
    } else if (*value < allowed.minimum || *value > allowed.maximum) {
        report(key, quoted(e->value) + " is out of range", describe(allowed));
    }
    return value.value_or(allowed.minimum);
}

std::size_t section_reader::choice(const std::string& key, const std::vector<std::string>& choices,
                                   std::optional<std::size_t> fallback) {
    const auto* const e = single(key, !fallback.has_value());
    if (e == nullptr) {
        return fallback.value_or(0);
    }
    const auto it = std::find(choices.begin(), choices.end(), e->value);
    if (it == choices.end()) {
        report(key, quoted(e->value) + " is not a valid choice", joined(choices));
        return fallback.value_or(0);
    }
    return static_cast<std::size_t>(it - choices.begin());
}

std::vector<std::string> section_reader::list(const std::string& key) {
    std::vector<std::string> out;
    std::set<std::string> seen;
    for (const auto& e : lines(key)) {
        for (auto& item : split(e.value)) {
            if (item.empty()) {
                report_line(e.line, key, "list has an empty item");
            } else if (!seen.insert(item).second) {
                report_line(e.line, key, quoted(item) + " is listed twice");
            } else {
                out.push_back(std::move(item));
            }
        }
    }
    return out;
}

std::vector<ini_entry> section_reader::lines(const std::string& key) {
    known_.insert(key);
    std::vector<ini_entry> out;
    for (const auto& e : section_.entries) {
        if (e.key == key) {
            out.push_back(e);
        }
    }
    return out;
}

bool section_reader::has(const std::string& key) const {
    return find(key) != nullptr;
}

void section_reader::report(const std::string& key, const std::string& reason, const std::string& allowed) {
    const auto* const e = find(key);
    report_line(e == nullptr ? section_.line : e->line, key, reason, allowed);
}

void section_reader::report_line(int line, const std::string& key, const std::string& reason,
                                 const std::string& allowed) {
    faults_.push_back({file_, line, section_.name, key, reason, allowed});
}

void section_reader::finish() {
    for (const auto& e : section_.entries) {
        if (!known_.contains(e.key)) {
            report_line(e.line, e.key, "unknown key", joined({known_.begin(), known_.end()}));
        }
    }
}

}  // namespace chicorygap::document
