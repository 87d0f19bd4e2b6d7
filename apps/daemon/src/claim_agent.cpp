#include "claim_agent.h"

#include "base/error.h"
#include "base/log.h"
#include "lease_lookup.h"

#include <utility>

namespace chicorygap::daemon_app {

namespace {

using idempotency::verdict;

constexpr const char* part = "claims";
// An owner that has just been refused is not looked up again within this time.
constexpr base::duration lookup_pause = std::chrono::milliseconds{200};

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
    find_owner(shard, false);
    auto d = claim_once(id, body, timeout);
    if (d.result == verdict::refused) {
        // Refused means not run and no permit held, so that asking the owner named by the lease now is safe.
        find_owner(shard, true);
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
        number = next_number_++;
        result = waiting_[number].get_future();
    }
    apply(idempotency::permit_wanted{{number, id, body}});
    if (result.wait_for(timeout) == std::future_status::ready) {
        return result.get();
    }
    apply(idempotency::claim_lost{number});  // a permit that arrives later is discarded
    return result.get();
}

void claim_agent::finished(const idempotency::digest& id, const idempotency::outcome& result) {
    apply(idempotency::request_finished{id, result});
}

void claim_agent::tick() {
    apply(idempotency::client_tick{});
}

void claim_agent::find_owner(std::uint32_t shard, bool again) {
    const auto now = base::boot_clock::now();
    {
        const std::lock_guard lock{mutex_};
        const auto it = owners_.find(shard);
        const auto lifetime = again ? lookup_pause : owner_lifetime;
        if (store_ == nullptr || (it != owners_.end() && now < it->second.read_at + lifetime)) {
            return;
        }
    }
    std::string address;
    try {
        address = holder_address(read_lease(*store_, "once-" + std::to_string(shard)));
    } catch (const base::error& e) {
        base::log_line{base::log_level::warning, part, "Owner of a shard is not known."}
            .field("shard", shard)
            .field("reason", e.what())
            .code(e.code());
        return;  // the last known owner is still the best guess; it refuses if it is no longer the owner
    }
    {
        const std::lock_guard lock{mutex_};
        owners_[shard] = {address, now};
    }
    apply(idempotency::owner_changed{shard, address});
}

void claim_agent::apply(const idempotency::client_event& e) {
    const std::lock_guard lock{mutex_};
    for (const auto& a : client_.handle(e, base::boot_clock::now())) {
        std::visit([this](const auto& v) { run(v); }, a);
    }
}

void claim_agent::run(const idempotency::send_claim& a) {
    if (node_ == nullptr) {
        return;  // the claim is refused when its caller stops waiting
    }
    const auto number = a.request.number;
    node_->claim(a.daemon, {a.request.id.hex(), a.request.body.hex()},
                 [this, number](const peer::outcome<peer::claim_reply>& o) {
                     if (o.value) {
                         apply(idempotency::claim_decided{make_decision(number, *o.value)});
                     } else {
                         apply(idempotency::claim_lost{number});
                     }
                 });
}

void claim_agent::run(const idempotency::permit& a) {
    resolve(a.claim_number, {a.claim_number, verdict::granted, {}});
}

void claim_agent::run(const idempotency::repeat_outcome& a) {
    resolve(a.claim_number, {a.claim_number, verdict::known, a.result});
}

void claim_agent::run(const idempotency::refuse& a) {
    auto v = verdict::refused;
    if (a.code == base::result_code::idempotency_key_reused) {
        v = verdict::reused;
    } else if (a.state != base::run_state::not_run) {
        v = verdict::unknown;
    }
    resolve(a.claim_number, {a.claim_number, v, std::nullopt});
}

void claim_agent::run(const idempotency::send_outcome& a) {
    if (node_ == nullptr) {
        return;
    }
    const peer::outcome_report r{a.id.hex(), static_cast<std::uint16_t>(a.result.status), a.result.body,
                                 a.result.whole};
    node_->record_outcome(a.daemon, r, [this, id = a.id](const peer::outcome<peer::done>& o) {
        if (o.value) {
            apply(idempotency::outcome_accepted{id});
        }
    });
}

void claim_agent::resolve(std::uint64_t number, idempotency::decision d) {
    const auto it = waiting_.find(number);
    if (it == waiting_.end()) {
        return;
    }
    it->second.set_value(std::move(d));
    waiting_.erase(it);
}

}  // namespace chicorygap::daemon_app
