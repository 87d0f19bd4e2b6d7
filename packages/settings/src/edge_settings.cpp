#include "settings/edge_settings.h"

#include "base/error.h"
#include "document/ini.h"
#include "document/section_reader.h"
#include "settings_file.h"

#include <algorithm>
#include <array>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace chicorygap::settings {

namespace {

using document::section_reader;

constexpr const char* address_rule = "IP address and port, for example 127.0.0.1:8080";
constexpr std::size_t bytes_per_mib = std::size_t{1024} * 1024;
/// Upper limit on every time in a settings file.
constexpr double max_seconds = 86'400;
/// Upper limit on the price of the traffic between zones: a request of 1 kB costs 1 s.
constexpr double max_byte_price_ms_per_mb = 1'000'000;
constexpr base::duration default_configuration_deadline = std::chrono::seconds{2};

net::address read_address(section_reader& r, const std::string& key) {
    const auto text = r.text(key);
    const auto a = net::parse_address(text);
    if ((!a || a->port == 0) && r.has(key)) {
        r.report(key, "'" + text + "' is not an address", address_rule);
    }
    return a.value_or(net::address{});
}

/// @return true if the key is absent or its value is empty. Templates of the platform leave a value empty if
/// the platform provides none.
bool has_no_value(section_reader& r, const std::string& key) {
    const auto lines = r.lines(key);
    return std::all_of(lines.begin(), lines.end(), [](const auto& e) { return e.value.empty(); });
}

std::vector<std::string> read_list(section_reader& r, const std::string& key) {
    return has_no_value(r, key) ? std::vector<std::string>{} : r.list(key);
}

/// Reads a number of seconds.
base::duration read_seconds(section_reader& r, const std::string& key) {
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>{r.real(key, {0, max_seconds})});
}

/// Reads a number of milliseconds.
base::duration read_milliseconds(section_reader& r, const std::string& key) {
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double, std::milli>{r.real(key, {0, max_seconds * 1000})});
}

void read_daemon(section_reader& r, edge_settings& s) {
    s.vm = base::vm_id{r.text("vm")};
    s.zone = base::zone_id{r.text("zone")};
    const auto level = r.choice("log_level", {"debug", "info", "warning", "error"}, 1);
    s.log_level = static_cast<base::log_level>(level);
    if (s.vm.empty() || s.zone.empty()) {
        r.report("vm", "vm and zone must not be empty");
    }
}

void read_listen(section_reader& r, edge_settings& s) {
    s.callers = read_address(r, "callers");
    s.readiness = read_address(r, "readiness");
    s.operators = read_address(r, "operators");
    s.peers = read_address(r, "peers");
}

void read_fleet(section_reader& r, edge_settings& s) {
    for (const auto& text : read_list(r, "seeds")) {
        if (const auto a = net::parse_address(text); a && a->port != 0) {
            s.seeds.push_back(*a);
        } else {
            r.report("seeds", "'" + text + "' is not an address", address_rule);
        }
    }
}

void read_platform(section_reader& r, edge_settings& s) {
    s.store = read_address(r, "store");
    if (r.has("orders")) {
        s.cloud_api = read_address(r, "orders");
    }
    s.contracts = read_list(r, "contracts");
    r.lines("orders");  // marks the key as known even if it is absent
}

void read_limits(section_reader& r, edge_settings& s) {
    s.processor_share = r.real("processor_share", {0.01, 1024}, 1);
    s.link_mbits = has_no_value(r, "link_mbits") ? 0 : r.real("link_mbits", {0, 10'000'000});
    s.memory_limit_bytes = r.number("memory_mib", {16, 1'048'576}) * bytes_per_mib;
    s.max_descriptors = r.number("descriptors", {64, 10'000'000});
}

void read_times(section_reader& r, edge_settings& s) {
    s.stop_timeout = read_seconds(r, "stop_seconds");
    s.drain_time = read_milliseconds(r, "drain_milliseconds");
    s.configuration_deadline = has_no_value(r, "configuration_milliseconds")
                                   ? default_configuration_deadline
                                   : read_milliseconds(r, "configuration_milliseconds");
    if (!has_no_value(r, "evacuation_milliseconds")) {
        s.evacuation_deadline = read_milliseconds(r, "evacuation_milliseconds");
    }
}

void read_retries(section_reader& r, edge_settings& s) {
    s.retries.ratio = r.real("ratio", {0, 10});
    s.retries.extra_retries = r.real("allowance", {0, 1'000'000});
    s.retries.window = read_seconds(r, "window_seconds");
}

void read_servers(section_reader& r, edge_settings& s) {
    const auto read = [&r](const char* key) {
        return has_no_value(r, key) ? std::nullopt : std::optional{r.real(key, {0, 1'000'000})};
    };
    const auto overage = read("cold_overage");
    const auto slack = read("cold_slack");
    if (overage && slack) {
        s.cold_servers = cold_server_bounds{*overage, *slack};
    }
}

void read_duties(section_reader& r, edge_settings& s) {
    s.duties.lease_duration = read_milliseconds(r, "lease_milliseconds");
    s.duties.usage_window = read_seconds(r, "usage_window_seconds");
    s.duties.usage_report_deadline = read_seconds(r, "usage_due_seconds");
    s.duties.max_calls_per_s =
        has_no_value(r, "calls_per_second") ? 0 : r.real("calls_per_second", {0, 1'000'000});
    const auto held = read_list(r, "held");
    const auto holds = [&held](const char* name) {
        return std::find(held.begin(), held.end(), name) != held.end();
    };
    s.reports_usage = holds("usage");
    s.requests_capacity = holds("autoscale");
}

void read_zones(section_reader& r, edge_settings& s) {
    const std::string key = "byte_price_ms_per_mb";
    if (!has_no_value(r, key)) {
        s.zone_byte_price_ms_per_mb = r.real(key, {0, max_byte_price_ms_per_mb});
    }
}

}  // namespace

edge_parse_result parse_edge(const std::string& text, const std::string& file) {
    using reader = std::function<void(section_reader&, edge_settings&)>;
    const std::array<std::pair<const char*, reader>, 10> sections{{{"daemon", read_daemon},
                                                                   {"listen", read_listen},
                                                                   {"fleet", read_fleet},
                                                                   {"platform", read_platform},
                                                                   {"limits", read_limits},
                                                                   {"times", read_times},
                                                                   {"retries", read_retries},
                                                                   {"servers", read_servers},
                                                                   {"duties", read_duties},
                                                                   {"zones", read_zones}}};
    const auto ini = document::read_ini(text, file);
    auto faults = ini.faults;
    edge_settings s;
    for (const auto& [name, read] : sections) {
        const auto it = std::find_if(ini.sections.begin(), ini.sections.end(),
                                     [name = name](const auto& x) { return x.name == name; });
        const document::ini_section absent{name, 0, {}};
        section_reader r{it == ini.sections.end() ? absent : *it, file, faults};
        read(r, s);
        r.finish();
    }
    if (!faults.empty()) {
        return {std::nullopt, std::move(faults)};
    }
    return {std::move(s), {}};
}

edge_settings load_edge(const std::string& path) {
    auto result = parse_edge(read_settings_file(path), path);
    if (!result.settings) {
        throw base::error{base::result_code::settings_invalid, document::to_string(result.faults)};
    }
    return *std::move(result.settings);
}

}  // namespace chicorygap::settings
