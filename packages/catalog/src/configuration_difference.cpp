#include "catalog/configuration_check.h"

#include <chrono>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace chicorygap::catalog {

namespace {

/// Fields of one entry as text, by name.
using fields = std::map<std::string, std::string>;

std::string text(base::duration d) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count()) + " ms";
}

std::string text(double value) {
    std::ostringstream out;
    out << value;
    return out.str();
}

const char* text(bool value) {
    return value ? "yes" : "no";
}

const char* text(request_kind k) {
    switch (k) {
        case request_kind::idempotent:
            return "idempotent";
        case request_kind::non_idempotent:
            return "non_idempotent";
        case request_kind::streaming:
            return "streaming";
    }
    return "unknown";
}

fields fields_of(const route& r) {
    std::string split;
    for (const auto& s : r.services) {
        split += (split.empty() ? "" : ", ") + s.service.str() + " " + std::to_string(s.weight);
    }
    return {{"name", r.name},
            {"kind", text(r.kind)},
            {"timeout", text(r.timeout)},
            {"target latency", text(r.target_latency)},
            {"target gap", r.target_gap ? text(*r.target_gap) : "none"},
            {"tier", std::to_string(r.tier.level)},
            {"services", split},
            {"attempts", std::to_string(r.max_attempts)},
            {"anonymous", text(r.anonymous)},
            {"resumable", text(r.resumable)}};
}

fields fields_of(const service& s) {
    fields out{{"health path", s.health_path}, {"connections", std::to_string(s.max_connections)}};
    if (s.warmup) {
        out["warm-up"] = text(s.warmup->duration) + " at " + text(s.warmup->requests_per_s) + " requests/s";
    }
    if (s.engine) {
        out["engine slots"] = std::to_string(s.engine->slots);
        out["engine KV cache"] = std::to_string(s.engine->kv_capacity_tokens) + " tokens";
        out["engine tokens per event"] = std::to_string(s.engine->tokens_per_event);
        out["engine KV bytes per token"] = std::to_string(s.engine->kv_bytes_per_token);
        out["engine link"] = text(s.engine->link_bytes_per_ms) + " bytes/ms";
    }
    if (s.scaling) {
        out["servers per zone"] = std::to_string(s.scaling->min_servers_per_zone) + " to " +
                                  std::to_string(s.scaling->max_servers_per_zone);
        out["boot time"] = text(s.scaling->boot_time);
        const auto& ratio = s.scaling->reclaimable_price_ratio;
        out["reclaimable price"] = ratio ? text(*ratio) : "none";
        for (const auto& [zone, price] : s.scaling->zone_prices) {
            out["price in " + zone.str()] = text(price);
        }
    }
    return out;
}

fields fields_of(const caller_limits& l) {
    return {{"header bytes", std::to_string(l.max_header_bytes)},
            {"body bytes", std::to_string(l.max_body_bytes)},
            {"header timeout", text(l.header_timeout)},
            {"idle timeout", text(l.idle_timeout)}};
}

/// A workspace as it takes effect.
struct effective_workspace {
    std::string tier = "of the route";
    std::set<std::string> api_keys;
};

/// What a version does: by entry its fields, and the API keys of each workspace.
struct effect {
    std::map<std::string, fields> entries;
    std::map<std::string, effective_workspace> workspaces;
};

effect effect_of(const configuration_listing& c) {
    effect out;
    for (const auto& r : c.routes) {
        out.entries["route " + r.entry.host + r.entry.path_prefix] = fields_of(r.entry);
    }
    for (const auto& s : c.services) {
        out.entries["service " + s.entry.id.str()] = fields_of(s.entry);
    }
    out.entries["limits"] = fields_of(c.limits.entry);
    out.entries["access"] = {{"API keys required", text(c.api_keys_required)}};
    std::map<std::string, std::string> owner;
    for (const auto& w : c.workspaces) {
        auto& known = out.workspaces["workspace " + w.entry.of.id.str()];
        known.tier = w.entry.of.tier ? std::to_string(w.entry.of.tier->level) : known.tier;
        for (const auto& key : w.entry.api_keys) {
            owner[key] = "workspace " + w.entry.of.id.str();
        }
    }
    for (const auto& [key, workspace] : owner) {
        out.workspaces[workspace].api_keys.insert(key);
    }
    return out;
}

void compare_fields(const std::string& entry, const fields& before, const fields& after,
                    std::vector<configuration_difference>& out) {
    std::set<std::string> names;
    for (const auto* side : {&before, &after}) {
        for (const auto& [name, value] : *side) {
            names.insert(name);
        }
    }
    const auto value_in = [](const fields& f, const std::string& name) {
        const auto it = f.find(name);
        return it == f.end() ? std::string{"none"} : it->second;
    };
    for (const auto& name : names) {
        if (value_in(before, name) != value_in(after, name)) {
            out.push_back({entry, name, value_in(before, name), value_in(after, name)});
        }
    }
}

/// Compares two maps by entry; `compare_entry` is called for entries in both.
template <typename T, typename Compare>
void compare_entries(const std::map<std::string, T>& before, const std::map<std::string, T>& after,
                     std::vector<configuration_difference>& out, const Compare& compare_entry) {
    for (const auto& [name, entry] : before) {
        const auto it = after.find(name);
        if (it == after.end()) {
            out.push_back({name, "", "present", ""});
        } else {
            compare_entry(name, entry, it->second);
        }
    }
    for (const auto& [name, entry] : after) {
        if (before.count(name) == 0) {
            out.push_back({name, "", "", "present"});
        }
    }
}

std::size_t missing_in(const std::set<std::string>& keys, const std::set<std::string>& other) {
    std::size_t n = 0;
    for (const auto& key : keys) {
        n += other.count(key) == 0 ? 1 : 0;
    }
    return n;
}

}  // namespace

std::vector<configuration_difference> compare(const configuration_listing& in_force,
                                              const configuration_listing& next) {
    const auto before = effect_of(in_force);
    const auto after = effect_of(next);
    std::vector<configuration_difference> out;
    compare_entries(before.entries, after.entries, out,
                    [&](const auto& name, const auto& a, const auto& b) { compare_fields(name, a, b, out); });
    compare_entries(before.workspaces, after.workspaces, out,
                    [&](const auto& name, const auto& a, const auto& b) {
                        compare_fields(name, {{"tier", a.tier}}, {{"tier", b.tier}}, out);
                        const auto removed = missing_in(a.api_keys, b.api_keys);
                        const auto added = missing_in(b.api_keys, a.api_keys);
                        if (removed + added > 0) {
                            out.push_back({name, "API keys", std::to_string(removed) + " removed",
                                           std::to_string(added) + " added"});
                        }
                    });
    return out;
}

std::vector<configuration_finding> check_version_order(const configuration_listing& in_force,
                                                       const configuration_listing& next, bool differs) {
    if (!differs || next.version > in_force.version) {
        return {};
    }
    const auto number = std::to_string(next.version);
    if (next.version == in_force.version) {
        return {{finding_severity::warning,
                 finding_kind::version_order,
                 {},
                 "version " + number + " is in force with other content; a higher number tells them apart"}};
    }
    return {{finding_severity::error,
             finding_kind::version_order,
             {},
             "version " + number + " is below the version in force, " + std::to_string(in_force.version) +
                 ", which the daemons keep"}};
}

}  // namespace chicorygap::catalog
