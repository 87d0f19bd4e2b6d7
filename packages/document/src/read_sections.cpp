#include "document/key_digest.h"
#include "document_parser.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

namespace chicorygap::document {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t max_context_tokens = 10'000'000;
constexpr std::uint64_t max_queue_length = 1'000'000;
constexpr std::uint64_t max_servers = 100'000;
constexpr double max_rate = 1e9;

template <typename T>
T narrow(std::uint64_t value) {
    return static_cast<T>(value);
}

std::vector<std::string> words(const std::string& text) {
    std::vector<std::string> out;
    std::size_t start = 0;
    while ((start = text.find_first_not_of(" \t", start)) != std::string::npos) {
        const auto end = std::min(text.find_first_of(" \t", start), text.size());
        out.push_back(text.substr(start, end - start));
        start = end;
    }
    return out;
}

std::optional<std::uint32_t> server_count(const std::string& text) {
    std::uint32_t n = 0;
    const auto* const end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc{} || rest != end || n > max_servers) {
        return std::nullopt;
    }
    return n;
}

}  // namespace

void document_parser::read_service(section_reader& r) {
    document_.name = base::service_id{r.name("name")};
    document_.kind = static_cast<service_kind>(r.choice("kind", {"model", "plain"}));
    // A partition between regions lasts about an hour; a partitioned zone keeps serving known keys meanwhile.
    document_.isolated_key_lifetime = r.time("isolated_key_lifetime", {0s, 7 * 24h}, 1h);
    document_.once_retention = r.time("once_retention", {24h, 90 * 24h}, 24h);
}

void document_parser::read_retry(section_reader& r) {
    document_.retry_budget.share = r.real("share", {0, 1}, 0.1);
    document_.retry_budget.overload_share = r.real("overload_share", {0, 1}, 0.02);
    if (document_.retry_budget.overload_share > document_.retry_budget.share) {
        r.report("overload_share", "is larger than share", "0 to the value of share");
    }
}

void document_parser::read_timeouts(section_reader& r) {
    document_.timeouts.connect = r.time("connect", {1ms, 60s}, 250ms);
    document_.timeouts.first_byte = r.time("first_byte", {1ms, 1h}, 10s);
    document_.timeouts.token_gap = r.time("token_gap", {1ms, 1h}, 2s);
    document_.timeouts.idle = r.time("idle", {1ms, 1h}, 30s);
}

