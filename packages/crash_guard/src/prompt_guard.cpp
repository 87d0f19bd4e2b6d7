#include "crash_guard/prompt_guard.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace chicorygap::crash_guard {

namespace {

using namespace std::chrono_literals;

/// Probability of chance below which a part is in doubt.
constexpr double doubt_chance = 0.01;
/// Lowest probability of chance of one end, since rates that few observations give are not exact.
constexpr double min_chance = 0.005;
constexpr std::size_t min_occasions = 2;
/// Ends that need no time to settle, since sound parts do not reach this number by chance.
constexpr std::size_t certain_occasions = 4;
/// Time after the end of a server in which all daemons tell which requests were there.
constexpr base::duration comparison_time = 200ms;
constexpr std::size_t min_crashed_servers = 2;
/// Ends of servers within this time have one cause, unless the later attempt began after the earlier end.
constexpr base::duration same_moment = 100ms;
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
constexpr std::size_t max_crashes_per_part = 16;
constexpr std::size_t max_told_ends = 4096;
constexpr std::size_t max_recent_successes = 4096;
/// The same for parts that belong to one request, which must not displace the shared ones.
constexpr std::size_t max_recent_own_successes = 2048;
constexpr base::duration cleanup_interval = 1s;
/// Limits of one report, which is sent with every beacon while a part is in doubt or quarantined.
constexpr std::size_t max_reported_crashes = 24;
constexpr std::size_t max_reported_successes = 16;
constexpr std::size_t max_reported_verdicts = 16;
constexpr std::size_t max_reported_ends = 16;

/// Why there is no decision while peers may still report.
constexpr std::string_view reason_settling = "settling";
/// Time for which a single end under an own part is reported. Each end of a server leaves several of these.
constexpr base::duration reported_own_memory = 20s;
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
    const auto covers = [&](const auto& success) { return success && c.at <= *success + success_memory; };
    const bool cleared = covers(s.last_success) || covers(s.last_progress);
    const bool decided_before = s.decision && !s.decision->quarantined && c.at <= s.decision->at;
    return !cleared && !decided_before;
}

bool prompt_guard::is_own(const part_state& s) {
    return !s.crashes.empty() && std::all_of(s.crashes.begin(), s.crashes.end(),
                                             [](const auto& c) { return c.second.depth == own_part_depth; });
}

// A server that ended under a quarantined part is no evidence against the other parts there.
prompt_guard::explanation prompt_guard::explained(std::uint64_t instance, std::uint64_t by_other_than) const {
    auto out = explanation::none;
    for (const auto& [part, s] : parts_) {
        if (part == by_other_than || !is_quarantined(s)) {
            continue;
        }
        if (s.crashes.contains(instance)) {
            out = std::max(out, is_own(s) ? explanation::by_own_part : explanation::by_shared_part);
        }
    }
    return out;
}

prompt_guard::evidence prompt_guard::weigh(std::uint64_t part, const part_state& s,
                                           base::time_point now) const {
    std::vector<const crash*> counted;
    std::set<std::uint64_t> servers;
    for (const auto& [instance, c] : s.crashes) {
        if (counts(s, c)) {
            counted.push_back(&c);
            servers.insert(c.server);
        }
    }
    evidence e;
    if (counted.empty()) {
        return e;
    }
    std::sort(counted.begin(), counted.end(), [](const auto* a, const auto* b) { return a->at < b->at; });
    e.servers = servers.size();
    e.first = counted.front()->at;
    e.last = counted.back()->at;
    e.all_beginning = std::all_of(counted.begin(), counted.end(),
                                  [](const auto* c) { return c->progress == attempt_progress::beginning; });
    const double end_rate = rates_.ends_without(s.crashes, e.first, now);
    const double break_share = rates_.break_share_without(part, now);
    base::time_point moment;
    double chance_in_moment = 0;
    for (const auto* c : counted) {
        e.score += weight(c->progress);
        e.length += c->length;
        e.depth = std::max(e.depth, c->depth);
        const double length_s = std::chrono::duration<double>(c->length).count();
        const double ended = std::max(min_chance, 1 - std::exp(-end_rate * length_s));
        const double chance = c->confirmed ? ended : std::max(ended, break_share);
        if (e.occasions == 0 || c->at - moment >= same_moment || c->at - c->length >= moment) {
            ++e.occasions;
            e.chance *= chance;
            chance_in_moment = chance;
        } else if (chance > chance_in_moment) {
            e.chance *= chance / chance_in_moment;
            chance_in_moment = chance;
        }
        moment = c->at;
    }
    return e;
}

