#include "crash_guard/prompt_guard.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <tuple>
#include <utility>

namespace chicorygap::crash_guard {

namespace {

using namespace std::chrono_literals;

/// Score from which a part is in doubt: one server that ended as it began to answer.
constexpr int doubt_score = static_cast<int>(attempt_progress::beginning);
/// Score from which a part is quarantined: two such servers.
constexpr int quarantine_score = 2 * doubt_score;
/// Score that needs no time to settle, since sound parts do not reach it by chance.
constexpr int certain_score = 2 * quarantine_score;
constexpr std::size_t min_crashed_servers = 2;
/// Successes of other requests since the first crash. Without them the servers are at fault, not a part.
constexpr std::size_t min_other_successes = 1;
/// A success within this time before a crash shows that the part was not its cause.
constexpr base::duration success_memory = 3s;
/// Time until one request may try a quarantined part again; doubles after each failed trial.
constexpr base::duration first_quarantine = 60s;
constexpr base::duration longest_quarantine = 1h;
/// A trial whose request left no trace is repeated after this time.
constexpr base::duration trial_timeout = 20s;
/// Evidence that did not lead to a decision, and released parts, are forgotten after this time.
constexpr base::duration evidence_lifetime = 10min;
constexpr std::size_t max_parts = 256;
constexpr std::size_t max_crashes_per_part = 8;
constexpr std::size_t max_recent_successes = 4096;
/// The same for parts that belong to one request, which must not displace the shared ones.
constexpr std::size_t max_recent_own_successes = 2048;
constexpr base::duration cleanup_interval = 1s;
/// Limits of one report, which is sent with every beacon while a part is in doubt or quarantined.
constexpr std::size_t max_reported_crashes = 24;
constexpr std::size_t max_reported_successes = 16;
constexpr std::size_t max_reported_verdicts = 16;

/// Source of decisions that a peer told.
constexpr std::string_view source_peer = "peer";

/// @return the larger position. A part that another prompt shares is not an own part.
std::uint32_t deeper(std::uint32_t a, std::uint32_t b) {
    return a == own_part_depth ? b : b == own_part_depth ? a : std::max(a, b);
}

int weight(attempt_progress p) {
    return static_cast<int>(p);
}

}  // namespace

std::string part_text(std::uint64_t part) {
    std::array<char, 16> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), part, 16).ptr;
    return {buf.data(), end};
}

bool prompt_guard::counts(const part_state& s, const crash& c) {
    const bool cleared = s.last_success && c.at <= *s.last_success + success_memory;
    const bool decided_before = s.decision && !s.decision->quarantined && c.at <= s.decision->at;
    return !cleared && !decided_before;
}

bool prompt_guard::is_own(const part_state& s) {
    return !s.crashes.empty() && std::all_of(s.crashes.begin(), s.crashes.end(),
                                             [](const auto& c) { return c.second.depth == own_part_depth; });
}

// A server that ended under a quarantined part is no evidence against the other parts there.
prompt_guard::explanation prompt_guard::explained(std::uint64_t server, std::uint64_t by_other_than) const {
    auto out = explanation::none;
    for (const auto& [part, s] : parts_) {
        if (part == by_other_than || !is_quarantined(s)) {
            continue;
        }
        const auto it = s.crashes.find(server);
        if (it != s.crashes.end() && it->second.progress != attempt_progress::waiting) {
            out = std::max(out, is_own(s) ? explanation::by_own_part : explanation::by_shared_part);
        }
    }
    return out;
}

prompt_guard::evidence prompt_guard::weigh(const part_state& s) const {
    evidence e;
    for (const auto& [server, c] : s.crashes) {
        if (counts(s, c)) {
            e.first = e.servers == 0 ? c.at : std::min(e.first, c.at);
            e.score += weight(c.progress);
            e.answering_score += c.progress == attempt_progress::waiting ? 0 : weight(c.progress);
            e.depth = std::max(e.depth, c.depth);
            ++e.servers;
        }
    }
    return e;
}

prompt_guard::evidence prompt_guard::unexplained(std::uint64_t part, const part_state& s) const {
    part_state open{.crashes = {}, .last_success = s.last_success, .decision = s.decision};
    auto supported = open;
    bool ended_another = false;
    for (const auto& c : s.crashes) {
        const bool begins = c.second.progress == attempt_progress::beginning;
        const auto e = explained(c.first, part);
        if (e == explanation::none) {
            open.crashes.insert(c);
            supported.crashes.insert(c);
            ended_another |= begins && counts(s, c.second);
        } else if (e == explanation::by_own_part && begins) {
            supported.crashes.insert(c);
        }
    }
    return weigh(ended_another && !is_own(s) ? supported : open);
}

