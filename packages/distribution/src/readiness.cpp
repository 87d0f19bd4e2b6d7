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

void readiness::record_digest(const base::vm_id& peer, const digest& d) {
    const auto it = peers_.find(peer.str());
    if (it != peers_.end()) {
        it->second.responded = true;
        it->second.entries = d.entries;
    }
}

std::vector<base::vm_id> readiness::peers_to_query(base::time_point now) {
    std::vector<base::vm_id> out;
    for (auto& [id, p] : peers_) {
        if (!p.responded && now >= p.next_query && now - p.discovered < options_.response_timeout) {
            p.next_query = now + options_.query_interval;
            out.emplace_back(id);
        }
    }
    return out;
}

std::vector<readiness::fetch_target> readiness::missing_documents(const document_set& documents) const {
    std::vector<fetch_target> out;
    for (const auto& [id, p] : peers_) {
        auto hashes = outdated_key_hashes(documents, p.entries);
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
    bool any_response = platform_replied_;
    for (const auto& [id, p] : peers_) {
        const bool waiting = !p.responded && now - p.discovered < options_.response_timeout;
        if (waiting || !outdated_key_hashes(documents, p.entries).empty()) {
            return false;
        }
        any_response = any_response || p.responded;
    }
    return any_response && !documents.active().empty();
}

std::vector<std::uint64_t> outdated_key_hashes(const document_set& documents,
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