prompt_guard::evidence prompt_guard::unexplained(std::uint64_t part, const part_state& s,
                                                 base::time_point now) const {
    part_state open{.crashes = {},
                    .last_success = s.last_success,
                    .last_progress = s.last_progress,
                    .decision = s.decision};
    auto supported = open;
    bool ended_another = false;
    for (const auto& c : s.crashes) {
        const auto e = explained(c.first, part);
        if (e == explanation::none) {
            open.crashes.insert(c);
            supported.crashes.insert(c);
            ended_another |= counts(s, c.second);
        } else if (e == explanation::by_own_part) {
            supported.crashes.insert(c);
        }
    }
    return weigh(part, ended_another && !is_own(s) ? supported : open, now);
}

bool prompt_guard::in_doubt(std::uint64_t part, const part_state& s, base::time_point now) const {
    return !is_quarantined(s) && !s.crashes.empty() && unexplained(part, s, now).chance <= doubt_chance;
}

bool prompt_guard::significant(const evidence& e, base::time_point now) const {
    return e.servers >= min_crashed_servers && e.occasions >= min_occasions &&
           e.chance <= rates_.significance(now);
}

// Of parts with the same ends, the one behind the others, which fewer sound requests share; an own part is
// behind all. Then the one whose requests were the shortest time on these servers.
bool prompt_guard::stronger(const evidence& a, const evidence& b) {
    return std::make_tuple(a.occasions, a.score, a.depth, -a.length) >
           std::make_tuple(b.occasions, b.score, b.depth, -b.length);
}

std::string_view prompt_guard::undecided(const evidence& e, base::time_point now) const {
    if (e.occasions < min_occasions) {
        return e.occasions == 0 ? "cleared" : "one_end";
    }
    if (e.servers < min_crashed_servers) {
        return "one_server";
    }
    if (!significant(e, now)) {
        return "chance";
    }
    const auto others = static_cast<std::size_t>(std::count_if(
        latest_successes_.begin(), latest_successes_.end(), [&](const auto& at) { return at >= e.first; }));
    if (others < min_other_successes) {
        return "no_success";
    }
    // A request whose answer had begun, and had no event yet, needs no comparison with the others there.
    const bool compared = e.all_beginning || now - e.last >= comparison_time;
    const bool settled = now - e.first >= settle_time_ || e.occasions >= certain_occasions;
    return compared && settled ? "" : reason_settling;
}

