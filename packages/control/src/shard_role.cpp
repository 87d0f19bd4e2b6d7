#include "control/shard_role.h"

#include <deque>
#include <utility>

namespace chicorygap::control {

namespace {

lease::lease_options lease_options_of(const idempotency::shard_options& o) {
    lease::lease_options l;
    l.role = "once-" + std::to_string(o.shard);
    l.holder = o.owner;
    l.incarnation = o.incarnation;
    return l;
}

}  // namespace

shard_role::shard_role(const idempotency::shard_options& o, base::duration call_timeout,
                       ports::object_store& store, base::now_function now, decision_sink decided)
    : executor_{store, call_timeout},
      now_{std::move(now)},
      decided_{std::move(decided)},
      lease_{lease_options_of(o)},
      owner_{o} {}

void shard_role::tick_lease() {
    run(lease::tick{});
}

void shard_role::tick_work() {
    handle(idempotency::tick{});
}

void shard_role::set_candidate(bool candidate) {
    run(lease::candidacy_changed{candidate});
}

void shard_role::release() {
    run(lease::release_requested{});
}

void shard_role::run(const lease::lease_event& first) {
    std::deque<lease::lease_event> events{first};
    for (; !events.empty(); events.pop_front()) {
        for (const auto& a : lease_.handle(events.front(), now_())) {
            if (const auto* p = std::get_if<base::store_put>(&a)) {
                events.emplace_back(executor_.run(*p));
            } else if (const auto* g = std::get_if<base::store_get>(&a)) {
                events.emplace_back(executor_.run(*g));
            } else if (const auto* v = std::get_if<lease::acquired>(&a)) {
                handle(idempotency::role_acquired{v->term});
            } else {
                handle(idempotency::role_lost{});
            }
        }
    }
}

void shard_role::handle(const idempotency::shard_event& first) {
    std::deque<idempotency::shard_event> events{first};
    for (; !events.empty(); events.pop_front()) {
        for (const auto& a : owner_.handle(events.front(), now_())) {
            if (const auto* p = std::get_if<base::store_put>(&a)) {
                events.emplace_back(executor_.run(*p));
            } else if (const auto* l = std::get_if<base::store_list>(&a)) {
                events.emplace_back(executor_.run(*l));
            } else {
                decided_(std::get<idempotency::decision>(a));
            }
        }
    }
}

}  // namespace chicorygap::control
