#include "sharing/beacon.h"

#include "beacon.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <cmath>
#include <exception>
#include <limits>
#include <utility>

namespace chicorygap::sharing {

namespace {

/// Largest message that is decoded, in words of eight bytes. A valid beacon in one datagram does not unpack
/// to more.
constexpr std::uint64_t max_message_words = std::uint64_t{64} * 1024;
/// Requests in a thousand seconds at one request a second.
constexpr double per_ks = 1000;

void write_loads(const service_loads& loads, capnp::List<wire::ServiceLoad>::Builder services) {
    unsigned i = 0;
    for (const auto& [id, load] : loads) {
        auto service = services[i++];
        service.setService(id.str().c_str());
        service.setWaiting(load.waiting);
        service.setLatePauses(load.token_gaps_exceeded);
        service.setStreams(load.short_prompt_streams);
        service.setTokensPerMs(load.prefill_tokens_per_ms);
        auto servers = service.initServers(static_cast<unsigned>(load.servers.size()));
        unsigned k = 0;
        for (const auto& s : load.servers) {
            auto server = servers[k++];
            server.setServer(s.server.str().c_str());
            server.setRunning(s.running);
            server.setMemoryTokens(static_cast<std::uint64_t>(std::max<std::int64_t>(0, s.kv_cache_tokens)));
            server.setUnreadTokens(
                static_cast<std::uint64_t>(std::max<std::int64_t>(0, s.pending_prefill_tokens)));
            server.setPromptTokensPerS(s.prefill_tokens_per_s);
            server.setQueued(s.queue_reported);
        }
    }
}

using window_counts = std::map<metering::window_number, metering::workspace_counts>;

void write_windows(const window_counts& from, capnp::List<wire::WindowCounts>::Builder windows) {
    unsigned i = 0;
    for (const auto& [number, counts] : from) {
        auto window = windows[i++];
        window.setWindow(static_cast<std::uint64_t>(number));
        auto list = window.initCounts(static_cast<unsigned>(counts.size()));
        unsigned k = 0;
        for (const auto& [workspace, n] : counts) {
            auto entry = list[k++];
            entry.setWorkspace(workspace.str().c_str());
            entry.setRequests(static_cast<std::uint32_t>(n));
        }
    }
}

std::uint64_t to_ms(base::duration d) {
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(d).count()));
}

/// @return the duration; one that is too long is limited.
base::duration from_ms(std::uint64_t ms) {
    const auto limit = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(base::longest_stored_duration).count());
    return std::chrono::milliseconds{static_cast<std::int64_t>(std::min(ms, limit))};
}

void write_crash_report(const crash_guard::crash_report& r, wire::Beacon::Builder& out) {
    auto crashes = out.initCrashes(static_cast<unsigned>(r.crashes.size()));
    for (unsigned i = 0; i < crashes.size(); ++i) {
        const auto& from = r.crashes[i];
        crashes[i].setPart(from.part);
        crashes[i].setServer(from.server);
        crashes[i].setDepth(from.depth);
        crashes[i].setProgress(static_cast<std::uint8_t>(from.progress));
        crashes[i].setAgeMs(to_ms(from.age));
        crashes[i].setUnconfirmed(!from.confirmed);
        crashes[i].setLengthMs(static_cast<std::uint32_t>(to_ms(from.length)));
        crashes[i].setInstance(from.instance);
    }
    auto ends = out.initServerEnds(static_cast<unsigned>(r.ends.size()));
    for (unsigned i = 0; i < ends.size(); ++i) {
        ends[i].setInstance(r.ends[i].instance);
        ends[i].setAgeMs(static_cast<std::uint32_t>(to_ms(r.ends[i].age)));
    }
    auto successes = out.initSuccesses(static_cast<unsigned>(r.successes.size()));
    for (unsigned i = 0; i < successes.size(); ++i) {
        successes[i].setPart(r.successes[i].part);
        successes[i].setAgeMs(to_ms(r.successes[i].age));
    }
    auto verdicts = out.initVerdicts(static_cast<unsigned>(r.verdicts.size()));
    for (unsigned i = 0; i < verdicts.size(); ++i) {
        const auto& from = r.verdicts[i];
        verdicts[i].setPart(from.part);
        verdicts[i].setNumber(from.number);
        verdicts[i].setQuarantined(from.quarantined);
        verdicts[i].setAgeMs(to_ms(from.age));
        verdicts[i].setPeriodMs(to_ms(from.period));
    }
}