void document_parser::read_model(section_reader& r, const std::string& name) {
    if (document_.kind != service_kind::model) {
        r.report("", "plain service has a model", "models only with kind = model");
    }
    const range<std::uint64_t> allowed{1, max_context_tokens};
    model m{name, narrow<std::uint32_t>(r.number("context_tokens", allowed, 32'768)),
            narrow<std::uint32_t>(r.number("max_output_tokens", allowed, 4'096))};
    if (m.max_output_tokens > m.context_tokens) {
        r.report("max_output_tokens", "is larger than context_tokens");
    }
    document_.models.push_back(std::move(m));
}

void document_parser::read_class(section_reader& r, const std::string& name) {
    service_class c;
    c.id = base::class_id{name};
    c.tier.level = narrow<std::uint8_t>(r.number("tier", {0, base::tier_count - 1}));
    const range<base::duration> target{1ms, 1h};
    if (document_.kind == service_kind::model) {
        c.first_token_target = r.time("first_token_target", target);
        c.inter_token_target = r.time("inter_token_target", target);
    } else {
        c.first_token_target = r.time("response_target", target);
    }
    c.attainment_target = r.real("attainment_target", {0.5, 0.99999}, 0.99);
    c.deadline = r.time("deadline", {1ms, 24h});
    c.queue_length = narrow<std::uint32_t>(r.number("queue_length", {0, max_queue_length}, 1'000));
    // A class without any share of starts could wait forever behind higher tiers.
    c.floor = r.real("floor", {0.001, 0.5}, 0.01);
    c.floor_wait = r.time("floor_wait", {1ms, 24h}, 10s);
    document_.classes.push_back(std::move(c));
}

void document_parser::read_workspace(section_reader& r, const std::string& name) {
    workspace w;
    w.id = base::workspace_id{name};
    if (name == "all") {
        r.report("", "'all' is reserved for routes open to all workspaces");
    }
    w.weight = r.real("weight", {0.001, 1'000}, 1);
    read_keys(r, w);
    const range<double> rate{0.001, max_rate};
    if (r.has("requests_per_second")) {
        w.limits.requests_per_second = r.real("requests_per_second", rate);
    }
    if (r.has("tokens_per_second")) {
        w.limits.tokens_per_second = r.real("tokens_per_second", rate);
    }
    if (r.has("concurrency")) {
        w.limits.concurrency = narrow<std::uint32_t>(r.number("concurrency", {1, 1'000'000}));
    }
    for (const auto* const key : {"requests_per_second", "tokens_per_second", "concurrency"}) {
        r.lines(key);  // known even when absent
    }
    workspace_names_.insert(name);
    document_.workspaces.push_back(std::move(w));
}

void document_parser::read_keys(section_reader& r, workspace& w) {
    for (const auto& e : r.lines("key")) {
        const auto parts = words(e.value);
        workspace_key k;
        k.digest = base::key_digest{parts.empty() ? "" : parts.front()};
        add_key(r, e, k.digest.str());
        if (parts.size() == 3 && parts[1] == "expires") {
            k.expires = parse_wall_time(parts[2]);
        }
        if (parts.size() > 1 && !k.expires) {
            r.report_line(e.line, "key", "text after the digest is malformed",
                          "DIGEST, or DIGEST expires 2027-01-31T00:00:00Z");
        }
        w.keys.push_back(std::move(k));
    }
    for (const auto& e : r.lines("revoked_key")) {
        add_key(r, e, e.value);
        w.revoked_keys.emplace_back(e.value);
    }
}

// The value is never repeated in a fault: an operator may have pasted a key in clear.
void document_parser::add_key(section_reader& r, const ini_entry& e, const std::string& digest) {
    if (!is_key_digest(digest)) {
        r.report_line(e.line, e.key, "value is not a key digest",
                      "64 lower-case hexadecimal digits, as printed by 'chicorygap hash-key'");
        return;
    }
    const auto [it, is_new] = key_places_.emplace(digest, e.key + " at line " + std::to_string(e.line));
    if (!is_new) {
        r.report_line(e.line, e.key, "digest repeated; first as " + it->second);
    }
}

void document_parser::read_server_kind(section_reader& r, const std::string& name) {
    server_kind k;
    k.name = name;
    k.price = r.real("price", {0, 1e6});
    k.reclaimable = r.flag("reclaimable", false);
    k.slots = narrow<std::uint32_t>(r.number("slots", {1, 100'000}, 8));
    for (const auto& e : r.lines("zone")) {
        read_zone(r, e, k);
    }
    document_.server_kinds.push_back(std::move(k));
}

void document_parser::read_zone(section_reader& r, const ini_entry& e, server_kind& k) {
    const auto parts = words(e.value);
    const auto minimum = parts.size() == 3 ? server_count(parts[1]) : std::nullopt;
    const auto maximum = parts.size() == 3 ? server_count(parts[2]) : std::nullopt;
    if (!minimum || !maximum || !is_name(parts[0])) {
        r.report_line(e.line, "zone", "value is malformed",
                      "ZONE MINIMUM MAXIMUM with 0 to " + std::to_string(max_servers) + " servers");
        return;
    }
    if (*minimum > *maximum) {
        r.report_line(e.line, "zone", "minimum is larger than maximum");
    }
    for (const auto& z : k.zones) {
        if (z.zone.str() == parts[0]) {
            r.report_line(e.line, "zone", "zone '" + parts[0] + "' repeated");
        }
    }
    k.zones.push_back({base::zone_id{parts[0]}, *minimum, *maximum});
}

}  // namespace chicorygap::document
