#include "request_evidence.h"

#include <chrono>
#include <utility>

namespace chicorygap::proxy {

namespace {

using namespace std::chrono_literals;

/// Time after its first event in which an answer is at its beginning.
constexpr base::duration answer_beginning = 300ms;
/// Time after its first event from which an answer shows that its prompt is sound, whatever follows.
constexpr base::duration long_answer = 3s;

}  // namespace

request_evidence::request_evidence(crash_guard::prompt_guard& guard,
                                   const std::optional<scheduling::generation_requirements>& generation,
                                   std::uint64_t fingerprint)
    : guard_{guard} {
    if (!generation) {
        return;
    }
    for (const auto& part : generation->parts) {
        parts_.ids.push_back(part.id);
    }
    if (parts_.empty()) {
        parts_.ids.push_back(fingerprint);
    }
    parts_.last_is_own = true;
}

crash_guard::admission request_evidence::admit(base::time_point now) {
    const auto a = guard_.admit(parts_, now);
    trial_ = a.trial;
    return a;
}

crash_guard::admission request_evidence::admit_attempt(base::time_point now) {
    return std::exchange(trial_, false) ? crash_guard::admission{} : guard_.admit(parts_, now);
}

void request_evidence::attempt_started() {
    beginning_ = parts_.empty() ? nullptr : guard_.begin(parts_);
    first_event_at_.reset();
    progressed_ = false;
    succeeded_ = false;
}

void request_evidence::event_received(base::time_point now) {
    first_event_at_ = first_event_at_.value_or(now);
    const auto length = now - *first_event_at_;
    if (length > long_answer) {
        answered(now);
    } else if (length > answer_beginning && !parts_.empty() && !std::exchange(progressed_, true)) {
        beginning_.reset();
        guard_.record_progress(parts_, now);
    }
}

void request_evidence::answered(base::time_point now) {
    if (!parts_.empty() && !std::exchange(succeeded_, true)) {
        beginning_.reset();
        guard_.record_success(parts_, now);
    }
}

crash_guard::attempt_progress request_evidence::progress(bool has_response_head) const {
    using crash_guard::attempt_progress;
    if (parts_.empty() || succeeded_) {
        return attempt_progress::none;
    }
    return first_event_at_     ? attempt_progress::answering
           : has_response_head ? attempt_progress::beginning
                               : attempt_progress::waiting;
}

}  // namespace chicorygap::proxy