bool prompt_guard::must_wait(std::uint64_t part, const part_state& s, base::time_point now) const {
    if (s.crashes.empty()) {
        return false;
    }
    const auto e = unexplained(part, s, now);
    const bool settling = significant(e, now) && undecided(e, now) == reason_settling;
    return settling || (e.chance <= doubt_chance && beginning_->contains(part));
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

bool prompt_guard::add_crash(std::uint64_t part, std::uint64_t instance, const crash& c) {
    auto& s = state_of(part);
    if (const auto known = recent_successes_.find(part); known != recent_successes_.end()) {
        s.last_success = std::max(s.last_success.value_or(known->second), known->second);
    }
    if (const auto known = recent_progress_.find(part); known != recent_progress_.end()) {
        s.last_progress = std::max(s.last_progress.value_or(known->second), known->second);
    }
    if (!counts(s, c)) {
        return false;
    }
    const auto [it, added] = s.crashes.emplace(instance, c);
    auto& x = it->second;
    if (!added && !counts(s, x)) {
        x = c;
    } else if (!added) {
        // The earliest time, since each report that returns from a peer is a little late.
        x.at = std::min(x.at, c.at);
        x.depth = deeper(x.depth, c.depth);
        x.progress = std::max(x.progress, c.progress);
        x.length = std::min(x.length, c.length);
        x.confirmed = x.confirmed || c.confirmed;
    }
    if (s.crashes.size() > max_crashes_per_part) {
        s.crashes.erase(
            std::min_element(s.crashes.begin(), s.crashes.end(),
                             [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
    }
    return added;
}

void prompt_guard::record_crash(const part_ids& parts, const ended_attempt& a, base::time_point now) {
    if (a.progress == attempt_progress::none) {
        return;
    }
    if (a.confirmed) {
        rates_.record_end(a.instance, now);
    } else {
        rates_.record_break(parts.ids, now);
    }
    bool added = false;
    for (std::size_t i = 0; i < parts.ids.size(); ++i) {
        const auto part = parts.ids[i];
        if (a.progressed) {
            recent_progress_.erase(part);
            state_of(part).last_progress.reset();
        }
        added |= add_crash(part, a.instance,
                           {.server = a.server,
                            .at = now,
                            .depth = parts.depth(i),
                            .progress = a.progress,
                            .length = a.length,
                            .confirmed = a.confirmed});
        auto& s = state_of(part);
        if (is_quarantined(s) && std::exchange(s.trial_started, std::nullopt)) {
            const auto& d = *s.decision;
            decide(part,
                   {d.number + 1, true, now, std::min<base::duration>(d.period * 2, longest_quarantine)},
                   "trial", now);
        }
    }
    decide_on_evidence(now);
    limit_size();
    if (told_ends_.size() > max_told_ends) {
        told_ends_.clear();
    }
    if (added && told_ends_.emplace(a.instance, now).second) {
        report_news(true);
    }
}

void prompt_guard::confirm_end(std::uint64_t instance, base::time_point now) {
    bool changed = false;
    for (auto& [part, s] : parts_) {
        const auto it = s.crashes.find(instance);
        if (it != s.crashes.end() && !std::exchange(it->second.confirmed, true)) {
            rates_.record_end(instance, it->second.at);
            changed = true;
        }
    }
    if (changed) {
        decide_on_evidence(now);
    }
}

void prompt_guard::remember(times_by_part& times, const part_ids& parts, base::time_point now) {
    for (std::size_t i = 0; i < parts.ids.size(); ++i) {
        const auto limit = parts.is_own(i) ? max_recent_own_successes : max_recent_successes;
        if (times.size() < limit || times.contains(parts.ids[i])) {
            times[parts.ids[i]] = now;
        }
    }
}

void prompt_guard::record_progress(const part_ids& parts, base::time_point now) {
    note_other_success(now);
    remember(recent_progress_, parts, now);
    for (const auto part : parts.ids) {
        if (const auto it = parts_.find(part); it != parts_.end()) {
            it->second.last_progress = now;
        }
    }
}

void prompt_guard::note_other_success(base::time_point now) {
    if (latest_successes_.size() >= min_other_successes) {
        latest_successes_.erase(latest_successes_.begin());
    }
    latest_successes_.push_back(now);
    rates_.record_answer(now);
}

void prompt_guard::record_success(const part_ids& parts, base::time_point now) {
    note_other_success(now);
    remember(recent_successes_, parts, now);
    for (const auto part : parts.ids) {
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

// Takes the best explanation first, since its ends are then no evidence against the other parts there.
void prompt_guard::decide_on_evidence(base::time_point now) {
    while (true) {
        std::optional<std::uint64_t> best;
        evidence best_evidence;
        for (const auto& [part, s] : parts_) {
            if (is_quarantined(s) || s.crashes.size() < min_occasions) {
                continue;
            }
            const auto e = unexplained(part, s, now);
            if (significant(e, now) && (!best || stronger(e, best_evidence))) {
                best = part;
                best_evidence = e;
            }
        }
        if (!best || !undecided(best_evidence, now).empty()) {
            return;
        }
        const auto number = parts_[*best].decision ? parts_[*best].decision->number + 1 : 1;
        decide(*best, {number, true, now, first_quarantine}, "evidence", now);
    }
}

crash_report prompt_guard::report(base::time_point now) const {
    crash_report out;
    // Of the same number of ends, the shared parts first: each request that was beginning on a server adds an
    // own part.
    using rank = std::pair<std::size_t, bool>;
    std::vector<std::pair<rank, const std::pair<const std::uint64_t, part_state>*>> by_ends;
    for (const auto& p : parts_) {
        const auto& [part, s] = p;
        const auto e = is_quarantined(s) ? weigh(part, s, now) : unexplained(part, s, now);
        by_ends.emplace_back(rank{e.occasions, !is_own(s)}, &p);
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
    std::stable_sort(by_ends.begin(), by_ends.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    for (const auto& [r, p] : by_ends) {
        const bool single_own = r.first < min_occasions && is_own(p->second);
        for (const auto& [instance, c] : p->second.crashes) {
            const bool old = single_own && now - c.at > reported_own_memory;
            if (out.crashes.size() < max_reported_crashes && counts(p->second, c) && !old) {
                out.crashes.push_back(
                    {p->first, c.server, instance, c.depth, c.progress, c.length, c.confirmed, now - c.at});
            }
        }
    }
    for (const auto& [instance, at] : rates_.latest_ends(max_reported_ends)) {
        out.ends.push_back({instance, now - at});
    }
    return out;
}

void prompt_guard::merge(const crash_report& r, base::time_point now) {
    // Before the decisions, whose lines in the log name the evidence.
    const bool news = merge_evidence(r, now);
    for (const auto& v : r.verdicts) {
        const auto& s = state_of(v.part);
        const bool newer = !s.decision || v.number > s.decision->number ||
                           (v.number == s.decision->number && v.quarantined && !s.decision->quarantined);
        if (newer) {
            decide(v.part, {v.number, v.quarantined, now - v.age, v.period}, source_peer, now);
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

bool prompt_guard::merge_evidence(const crash_report& r, base::time_point now) {
    for (const auto& e : r.ends) {
        if (e.age <= end_rates::memory) {
            rates_.record_end(e.instance, now - e.age);
        }
    }
    for (const auto& x : r.successes) {
        if (x.age <= success_memory) {
            auto& s = state_of(x.part);
            s.last_success = std::max(s.last_success.value_or(now - x.age), now - x.age);
        }
    }
    bool news = false;
    for (const auto& c : r.crashes) {
        const bool added = c.age <= evidence_lifetime && add_crash(c.part, c.instance,
                                                                   {.server = c.server,
                                                                    .at = now - c.age,
                                                                    .depth = c.depth,
                                                                    .progress = c.progress,
                                                                    .length = c.length,
                                                                    .confirmed = c.confirmed});
        news |= added && told_ends_.emplace(c.instance, now).second;
    }
    return news;
}

void prompt_guard::expire(base::time_point now) {
    if (!parts_.empty()) {
        decide_on_evidence(now);
    }
    if (now < next_cleanup_) {
        return;
    }
    next_cleanup_ = now + cleanup_interval;
    rates_.expire(now);
    std::erase_if(told_ends_, [&](const auto& x) { return now - x.second > evidence_lifetime; });
    for (auto* times : {&recent_successes_, &recent_progress_}) {
        std::erase_if(*times, [&](const auto& x) { return now - x.second > success_memory; });
    }
    for (auto& [part, s] : parts_) {
        std::erase_if(s.crashes, [&, &state = s](const auto& c) {
            const bool settled = now - c.second.at > success_memory && !counts(state, c.second);
            return settled || now - c.second.at > evidence_lifetime;
        });
    }
    std::erase_if(parts_, [&](const auto& p) {
        const auto& [crashes, last_success, last_progress, d, trial] = p.second;
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
    const auto e = is_quarantined(s) ? weigh(part, s, now) : unexplained(part, s, now);
    part_status out{.part = part,
                    .quarantined = is_quarantined(s),
                    .chance = e.chance,
                    .ends = e.occasions,
                    .servers = e.servers};
    out.age = s.decision ? now - s.decision->at : e.occasions > 0 ? now - e.first : base::duration{};
    if (out.quarantined) {
        out.retry_after =
            std::max<base::duration>(base::duration{}, s.decision->at + s.decision->period - now);
    } else {
        out.undecided = undecided(e, now);
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
        if (is_quarantined(s) || in_doubt(part, s, now)) {
            out.push_back(status_of(part, s, now));
        }
    }
    return out;
}

}  // namespace chicorygap::crash_guard