crash_guard::crash_report read_crash_report(wire::Beacon::Reader in) {
    crash_guard::crash_report out;
    for (const auto c : in.getCrashes()) {
        const auto progress = static_cast<crash_guard::attempt_progress>(std::min<std::uint8_t>(
            c.getProgress(), static_cast<std::uint8_t>(crash_guard::attempt_progress::beginning)));
        out.crashes.push_back({.part = c.getPart(),
                               .server = c.getServer(),
                               .instance = c.getInstance() != 0 ? c.getInstance() : c.getServer(),
                               .depth = c.getDepth(),
                               .progress = progress,
                               .length = from_ms(c.getLengthMs()),
                               .confirmed = !c.getUnconfirmed(),
                               .age = from_ms(c.getAgeMs())});
    }
    for (const auto e : in.getServerEnds()) {
        out.ends.push_back({e.getInstance(), from_ms(e.getAgeMs())});
    }
    for (const auto s : in.getSuccesses()) {
        out.successes.push_back({s.getPart(), from_ms(s.getAgeMs())});
    }
    for (const auto v : in.getVerdicts()) {
        out.verdicts.push_back({v.getPart(), v.getNumber(), v.getQuarantined(), from_ms(v.getAgeMs()),
                                from_ms(v.getPeriodMs())});
    }
    return out;
}

void write_signals(const backpressure::signal_report& r, wire::Beacon::Builder& out) {
    auto limits = out.initLimits(static_cast<unsigned>(r.limits.size()));
    for (unsigned i = 0; i < limits.size(); ++i) {
        const auto& from = r.limits[i];
        limits[i].setServer(from.server);
        limits[i].setStatement(from.statement);
        limits[i].setRequestsPerKs(static_cast<std::uint32_t>(std::min(
            std::round(from.rate * per_ks), static_cast<double>(std::numeric_limits<std::uint32_t>::max()))));
        limits[i].setRaises(static_cast<std::uint8_t>(from.raises));
        limits[i].setAgeMs(static_cast<std::uint32_t>(
            std::min<std::uint64_t>(to_ms(from.age), std::numeric_limits<std::uint32_t>::max())));
    }
    auto leaving = out.initLeavingServers(static_cast<unsigned>(r.leaving.size()));
    for (unsigned i = 0; i < leaving.size(); ++i) {
        leaving.set(i, r.leaving[i]);
    }
    auto demands = out.initDemands(static_cast<unsigned>(r.demands.size()));
    unsigned i = 0;
    for (const auto& [service, rate] : r.demands) {
        demands[i].setService(service.str().c_str());
        demands[i++].setRequestsPerS(static_cast<float>(rate));
    }
}

/// Leaves out demands that are no amounts.
backpressure::signal_report read_signals(wire::Beacon::Reader in) {
    const auto is_amount = [](double x) { return std::isfinite(x) && x >= 0; };
    backpressure::signal_report out;
    for (const auto l : in.getLimits()) {
        if (l.getStatement() != 0) {
            out.limits.push_back({l.getServer(), l.getStatement(), l.getRequestsPerKs() / per_ks,
                                  l.getRaises(), from_ms(l.getAgeMs())});
        }
    }
    for (const auto key : in.getLeavingServers()) {
        out.leaving.push_back(key);
    }
    for (const auto d : in.getDemands()) {
        if (is_amount(d.getRequestsPerS())) {
            out.demands.emplace(base::service_id{d.getService().cStr()}, d.getRequestsPerS());
        }
    }
    return out;
}

service_loads read_loads(capnp::List<wire::ServiceLoad>::Reader in) {
    service_loads out;
    for (const auto service : in) {
        auto& load = out[base::service_id{service.getService().cStr()}];
        load.waiting = service.getWaiting();
        load.token_gaps_exceeded = service.getLatePauses();
        load.short_prompt_streams = service.getStreams();
        load.prefill_tokens_per_ms = service.getTokensPerMs();
        for (const auto s : service.getServers()) {
            load.servers.push_back({.server = base::backend_server_id{s.getServer().cStr()},
                                    .running = s.getRunning(),
                                    .kv_cache_tokens = static_cast<std::int64_t>(s.getMemoryTokens()),
                                    .pending_prefill_tokens = static_cast<std::int64_t>(s.getUnreadTokens()),
                                    .prefill_tokens_per_s = s.getPromptTokensPerS(),
                                    .queue_reported = s.getQueued()});
        }
    }
    return out;
}

void read_windows(capnp::List<wire::WindowCounts>::Reader in, window_counts& out) {
    for (const auto window : in) {
        auto& counts = out[metering::window_number{window.getWindow()}];
        for (const auto entry : window.getCounts()) {
            counts[base::workspace_id{entry.getWorkspace().cStr()}] = entry.getRequests();
        }
    }
}

