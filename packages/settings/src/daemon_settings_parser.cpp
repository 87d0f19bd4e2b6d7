#include "daemon_settings_parser.h"

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace chicorygap::settings {

using namespace std::chrono_literals;
using document::section_reader;

namespace {

constexpr std::array single_sections{"daemon", "listen", "peers", "platform", "limits", "timeouts", "drain"};
constexpr std::string_view server_prefix = "backend_server";
constexpr const char* address_rule = "IP address and port, for example 127.0.0.1:8080 or [::1]:8080";
constexpr const char* allowed_sections =
    "[daemon], [listen], [peers], [platform], [limits], [timeouts], [drain], [backend_server NAME]";
constexpr std::size_t bytes_per_kib = 1024;
constexpr std::size_t bytes_per_mib = 1024 * bytes_per_kib;

bool is_wildcard(const net::address& a) {
    return a.host == "0.0.0.0" || a.host == "::";
}

/// @return true if both addresses can refer to the same socket. Port 0 stands for any free port and does not
/// conflict.
bool addresses_conflict(const net::address& a, const net::address& b) {
    return a.port != 0 && a.port == b.port && (a.host == b.host || is_wildcard(a) || is_wildcard(b));
}

bool is_server_section(const std::string& name) {
    return name == server_prefix || name.starts_with(std::string{server_prefix} + " ");
}

}  // namespace

daemon_settings_parser::daemon_settings_parser(const document::ini_file& ini, const std::string& file)
    : ini_{ini}, file_{file}, faults_{ini.faults} {}

parse_result daemon_settings_parser::parse() {
    read_single_sections();
    read_servers();
    report_unknown_sections();
    check_document_source();
    std::stable_sort(faults_.begin(), faults_.end(),
                     [](const auto& a, const auto& b) { return a.line < b.line; });
    if (!faults_.empty()) {
        return {std::nullopt, std::move(faults_)};
    }
    return {std::move(settings_), {}};
}

void daemon_settings_parser::read_single_sections() {
    const std::array<std::function<void(section_reader&)>, 7> readers{
        [this](section_reader& r) { read_daemon(r); }, [this](section_reader& r) { read_listen(r); },
        [this](section_reader& r) { read_peers(r); },  [this](section_reader& r) { read_platform(r); },
        [this](section_reader& r) { read_limits(r); }, [this](section_reader& r) { read_timeouts(r); },
        [this](section_reader& r) { read_drain(r); },
    };
    for (std::size_t i = 0; i < single_sections.size(); ++i) {
        const auto it = std::find_if(ini_.sections.begin(), ini_.sections.end(),
                                     [&](const auto& s) { return s.name == single_sections[i]; });
        const document::ini_section absent{single_sections[i], 0, {}};
        section_reader r{it == ini_.sections.end() ? absent : *it, file_, faults_};
        readers[i](r);
        r.finish();
    }
}

void daemon_settings_parser::read_daemon(section_reader& r) {
    settings_.vm = base::vm_id{r.name("vm")};
    settings_.zone = base::zone_id{r.name("zone")};
    const auto level = r.choice("log_level", {"debug", "info", "warning", "error"}, 1);
    settings_.log_level = static_cast<base::log_level>(level);
    settings_.document_files = r.list("document_files");
}

net::address daemon_settings_parser::read_address(section_reader& r, const std::string& key,
                                                  bool port_zero_allowed) {
    const auto text = r.text(key);
    const auto a = net::parse_address(text);
    if (!r.has(key) || text.empty()) {
        return {};
    }
    if (!a || (a->port == 0 && !port_zero_allowed)) {
        r.report(key, "'" + text + "' is not an address", address_rule);
    }
    return a.value_or(net::address{});
}

void daemon_settings_parser::read_listen(section_reader& r) {
    settings_.callers = read_address(r, "callers", true);
    settings_.operators = read_address(r, "operators", true);
    settings_.peers = read_address(r, "peers", true);
    check_listen_conflicts(r);
}

void daemon_settings_parser::check_listen_conflicts(section_reader& r) {
    const std::array<std::pair<const char*, const net::address*>, 3> listen_addresses{
        std::pair{"callers", &settings_.callers}, std::pair{"operators", &settings_.operators},
        std::pair{"peers", &settings_.peers}};
    for (std::size_t i = 0; i < listen_addresses.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            if (addresses_conflict(*listen_addresses[i].second, *listen_addresses[j].second)) {
                r.report(listen_addresses[i].first, "address conflicts with " +
                                                        std::string{listen_addresses[j].first} + " = " +
                                                        net::to_string(*listen_addresses[j].second));
            }
        }
    }
}

