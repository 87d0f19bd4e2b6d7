#include "retry/attempt_tracker.h"

#include "base/error.h"
#include "retry/budget.h"

#include <algorithm>

namespace chicorygap::retry {

using base::result_code;

namespace {

// Outcomes after which another server may succeed. An error of the caller would occur again, and a request
// that the caller or the admission controller ended must not be restarted.
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

attempt_tracker::attempt_tracker(retry_policy p) : policy_{p} {}

std::uint32_t attempt_tracker::start(base::time_point now) {
    if (!policy_.idempotent && may_have_run()) {
        throw base::error{result_code::internal,
                          "another attempt of a non-idempotent request that may have run"};
    }
    attempts_.push_back({.started = now, .resume_position = delivered_tokens_});
    return attempts();
}

bool attempt_tracker::record_output(std::uint32_t number, std::uint64_t tokens) {
    auto* a = find_in_flight(number);
    if (a == nullptr) {
        return false;
    }
    const bool delivers = can_deliver(number);
    a->tokens += tokens;
    if (delivers) {
        delivering_attempt_ = number;
        delivered_tokens_ += tokens;
    }
    return delivers;
}

bool attempt_tracker::finish(std::uint32_t number, attempt_outcome o) {
    auto* a = find_in_flight(number);
    if (a == nullptr) {
        return false;
    }
    const bool delivers = can_deliver(number);
    a->in_flight = false;
    a->outcome = o;
    if (!delivers) {
        return false;
    }
    last_outcome_ = o;
    succeeded_ = o.code == result_code::ok;
    delivering_attempt_ = succeeded_ ? number : 0;
    return true;
}

attempt_decision attempt_tracker::try_next_attempt(budget& b, base::time_point now) const {
    if (const auto reason = check_next_attempt(now); reason != result_code::ok) {
        return {false, reason, 0};
    }
    // An attempt that sent nothing caused no load on a server, so that its retry is not charged to the
    // budget.
    if (!attempts_.empty() && !last_attempt_unsent() && !b.try_spend(now)) {
        return {false, result_code::retries_exhausted, 0};
    }
    return {true, result_code::ok, delivered_tokens_};
}

attempt_decision attempt_tracker::try_hedge(budget& b, base::time_point now) const {
    const auto due = hedge_time();
    if (!due || now < *due) {
        return {false, result_code::internal, 0};
    }
    if (const auto reason = check_limits(now); reason != result_code::ok) {
        return {false, reason, 0};
    }
    if (!b.try_spend(now)) {
        return {false, result_code::retries_exhausted, 0};
    }
    return {true, result_code::ok, delivered_tokens_};
}

std::optional<base::time_point> attempt_tracker::hedge_time() const {
    if (!policy_.hedge_delay || !policy_.idempotent || in_flight() != 1 || delivering_attempt_ != 0 ||
        attempts() >= policy_.max_attempts) {
        return std::nullopt;
    }
    const auto it = std::ranges::find_if(attempts_, &attempt::in_flight);
    return it->started + *policy_.hedge_delay;
}

std::vector<std::uint32_t> attempt_tracker::redundant_attempts() const {
    std::vector<std::uint32_t> out;
    for (std::uint32_t n = 1; n <= attempts(); n++) {
        if (attempts_[n - 1].in_flight && !can_deliver(n)) {
            out.push_back(n);
        }
    }
    return out;
}

base::run_state attempt_tracker::run_state() const {
    auto s = base::run_state::not_run;
    for (const auto& a : attempts_) {
        s = base::combine(s, run_state_of(a));
    }
    return s;
}

std::uint32_t attempt_tracker::in_flight() const {
    return static_cast<std::uint32_t>(std::ranges::count_if(attempts_, &attempt::in_flight));
}

attempt_tracker::attempt* attempt_tracker::find_in_flight(std::uint32_t number) {
    if (number == 0 || number > attempts() || !attempts_[number - 1].in_flight) {
        return nullptr;
    }
    return &attempts_[number - 1];
}

bool attempt_tracker::can_deliver(std::uint32_t number) const {
    if (delivering_attempt_ != 0) {
        return delivering_attempt_ == number;
    }
    // The output of an attempt whose earlier output was discarded, or that started at another position, would
    // leave a gap in the stream or repeat tokens.
    const auto& a = attempts_[number - 1];
    return a.tokens == 0 && a.resume_position == delivered_tokens_;
}

base::run_state attempt_tracker::run_state_of(const attempt& a) {
    if (a.tokens > 0) {
        return base::run_state::run;
    }
    if (a.in_flight) {
        return base::run_state::unknown;
    }
    if (a.outcome.code == result_code::ok) {
        return base::run_state::run;
    }
    // A server that reports that it refused the request did not run it.
    const bool not_run = !a.outcome.sent || a.outcome.code == result_code::backend_refused;
    return not_run ? base::run_state::not_run : base::run_state::unknown;
}

result_code attempt_tracker::check_limits(base::time_point now) const {
    if (succeeded()) {
        return result_code::internal;
    }
    if (!policy_.idempotent && may_have_run()) {
        return in_flight() > 0 ? result_code::outcome_unknown : last_outcome_.code;
    }
    if (possibly_run_attempts() >= policy_.max_attempts ||
        attempts() >= policy_.max_attempts + max_not_run_attempts) {
        return result_code::retries_exhausted;
    }
    if (policy_.deadline != base::time_point::max() && now + policy_.min_attempt_time >= policy_.deadline) {
        return result_code::deadline_unreachable;
    }
    return result_code::ok;
}

result_code attempt_tracker::check_next_attempt(base::time_point now) const {
    if (const auto reason = check_limits(now); reason != result_code::ok) {
        return reason;
    }
    if (in_flight() > 0) {
        return result_code::internal;
    }
    const bool is_first = attempts_.empty();
    const bool not_resumable = delivered_tokens_ > 0 && !policy_.resumable;
    return is_first || (is_retryable(last_outcome_.code) && !not_resumable) ? result_code::ok
                                                                            : last_outcome_.code;
}

std::uint32_t attempt_tracker::possibly_run_attempts() const {
    const auto counts = [](const attempt& a) { return run_state_of(a) != base::run_state::not_run; };
    return static_cast<std::uint32_t>(std::ranges::count_if(attempts_, counts));
}

bool attempt_tracker::last_attempt_unsent() const {
    return !attempts_.empty() && !attempts_.back().in_flight && !attempts_.back().outcome.sent;
}

bool attempt_tracker::may_have_run() const {
    return std::ranges::any_of(attempts_,
                               [](const attempt& a) { return run_state_of(a) != base::run_state::not_run; });
}

}  // namespace chicorygap::retry
