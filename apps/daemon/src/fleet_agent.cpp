#include "fleet_agent.h"

#include "base/log.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace chicorygap::daemon_app {

namespace {

constexpr const char* part = "membership";
// One probe leaves per second, so that a fresher state than half a second would hardly be seen.
constexpr std::uint64_t ticks_per_local_state = 5;

membership::fleet_options make_options(const settings::daemon_settings& s, std::uint64_t incarnation) {
    membership::fleet_options o;
    o.self.id = s.vm;
    o.self.address = settings::to_string(s.peers);
    o.self.zone = s.zone;
    o.self.incarnation = incarnation;
    return o;
}

std::vector<membership::seed> static_seeds(const settings::daemon_settings& s) {
    std::vector<membership::seed> out;
    for (const auto& a : s.seeds) {
        out.push_back({settings::to_string(a), {}});
    }
    return out;
}

std::string_view state_name(membership::member_state s) {
    switch (s) {
        case membership::member_state::alive:
            return "alive";
        case membership::member_state::suspect:
            return "suspect";
        case membership::member_state::dead:
            return "dead";
        case membership::member_state::left:
            break;
    }
    return "left";
}

}  // namespace

fleet_agent::fleet_agent(const settings::daemon_settings& s, gateway::registry& r, configuration_agent& c,
                         platform::vm_list* vms, base::random_function random, std::uint64_t incarnation,
                         peer::handlers extra)
    : settings_{s},
      registry_{r},
      configuration_{c},
      vms_{vms},
      fleet_{make_options(s, incarnation), std::move(random), base::boot_clock::now()} {
    extra.probe = [this](const membership::message& m) { return answer(m); };
    extra.probe_indirect = extra.probe;
    peer::node_options o;
    o.listen = settings::to_string(s.peers);
    o.call_timeout = s.timeouts.peer;
    node_ = std::make_unique<peer::node>(o, std::move(extra));
    apply(membership::seeds_changed{static_seeds(s)});
}

fleet_agent::~fleet_agent() {
    node_.reset();
}

void fleet_agent::tick() {
    if (ticks_++ % ticks_per_local_state == 0) {
        apply(make_local_state());
    }
    apply(membership::tick{});
}

void fleet_agent::refresh_seeds() {
    auto seeds = static_seeds(settings_);
    if (vms_ != nullptr) {
        for (const auto& v : vms_->vms(settings_.timeouts.platform)) {
            if (v.state == platform::vm_state::live && v.id != settings_.vm) {
                seeds.push_back({v.peer_address, v.zone});
            }
        }
    }
    apply(membership::seeds_changed{std::move(seeds)});
}

void fleet_agent::leave() {
    apply(membership::leave{});
}

std::string fleet_agent::address_of(const base::vm_id& vm) const {
    const std::lock_guard lock{mutex_};
    for (const auto& list : {fleet_.live_members(), fleet_.contacts()}) {
        for (const auto& m : list) {
            if (m.id == vm) {
                return m.address;
            }
        }
    }
    return {};
}

std::vector<membership::member> fleet_agent::members() const {
    const std::lock_guard lock{mutex_};
    return fleet_.live_members();
}

std::vector<membership::member> fleet_agent::contacts() const {
    const std::lock_guard lock{mutex_};
    return fleet_.contacts();
}

fleet_agent::replies fleet_agent::answer(const membership::message& m) {
    std::vector<membership::action> actions;
    {
        const std::lock_guard lock{mutex_};
        actions = fleet_.handle(membership::received{m}, base::boot_clock::now());
    }
    return run(actions, m.sender.address);
}

void fleet_agent::apply(const membership::event& e) {
    std::vector<membership::action> actions;
    {
        const std::lock_guard lock{mutex_};
        actions = fleet_.handle(e, base::boot_clock::now());
    }
    run(actions, {});
}

fleet_agent::replies fleet_agent::run(const std::vector<membership::action>& actions,
                                      const std::string& asker) {
    replies reply;
    bool members_changed = false;
    for (const auto& a : actions) {
        if (const auto* s = std::get_if<membership::send>(&a)) {
            const bool answers =
                s->content.kind == membership::message_kind::ack && s->address == asker && !reply;
            if (answers) {
                reply = s->content;
            } else {
                send(*s);
            }
        } else if (const auto* m = std::get_if<membership::member_changed>(&a)) {
            members_changed = true;
            base::log_line{base::log_level::info, part, "Member changed."}
                .field("vm", m->subject.id.str())
                .field("state", state_name(m->subject.state));
        } else if (const auto* z = std::get_if<membership::zone_changed>(&a)) {
            members_changed = true;
            base::log_line{base::log_level::info, part,
                           z->reachable ? "Zone is reachable." : "Zone is unreachable."}
                .field("zone", z->zone.str());
        } else if (const auto* l = std::get_if<membership::loads_heard>(&a)) {
            run(*l);
        } else if (const auto* p = std::get_if<membership::pressure_changed>(&a)) {
            run(*p);
        }
    }
    if (members_changed) {
        publish_members();
    }
    return reply;
}

void fleet_agent::send(const membership::send& a) {
    const auto on_reply = [this](peer::outcome<replies> o) {
        if (o.value && *o.value) {
            apply(membership::received{**o.value});
        }
    };
    if (a.content.kind == membership::message_kind::probe_indirect) {
        node_->probe_indirect(a.address, a.content, on_reply);
    } else {
        node_->probe(a.address, a.content, on_reply);
    }
}

void fleet_agent::run(const membership::loads_heard& a) {
    std::unordered_map<std::uint64_t, int> in_flight;
    for (const auto& l : a.loads) {
        in_flight.emplace(l.server, l.in_flight);
    }
    for (const auto& service : registry_.all()) {
        routing::peer_load_reported report{a.peer, {}, {}};
        for (const auto& server : service->servers()) {
            const auto it = in_flight.find(membership::server_hash(server.info.id));
            if (it != in_flight.end()) {
                report.loads.push_back({server.info.id, it->second});
            }
        }
        service->handle(routing::event{std::move(report)});
    }
}

void fleet_agent::run(const membership::pressure_changed& a) {
    if (const auto service = registry_.find(a.service)) {
        service->handle(admission::pressure_changed{base::tier{a.level}});
    }
}

void fleet_agent::publish_members() {
    distribution::members_changed members;
    routing::peers_changed peers;
    for (const auto& list : {this->members(), contacts()}) {
        for (const auto& m : list) {
            peers.peers.push_back({m.id, m.zone});
            if (m.id != settings_.vm) {
                members.members.push_back({m.id, m.zone});
            }
        }
    }
    for (const auto& service : registry_.all()) {
        service->handle(routing::event{peers});
    }
    configuration_.handle(members);
}

membership::local_state fleet_agent::make_local_state() const {
    membership::local_state out;
    for (const auto& service : registry_.all()) {
        for (const auto& l : service->load_digest(membership::max_loads)) {
            const auto n = static_cast<std::uint16_t>(std::min(l.in_flight, 0xffff));
            out.loads.push_back({membership::server_hash(l.server), n});
        }
        const auto status = service->snapshot();
        out.services.push_back(
            {service->current_document()->document().name, 0, status.admission.pressure.level});
    }
    std::ranges::sort(out.loads, std::ranges::greater{}, &membership::server_load::in_flight);
    return out;
}

}  // namespace chicorygap::daemon_app
