#include "encoding.h"

#include "base/error.h"
#include "text_field.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <string>

namespace chicorygap::peer {

namespace {

template <typename Enum>
Enum checked(std::uint8_t value, Enum last) {
    if (value > static_cast<std::uint8_t>(last)) {
        throw base::error{base::result_code::body_malformed, "peer message: enumerator out of range"};
    }
    return static_cast<Enum>(value);
}

std::uint32_t to_ms(base::duration d) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
    constexpr auto most = static_cast<std::int64_t>(std::numeric_limits<std::uint32_t>::max());
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, most));
}

void encode(const membership::member& m, wire::Member::Builder out) {
    out.setId(to_field(m.id.str()));
    out.setAddress(to_field(m.address));
    out.setZone(to_field(m.zone.str()));
    out.setIncarnation(m.incarnation);
    out.setSequence(m.sequence);
    out.setState(static_cast<std::uint8_t>(m.state));
}

membership::member decode(wire::Member::Reader in) {
    return {.id = base::vm_id{text(in.getId())},
            .address = text(in.getAddress()),
            .zone = base::zone_id{text(in.getZone())},
            .incarnation = in.getIncarnation(),
            .sequence = in.getSequence(),
            .state = checked(in.getState(), membership::member_state::left)};
}

void encode_services(const membership::message& m, wire::Gossip::Builder out) {
    auto list = out.initServices(static_cast<unsigned>(m.services.size()));
    for (unsigned i = 0; i < list.size(); i++) {
        list[i].setService(to_field(m.services[i].service.str()));
        list[i].setVersion(m.services[i].version);
        list[i].setPressure(m.services[i].lowest_admitted_tier);
        list[i].setPressureAgeMs(to_ms(m.services[i].tier_age));
    }
}

void encode_zones(const membership::message& m, wire::Gossip::Builder out) {
    auto list = out.initZones(static_cast<unsigned>(m.zones.size()));
    for (unsigned i = 0; i < list.size(); i++) {
        list[i].setZone(to_field(m.zones[i].zone.str()));
        list[i].setMembers(m.zones[i].member_count);
        list[i].setAgeMs(to_ms(m.zones[i].age));
    }
}

void encode_loads(const membership::message& m, wire::Gossip::Builder out) {
    const auto n = static_cast<unsigned>(m.loads.size());
    auto servers = out.initServers(n);
    auto in_flight = out.initInFlight(n);
    for (unsigned i = 0; i < n; i++) {
        servers.set(i, m.loads[i].server);
        in_flight.set(i, m.loads[i].in_flight);
    }
}

}  // namespace

void encode(const membership::message& m, wire::Gossip::Builder out) {
    out.setKind(static_cast<std::uint8_t>(m.kind));
    out.setNumber(m.number);
    encode(m.sender, out.initSender());
    out.setListHash(m.member_list_hash);
    if (!m.target.empty()) {
        out.setTarget(to_field(m.target));
    }
    auto updates = out.initUpdates(static_cast<unsigned>(m.updates.size()));
    for (unsigned i = 0; i < updates.size(); i++) {
        encode(m.updates[i], updates[i]);
    }
    encode_zones(m, out);
    encode_services(m, out);
    if (!m.loads.empty()) {
        encode_loads(m, out);
    }
}

membership::message decode(wire::Gossip::Reader in) {
    membership::message m{.kind = checked(in.getKind(), membership::message_kind::leave_notice),
                          .number = in.getNumber(),
                          .sender = decode(in.getSender()),
                          .member_list_hash = in.getListHash(),
                          .target = text(in.getTarget())};
    for (const auto u : in.getUpdates()) {
        m.updates.push_back(decode(u));
    }
    for (const auto z : in.getZones()) {
        m.zones.push_back(
            {base::zone_id{text(z.getZone())}, z.getMembers(), std::chrono::milliseconds{z.getAgeMs()}});
    }
    for (const auto s : in.getServices()) {
        m.services.push_back({base::service_id{text(s.getService())}, s.getVersion(), s.getPressure(),
                              std::chrono::milliseconds{s.getPressureAgeMs()}});
    }
    const auto servers = in.getServers();
    const auto in_flight = in.getInFlight();
    for (unsigned i = 0; i < std::min(servers.size(), in_flight.size()); i++) {
        m.loads.push_back({servers[i], in_flight[i]});
    }
    return m;
}

void encode(const usage::counts& c, wire::UsageCounts::Builder out) {
    out.setRequests(c.requests);
    out.setPromptTokens(c.prompt_tokens);
    out.setOutputTokens(c.output_tokens);
}

usage::counts decode(wire::UsageCounts::Reader in) {
    return {in.getRequests(), in.getPromptTokens(), in.getOutputTokens()};
}

void encode(const usage::usage_report& r, wire::UsageReport::Builder out) {
    out.setDaemon(to_field(r.from.daemon));
    out.setIncarnation(r.from.incarnation);
    out.setSequence(r.sequence);
    out.setWindow(r.window);
    auto list = out.initRows(static_cast<unsigned>(r.rows.size()));
    for (unsigned i = 0; i < list.size(); i++) {
        const auto& row = r.rows[i];
        list[i].setService(to_field(row.key.service.str()));
        list[i].setWorkspace(to_field(row.key.workspace.str()));
        list[i].setClass(to_field(row.key.traffic_class.str()));
        encode(row.total, list[i].initTotal());
        encode(row.opening, list[i].initOpening());
    }
}

usage::usage_report decode(wire::UsageReport::Reader in) {
    usage::usage_report r{{text(in.getDaemon()), in.getIncarnation()}, in.getSequence(), in.getWindow(), {}};
    for (const auto row : in.getRows()) {
        r.rows.push_back(
            {{base::service_id{text(row.getService())}, base::workspace_id{text(row.getWorkspace())},
              base::class_id{text(row.getClass())}},
             decode(row.getTotal()),
             decode(row.getOpening())});
    }
    return r;
}

void encode(const claim_request& r, wire::Claim::Builder out) {
    out.setRecord(to_field(r.record));
    out.setDigest(to_field(r.digest));
}

claim_request decode(wire::Claim::Reader in) {
    return {text(in.getRecord()), text(in.getDigest())};
}

void encode(const outcome_report& r, wire::Outcome::Builder out) {
    out.setRecord(to_field(r.record));
    out.setStatus(r.status);
    out.setBody(to_field(r.body));
    out.setWhole(r.whole);
}

outcome_report decode(wire::Outcome::Reader in) {
    return {text(in.getRecord()), in.getStatus(), text(in.getBody()), in.getWhole()};
}

void encode(const claim_reply& r, wire::ClaimReply::Builder out) {
    out.setVerdict(static_cast<std::uint8_t>(r.result));
    out.setRunState(static_cast<std::uint8_t>(r.state));
    out.setStatus(r.status);
    out.setBody(to_field(r.body));
}

claim_reply decode(wire::ClaimReply::Reader in) {
    return {checked(in.getVerdict(), claim_reply::verdict::unavailable),
            checked(in.getRunState(), base::run_state::unknown), in.getStatus(), text(in.getBody())};
}

}  // namespace chicorygap::peer
