#include "membership_protocol_impl.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace chicorygap::membership {

namespace {

// Ticks come every 100 ms; a longer gap means that this daemon was paused and missed acks.
constexpr base::duration pause_threshold = std::chrono::seconds{2};
constexpr std::uint64_t rounds_per_remote_probe = 2;
constexpr std::uint64_t rounds_per_reconnect = 5;
constexpr std::size_t reconnects_without_members = 3;
constexpr std::size_t leave_notice_count = 5;
// A joining daemon probes faster, because each ack carries a part of the member list.
constexpr base::duration min_joining_time = std::chrono::seconds{10};
constexpr base::duration max_joining_time = std::chrono::minutes{1};
constexpr base::duration list_difference_lifetime = std::chrono::seconds{2};
constexpr int joining_probe_rate_factor = 4;
constexpr base::duration min_zone_timeout = std::chrono::seconds{10};

}  // namespace

membership_protocol::impl::impl(membership_options o, base::random_function random, base::time_point now)
    : options_{std::move(o)},
      random_{std::move(random)},
      remote_{options_.self.address, options_.contacts_per_zone},
      next_number_{random_()},
      started_{now},
      last_tick_{now},
      next_round_{now} {}

std::vector<action> membership_protocol::impl::handle(const event& e, base::time_point now) {
    actions_.clear();
    if (options_.self.state != member_state::left) {
        std::visit([this, now](const auto& alternative) { on(alternative, now); }, e);
    }
    return std::exchange(actions_, {});
}

std::vector<member> membership_protocol::impl::live_members() const {
    auto out = members_.live();
    out.push_back(options_.self);
    return out;
}

std::vector<base::zone_id> membership_protocol::impl::reachable_zones(base::time_point now) const {
    auto out = remote_.zones();
    std::erase_if(out, [&](const base::zone_id& z) { return !remote_.reachable(z, now, zone_timeout()); });
    return out;
}

void membership_protocol::impl::on(const tick&, base::time_point now) {
    if (now - last_tick_ > pause_threshold) {
        resume_after_pause(now - last_tick_);
    }
    last_tick_ = now;
    check_probe_timeouts(now);
    for (auto& m : members_.expire(now)) {
        actions_.emplace_back(member_changed{std::move(m)});
    }
    if (now >= next_round_) {
        const auto interval = round_interval(now);
        const auto jitter_range = interval / 10;
        const auto jitter =
            static_cast<base::duration::rep>(random_() % static_cast<std::uint64_t>(jitter_range.count()));
        next_round_ = now + interval - jitter_range / 2 + base::duration{jitter};
        start_probes(now);
    }
    update_zone_reachability(now);
    for (const auto& c : pressure_.take_changes(now)) {
        actions_.emplace_back(c);
    }
}

void membership_protocol::impl::on(const received& e, base::time_point now) {
    const auto& m = e.content;
    if (m.sender.address == options_.self.address) {
        return;
    }
    const auto* sender = find_member(m.sender.address);
    const bool previous_incarnation = sender != nullptr && sender->incarnation > m.sender.incarnation;
    if (!previous_incarnation) {
        merge_member(m.sender, now);
        merge_payload(m, now);
    }
    compare_member_lists(m, now);
    switch (m.kind) {
        case message_kind::probe:
            send_message(m.sender.address, message_kind::ack, m.number, now);
            break;
        case message_kind::ack:
            handle_ack(m.number, now);
            break;
        case message_kind::probe_indirect:
            relay_probe(m, now);
            break;
        case message_kind::leave_notice:
            break;
    }
}

void membership_protocol::impl::on(const seeds_changed& e, base::time_point) {
    seeds_ = e.seeds;
    for (const auto& s : seeds_) {
        if (!s.zone.empty() && s.zone != options_.self.zone) {
            remote_.merge(member{.address = s.address, .zone = s.zone});
        }
    }
}

void membership_protocol::impl::on(const local_state& e, base::time_point) {
    loads_ = e.loads;
    loads_.resize(std::min(loads_.size(), max_reported_loads));
    pressure_.set_local(e.services);
}

void membership_protocol::impl::on(const leave&, base::time_point now) {
    options_.self.state = member_state::left;
    for (std::size_t i = 0; i < leave_notice_count; i++) {
        if (const auto to = members_.next_probe(random_)) {
            send_message(*to, message_kind::leave_notice, 0, now);
        }
    }
}

void membership_protocol::impl::resume_after_pause(base::duration pause) {
    pending_probes_.clear();
    relayed_probes_.clear();
    members_.extend_suspicions(pause);
}

void membership_protocol::impl::check_probe_timeouts(base::time_point now) {
    std::vector<std::string> failed;
    for (auto& p : pending_probes_) {
        if (now >= p.sent + options_.probe_interval) {
            failed.push_back(p.address);
        } else if (!p.indirect && now >= p.sent + options_.direct_probe_timeout &&
                   members_.find(p.address) != nullptr) {
            p.indirect = true;
            request_indirect_probes(p, now);
        }
    }
    std::erase_if(pending_probes_,
                  [&](const pending_probe& p) { return now >= p.sent + options_.probe_interval; });
    std::erase_if(relayed_probes_, [now](const relayed_probe& r) { return now >= r.deadline; });
    for (const auto& address : failed) {
        probe_failed(address, now);
    }
}

