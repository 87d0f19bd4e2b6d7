/// @file
/// Keeps requests whose prompts end servers away from the servers.
#pragma once

#include "base/time.h"
#include "crash_guard/crash_report.h"
#include "crash_guard/end_rates.h"
#include "crash_guard/ended_attempt.h"
#include "crash_guard/part_ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chicorygap::crash_guard {

/// @return the id of a part in hexadecimal, as in requests and logs.
[[nodiscard]] std::string part_text(std::uint64_t part);

/// Whether a request may be sent to a server.
struct admission {
    enum class kind : std::uint8_t {
        allowed,
        wait,     ///< a part is in doubt and another request with it is at the beginning of its answer
        refused,  ///< a part is quarantined
    };
    kind decision = kind::allowed;
    /// The part that decided, if the request is not allowed.
    std::uint64_t part = 0;
    /// Time until the part may be tried again, if the request is refused.
    base::duration retry_after{};
    /// The request tries a part after its quarantine. It needs no further admission before its first attempt.
    bool trial = false;
};

/// State of one part for logs and operators.
struct part_status {
    std::uint64_t part = 0;
    bool quarantined = false;
    double chance = 1;        ///< probability that the servers ended by chance
    std::size_t ends = 0;     ///< under the part, those at the same moment counted once
    std::size_t servers = 0;  ///< that ended under the part
    base::duration age{};     ///< since the decision, or since the first evidence
    base::duration retry_after{};
    /// Why the evidence has not led to a decision; empty if it has.
    std::string_view undecided;
};

struct prompt_guard_hooks {
    /// A part was quarantined or released, here or by a peer.
    /// @param source "evidence", "trial", "peer" or "operator".
    std::function<void(const part_status&, std::string_view source)> decided;
    /// There is evidence or a decision that peers should hear of soon.
    /// @param own true if it was found here, false if a peer told it.
    std::function<void(bool own)> news;
    /// @return true if this daemon, of all in the fleet, may try a part whose quarantine is over.
    std::function<bool()> may_try;
};

/// Finds the parts of prompts that end every server which begins to answer them, and keeps requests with such
/// a part away from the servers.
///
/// Concept: when a server ends, all requests there whose answers had not got past their beginning are
/// suspects with all their parts, however the end looked like. An answered request clears its parts. A part
/// that was never answered is as suspicious as it is improbable that its servers ended, and its connections
/// broke, by chance (`end_rates`); ends at the same moment count once. The part with the most ends is
/// quarantined, and it explains these ends, so that the other suspects are cleared. A request that is sent
/// again and again is known by its own part, which no sound request clears. Ends that an own part explains
/// still support the case against a shared part that goes on to end servers without it. While a part is in
/// doubt, this daemon has one request with it at the beginning of its answer at a time. Daemons exchange
/// evidence and decisions. After its quarantine, one request in the fleet tries the part; a success releases
/// it.
///
/// Usage:
/// @code
/// if (g.admit(parts, now).decision == admission::kind::allowed) {
///     auto running = g.begin(parts);  // until the answer is past its beginning
///     ...
///     g.record_crash(parts, ended_attempt, now);  // or g.record_success(parts, now)
/// }
/// @endcode
/// Not thread-safe. Performs no I/O and reads no clock.
class prompt_guard {
public:
    explicit prompt_guard(prompt_guard_hooks hooks = {}) : hooks_{std::move(hooks)} {}

    void set_hooks(prompt_guard_hooks hooks) { hooks_ = std::move(hooks); }

    /// Sets the time within which the fleet learns of a success. Evidence of few crashes is not decided on
    /// earlier, since servers that end at the same moment accuse the same sound parts.
    void set_settle_time(base::duration d) { settle_time_ = d; }

    /// Sets the number of servers of all services.
    void set_server_count(std::size_t n) { rates_.set_server_count(n); }
    /// Sets the number of live daemons.
    void set_daemon_count(std::size_t n) { rates_.set_daemon_count(n); }

    /// Decides on a request. Allowing a request with a quarantined part starts the trial of that part.
    [[nodiscard]] admission admit(const part_ids& parts, base::time_point now);

    /// Marks a request as being at the beginning of its answer.
    /// @return a token that ends this state when it is destroyed; it may outlive the guard.
    [[nodiscard]] std::shared_ptr<void> begin(const part_ids& parts);

    /// Records an attempt that broke off because its server ended, or perhaps for that reason.
    void record_crash(const part_ids& parts, const ended_attempt& a, base::time_point now);

    /// Records that a process has ended which was taken for one that may live.
    void confirm_end(std::uint64_t instance, base::time_point now);

    /// Records that an answer went on past its beginning. Clears the parts here until the attempt breaks off
    /// after all; peers are not told.
    void record_progress(const part_ids& parts, base::time_point now);

    /// Records that a request was answered, or that its answer went on for long.
    void record_success(const part_ids& parts, base::time_point now);

    /// @return evidence and decisions for peers, of bounded size.
    [[nodiscard]] crash_report report(base::time_point now) const;
    /// Adds what a peer has observed or was told.
    void merge(const crash_report& r, base::time_point now);

    /// Decides on evidence that has settled, and forgets what is old. To be called regularly.
    void expire(base::time_point now);

