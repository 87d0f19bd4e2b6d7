#include "membership_agent.h"

#include "base/log.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace chicorygap::daemon_app {

namespace {

constexpr const char* log_component = "membership";
// The local state is sent with probes, of which one leaves per second. An update every 500 ms is sufficient.
constexpr std::uint64_t ticks_per_local_state = 5;
// One digest per second to a random peer reaches every member of a zone with 90 daemons within a few rounds.
constexpr std::uint64_t ticks_per_digest = 10;
// 40 entries of 24 bytes keep a digest below 1 KB; a larger set is sent in rotation.
constexpr std::size_t max_digest_entries = 40;

membership::membership_options make_options(const settings::daemon_settings& s, std::uint64_t incarnation) {
    membership::membership_options o;
    o.self.id = s.vm;
    o.self.address = net::to_string(s.peers);
    o.self.zone = s.zone;
    o.self.incarnation = incarnation;
    return o;
}

std::vector<membership::seed> static_seeds(const settings::daemon_settings& s) {
    std::vector<membership::seed> out;
    for (const auto& a : s.seeds) {
        out.push_back({net::to_string(a), {}});
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

membership_agent::membership_agent(const settings::daemon_settings& s, gateway::registry& r,
                                   configuration_agent& c, ports::vm_list* vms, base::random_function random,
                                   std::uint64_t incarnation, peer::handlers other_handlers)
    : settings_{s},
      registry_{r},
      configuration_{c},
      vm_list_{vms},
      random_{random},
      gossip_{make_options(s, incarnation), std::move(random), base::boot_clock::now,
              [this](const membership::action& a) { on_change(a); }} {
    other_handlers.probe = [this](const membership::message& m) { return gossip_.receive(m); };
    other_handlers.probe_indirect = other_handlers.probe;
    other_handlers.distribute = [this](const distribution::member& from, const distribution::message& m) {
        configuration_.post(distribution::message_received{from, m});
    };
    peer::node_options o;
    o.listen = net::to_string(s.peers);
    o.call_timeout = s.timeouts.peer;
    node_ = std::make_unique<peer::node>(o, std::move(other_handlers));
    gossip_.attach(*node_);
    configuration_.set_send_function(
        [this](const base::vm_id& to, const distribution::message& m, std::function<void()> failed) {
            send_configuration_message(to, m, std::move(failed));
        });
    gossip_.handle(membership::seeds_changed{static_seeds(s)});
}

membership_agent::~membership_agent() {
    configuration_.set_send_function({});
    node_.reset();
}

void membership_agent::tick() {
    if (tick_count_++ % ticks_per_local_state == 0) {
        gossip_.handle(make_local_state());
    }
    gossip_.handle(membership::tick{});
    if (tick_count_ % ticks_per_digest == 0) {
        send_digest();
    }
}

void membership_agent::refresh_seeds() {
    auto seeds = static_seeds(settings_);
    if (vm_list_ != nullptr) {
        for (const auto& v : vm_list_->vms(settings_.timeouts.platform)) {
            if (v.state == ports::vm_state::live && v.id != settings_.vm) {
                seeds.push_back({v.peer_address, v.zone});
            }
        }
    }
    gossip_.handle(membership::seeds_changed{std::move(seeds)});
}

void membership_agent::leave() {
    gossip_.handle(membership::leave{});
}

std::string membership_agent::address_of(const base::vm_id& vm) const {
    for (const auto& m : known_peers()) {
        if (m.id == vm) {
            return m.address;
        }
    }
    return vm == settings_.vm ? net::to_string(settings_.peers) : std::string{};
}

std::vector<membership::member> membership_agent::known_members() const {
    std::vector<membership::member> out;
    gossip_.read([&out](const membership::membership_protocol& f) {
        out = f.live_members();
        const auto contacts = f.contacts();
        out.insert(out.end(), contacts.begin(), contacts.end());
    });
    return out;
}

std::vector<membership::member> membership_agent::known_peers() const {
    auto out = known_members();
    std::erase_if(out, [this](const membership::member& m) { return m.id == settings_.vm; });
    return out;
}

void membership_agent::on_change(const membership::action& a) {
    if (const auto* m = std::get_if<membership::member_changed>(&a)) {
        execute(*m);
    } else if (const auto* z = std::get_if<membership::zone_changed>(&a)) {
        execute(*z);
    } else if (const auto* l = std::get_if<membership::peer_loads_received>(&a)) {
        execute(*l);
    } else if (const auto* p = std::get_if<membership::pressure_changed>(&a)) {
        execute(*p);
    }
}

void membership_agent::execute(const membership::member_changed& a) {
    base::log_line{base::log_level::info, log_component, "Member state changed."}
        .field("vm", a.subject.id.str())
        .field("state", state_name(a.subject.state));
    publish_members();
}

void membership_agent::execute(const membership::zone_changed& a) {
    base::log_line{base::log_level::info, log_component,
                   a.reachable ? "Zone became reachable." : "Zone became unreachable."}
        .field("zone", a.zone.str());
    publish_members();
}

void membership_agent::send_configuration_message(const base::vm_id& to, const distribution::message& m,
                                                  std::function<void()> failed) {
    const auto address = address_of(to);
    if (address.empty()) {
        failed();
        return;
    }
    const distribution::member self{settings_.vm, settings_.zone};
    node_->distribute(address, self, m, [failed = std::move(failed)](const peer::outcome<peer::done>& o) {
        if (!o.value) {
            failed();
        }
    });
}

void membership_agent::send_digest() {
    const auto peers = known_peers();
    if (peers.empty()) {
        return;
    }
    const auto& to = peers[base::pick(random_, peers.size())];
    send_configuration_message(to.id, configuration_.digest(max_digest_entries), [] {});
}

void membership_agent::execute(const membership::peer_loads_received& a) {
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

void membership_agent::execute(const membership::pressure_changed& a) {
    if (const auto service = registry_.find(a.service)) {
        service->handle(admission::pressure_changed{base::tier{a.lowest_admitted_tier}});
    }
}

void membership_agent::publish_members() {
    distribution::members_changed members;
    routing::peers_changed peers;
    for (const auto& m : known_members()) {
        peers.peers.push_back({m.id, m.zone});
        if (m.id != settings_.vm) {
            members.members.push_back({m.id, m.zone});
        }
    }
    for (const auto& service : registry_.all()) {
        service->handle(routing::event{peers});
    }
    configuration_.handle(members);
}

membership::local_state membership_agent::make_local_state() const {
    membership::local_state out;
    for (const auto& service : registry_.all()) {
        for (const auto& l : service->load_digest(membership::max_reported_loads)) {
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