void daemon_settings_parser::read_peers(section_reader& r) {
    for (const auto& text : r.list("seeds")) {
        const auto a = net::parse_address(text);
        if (!a || a->port == 0) {
            r.report("seeds", "'" + text + "' is not an address", address_rule);
            continue;
        }
        settings_.seeds.push_back(*a);
    }
}

void daemon_settings_parser::read_platform(section_reader& r) {
    if (r.has("address")) {
        settings_.platform = read_address(r, "address", false);
    }
    r.lines("address");  // marks the key as known even if it is absent
}

void daemon_settings_parser::read_limits(section_reader& r) {
    auto& l = settings_.limits;
    l.max_connections = static_cast<std::uint32_t>(r.number("connections", {1, 100'000}, 2'500));
    // 256 KiB limits the stacks of 2,000 open streams to 500 MiB of address space.
    l.thread_stack_bytes = r.number("thread_stack_kib", {64, 8'192}, 256) * bytes_per_kib;
    l.memory_limit_bytes = r.number("memory_mib", {64, 1'048'576}, 512) * bytes_per_mib;
    l.max_header_bytes = r.number("header_kib", {1, 1'024}, 32) * bytes_per_kib;
    l.max_body_bytes = r.number("body_kib", {1, 1'048'576}, 4'096) * bytes_per_kib;
}

void daemon_settings_parser::read_timeouts(section_reader& r) {
    auto& t = settings_.timeouts;
    const document::range<base::duration> allowed{1ms, 1h};
    t.caller_header = r.time("caller_head", allowed, 10s);
    t.caller_idle = r.time("caller_idle", allowed, 60s);
    t.caller_write = r.time("caller_write", allowed, 10s);
    t.platform = r.time("platform", allowed, 2s);
    // The end of each watch shows that the platform is reachable. The detection of isolation needs this
    // evidence at short intervals.
    t.platform_watch = r.time("platform_watch", {100ms, 10s}, 2s);
    t.peer = r.time("peer", allowed, 500ms);
}

void daemon_settings_parser::read_drain(section_reader& r) {
    settings_.drain_delay = r.time("delay", {0s, 10min}, 5s);
    settings_.drain_timeout = r.time("limit", {0s, 24h}, 10min);
}

void daemon_settings_parser::read_servers() {
    for (const auto& s : ini_.sections) {
        if (!is_server_section(s.name)) {
            continue;
        }
        const auto name = s.name.substr(std::min(server_prefix.size() + 1, s.name.size()));
        section_reader r{s, file_, faults_};
        if (!document::is_name(name)) {
            r.report("", "section header must contain exactly one name", "[backend_server NAME]");
        }
        read_server(r, name);
        r.finish();
    }
}

void daemon_settings_parser::read_server(section_reader& r, const std::string& name) {
    static_server s;
    s.id = base::backend_server_id{name};
    s.service = base::service_id{r.name("service")};
    s.zone = base::zone_id{r.name("zone", settings_.zone.str())};
    s.address = read_address(r, "address", false);
    s.kind = r.name("kind", "standard");
    s.reclaimable = r.flag("reclaimable", false);
    s.slots = static_cast<std::uint32_t>(r.number("slots", {1, 100'000}, 8));
    for (const auto* const listen_address : {&settings_.callers, &settings_.operators, &settings_.peers}) {
        if (addresses_conflict(s.address, *listen_address)) {
            r.report("address", "address conflicts with a listen address of the daemon");
        }
    }
    for (const auto& other : settings_.servers) {
        if (other.service == s.service && addresses_conflict(other.address, s.address)) {
            r.report("address", "address conflicts with backend server '" + other.id.str() + "'");
        }
    }
    settings_.servers.push_back(std::move(s));
}

void daemon_settings_parser::report_unknown_sections() {
    for (const auto& s : ini_.sections) {
        const bool known =
            std::find(single_sections.begin(), single_sections.end(), s.name) != single_sections.end();
        if (!known && !is_server_section(s.name)) {
            faults_.push_back({file_, s.line, s.name, "", "unknown section", allowed_sections});
        }
    }
}

// Versions of documents from two sources could not be compared.
void daemon_settings_parser::check_document_source() {
    if (settings_.platform.has_value() == !settings_.document_files.empty()) {
        faults_.push_back({file_, 0, "", "", "exactly one source of documents is required",
                           "[platform] address, or [daemon] document_files"});
    }
}

}  // namespace chicorygap::settings