bool prompt_guard::in_doubt(std::uint64_t part, const part_state& s) const {
    return !is_quarantined(s) && !s.crashes.empty() && unexplained(part, s).score >= doubt_score;
}

std::string_view prompt_guard::undecided(const evidence& e, base::time_point now) const {
    if (e.servers < min_crashed_servers) {
        return e.servers == 0 ? "cleared" : "one_server";
    }
    if (e.score < quarantine_score) {
        return "score";
    }
    if (e.answering_score < doubt_score) {
        return "no_head";
    }
    const auto others = static_cast<std::size_t>(std::count_if(
        latest_successes_.begin(), latest_successes_.end(), [&](const auto& at) { return at >= e.first; }));
    if (others < min_other_successes) {
        return "no_success";
    }
    return now - e.first >= settle_time_ || e.score >= certain_score ? "" : "settling";
}

bool prompt_guard::must_wait(std::uint64_t part, const part_state& s, base::time_point now) const {
    if (s.crashes.empty()) {
        return false;
    }
    const auto e = unexplained(part, s);
    const bool settling = e.score >= quarantine_score && now - e.first < settle_time_;
    return settling || (e.score >= doubt_score && beginning_->contains(part));
}

admission prompt_guard::admit(const part_ids& parts, base::time_point now) {
    if (parts_.empty()) {
        return {};
    }
    admission out;
    part_state* trial = nullptr;
    for (const auto part : parts.ids) {
        const auto it = parts_.find(part);
        if (it == parts_.end()) {
            continue;
        }
        auto& s = it->second;
        if (is_quarantined(s)) {
            const auto open_at = s.decision->at + s.decision->period;
            const bool trying = s.trial_started && now < *s.trial_started + trial_timeout;
            if (now >= open_at && !trying && hooks_.may_try && hooks_.may_try()) {
                trial = &s;
                continue;
            }
            return {.decision = admission::kind::refused,
                    .part = part,
                    .retry_after = std::max<base::duration>(open_at - now, trial_timeout)};
        }
        if (must_wait(part, s, now)) {
            out = {.decision = admission::kind::wait, .part = part};
        }
    }
    if (trial != nullptr && out.decision == admission::kind::allowed) {
        trial->trial_started = now;
        out.trial = true;
    }
    return out;
}

std::shared_ptr<void> prompt_guard::begin(const part_ids& parts) {
    for (const auto part : parts.ids) {
        ++(*beginning_)[part];
    }
    return {beginning_.get(), [counts = beginning_, ids = parts.ids](void*) {
                for (const auto part : ids) {
                    const auto it = counts->find(part);
                    if (it != counts->end() && --it->second <= 0) {
                        counts->erase(it);
                    }
                }
            }};
}

void prompt_guard::report_news(bool own) const {
    if (hooks_.news) {
        hooks_.news(own);
    }
}

