#include "catalog/configuration_check.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <utility>

namespace chicorygap::catalog {

namespace {

using kind = finding_kind;
using severity = finding_severity;

/// Part of a daemon's memory for the requests that are open at once.
constexpr std::size_t request_memory_divisor = 2;

std::string ms_text(base::duration d) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count()) + " ms";
}

/// Collects the findings about one entry after the other.
class findings {
public:
    explicit findings(std::vector<configuration_finding>& out) : out_{out} {}

    void at(const configuration_place& p) { place_ = p; }
    void error(kind k, std::string text) { out_.push_back({severity::error, k, place_, std::move(text)}); }
    void warn(kind k, std::string text) { out_.push_back({severity::warning, k, place_, std::move(text)}); }

private:
    std::vector<configuration_finding>& out_;
    configuration_place place_;
};

/// Host and path are compared byte by byte; the port of the request's host is cut off before, and a path
/// matches at its slashes only.
void check_route_match(const route& r, findings& f) {
    if (r.host.empty() || r.host.find(':') != std::string::npos) {
        f.error(kind::never_matches,
                "host '" + r.host + "' matches no request: it must be a name without port");
    }
    if (r.path_prefix.empty() || r.path_prefix.front() != '/' || r.path_prefix.back() != '/') {
        f.error(kind::never_matches,
                "path prefix '" + r.path_prefix + "' matches no request: it must begin and end with '/'");
    } else if (r.path_prefix.find_first_of("?#") != std::string::npos) {
        f.error(kind::never_matches,
                "path prefix '" + r.path_prefix + "' matches no request: it has a query");
    }
}

void check_route_times(const route& r, findings& f) {
    if (r.timeout <= base::duration{}) {
        f.error(kind::contradiction, "time-out of 0 ms: every request ends at once");
    } else if (r.target_latency > r.timeout) {
        f.error(kind::contradiction, "target latency of " + ms_text(r.target_latency) +
                                         " is above the time-out of " + ms_text(r.timeout));
    }
    if (r.target_latency <= base::duration{} && r.timeout > base::duration{}) {
        f.error(kind::contradiction, "target latency of 0 ms: no request is in time");
    }
    if (!r.target_gap) {
        return;
    }
    if (*r.target_gap <= base::duration{} || *r.target_gap > r.timeout) {
        f.error(kind::contradiction, "target of " + ms_text(*r.target_gap) +
                                         " between two events is 0 or above the time-out of " +
                                         ms_text(r.timeout));
    }
    if (r.kind != request_kind::streaming) {
        f.warn(kind::never_matches, "target between two events has no effect: the route does not stream");
    }
}

void check_route_retries(const route& r, findings& f) {
    if (r.max_attempts == 0) {
        f.warn(kind::contradiction, "0 attempts: requests are sent once all the same");
    }
    if (r.resumable && r.kind != request_kind::streaming) {
        f.warn(kind::never_matches, "resumable has no effect: the route does not stream");
    }
}

void check_route_services(const route& r, const std::set<base::service_id>& known, findings& f) {
    std::set<base::service_id> named;
    std::uint64_t weights = 0;
    for (const auto& s : r.services) {
        weights += s.weight;
        if (known.count(s.service) == 0) {
            f.error(kind::never_matches, "service '" + s.service.str() + "' has no entry");
        }
        if (!named.insert(s.service).second) {
            f.warn(kind::contradiction, "service '" + s.service.str() + "' is named twice in the split");
        }
    }
    if (weights == 0) {
        f.error(kind::contradiction, "all weights of the split are 0");
        return;
    }
    for (const auto& s : r.services) {
        if (s.weight == 0) {
            f.warn(kind::never_matches,
                   "service '" + s.service.str() + "' has weight 0 and gets no requests");
        }
    }
}

/// Reports each entry whose key a later entry has too.
template <typename T, typename KeyOf>
void check_replaced(const std::vector<listed<T>>& entries, const KeyOf& key_of, const char* what,
                    findings& f) {
    std::map<std::string, const configuration_place*> last;
    for (const auto& e : entries) {
        last[key_of(e.entry)] = &e.place;
    }
    for (const auto& e : entries) {
        if (const auto* by = last.at(key_of(e.entry)); by != &e.place) {
            f.at(e.place);
            f.error(kind::never_matches,
                    std::string{"replaced by "} + by->path + ", which has the same " + what);
        }
    }
}

std::string match_key(const route& r) {
    return r.host + r.path_prefix;
}

void check_routes(const configuration_listing& c, findings& f) {
    std::set<base::service_id> known;
    for (const auto& s : c.services) {
        known.insert(s.entry.id);
    }
    for (const auto& r : c.routes) {
        f.at(r.place);
        check_route_match(r.entry, f);
        check_route_times(r.entry, f);
        check_route_retries(r.entry, f);
        check_route_services(r.entry, known, f);
    }
    check_replaced(c.routes, match_key, "host and path prefix", f);
}

void check_engine(const service& s, findings& f) {
    const auto& e = *s.engine;
    if (e.slots == 0) {
        f.error(kind::contradiction, "engine without slots: no request can run");
    }
    if (e.kv_capacity_tokens <= 0) {
        f.error(kind::contradiction, "engine without KV cache: only one request can run on a server");
    }
    if (e.tokens_per_event == 0) {
        f.warn(kind::contradiction, "events of 0 tokens");
    }
    if (s.max_connections > 0 && s.max_connections < e.slots) {
        f.warn(kind::contradiction, "a server takes " + std::to_string(s.max_connections) +
                                        " connections, fewer than its " + std::to_string(e.slots) + " slots");
    }
}