beacon read(wire::Beacon::Reader in) {
    beacon b;
    b.vm = base::vm_id{in.getVm().cStr()};
    b.zone = base::zone_id{in.getZone().cStr()};
    b.incarnation = in.getIncarnation();
    b.sequence = in.getSequence();
    b.peer_address = net::parse_address(in.getPeerAddress().cStr()).value_or(net::address{});
    b.operator_address = net::parse_address(in.getOperatorAddress().cStr()).value_or(net::address{});
    b.wall_time = base::wall_time{std::chrono::milliseconds{in.getWallTimeMs()}};
    b.configuration_version = in.getConfigurationVersion();
    b.store_era = in.getStoreEra();
    b.largest_fleet = in.getLargestFleet();
    b.largest_fleet_age = from_ms(in.getLargestFleetAgeMs());
    b.servers_revision = in.getServersRevision();
    b.servers_final_revision = in.getServersFinalRevision();
    b.evacuations = {in.getEvacuationsEra(), in.getEvacuationsRevision()};
    b.stopping = in.getStopping();
    b.lease_term = in.getLeaseTerm();
    b.processor_share = in.getProcessorShare();
    b.link_mbits = in.getLinkMbits();
    b.services = read_loads(in.getServices());
    b.zone_services = read_loads(in.getZoneServices());
    b.zone_daemons = in.getZoneDaemons();
    b.zone_lease_term = in.getZoneLeaseTerm();
    b.zone_lease_address = net::parse_address(in.getZoneLeaseAddress().cStr()).value_or(net::address{});
    b.store_unreachable = in.getStoreUnreachable();
    for (const auto contact : in.getContacts()) {
        if (auto a = net::parse_address(contact.cStr())) {
            b.contacts.push_back(*std::move(a));
        }
    }
    b.crashes = read_crash_report(in);
    b.signals = read_signals(in);
    read_windows(in.getWindows(), b.windows);
    read_windows(in.getStoredWindows(), b.stored_windows);
    return b;
}

/// @return true if all shares, speeds and rates are amounts. They are ordered and summed up, which other
/// values do not allow.
bool holds_amounts(const beacon& b) {
    const auto is_amount = [](float x) { return std::isfinite(x) && x >= 0; };
    const auto are_amounts = [&](const service_loads& loads) {
        return std::all_of(loads.begin(), loads.end(),
                           [&](const auto& l) { return is_amount(l.second.prefill_tokens_per_ms); });
    };
    return is_amount(b.processor_share) && is_amount(b.link_mbits) && are_amounts(b.services) &&
           are_amounts(b.zone_services);
}

}  // namespace

std::string encode(const beacon& b) {
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<wire::Beacon>();
    out.setVm(b.vm.str().c_str());
    out.setZone(b.zone.str().c_str());
    out.setIncarnation(b.incarnation);
    out.setSequence(b.sequence);
    out.setPeerAddress(net::to_string(b.peer_address).c_str());
    out.setOperatorAddress(net::to_string(b.operator_address).c_str());
    out.setWallTimeMs(b.wall_time.time_since_epoch().count());
    out.setConfigurationVersion(b.configuration_version);
    out.setStoreEra(b.store_era);
    out.setLargestFleet(b.largest_fleet);
    out.setLargestFleetAgeMs(static_cast<std::uint32_t>(to_ms(b.largest_fleet_age)));
    out.setServersRevision(b.servers_revision);
    out.setServersFinalRevision(b.servers_final_revision);
    out.setEvacuationsEra(b.evacuations.era);
    out.setEvacuationsRevision(b.evacuations.revision);
    out.setStopping(b.stopping);
    out.setLeaseTerm(b.lease_term);
    out.setProcessorShare(b.processor_share);
    out.setLinkMbits(b.link_mbits);
    write_loads(b.services, out.initServices(static_cast<unsigned>(b.services.size())));
    write_loads(b.zone_services, out.initZoneServices(static_cast<unsigned>(b.zone_services.size())));
    out.setZoneDaemons(b.zone_daemons);
    out.setZoneLeaseTerm(b.zone_lease_term);
    if (b.zone_lease_term != 0) {
        out.setZoneLeaseAddress(net::to_string(b.zone_lease_address).c_str());
    }
    out.setStoreUnreachable(b.store_unreachable);
    auto contacts = out.initContacts(static_cast<unsigned>(b.contacts.size()));
    for (unsigned i = 0; i < contacts.size(); ++i) {
        contacts.set(i, net::to_string(b.contacts[i]).c_str());
    }
    write_crash_report(b.crashes, out);
    write_signals(b.signals, out);
    write_windows(b.windows, out.initWindows(static_cast<unsigned>(b.windows.size())));
    write_windows(b.stored_windows, out.initStoredWindows(static_cast<unsigned>(b.stored_windows.size())));
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, message);
    const auto bytes = stream.getArray();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<beacon> decode(std::string_view bytes) {
    try {
        const kj::ArrayPtr<const kj::byte> array{reinterpret_cast<const kj::byte*>(bytes.data()),
                                                 bytes.size()};
        kj::ArrayInputStream stream{array};
        capnp::ReaderOptions options;
        options.traversalLimitInWords = max_message_words;
        capnp::PackedMessageReader message{stream, options};
        auto b = read(message.getRoot<wire::Beacon>());
        return holds_amounts(b) ? std::optional{std::move(b)} : std::nullopt;
    } catch (const kj::Exception&) {
        return std::nullopt;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}  // namespace chicorygap::sharing
