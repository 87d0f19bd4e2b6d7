/// @file
/// Distribution of service documents and key revocations among the daemons.
#pragma once

#include "distribution/actions.h"
#include "distribution/contact_tracker.h"
#include "distribution/document_set.h"
#include "distribution/readiness.h"
#include "distribution/rendezvous.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chicorygap::distribution {

struct distributor_options {
    base::vm_id vm;
    base::zone_id zone;
    /// False when documents are loaded from files. The platform is then not watched, and isolation is not
    /// detected.
    bool has_platform = true;
    /// Time after which a watch returns without a change. The reply shows that the platform is reachable.
    base::duration max_watch_wait = std::chrono::seconds{2};
    base::duration watch_retry_delay = std::chrono::milliseconds{500};
    /// Time without a platform reply to any daemon of the zone after which further daemons act as relays.
    base::duration relay_failover_delay = std::chrono::seconds{5};
    /// Time without contact with the platform or another zone after which the zone counts as isolated. Gossip
    /// spreads the time of the last contact through a zone of 90 daemons in about 7 rounds of one second.
    base::duration isolation_timeout = std::chrono::seconds{15};
    /// Minimum time between two fetches of the same document.
    base::duration min_fetch_interval = std::chrono::milliseconds{500};
    readiness_options readiness;
};

/// Keeps the newest valid version of every document active on this daemon and forwards new versions to peers.
///
/// Versions are ordered by the object's version on the platform; versions that are not newer are ignored. Two
/// relays per zone watch the platform and push changes down a tree of daemons. Digests from `make_digest` are
/// gossiped once a second, so that a daemon fetches versions that it missed. A key revocation is distributed
/// as a new version of its document.
///
/// Usage: pass every event to `handle`, execute the returned actions in order, and send the result of
/// `make_digest` with gossip.
class distributor {
public:
    /// @param start current time; counts as the time of the last contact until there is one.
    distributor(distributor_options o, base::time_point start);

    /// @return actions to execute in order.
    std::vector<action> handle(const event& e, base::time_point now);

    /// @param limit maximum number of entries. Successive calls cycle through all documents.
    /// @return versions of documents that this daemon has.
    [[nodiscard]] digest make_digest(std::size_t limit, base::time_point now);

    /// @return whether the API keys of a service are accepted. False for an unknown service and after
    /// `isolated_key_lifetime` without contact with the platform or other zones.
    [[nodiscard]] bool keys_usable(const base::service_id& service, base::time_point now) const;
    [[nodiscard]] bool ready() const { return ready_; }
    [[nodiscard]] bool is_relay() const { return relay_rank_ < relays_per_zone; }
    [[nodiscard]] const document_set& documents() const { return documents_; }

private:
    using actions = std::vector<action>;

    /// Version of a document, and the roots of the push trees in which it was forwarded.
    struct forwarded {
        std::uint64_t version = 0;
        std::set<std::string> roots;
    };

    void on(const members_changed& e, base::time_point now, actions& out);
    void on(const platform_replied& e, base::time_point now, actions& out);
    void on(const platform_failed& e, base::time_point now, actions& out);
    void on(const message_received& e, base::time_point now, actions& out);
    void on(const send_failed& e, base::time_point now, actions& out);
    void on(const tick& e, base::time_point now, actions& out);
    void on_message(const member& from, const push& m, base::time_point now, actions& out);
    void on_message(const member& from, const fetch& m, base::time_point now, actions& out);
    void on_message(const member& from, const digest& m, base::time_point now, actions& out);
    void on_message(const member& from, const digest_request& m, base::time_point now, actions& out);

    void forward(const push& m, actions& out);
    void push_change(const std::string& key, actions& out);
    void send_push(const push& p, actions& out);
    void fetch_from(const base::vm_id& peer, const std::vector<std::uint64_t>& hashes, base::time_point now,
                    actions& out);
    void detect_stale_versions(const platform_replied& e, actions& out);
    void update(base::time_point now, actions& out);
    void update_watch(base::time_point now, actions& out);
    void update_readiness(base::time_point now, actions& out);
    void update_keys(base::time_point now, actions& out);
    [[nodiscard]] bool should_watch(base::time_point now) const;
    [[nodiscard]] bool usable(const document::service_document& d, base::time_point now) const;

    distributor_options options_;
    document_set documents_;
    contact_tracker contact_tracker_;
    readiness readiness_;
    bool ready_ = false;
    std::vector<base::vm_id> zone_members_;  // including this daemon
    std::size_t relay_rank_ = 0;
    bool watch_outstanding_ = false;
    std::uint64_t last_platform_version_ = 0;  // newest version in the replies of the platform
    base::time_point next_watch_;
    bool list_requested_ = false;                                 // the next watch lists all objects
    std::map<std::string, forwarded> forwarded_;                  // newest forwarded version by document key
    std::map<std::uint64_t, base::time_point> last_fetch_times_;  // by key hash
    // Keys that a complete list showed with an older version than known.
    std::set<std::string> stale_candidates_;
    std::set<std::string> services_with_unusable_keys_;
    std::size_t next_digest_entry_ = 0;
};

}  // namespace chicorygap::distribution