void check_scaling(const scaling_parameters& s, findings& f) {
    if (s.min_servers_per_zone > s.max_servers_per_zone) {
        f.error(kind::contradiction, "at least " + std::to_string(s.min_servers_per_zone) + " and at most " +
                                         std::to_string(s.max_servers_per_zone) + " servers in a zone");
    } else if (s.max_servers_per_zone == 0) {
        f.warn(kind::contradiction, "at most 0 servers in a zone: none is ordered");
    }
    if (s.reclaimable_price_ratio && (*s.reclaimable_price_ratio <= 0 || *s.reclaimable_price_ratio >= 1)) {
        f.warn(kind::contradiction, "reclaimable servers that are free, or cost as much as reserved ones");
    }
    for (const auto& [zone, price] : s.zone_prices) {
        if (price <= 0) {
            f.error(kind::contradiction, "price of zone '" + zone.str() + "' is not above 0");
        }
    }
}

void check_services(const configuration_listing& c, findings& f) {
    std::set<base::service_id> named;
    for (const auto& r : c.routes) {
        for (const auto& s : r.entry.services) {
            named.insert(s.service);
        }
    }
    for (const auto& s : c.services) {
        f.at(s.place);
        if (named.count(s.entry.id) == 0) {
            f.warn(kind::never_matches, "no route names the service '" + s.entry.id.str() + "'");
        }
        if (s.entry.engine) {
            check_engine(s.entry, f);
        }
        if (s.entry.scaling) {
            check_scaling(*s.entry.scaling, f);
        }
    }
    check_replaced(
        c.services, [](const service& s) { return s.id.str(); }, "name", f);
}

void check_workspaces(const configuration_listing& c, findings& f) {
    std::map<std::string, const configuration_place*> last;
    for (const auto& w : c.workspaces) {
        for (const auto& key : w.entry.api_keys) {
            last[key] = &w.place;
        }
    }
    for (const auto& w : c.workspaces) {
        f.at(w.place);
        if (w.entry.api_keys.empty()) {
            f.warn(kind::never_matches, "workspace '" + w.entry.of.id.str() + "' has no API key");
        }
        std::set<std::string> own;
        for (const auto& key : w.entry.api_keys) {
            const auto* by = last.at(key);
            if (!own.insert(key).second) {
                f.warn(kind::contradiction, "an API key is listed twice");
            } else if (by != &w.place) {
                f.error(kind::never_matches, "an API key of the workspace belongs to " + by->path);
            }
        }
    }
    f.at({});
    const bool some_anonymous =
        std::any_of(c.routes.begin(), c.routes.end(), [](const auto& r) { return r.entry.anonymous; });
    if (c.api_keys_required && last.empty() && !some_anonymous) {
        f.error(kind::contradiction, "API keys are required and there is none: every request is refused");
    }
}

void check_limits(const configuration_listing& c, std::size_t memory_bytes, findings& f) {
    const auto& l = c.limits.entry;
    f.at(c.limits.place);
    const auto check_bytes = [&](const char* what, std::size_t bytes) {
        if (bytes == 0) {
            f.error(kind::contradiction, std::string{"limit on the "} + what + " is 0");
        } else if (bytes > memory_bytes / request_memory_divisor) {
            f.error(kind::contradiction, std::string{"limit of "} + std::to_string(bytes) + " bytes on the " +
                                             what + " is above the " +
                                             std::to_string(memory_bytes / request_memory_divisor) +
                                             " bytes that a daemon has for all requests");
        }
    };
    check_bytes("header", l.max_header_bytes);
    check_bytes("body", l.max_body_bytes);
    if (l.header_timeout <= base::duration{}) {
        f.error(kind::contradiction, "time for the header is 0");
    }
    if (l.idle_timeout <= base::duration{}) {
        f.error(kind::contradiction, "time after which an idle connection is closed is 0");
    } else if (l.header_timeout > l.idle_timeout) {
        f.warn(kind::contradiction, "a header may take " + ms_text(l.header_timeout) +
                                        ", longer than an idle connection is kept (" +
                                        ms_text(l.idle_timeout) + ")");
    }
}

}  // namespace

std::vector<configuration_finding> configuration_check::run(const configuration_listing& c) const {
    auto out = c.skipped;
    findings f{out};
    check_routes(c, f);
    check_services(c, f);
    check_workspaces(c, f);
    check_limits(c, options_.memory_bytes, f);
    return out;
}

const char* to_string(finding_severity s) {
    return s == finding_severity::error ? "error" : "warning";
}

const char* to_string(finding_kind k) {
    switch (k) {
        case finding_kind::invalid_entry:
            return "invalid_entry";
        case finding_kind::ignored_field:
            return "ignored_field";
        case finding_kind::never_matches:
            return "never_matches";
        case finding_kind::contradiction:
            return "contradiction";
        case finding_kind::version_order:
            return "version_order";
    }
    return "unknown";
}

}  // namespace chicorygap::catalog