    /// Quarantines a part on behalf of an operator.
    void quarantine(std::uint64_t part, base::time_point now);
    /// Releases a part on behalf of an operator.
    void release(std::uint64_t part, base::time_point now);

    /// @return all parts that are in doubt or quarantined.
    [[nodiscard]] std::vector<part_status> status(base::time_point now) const;

    /// @return the state of those of the parts that have evidence or a decision.
    [[nodiscard]] std::vector<part_status> status_of(const part_ids& parts, base::time_point now) const;

private:
    struct crash {
        std::uint64_t server = 0;
        base::time_point at;
        std::uint32_t depth = 0;
        attempt_progress progress = attempt_progress::none;
        base::duration length{};
        bool confirmed = true;
    };
    struct verdict {
        std::uint32_t number = 0;
        bool quarantined = false;
        base::time_point at;
        base::duration period{};
    };
    struct part_state {
        std::map<std::uint64_t, crash> crashes;  ///< by instance of the server
        std::optional<base::time_point> last_success;
        std::optional<base::time_point> last_progress;  ///< of an answer that may still break off
        std::optional<verdict> decision;
        /// Start of the trial after the quarantine; absent if none runs.
        std::optional<base::time_point> trial_started;
    };
    struct evidence {
        std::size_t occasions = 0;  ///< ends, those at the same moment counted once
        std::size_t servers = 0;
        int score = 0;  ///< sum of the progress of the attempts
        base::duration length{};
        std::uint32_t depth = 0;
        base::time_point first;
        base::time_point last;
        bool all_beginning = false;  ///< the head of the response had arrived each time, and no event
        double chance = 1;           ///< probability that all this happened by chance
    };

    /// What a quarantined part tells of a crash.
    enum class explanation : std::uint8_t { none, by_own_part, by_shared_part };

    [[nodiscard]] static bool is_quarantined(const part_state& s) {
        return s.decision && s.decision->quarantined;
    }
    /// @return true if all evidence says that the part belongs to one request or its session.
    [[nodiscard]] static bool is_own(const part_state& s);
    /// @return false if a success or a release shows that the part was not the cause of the crash.
    [[nodiscard]] static bool counts(const part_state& s, const crash& c);
    /// Adds up the crashes that count.
    [[nodiscard]] evidence weigh(std::uint64_t part, const part_state& s, base::time_point now) const;
    /// @return whether a quarantined part other than the given one has ended the server.
    [[nodiscard]] explanation explained(std::uint64_t instance, std::uint64_t by_other_than) const;
    /// Adds up the crashes that count and that no quarantined part explains. If a shared part has ended a
    /// server without one, what only own parts explain is added too.
    [[nodiscard]] evidence unexplained(std::uint64_t part, const part_state& s, base::time_point now) const;
    /// @return true if no further request with the part may be sent now.
    [[nodiscard]] bool must_wait(std::uint64_t part, const part_state& s, base::time_point now) const;
    [[nodiscard]] bool in_doubt(std::uint64_t part, const part_state& s, base::time_point now) const;
    /// @return true if chance is excluded, apart from what peers may still report.
    [[nodiscard]] bool significant(const evidence& e, base::time_point now) const;
    /// @return true if `a` explains more than `b`.
    [[nodiscard]] static bool stronger(const evidence& a, const evidence& b);
    /// @return why the evidence does not suffice; empty if it does.
    [[nodiscard]] std::string_view undecided(const evidence& e, base::time_point now) const;
    [[nodiscard]] part_status status_of(std::uint64_t part, const part_state& s, base::time_point now) const;
    /// @return true if the crash is new evidence.
    bool add_crash(std::uint64_t part, std::uint64_t instance, const crash& c);
    /// Counts an answered request, whatever its parts.
    void note_other_success(base::time_point now);
    void report_news(bool own) const;
    /// @return true if peers should hear of it too.
    bool merge_evidence(const crash_report& r, base::time_point now);
    /// Replaces the decision on a part.
    void decide(std::uint64_t part, verdict v, std::string_view source, base::time_point now);
    /// Quarantines parts as long as the evidence against one suffices.
    void decide_on_evidence(base::time_point now);
    void limit_size();
    [[nodiscard]] part_state& state_of(std::uint64_t part) { return parts_[part]; }

    prompt_guard_hooks hooks_;
    end_rates rates_;
    base::duration settle_time_ = std::chrono::milliseconds{400};
    /// Parts with evidence or a decision.
    std::map<std::uint64_t, part_state> parts_;
    using times_by_part = std::unordered_map<std::uint64_t, base::time_point>;

    static void remember(times_by_part& times, const part_ids& parts, base::time_point now);

    /// Latest success and latest progress of parts without evidence.
    times_by_part recent_successes_;
    times_by_part recent_progress_;
    base::time_point next_cleanup_;
    /// Requests at the beginning of their answers, by part.
    std::shared_ptr<std::unordered_map<std::uint64_t, int>> beginning_ =
        std::make_shared<std::unordered_map<std::uint64_t, int>>();
    /// Servers of whose ends peers have been told, by instance.
    std::map<std::uint64_t, base::time_point> told_ends_;
    /// Latest successes of any requests, the newest last.
    std::vector<base::time_point> latest_successes_;
};

}  // namespace chicorygap::crash_guard
