/// @file
/// Decides when a new daemon may serve callers.
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
    /// Time for membership to find the peers. Without it, a daemon that hears the platform first would become
    /// ready with versions older than its peers'.
    base::duration discovery_time = std::chrono::seconds{2};
    /// A peer that does not answer for this long counts as unreachable.
    base::duration response_timeout = std::chrono::seconds{3};
    base::duration query_interval = std::chrono::seconds{1};
};

/// A daemon is ready once it has, for each document, versions at least as new as those of every peer that it
/// can reach. Peers that left no longer count.
class readiness {
public:
    readiness(readiness_options o, base::time_point start);

    void set_members(const std::vector<base::vm_id>& peers, base::time_point now);
    /// @param d complete digest of the peer.
    void record_digest(const base::vm_id& peer, const digest& d);
    void record_platform_reply() { platform_replied_ = true; }

    /// @return peers to ask for a complete digest now.
    std::vector<base::vm_id> peers_to_query(base::time_point now);
    /// Documents to fetch from one peer.
    struct fetch_target {
        base::vm_id peer;
        std::vector<std::uint64_t> key_hashes;
    };
    /// @return what peers have newer than `documents`.
    [[nodiscard]] std::vector<fetch_target> missing_documents(const document_set& documents) const;
    [[nodiscard]] bool ready(const document_set& documents, base::time_point now) const;

private:
    struct peer_state {
        base::time_point since;
        base::time_point next_query;
        bool answered = false;
        std::vector<digest_entry> entries;
    };

    readiness_options options_;
    base::time_point start_;
    std::map<std::string, peer_state> peers_;
    bool platform_replied_ = false;
};

/// @return hashes of the entries that are newer than what `documents` has.
std::vector<std::uint64_t> outdated_key_hashes(const document_set& documents,
                                               const std::vector<digest_entry>& entries);

}  // namespace chicorygap::distribution
