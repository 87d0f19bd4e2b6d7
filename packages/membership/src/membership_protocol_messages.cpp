#include "membership_protocol_impl.h"

#include <algorithm>
#include <utility>

namespace chicorygap::membership {

namespace {

// A daemon that learned of a suspicion from a peer waits longer than the daemon whose probe failed, because
// the refutation may reach it later; its own timeout applies only if that daemon has crashed too.
constexpr int reported_suspicion_factor = 2;

constexpr std::size_t updates_per_message = 3;
constexpr std::size_t listed_members_per_message = 2;
// Members in a message to a joining daemon or to one whose list differs; they replace updates and load
// report.
constexpr std::size_t listed_members_while_joining = 16;
constexpr std::size_t zones_per_message = 4;
constexpr std::size_t services_per_message = 4;
// Successive multiples of this fraction of 2^64 are evenly distributed, so the acks of successive probes of
// one daemon cover the whole list; random positions left some members unknown for over a minute.
constexpr std::uint64_t golden_ratio_fraction = 0x9E3779B97F4A7C15;
// Encoded size of one server in a load report.
constexpr std::size_t bytes_per_load = 10;

// Appends items as long as the message stays within `max_message_bytes`.
template <typename T>
void append_fitting(const message& m, std::vector<T>& list, const std::vector<T>& items) {
    for (const auto& item : items) {
        if (encoded_size(m) + encoded_size(item) > max_message_bytes) {
            return;
        }
        list.push_back(item);
    }
}

void append_loads(message& m, const std::vector<server_load>& loads) {
    const auto used = encoded_size(m) + 8;
    const auto capacity = used < max_message_bytes ? (max_message_bytes - used) / bytes_per_load : 0;
    const auto n = std::min(capacity, loads.size());
    m.loads.assign(loads.begin(), loads.begin() + static_cast<std::ptrdiff_t>(n));
}

}  // namespace

void membership_protocol::impl::merge_payload(const message& m, base::time_point now) {
    for (const auto& u : m.updates) {
        merge_member(u, now);
    }
    for (const auto& z : m.zones) {
        if (z.zone != options_.self.zone) {
            remote_.merge(z, now);
        }
    }
    const bool same_zone = m.sender.zone == options_.self.zone;
    for (const auto& s : m.services) {
        actions_.emplace_back(peer_version_received{m.sender.address, s.service, s.version});
        if (same_zone) {
            pressure_.merge(s, now);
        }
    }
    if (same_zone) {
        actions_.emplace_back(peer_loads_received{m.sender.id, m.loads});
    }
}

void membership_protocol::impl::compare_member_lists(const message& m, base::time_point now) {
    const bool differs = m.sender.zone == options_.self.zone &&
                         m.member_list_hash != members_.live_hash(options_.self.address);
    differing_sender_ = differs ? m.sender.address : std::string{};
    if (differs) {
        last_difference_ = now;
    }
}

void membership_protocol::impl::merge_member(const member& m, base::time_point now) {
    if (m.address == options_.self.address) {
        refute(m);
        return;
    }
    if (m.zone != options_.self.zone) {
        remote_.merge(m);
        return;
    }
    const auto* old = members_.find(m.address);
    const bool visible = old == nullptr || old->state != m.state || old->incarnation != m.incarnation;
    if (members_.merge(m, now, reported_suspicion_factor * options_.suspicion_timeout) && visible) {
        actions_.emplace_back(member_changed{m});
    }
}

void membership_protocol::impl::refute(const member& m) {
    auto& self = options_.self;
    if (m.incarnation > self.incarnation) {
        // The previous daemon at this address had a later start time, because its clock was ahead.
        self.incarnation = m.incarnation + 1;
        self.sequence = 0;
    } else if (m.incarnation == self.incarnation && m.state != member_state::alive &&
               m.sequence >= self.sequence) {
        self.sequence = m.sequence + 1;
    }
}

void membership_protocol::impl::send_message(const std::string& to, message_kind kind, std::uint64_t number,
                                             base::time_point now, const std::string& target) {
    actions_.emplace_back(send{to, build_message(to, kind, number, target, now)});
}

message membership_protocol::impl::build_message(const std::string& to, message_kind kind,
                                                 std::uint64_t number, const std::string& target,
                                                 base::time_point now) {
    message m{.kind = kind, .number = number, .sender = options_.self, .target = target};
    m.member_list_hash = members_.live_hash(options_.self.address);
    const auto* receiver = find_member(to);
    if (receiver != nullptr && receiver->state != member_state::alive) {
        // A receiver that is suspected or declared dead needs this update to refute it.
        append_fitting(m, m.updates, {*receiver});
    }
    const auto members = static_cast<std::uint32_t>(members_.live_count() + 1);
    append_fitting(m, m.zones, {zone_summary{options_.self.zone, members, {}}});
    append_fitting(m, m.services, pressure_.next_digests(services_per_message, now));
    if (remote_.find(to) != nullptr) {
        append_fitting(m, m.updates, members_.members_from(listed_members_per_message, random_()));
        return m;
    }
    append_fitting(m, m.zones, remote_.take_summaries(zones_per_message, now));
    if (members_.changed_recently(to, now) || to == differing_sender_) {
        const auto position = kind == message_kind::ack ? number * golden_ratio_fraction : random_();
        append_fitting(m, m.updates, members_.members_from(listed_members_while_joining, position));
        return m;
    }
    append_fitting(m, m.updates, members_.take_updates(updates_per_message));
    append_fitting(m, m.updates, members_.members_from(listed_members_per_message, random_()));
    if (const auto contacts = remote_.contacts(); !contacts.empty()) {
        append_fitting(m, m.updates, {contacts[next_contact_++ % contacts.size()]});
    }
    append_loads(m, loads_);
    return m;
}

}  // namespace chicorygap::membership
