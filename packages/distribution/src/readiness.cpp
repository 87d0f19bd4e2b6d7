#include "distribution/readiness.h"

#include <algorithm>

namespace chicorygap::distribution {

readiness::readiness(readiness_options o, base::time_point start) : options_{o}, start_{start} {}

void readiness::set_members(const std::vector<base::vm_id>& peers, base::time_point now) {
    std::erase_if(peers_, [&](const auto& p) {
        return std::none_of(peers.begin(), peers.end(), [&](const auto& id) { return id.str() == p.first; });
    });
    for (const auto& id : peers) {
        peers_.try_emplace(id.str(), peer_state{now, now, false, {}});
    }
}

void readiness::peer_answered(const base::vm_id& peer, const digest& d) {
    const auto it = peers_.find(peer.str());
    if (it != peers_.end()) {
        it->second.answered = true;
        it->second.entries = d.entries;
    }
}

std::vector<base::vm_id> readiness::to_ask(base::time_point now) {
    std::vector<base::vm_id> out;
    for (auto& [id, p] : peers_) {
        if (!p.answered && now >= p.next_ask && now - p.since < options_.answer_timeout) {
            p.next_ask = now + options_.ask_interval;
            out.emplace_back(id);
        }
    }
    return out;
}

std::vector<readiness::missing> readiness::newer_elsewhere(const document_set& documents) const {
    std::vector<missing> out;
    for (const auto& [id, p] : peers_) {
        auto hashes = newer_than(documents, p.entries);
        if (!hashes.empty()) {
            out.push_back({base::vm_id{id}, std::move(hashes)});
        }
    }
    return out;
}

bool readiness::ready(const document_set& documents, base::time_point now) const {
    if (now - start_ < options_.discovery_time) {
        return false;
    }
    bool any_answer = platform_answered_;
    for (const auto& [id, p] : peers_) {
        const bool waiting = !p.answered && now - p.since < options_.answer_timeout;
        if (waiting || !newer_than(documents, p.entries).empty()) {
            return false;
        }
        any_answer = any_answer || p.answered;
    }
    return any_answer && !documents.active().empty();
}

std::vector<std::uint64_t> newer_than(const document_set& documents,
                                      const std::vector<digest_entry>& entries) {
    std::vector<std::uint64_t> out;
    for (const auto& e : entries) {
        if (documents.lacks(e)) {
            out.push_back(e.key_hash);
        }
    }
    return out;
}

}  // namespace chicorygap::distribution