void membership_protocol::impl::probe_failed(const std::string& address, base::time_point now) {
    remote_.record_probe(address, false);
    if (auto m = members_.suspect(address, now, options_.suspicion_timeout)) {
        actions_.emplace_back(member_changed{std::move(*m)});
        own_suspicions_.push_back(address);
    }
}

void membership_protocol::impl::probe_suspects(base::time_point now) {
    std::erase_if(own_suspicions_, [this](const std::string& address) {
        const auto* m = members_.find(address);
        return m == nullptr || m->state != member_state::suspect;
    });
    // The probe carries the suspicion to the member, and its ack refutes it.
    for (const auto& address : own_suspicions_) {
        probe(address, now);
    }
}

void membership_protocol::impl::request_indirect_probes(pending_probe& p, base::time_point now) {
    auto live = members_.live();
    std::erase_if(live, [&p](const member& m) { return m.address == p.address; });
    for (std::size_t i = 0; i < options_.indirect_probe_count && !live.empty(); i++) {
        const auto at = static_cast<std::ptrdiff_t>(base::pick(random_, live.size()));
        send_message(live[static_cast<std::size_t>(at)].address, message_kind::probe_indirect, p.number, now,
                     p.address);
        live.erase(live.begin() + at);
    }
}

void membership_protocol::impl::start_probes(base::time_point now) {
    rounds_++;
    probe_suspects(now);
    const auto next = members_.next_probe(random_);
    if (next) {
        probe(*next, now);
    }
    if (rounds_ % rounds_per_remote_probe == 0) {
        probe_remote_zone(now);
    }
    if (!next) {
        probe_reconnect(reconnects_without_members, now);
    } else if (rounds_ % rounds_per_reconnect == 0) {
        probe_reconnect(1, now);
    }
}

void membership_protocol::impl::probe_remote_zone(base::time_point now) {
    const auto contact = remote_.next_probe();
    if (!contact) {
        return;
    }
    // Probing at full rate from all daemons of a large zone would overload a small zone.
    const std::size_t zone_daemons = remote_.daemon_count(remote_.find(*contact)->zone);
    if (zone_daemons == 0 || base::pick(random_, members_.live_count() + 1) < zone_daemons) {
        probe(*contact, now);
    }
}

void membership_protocol::impl::probe_reconnect(std::size_t n, base::time_point now) {
    auto candidates = members_.dead();
    for (const auto& s : seeds_) {
        const bool in_remote_zone = !s.zone.empty() && s.zone != options_.self.zone;
        if (s.address != options_.self.address && !in_remote_zone && find_member(s.address) == nullptr) {
            candidates.push_back(s.address);
        }
    }
    for (std::size_t i = 0; i < n && !candidates.empty(); i++) {
        const auto at = static_cast<std::ptrdiff_t>(base::pick(random_, candidates.size()));
        probe(candidates[static_cast<std::size_t>(at)], now);
        candidates.erase(candidates.begin() + at);
    }
}

void membership_protocol::impl::probe(const std::string& address, base::time_point now) {
    const auto number = next_number_++;
    pending_probes_.push_back({number, address, now, false});
    send_message(address, message_kind::probe, number, now);
}

void membership_protocol::impl::update_zone_reachability(base::time_point now) {
    for (const auto& zone : remote_.zones()) {
        const bool is_reachable = remote_.reachable(zone, now, zone_timeout());
        const bool was_reachable = reachable_.contains(zone.str());
        if (is_reachable != was_reachable) {
            actions_.emplace_back(zone_changed{zone, is_reachable});
        }
        if (is_reachable) {
            reachable_.insert(zone.str());
        } else {
            reachable_.erase(zone.str());
        }
    }
}

void membership_protocol::impl::handle_ack(std::uint64_t number, base::time_point now) {
    const auto p = std::ranges::find(pending_probes_, number, &pending_probe::number);
    if (p != pending_probes_.end()) {
        remote_.record_probe(p->address, true);
        pending_probes_.erase(p);
    }
    const auto r = std::ranges::find(relayed_probes_, number, &relayed_probe::number);
    if (r != relayed_probes_.end()) {
        const auto origin = *r;
        relayed_probes_.erase(r);
        send_message(origin.origin, message_kind::ack, origin.origin_number, now);
    }
}

void membership_protocol::impl::relay_probe(const message& m, base::time_point now) {
    const auto number = next_number_++;
    relayed_probes_.push_back({number, m.sender.address, m.number, now + options_.probe_interval});
    send_message(m.target, message_kind::probe, number, now);
}

const member* membership_protocol::impl::find_member(const std::string& address) const {
    const auto* m = members_.find(address);
    return m != nullptr ? m : remote_.find(address);
}

base::duration membership_protocol::impl::round_interval(base::time_point now) const {
    const auto age = now - started_;
    const bool differs = now - last_difference_ < list_difference_lifetime;
    const bool joining = age < min_joining_time || (differs && age < max_joining_time);
    return joining ? options_.probe_interval / joining_probe_rate_factor : options_.probe_interval;
}

base::duration membership_protocol::impl::zone_timeout() const {
    // Each daemon probes one remote zone every two rounds; with few daemons and many zones, summaries take
    // longer to arrive.
    const auto zones = static_cast<base::duration::rep>(remote_.zones().size());
    const auto daemons = static_cast<base::duration::rep>(members_.live_count() + 1);
    return min_zone_timeout + 2 * rounds_per_remote_probe * options_.probe_interval * zones / daemons;
}

}  // namespace chicorygap::membership
