#include "once_guard.h"

namespace chicorygap::gateway {

using base::result_code;
using base::run_state;
using idempotency::verdict;

namespace {

constexpr std::size_t recorded_body_limit = 1024;  // bytes; the shard owner records no more

}  // namespace

once_guard::once_guard(permit_source* source, const front::call& c, bool applies)
    : source_{source}, applies_{applies && c.idempotency_key.has_value()} {
    if (applies_) {
        id_ = idempotency::make_record_id(c.permission.workspace.str(), c.permission.service.str(),
                                          *c.idempotency_key);
        body_ =
            idempotency::make_digest(c.method + ' ' + c.target + '\n' + (c.body ? *c.body : std::string{}));
    }
}

bool once_guard::acquire(base::duration timeout) {
    if (!applies_ || granted()) {
        return true;
    }
    if (source_ == nullptr) {
        decision_ = idempotency::decision{};
        return false;
    }
    decision_ = source_->claim(id_, body_, timeout);
    return decision_->result == verdict::granted;
}

bool once_guard::granted() const {
    return decision_ && decision_->result == verdict::granted;
}

void once_guard::note_head(const backend::answer_head& h) {
    outcome_ = {};
    outcome_.status = h.status;
}

void once_guard::note_body(std::string_view bytes) {
    if (!outcome_.whole || outcome_.body.size() + bytes.size() > recorded_body_limit) {
        outcome_.body.clear();
        outcome_.whole = false;
        return;
    }
    outcome_.body.append(bytes);
}

void once_guard::finish() {
    if (applies_ && source_ != nullptr) {
        source_->finished(id_, outcome_);
    }
}

void once_guard::finish_not_run(const front::refusal& r) {
    if (!applies_ || !granted()) {
        return;
    }
    outcome_ = {base::http_status(r.code), front::problem_json(r), true};
    finish();
}

bool once_guard::answer_instead(front::responder& out) const {
    if (!decision_ || granted()) {
        return false;
    }
    if (decision_->result != verdict::known || !decision_->recorded || !decision_->recorded->whole) {
        const bool other_request = decision_->result == verdict::reused;
        out.fail({code(), state(), std::string{to_string(code())}, std::nullopt, other_request});
        return true;
    }
    const auto& recorded = *decision_->recorded;
    const bool problem = recorded.status >= 400;
    backend::answer_head head{.status = recorded.status, .fields = {}, .length = recorded.body.size()};
    head.fields.push_back({"Content-Type", problem ? "application/problem+json" : "application/json"});
    head.fields.push_back({"Idempotent-Replayed", "true"});
    out.head(head);
    out.body(recorded.body);
    out.finish();
    return true;
}

result_code once_guard::code() const {
    if (!decision_) {
        return result_code::ok;
    }
    switch (decision_->result) {
        case verdict::granted:
            return result_code::ok;
        case verdict::known:
            return decision_->recorded && decision_->recorded->whole ? result_code::ok
                                                                     : result_code::outcome_unknown;
        case verdict::unknown:
            return result_code::outcome_unknown;
        case verdict::reused:
            return result_code::idempotency_key_reused;
        case verdict::refused:
            break;
    }
    return result_code::record_unavailable;
}

run_state once_guard::state() const {
    if (!decision_) {
        return run_state::not_run;
    }
    switch (decision_->result) {
        case verdict::granted:
        case verdict::known:
            return run_state::run;
        case verdict::unknown:
            return run_state::unknown;
        case verdict::reused:
        case verdict::refused:
            break;
    }
    return run_state::not_run;
}

}  // namespace chicorygap::gateway