bool prompt_guard::add_crash(std::uint64_t part, std::uint64_t server, crash c) {
    auto& s = state_of(part);
    if (const auto known = recent_successes_.find(part); known != recent_successes_.end()) {
        s.last_success = std::max(s.last_success.value_or(known->second), known->second);
    }
    if (!counts(s, c)) {
        return false;
    }
    const auto [it, added] = s.crashes.emplace(server, c);
    if (!added && !counts(s, it->second)) {
        it->second = c;
    } else if (!added) {
        // The earliest time, since each report that returns from a peer is a little late.
        it->second.at = std::min(it->second.at, c.at);
        it->second.depth = deeper(it->second.depth, c.depth);
        it->second.progress = std::max(it->second.progress, c.progress);
    }
    if (s.crashes.size() > max_crashes_per_part) {
        s.crashes.erase(
            std::min_element(s.crashes.begin(), s.crashes.end(),
                             [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
    }
    return added;
}

void prompt_guard::record_crash(const part_ids& parts, std::uint64_t server, attempt_progress progress,
                                base::time_point now) {
    if (progress == attempt_progress::none) {
        return;
    }
    bool news = false;
    for (std::size_t i = 0; i < parts.ids.size(); ++i) {
        const auto part = parts.ids[i];
        // A part that one request alone has is worth a record only if its answer had begun.
        if (parts.is_own(i) && progress == attempt_progress::waiting) {
            continue;
        }
        news |= add_crash(part, server, {now, parts.depth(i), progress});
        auto& s = state_of(part);
        if (is_quarantined(s) && std::exchange(s.trial_started, std::nullopt) &&
            progress != attempt_progress::waiting) {
            const auto& d = *s.decision;
            decide(part,
                   {d.number + 1, true, now, std::min<base::duration>(d.period * 2, longest_quarantine)},
                   "trial", now);
        }
    }
    decide_on_evidence(now);
    limit_size();
    if (news && progress == attempt_progress::beginning) {
        report_news(true);
    }
}

void prompt_guard::record_success(const part_ids& parts, base::time_point now) {
    if (latest_successes_.size() >= min_other_successes) {
        latest_successes_.erase(latest_successes_.begin());
    }
    latest_successes_.push_back(now);
    for (std::size_t i = 0; i < parts.ids.size(); ++i) {
        const auto part = parts.ids[i];
        const auto limit = parts.is_own(i) ? max_recent_own_successes : max_recent_successes;
        if (recent_successes_.size() < limit || recent_successes_.contains(part)) {
            recent_successes_[part] = now;
        }
        const auto it = parts_.find(part);
        if (it == parts_.end()) {
            continue;
        }
        it->second.last_success = now;
        if (is_quarantined(it->second) && std::exchange(it->second.trial_started, std::nullopt)) {
            decide(part, {it->second.decision->number + 1, false, now, {}}, "trial", now);
        }
    }
}

void prompt_guard::decide(std::uint64_t part, verdict v, std::string_view source, base::time_point now) {
    auto& s = state_of(part);
    const bool changed = is_quarantined(s) != v.quarantined;
    s.decision = v;
    if (!v.quarantined) {
        s.crashes.clear();
    }
    if (!changed) {
        return;
    }
    if (hooks_.decided) {
        hooks_.decided(status_of(part, s, now), source);
    }
    report_news(source != source_peer);
}

// Takes the best explanation first: the part with the most evidence, and of parts that occur together the one
// behind the others, which fewer sound requests share.
void prompt_guard::decide_on_evidence(base::time_point now) {
    while (true) {
        std::optional<std::uint64_t> best;
        evidence best_evidence;
        for (const auto& [part, s] : parts_) {
            if (is_quarantined(s) || s.crashes.size() < min_crashed_servers) {
                continue;
            }
            const auto e = unexplained(part, s);
            const bool better = !best || std::tie(e.answering_score, e.depth) >
                                             std::tie(best_evidence.answering_score, best_evidence.depth);
            if (e.score >= quarantine_score && e.answering_score >= doubt_score && better) {
                best = part;
                best_evidence = e;
            }
        }
        if (!best || !sufficient(best_evidence, now)) {
            return;
        }
        const auto number = parts_[*best].decision ? parts_[*best].decision->number + 1 : 1;
        decide(*best, {number, true, now, first_quarantine}, "evidence", now);
    }
}

crash_report prompt_guard::report(base::time_point now) const {
    crash_report out;
    // Of equal scores, the shared parts first: each request that was beginning on a server adds an own part.
    using rank = std::pair<int, bool>;
    std::vector<std::pair<rank, const std::pair<const std::uint64_t, part_state>*>> by_score;
    for (const auto& p : parts_) {
        const auto& [part, s] = p;
        const int score = is_quarantined(s) ? weigh(s).score : unexplained(part, s).score;
        by_score.emplace_back(rank{score, !is_own(s)}, &p);
        if (s.decision && out.verdicts.size() < max_reported_verdicts) {
            out.verdicts.push_back({part, s.decision->number, s.decision->quarantined, now - s.decision->at,
                                    s.decision->period});
        }
        // Peers that heard of the crash, but not of the success, have the part in doubt.
        const bool cleared = s.last_success && now - *s.last_success <= success_memory;
        if (cleared && out.successes.size() < max_reported_successes) {
            out.successes.push_back({part, now - *s.last_success});
        }
    }
    std::stable_sort(by_score.begin(), by_score.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    for (const auto& [score, p] : by_score) {
        for (const auto& [server, c] : p->second.crashes) {
            if (out.crashes.size() < max_reported_crashes && counts(p->second, c)) {
                out.crashes.push_back({p->first, server, c.depth, c.progress, now - c.at});
            }
        }
    }
    return out;
}

void prompt_guard::merge(const crash_report& r, base::time_point now) {
    for (const auto& v : r.verdicts) {
        const auto& s = state_of(v.part);
        const bool newer = !s.decision || v.number > s.decision->number ||
                           (v.number == s.decision->number && v.quarantined && !s.decision->quarantined);
        if (newer) {
            decide(v.part, {v.number, v.quarantined, now - v.age, v.period}, source_peer, now);
        }
    }
    bool news = false;
    for (const auto& c : r.crashes) {
        if (c.age <= evidence_lifetime) {
            news |= add_crash(c.part, c.server, {now - c.age, c.depth, c.progress}) &&
                    c.progress == attempt_progress::beginning;
        }
    }
    for (const auto& x : r.successes) {
        if (x.age <= success_memory) {
            auto& s = state_of(x.part);
            s.last_success = std::max(s.last_success.value_or(now - x.age), now - x.age);
        }
    }
    if (!r.crashes.empty()) {
        decide_on_evidence(now);
    }
    limit_size();
    if (news) {
        report_news(false);
    }
}

void prompt_guard::expire(base::time_point now) {
    if (!parts_.empty()) {
        decide_on_evidence(now);
    }
    if (now < next_cleanup_) {
        return;
    }
    next_cleanup_ = now + cleanup_interval;
    std::erase_if(recent_successes_, [&](const auto& x) { return now - x.second > success_memory; });
    for (auto& [part, s] : parts_) {
        std::erase_if(s.crashes, [&, &state = s](const auto& c) {
            const bool settled = now - c.second.at > success_memory && !counts(state, c.second);
            return settled || now - c.second.at > evidence_lifetime;
        });
    }
    std::erase_if(parts_, [&](const auto& p) {
        const auto& [crashes, last_success, d, trial] = p.second;
        return crashes.empty() && (!last_success || now - *last_success > success_memory) &&
               (!d || now - d->at > d->period + evidence_lifetime);
    });
}

// Forgets the parts with the least evidence first, so that many parts that occur once cannot displace one
// that ends servers.
void prompt_guard::limit_size() {
    while (parts_.size() > max_parts) {
        const auto rank = [](const part_state& s) {
            base::time_point latest;
            for (const auto& [server, c] : s.crashes) {
                latest = std::max(latest, c.at);
            }
            return std::make_tuple(is_quarantined(s), s.crashes.size(), !is_own(s), latest);
        };
        parts_.erase(std::min_element(parts_.begin(), parts_.end(), [&](const auto& a, const auto& b) {
            return rank(a.second) < rank(b.second);
        }));
    }
}

void prompt_guard::quarantine(std::uint64_t part, base::time_point now) {
    const auto& s = state_of(part);
    decide(part, {s.decision ? s.decision->number + 1 : 1, true, now, first_quarantine}, "operator", now);
}

void prompt_guard::release(std::uint64_t part, base::time_point now) {
    const auto it = parts_.find(part);
    if (it != parts_.end()) {
        const auto& d = it->second.decision;
        decide(part, {d ? d->number + 1 : 1, false, now, {}}, "operator", now);
    }
}

part_status prompt_guard::status_of(std::uint64_t part, const part_state& s, base::time_point now) const {
    const auto e = weigh(s);
    part_status out{.part = part, .quarantined = is_quarantined(s), .score = e.score, .servers = e.servers};
    out.age = s.decision ? now - s.decision->at : e.servers > 0 ? now - e.first : base::duration{};
    if (out.quarantined) {
        out.retry_after =
            std::max<base::duration>(base::duration{}, s.decision->at + s.decision->period - now);
    } else {
        out.undecided = undecided(unexplained(part, s), now);
    }
    return out;
}

std::vector<part_status> prompt_guard::status_of(const part_ids& parts, base::time_point now) const {
    std::vector<part_status> out;
    for (const auto part : parts.ids) {
        if (const auto it = parts_.find(part); it != parts_.end()) {
            out.push_back(status_of(part, it->second, now));
        }
    }
    return out;
}

std::vector<part_status> prompt_guard::status(base::time_point now) const {
    std::vector<part_status> out;
    for (const auto& [part, s] : parts_) {
        if (is_quarantined(s) || in_doubt(part, s)) {
            out.push_back(status_of(part, s, now));
        }
    }
    return out;
}

}  // namespace chicorygap::crash_guard
