/// @file
/// Readiness check of a started daemon.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "distribution/document_set.h"
#include "distribution/messages.h"

#include <map>
#include <string>
#include <vector>

namespace chicorygap::distribution {

struct readiness_options {
    /// Time after the start in which membership discovers the peers. Without this delay, a daemon that
    /// receives the platform's reply first would become ready with older versions than its peers have.
    base::duration discovery_time = std::chrono::seconds{2};
    /// Time without a response after which a peer counts as unreachable.
    base::duration response_timeout = std::chrono::seconds{3};
    /// Time between two digest requests to the same peer.
    base::duration query_interval = std::chrono::seconds{1};
};

/// Decides when a started daemon may serve callers: once its version of each document is at least as new as
/// that of every reachable peer. Peers that left the fleet are not considered.
class readiness {
public:
    readiness(readiness_options o, base::time_point start);

    void set_members(const std::vector<base::vm_id>& peers, base::time_point now);
    /// @param d complete digest of the peer.
    void record_digest(const base::vm_id& peer, const digest& d);
    void record_platform_reply() { platform_replied_ = true; }

    /// @return peers to send a digest request to now.
    std::vector<base::vm_id> peers_to_query(base::time_point now);
    /// Documents to fetch from a peer.
    struct fetch_target {
        base::vm_id peer;
        std::vector<std::uint64_t> key_hashes;
    };
    /// @return for each peer, the documents of which it has a newer version than `documents`.
    [[nodiscard]] std::vector<fetch_target> missing_documents(const document_set& documents) const;
    /// @return whether the daemon may serve callers. False until a peer or the platform has responded
    /// and a document is active.
    [[nodiscard]] bool ready(const document_set& documents, base::time_point now) const;

private:
    struct peer_state {
        base::time_point discovered;
        base::time_point next_query;
        bool responded = false;
        std::vector<digest_entry> entries;
    };

    readiness_options options_;
    base::time_point start_;
    std::map<std::string, peer_state> peers_;
    bool platform_replied_ = false;
};

/// @return key hashes of the entries with a version that `documents` lacks.
std::vector<std::uint64_t> outdated_key_hashes(const document_set& documents,
                                               const std::vector<digest_entry>& entries);

}  // namespace chicorygap::distribution
