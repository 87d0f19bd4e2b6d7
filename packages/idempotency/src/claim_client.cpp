#include "idempotency/claim_client.h"

#include <utility>

namespace chicorygap::idempotency {

std::vector<client_action> claim_client::handle(const client_event& e, base::time_point now) {
    actions_.clear();
    std::visit([&](const auto& v) { on(v, now); }, e);
    return std::exchange(actions_, {});
}

std::string claim_client::owner_of(const digest& id) const {
    const auto it = owners_.find(shard_of(id));
    return it == owners_.end() ? std::string{} : it->second;
}

void claim_client::on(const client_tick& /*e*/, base::time_point now) {
    for (auto it = open_.begin(); it != open_.end();) {
        const auto number = it->first;
        const bool late = now >= it->second.give_up_at;
        ++it;
        if (late) {
            refuse_as_not_run(number);
        }
    }
    send_outcomes(now);
}

void claim_client::on(const owner_changed& e, base::time_point /*now*/) {
    owners_[e.shard] = e.daemon;
}

void claim_client::on(const permit_wanted& e, base::time_point now) {
    const auto owner = owner_of(e.request.id);
    const auto number = e.request.number;
    if (owner.empty() || open_.size() >= options_.max_open || open_.contains(number)) {
        actions_.emplace_back(refuse{number});
        return;
    }
    open_.emplace(number, open_claim{e.request.id, now + options_.claim_timeout});
    actions_.emplace_back(send_claim{owner, e.request});
}

void claim_client::on(const claim_decided& e, base::time_point now) {
    const auto it = open_.find(e.answer.claim_number);
    if (it == open_.end()) {
        return;  // already refused: the permit, if any, is discarded
    }
    // A daemon that was paused must not start a request whose caller's deadline for the permit has passed.
    if (now >= it->second.give_up_at && e.answer.result == verdict::granted) {
        refuse_as_not_run(e.answer.claim_number);
        return;
    }
    open_.erase(it);
    settle(e.answer);
}

void claim_client::settle(const decision& d) {
    switch (d.result) {
        case verdict::granted:
            actions_.emplace_back(permit{d.claim_number});
            break;
        case verdict::known:
            actions_.emplace_back(repeat_outcome{d.claim_number, d.recorded.value_or(outcome{})});
            break;
        case verdict::unknown:
            actions_.emplace_back(
                refuse{d.claim_number, base::result_code::outcome_unknown, base::run_state::unknown});
            break;
        case verdict::reused:
            // The request with this body has not run; the one that owns the id may have.
            actions_.emplace_back(
                refuse{d.claim_number, base::result_code::idempotency_key_reused, base::run_state::not_run});
            break;
        case verdict::refused:
            actions_.emplace_back(refuse{d.claim_number});
            break;
    }
}

void claim_client::on(const claim_lost& e, base::time_point /*now*/) {
    refuse_as_not_run(e.claim_number);
}

void claim_client::on(const request_finished& e, base::time_point now) {
    if (outcomes_.size() < options_.max_outcomes) {
        outcomes_.try_emplace(e.id, unsent_outcome{e.result, now});
    }
    send_outcomes(now);
}

void claim_client::on(const outcome_accepted& e, base::time_point /*now*/) {
    outcomes_.erase(e.id);
}

void claim_client::refuse_as_not_run(std::uint64_t claim_number) {
    if (open_.erase(claim_number) != 0) {
        actions_.emplace_back(refuse{claim_number});
    }
}

void claim_client::send_outcomes(base::time_point now) {
    for (auto it = outcomes_.begin(); it != outcomes_.end();) {
        auto& o = it->second;
        if (now < o.send_at) {
            ++it;
            continue;
        }
        const auto owner = owner_of(it->first);
        if (!owner.empty()) {
            actions_.emplace_back(send_outcome{owner, it->first, o.result});
        }
        o.send_at = now + options_.outcome_retry;
        it = ++o.attempts >= options_.outcome_attempts ? outcomes_.erase(it) : std::next(it);
    }
}

}  // namespace chicorygap::idempotency
