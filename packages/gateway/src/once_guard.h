/// @file
/// At-most-once handling of one request.
#pragma once

#include "backend/answer.h"
#include "front/call.h"
#include "front/refusal.h"
#include "front/responder.h"
#include "gateway/permit_source.h"

#include <optional>
#include <string>
#include <string_view>

namespace chicorygap::gateway {

/// Claims the permit of a non-idempotent request before its first attempt and records its outcome.
///
/// Without an idempotency key the request is not claimed: it runs once, because the core never repeats it.
class once_guard {
public:
    /// @param source may be null.
    /// @param c the request; outlives the guard.
    /// @param applies true if the route's calls are non-idempotent.
    once_guard(permit_source* source, const front::call& c, bool applies);

    /// @param timeout longest wait for the decision.
    /// @return true if the request may run.
    bool acquire(base::duration timeout);

    /// @return true if this request holds the only permit of its id, so that no earlier try has run.
    [[nodiscard]] bool granted() const;

    /// Keeps the part of the answer that is recorded.
    void note_head(const backend::answer_head& h);
    void note_body(std::string_view bytes);

    /// Records the answer of a request that ran completely.
    void finish();

    /// Records that the permitted request was certainly not executed.
    void finish_not_run(const front::refusal& r);

    /// Answers the caller from the decision that `acquire` received.
    /// @return false if there is nothing to answer with, because the permit was granted or not needed.
    bool answer_instead(front::responder& out) const;

    /// @return code of the answer that `answer_instead` gives.
    [[nodiscard]] base::result_code code() const;
    [[nodiscard]] base::run_state state() const;

private:
    permit_source* source_;
    bool applies_ = false;
    idempotency::digest id_;
    idempotency::digest body_;
    std::optional<idempotency::decision> decision_;
    idempotency::outcome outcome_;
};

}  // namespace chicorygap::gateway
