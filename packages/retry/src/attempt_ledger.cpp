#include "retry/attempt_ledger.h"

#include "base/error.h"
#include "retry/budget.h"

#include <algorithm>

namespace chicorygap::retry {

using base::result_code;

namespace {

// Outcomes after which another server may succeed. Caller errors would be repeated, and a request that the
// caller or admission ended must not start again.
bool is_retryable(result_code c) {
    switch (c) {
        case result_code::connect_failed:
        case result_code::first_byte_timeout:
        case result_code::token_gap_timeout:
        case result_code::answer_truncated:
        case result_code::answer_mismatched:
        case result_code::backend_refused:
        case result_code::backend_failed:
        case result_code::no_backend_server:
            return true;
        default:
            return false;
    }
}

}  // namespace

attempt_ledger::attempt_ledger(request_terms t) : terms_{t} {}

std::uint32_t attempt_ledger::start(base::time_point now) {
    if (!terms_.idempotent && may_have_run()) {
        throw base::error{result_code::internal, "second attempt of a non-idempotent request"};
    }
    attempts_.push_back({.started = now, .resume_at = delivered_});
    return attempts();
}

bool attempt_ledger::progressed(std::uint32_t number, std::uint64_t tokens) {
    auto* a = running(number);
    if (a == nullptr) {
        return false;
    }
    const bool feeds = can_feed(number);
    a->tokens += tokens;
    if (feeds) {
        source_ = number;
        delivered_ += tokens;
    }
    return feeds;
}

bool attempt_ledger::finished(std::uint32_t number, attempt_outcome o) {
    auto* a = running(number);
    if (a == nullptr) {
        return false;
    }
    const bool feeds = can_feed(number);
    a->in_flight = false;
    a->outcome = o;
    if (!feeds) {
        return false;
    }
    last_ = o;
    succeeded_ = o.code == result_code::ok;
    source_ = succeeded_ ? number : 0;
    return true;
}

next_attempt attempt_ledger::next(budget& b, base::time_point now) const {
    if (const auto reason = refusal(now); reason != result_code::ok) {
        return {false, reason, 0};
    }
    // An attempt that never reached a server costs it nothing, so that repeating it needs no budget.
    if (!attempts_.empty() && !last_was_unsent() && !b.try_spend(now)) {
        return {false, result_code::retries_exhausted, 0};
    }
    return {true, result_code::ok, delivered_};
}

next_attempt attempt_ledger::hedge(budget& b, base::time_point now) const {
    const auto due = hedge_time();
    if (!due || now < *due) {
        return {false, result_code::internal, 0};
    }
    if (const auto reason = obstacle(now); reason != result_code::ok) {
        return {false, reason, 0};
    }
    if (!b.try_spend(now)) {
        return {false, result_code::retries_exhausted, 0};
    }
    return {true, result_code::ok, delivered_};
}

std::optional<base::time_point> attempt_ledger::hedge_time() const {
    if (!terms_.hedge_after || !terms_.idempotent || in_flight() != 1 || source_ != 0 ||
        attempts() >= terms_.max_attempts) {
        return std::nullopt;
    }
    const auto it = std::ranges::find_if(attempts_, &attempt::in_flight);
    return it->started + *terms_.hedge_after;
}

std::vector<std::uint32_t> attempt_ledger::redundant() const {
    std::vector<std::uint32_t> out;
    for (std::uint32_t n = 1; n <= attempts(); n++) {
        if (attempts_[n - 1].in_flight && !can_feed(n)) {
            out.push_back(n);
        }
    }
    return out;
}

base::run_state attempt_ledger::run_state() const {
    auto s = base::run_state::not_run;
    for (const auto& a : attempts_) {
        s = base::combine(s, state_of(a));
    }
    return s;
}

std::uint32_t attempt_ledger::in_flight() const {
    return static_cast<std::uint32_t>(std::ranges::count_if(attempts_, &attempt::in_flight));
}

attempt_ledger::attempt* attempt_ledger::running(std::uint32_t number) {
    if (number == 0 || number > attempts() || !attempts_[number - 1].in_flight) {
        return nullptr;
    }
    return &attempts_[number - 1];
}

bool attempt_ledger::can_feed(std::uint32_t number) const {
    if (source_ != 0) {
        return source_ == number;
    }
    // An attempt whose output was discarded, or that started at another position, would leave a gap or repeat
    // tokens.
    const auto& a = attempts_[number - 1];
    return a.tokens == 0 && a.resume_at == delivered_;
}

base::run_state attempt_ledger::state_of(const attempt& a) {
    if (a.tokens > 0) {
        return base::run_state::run;
    }
    if (a.in_flight) {
        return base::run_state::unknown;
    }
    if (a.outcome.code == result_code::ok) {
        return base::run_state::run;
    }
    // A server that reports its refusal did not run the request.
    const bool not_run = !a.outcome.sent || a.outcome.code == result_code::backend_refused;
    return not_run ? base::run_state::not_run : base::run_state::unknown;
}

result_code attempt_ledger::obstacle(base::time_point now) const {
    if (succeeded()) {
        return result_code::internal;
    }
    if (!terms_.idempotent && may_have_run()) {
        return in_flight() > 0 ? result_code::outcome_unknown : last_.code;
    }
    if (run_attempts() >= terms_.max_attempts || attempts() >= terms_.max_attempts + max_unsent_attempts) {
        return result_code::retries_exhausted;
    }
    if (terms_.deadline != base::time_point::max() && now + terms_.least_time >= terms_.deadline) {
        return result_code::deadline_unreachable;
    }
    return result_code::ok;
}

result_code attempt_ledger::refusal(base::time_point now) const {
    if (const auto reason = obstacle(now); reason != result_code::ok) {
        return reason;
    }
    if (in_flight() > 0) {
        return result_code::internal;
    }
    const bool is_first = attempts_.empty();
    const bool stuck = delivered_ > 0 && !terms_.resumable;
    return is_first || (is_retryable(last_.code) && !stuck) ? result_code::ok : last_.code;
}

std::uint32_t attempt_ledger::run_attempts() const {
    const auto counts = [](const attempt& a) { return state_of(a) != base::run_state::not_run; };
    return static_cast<std::uint32_t>(std::ranges::count_if(attempts_, counts));
}

bool attempt_ledger::last_was_unsent() const {
    return !attempts_.empty() && !attempts_.back().in_flight && !attempts_.back().outcome.sent;
}

bool attempt_ledger::may_have_run() const {
    return std::ranges::any_of(attempts_,
                               [](const attempt& a) { return state_of(a) != base::run_state::not_run; });
}

}  // namespace chicorygap::retry
