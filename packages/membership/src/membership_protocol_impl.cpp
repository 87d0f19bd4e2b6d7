#include "membership_protocol_impl.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace chicorygap::membership {

namespace {

// Ticks come every 100 ms; a longer silence means that this daemon was paused and missed answers.
constexpr base::duration pause_threshold = std::chrono::seconds{2};
constexpr std::uint64_t rounds_per_remote_probe = 2;
constexpr std::uint64_t rounds_per_reconnect = 5;
constexpr std::size_t reconnects_when_alone = 3;
constexpr std::size_t leave_notices = 5;
// A newcomer probes faster, because each answer brings it a part of the member list.
constexpr base::duration joining_time = std::chrono::seconds{10};
constexpr base::duration longest_joining_time = std::chrono::minutes{1};
constexpr base::duration difference_memory = std::chrono::seconds{2};
constexpr int probes_while_joining = 4;
constexpr base::duration zone_silence = std::chrono::seconds{10};

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
    std::erase_if(out, [&](const base::zone_id& z) { return !remote_.reachable(z, now, zone_limit()); });
    return out;
}

void membership_protocol::impl::on(const tick&, base::time_point now) {
    if (now - last_tick_ > pause_threshold) {
        resume_after_pause(now - last_tick_);
    }
    last_tick_ = now;
    check_probes(now);
    for (auto& m : members_.expire(now)) {
        actions_.emplace_back(member_changed{std::move(m)});
    }
    if (now >= next_round_) {
        const auto interval = round_time(now);
        const auto tenth = interval / 10;
        const auto jitter =
            static_cast<base::duration::rep>(random_() % static_cast<std::uint64_t>(tenth.count()));
        next_round_ = now + interval - tenth / 2 + base::duration{jitter};
        start_probes(now);
    }
    check_zones(now);
    for (const auto& c : pressure_.take_changes(now)) {
        actions_.emplace_back(c);
    }
}

void membership_protocol::impl::on(const received& e, base::time_point now) {
    const auto& m = e.content;
    if (m.sender.address == options_.self.address) {
        return;
    }
    const auto* sender = known(m.sender.address);
    const bool outdated = sender != nullptr && sender->incarnation > m.sender.incarnation;
    if (!outdated) {
        merge_member(m.sender, now);
        merge_content(m, now);
    }
    compare_lists(m, now);
    switch (m.kind) {
        case message_kind::probe:
            send_message(m.sender.address, message_kind::ack, m.number, now);
            break;
        case message_kind::ack:
            answered(m.number, now);
            break;
        case message_kind::probe_indirect:
            relay(m, now);
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
    for (std::size_t i = 0; i < leave_notices; i++) {
        if (const auto to = members_.next_probe(random_)) {
            send_message(*to, message_kind::leave_notice, 0, now);
        }
    }
}

void membership_protocol::impl::resume_after_pause(base::duration pause) {
    outstanding_.clear();
    relayed_.clear();
    members_.postpone(pause);
}

void membership_protocol::impl::check_probes(base::time_point now) {
    std::vector<std::string> failed;
    for (auto& p : outstanding_) {
        if (now >= p.sent + options_.probe_interval) {
            failed.push_back(p.address);
        } else if (!p.indirect && now >= p.sent + options_.direct_probe_timeout &&
                   members_.find(p.address) != nullptr) {
            p.indirect = true;
            ask_others(p, now);
        }
    }
    std::erase_if(outstanding_,
                  [&](const outstanding& p) { return now >= p.sent + options_.probe_interval; });
    std::erase_if(relayed_, [now](const relayed& r) { return now >= r.deadline; });
    for (const auto& address : failed) {
        probe_failed(address, now);
    }
}

void membership_protocol::impl::probe_failed(const std::string& address, base::time_point now) {
    remote_.probed(address, false);
    if (auto m = members_.suspect(address, now, options_.suspicion_timeout)) {
        actions_.emplace_back(member_changed{std::move(*m)});
        suspected_.push_back(address);
    }
}

void membership_protocol::impl::probe_suspects(base::time_point now) {
    std::erase_if(suspected_, [this](const std::string& address) {
        const auto* m = members_.find(address);
        return m == nullptr || m->state != member_state::suspect;
    });
    // The probe tells the member of the suspicion and its answer refutes it.
    for (const auto& address : suspected_) {
        probe(address, now);
    }
}

void membership_protocol::impl::ask_others(outstanding& p, base::time_point now) {
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
        probe_other_zone(now);
    }
    if (!next) {
        probe_reconnect(reconnects_when_alone, now);
    } else if (rounds_ % rounds_per_reconnect == 0) {
        probe_reconnect(1, now);
    }
}

void membership_protocol::impl::probe_other_zone(base::time_point now) {
    const auto contact = remote_.next_probe();
    if (!contact) {
        return;
    }
    // The daemons of a large zone together would overload those of a small one.
    const std::size_t there = remote_.members(remote_.find(*contact)->zone);
    if (there == 0 || base::pick(random_, members_.live_count() + 1) < there) {
        probe(*contact, now);
    }
}

void membership_protocol::impl::probe_reconnect(std::size_t n, base::time_point now) {
    auto candidates = members_.dead();
    for (const auto& s : seeds_) {
        const bool other_zone = !s.zone.empty() && s.zone != options_.self.zone;
        if (s.address != options_.self.address && !other_zone && known(s.address) == nullptr) {
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
    outstanding_.push_back({number, address, now, false});
    send_message(address, message_kind::probe, number, now);
}

void membership_protocol::impl::check_zones(base::time_point now) {
    for (const auto& zone : remote_.zones()) {
        const bool is = remote_.reachable(zone, now, zone_limit());
        const bool was = reachable_.contains(zone.str());
        if (is != was) {
            actions_.emplace_back(zone_changed{zone, is});
        }
        if (is) {
            reachable_.insert(zone.str());
        } else {
            reachable_.erase(zone.str());
        }
    }
}

void membership_protocol::impl::answered(std::uint64_t number, base::time_point now) {
    const auto p = std::ranges::find(outstanding_, number, &outstanding::number);
    if (p != outstanding_.end()) {
        remote_.probed(p->address, true);
        outstanding_.erase(p);
    }
    const auto r = std::ranges::find(relayed_, number, &relayed::number);
    if (r != relayed_.end()) {
        const auto origin = *r;
        relayed_.erase(r);
        send_message(origin.origin, message_kind::ack, origin.origin_number, now);
    }
}

void membership_protocol::impl::relay(const message& m, base::time_point now) {
    const auto number = next_number_++;
    relayed_.push_back({number, m.sender.address, m.number, now + options_.probe_interval});
    send_message(m.target, message_kind::probe, number, now);
}

const member* membership_protocol::impl::known(const std::string& address) const {
    const auto* m = members_.find(address);
    return m != nullptr ? m : remote_.find(address);
}

base::duration membership_protocol::impl::round_time(base::time_point now) const {
    const auto age = now - started_;
    const bool differs = now - difference_seen_ < difference_memory;
    const bool joining = age < joining_time || (differs && age < longest_joining_time);
    return joining ? options_.probe_interval / probes_while_joining : options_.probe_interval;
}

base::duration membership_protocol::impl::zone_limit() const {
    // Each daemon probes one other zone every two rounds; with few daemons and many zones that takes longer.
    const auto zones = static_cast<base::duration::rep>(remote_.zones().size());
    const auto daemons = static_cast<base::duration::rep>(members_.live_count() + 1);
    return zone_silence + 2 * rounds_per_remote_probe * options_.probe_interval * zones / daemons;
}

}  // namespace chicorygap::membership
