#include "document/parser.h"
#include "render.h"

#include <algorithm>
#include <map>

namespace chicorygap::document {

namespace {

struct key_values {
    std::string key;
    std::string values;  // several lines of one key are joined
};

std::vector<key_values> values_of(const ini_section& s) {
    std::vector<key_values> out;
    for (const auto& e : s.entries) {
        const auto it = std::find_if(out.begin(), out.end(), [&](const auto& kv) { return kv.key == e.key; });
        if (it == out.end()) {
            out.push_back({e.key, e.value});
        } else {
            it->values += ", " + e.value;
        }
    }
    return out;
}

std::string value_of(const std::vector<key_values>& all, const std::string& key) {
    const auto it = std::find_if(all.begin(), all.end(), [&](const auto& kv) { return kv.key == key; });
    return it == all.end() ? "" : it->values;
}

void compare(const ini_section& before, const ini_section& after, std::vector<change>& out) {
    const auto old_values = values_of(before);
    const auto new_values = values_of(after);
    for (const auto& [key, value] : old_values) {
        const auto now = value_of(new_values, key);
        if (now != value) {
            out.push_back({before.name, key, value, now});
        }
    }
    for (const auto& [key, value] : new_values) {
        if (value_of(old_values, key).empty()) {
            out.push_back({after.name, key, "", value});
        }
    }
}

std::string summary(const ini_section& s) {
    std::string out;
    for (const auto& [key, value] : values_of(s)) {
        out += out.empty() ? "" : "; ";
        out.append(key).append(" = ").append(value);
    }
    return out;
}

using section_map = std::map<std::string, const ini_section*>;

section_map by_name(const std::vector<ini_section>& sections) {
    section_map out;
    for (const auto& s : sections) {
        out.emplace(s.name, &s);
    }
    return out;
}

}  // namespace

std::vector<change> diff(const service_document& before, const service_document& after) {
    const auto old_sections = sections_of(before);
    const auto new_sections = sections_of(after);
    const auto old_names = by_name(old_sections);
    const auto new_names = by_name(new_sections);
    std::vector<change> out;
    for (const auto& s : old_sections) {
        const auto it = new_names.find(s.name);
        if (it == new_names.end()) {
            out.push_back({s.name, "", summary(s), ""});
        } else {
            compare(s, *it->second, out);
        }
    }
    for (const auto& s : new_sections) {
        if (!old_names.contains(s.name)) {
            out.push_back({s.name, "", "", summary(s)});
        }
    }
    return out;
}

std::string to_string(const change& c) {
    std::string out = "[" + c.section + "]";
    if (!c.key.empty()) {
        out += " " + c.key;
    }
    if (c.before.empty()) {
        return out + ": added: " + c.after;
    }
    if (c.after.empty()) {
        return out + ": removed: " + c.before;
    }
    return out + ": " + c.before + " -> " + c.after;
}

}  // namespace chicorygap::document
