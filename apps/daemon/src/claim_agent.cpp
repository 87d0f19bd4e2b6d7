#include "claim_agent.h"

#include "base/error.h"
#include "base/log.h"
#include "lease_lookup.h"

#include <utility>

namespace chicorygap::daemon_app {

namespace {

using idempotency::verdict;

constexpr const char* log_component = "claims";
// Shortest time between two lookups of the same owner, also after it refused a claim.
constexpr base::duration min_lookup_interval = std::chrono::milliseconds{200};

idempotency::decision make_decision(std::uint64_t number, const peer::claim_reply& r) {
    idempotency::decision d{number, verdict::refused, std::nullopt};
    switch (r.result) {
        case peer::claim_reply::verdict::granted:
            d.result = verdict::granted;
            break;
        case peer::claim_reply::verdict::recorded:
            d.result = verdict::known;
            d.recorded = idempotency::outcome{r.status, r.body, true};
            break;
        case peer::claim_reply::verdict::unknown:
            d.result = verdict::unknown;
            break;
        case peer::claim_reply::verdict::key_reused:
            d.result = verdict::reused;
            break;
        case peer::claim_reply::verdict::not_owner:
        case peer::claim_reply::verdict::unavailable:
            break;
    }
    return d;
}

}  // namespace

void claim_agent::attach(peer::node& n) {
    const std::lock_guard lock{mutex_};
    node_ = &n;
}

void claim_agent::detach() {
    const std::lock_guard lock{mutex_};
    node_ = nullptr;
}

idempotency::decision claim_agent::claim(const idempotency::digest& id, const idempotency::digest& body,
                                         base::duration timeout) {
    const auto shard = idempotency::shard_of(id);
    look_up_owner(shard, false);
    auto d = claim_once(id, body, timeout);
    if (d.result == verdict::refused) {
        // A refused claim has no permit and its request was not executed, so that a second claim to the
        // current owner of the lease is safe.
        look_up_owner(shard, true);
        d = claim_once(id, body, timeout);
    }
    return d;
}

idempotency::decision claim_agent::claim_once(const idempotency::digest& id, const idempotency::digest& body,
                                              base::duration timeout) {
    std::future<idempotency::decision> result;
    std::uint64_t number = 0;
    {
        const std::lock_guard lock{mutex_};
        number = next_claim_number_++;
        result = pending_claims_[number].get_future();
    }
    handle(idempotency::permit_wanted{{number, id, body}});
    if (result.wait_for(timeout) == std::future_status::ready) {
        return result.get();
    }
    handle(idempotency::claim_lost{number});  // a permit that arrives after the timeout is discarded
    return result.get();
}

void claim_agent::finished(const idempotency::digest& id, const idempotency::outcome& result) {
    handle(idempotency::request_finished{id, result});
}

void claim_agent::tick() {
    handle(idempotency::client_tick{});
}

void claim_agent::look_up_owner(std::uint32_t shard, bool refresh) {
    const auto now = base::boot_clock::now();
    {
        const std::lock_guard lock{mutex_};
        const auto it = owners_.find(shard);
        const auto lifetime = refresh ? min_lookup_interval : owner_cache_lifetime;
        if (store_ == nullptr || (it != owners_.end() && now < it->second.looked_up_at + lifetime)) {
            return;
        }
    }
    std::string address;
    try {
        address = holder_address(read_lease(*store_, "once-" + std::to_string(shard)));
    } catch (const base::error& e) {
        base::log_line{base::log_level::warning, log_component,
                       "Looking up the owner of an idempotency shard failed."}
            .field("shard", shard)
            .field("reason", e.what())
            .code(e.code());
        return;  // keep the last known owner: it refuses the claim if it no longer holds the shard
    }
    {
        const std::lock_guard lock{mutex_};
        owners_[shard] = {address, now};
    }
    handle(idempotency::owner_changed{shard, address});
}

void claim_agent::handle(const idempotency::client_event& e) {
    const std::lock_guard lock{mutex_};
    for (const auto& a : client_.handle(e, base::boot_clock::now())) {
        std::visit([this](const auto& v) { execute(v); }, a);
    }
}

void claim_agent::execute(const idempotency::send_claim& a) {
    if (node_ == nullptr) {
        return;  // the claim is refused when its timeout expires
    }
    const auto number = a.request.number;
    node_->claim(a.daemon, {a.request.id.hex(), a.request.body.hex()},
                 [this, number](const peer::outcome<peer::claim_reply>& o) {
                     if (o.value) {
                         handle(idempotency::claim_decided{make_decision(number, *o.value)});
                     } else {
                         handle(idempotency::claim_lost{number});
                     }
                 });
}

void claim_agent::execute(const idempotency::permit& a) {
    complete_claim(a.claim_number, {a.claim_number, verdict::granted, {}});
}

void claim_agent::execute(const idempotency::repeat_outcome& a) {
    complete_claim(a.claim_number, {a.claim_number, verdict::known, a.result});
}

void claim_agent::execute(const idempotency::refuse& a) {
    auto v = verdict::refused;
    if (a.code == base::result_code::idempotency_key_reused) {
        v = verdict::reused;
    } else if (a.state != base::run_state::not_run) {
        v = verdict::unknown;
    }
    complete_claim(a.claim_number, {a.claim_number, v, std::nullopt});
}

void claim_agent::execute(const idempotency::send_outcome& a) {
    if (node_ == nullptr) {
        return;
    }
    const peer::outcome_report r{a.id.hex(), static_cast<std::uint16_t>(a.result.status), a.result.body,
                                 a.result.whole};
    node_->record_outcome(a.daemon, r, [this, id = a.id](const peer::outcome<peer::done>& o) {
        if (o.value) {
            handle(idempotency::outcome_accepted{id});
        }
    });
}

void claim_agent::complete_claim(std::uint64_t number, idempotency::decision d) {
    const auto it = pending_claims_.find(number);
    if (it == pending_claims_.end()) {
        return;
    }
    it->second.set_value(std::move(d));
    pending_claims_.erase(it);
}

}  // namespace chicorygap::daemon_app
