/// @file
/// Owner of one shard of at-most-once records.
#pragma once

#include "base/store_message.h"
#include "base/time.h"
#include "idempotency/decision.h"
#include "idempotency/record_table.h"
#include "idempotency/segment.h"
#include "idempotency/segment_log.h"
#include "lease/conditional_write.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace chicorygap::idempotency {

/// Names and limits of a shard.
struct shard_options {
    std::uint32_t shard = 0;
    std::string owner;              ///< name of this daemon
    std::uint64_t incarnation = 0;  ///< differs for every start of the daemon
    /// Shortest time between the starts of two writes; 0 commits at once, 320 ms keeps 32 shards at 100
    /// writes/s.
    base::duration batch_interval{};
    base::duration retry_delay = std::chrono::milliseconds{200};
    base::duration retention = std::chrono::hours{24};
    std::size_t segment_bytes = 262'144;   ///< a segment is closed when it exceeds this; the store takes 1 MB
    std::size_t batch_bytes = 262'144;     ///< entries of one write
    std::size_t slots = 64;                ///< largest number of segments
    std::size_t max_records = 100'000;     ///< records held in memory
    std::size_t max_waiting = 10'000;      ///< claims and outcomes not yet written
    std::size_t max_outcome_bytes = 1024;  ///< longer bodies are recorded as not whole
};

/// Event: time has passed.
struct tick {};
/// Event: this daemon holds the shard's lease with this term.
struct role_acquired {
    std::uint64_t term = 0;
};
/// Event: this daemon no longer holds the shard's lease.
struct role_lost {};
/// Event: a request that was granted a permit has finished.
struct outcome_reported {
    digest id;
    outcome result;
};

using shard_event = std::variant<tick, role_acquired, role_lost, claim, outcome_reported, base::store_reply>;
using shard_action = std::variant<base::store_put, base::store_list, decision>;

/// State machine that grants each request id at most once.
///
/// Concept: the shard's records are a log in segments, of which only the newest is open. A claim is granted
/// after the conditional update that records it is known to be applied. The update names the version of the
/// open segment that was loaded, so that of two daemons that both believe they own the shard only one can
/// write: safety does not depend on the lease's clock. A conflict makes the owner load the segments again.
///
/// Usage: send `role_acquired`, then claims; execute the actions and pass the replies back. Every claim
/// receives exactly one `decision`.
class shard_owner {
public:
    explicit shard_owner(shard_options o);

    /// @param e event.
    /// @param now time of this VM.
    /// @return actions to execute in this order.
    std::vector<shard_action> handle(const shard_event& e, base::time_point now);

    /// @return true once the segments are loaded and claims can be granted.
    [[nodiscard]] bool ready() const noexcept { return state_ == state::serving; }

    /// @return number of records in memory.
    [[nodiscard]] std::size_t records() const noexcept { return records_.size(); }

private:
    enum class state { not_owner, loading, serving };

    void on(const tick& e, base::time_point now);
    void on(const role_acquired& e, base::time_point now);
    void on(const role_lost& e, base::time_point now);
    void on(const claim& e, base::time_point now);
    void on(const outcome_reported& e, base::time_point now);
    void on(const base::store_reply& e, base::time_point now);

    void load(base::time_point now);
    void loaded(const base::store_reply& e, base::time_point now);
    void advance(base::time_point now);
    void expire_records(base::time_point now);
    void start_write(base::time_point now);
    std::vector<entry> take_batch();
    void written(const lease::write_result& r, base::time_point now);
    void reload(base::time_point now);
    void decide_waiting();
    void refuse_waiting();
    void requeue_batch();
    void answer(const claim& c, verdict v);
    bool answer_from_record(const claim& c);
    [[nodiscard]] bool has_room() const;

    shard_options options_;
    state state_ = state::not_owner;
    segment_log log_;
    record_table records_;
    lease::conditional_write write_;

    std::deque<claim> waiting_;                     ///< claims not yet in a write
    std::vector<claim> writing_;                    ///< claims of the write in flight
    std::unordered_map<digest, digest> undecided_;  ///< ids of both, with the digests of their bodies
    std::deque<entry> outcomes_;                    ///< outcomes not yet in a write
    std::vector<entry> batch_;                      ///< entries of the write in flight

    std::uint64_t list_in_flight_ = 0;
    base::time_point list_at_;
    base::time_point write_at_;
    std::uint64_t next_correlation_ = 1;
    std::vector<shard_action> actions_;
};

}  // namespace chicorygap::idempotency
