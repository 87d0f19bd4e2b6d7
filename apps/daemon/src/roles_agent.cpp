#include "roles_agent.h"

#include "base/error.h"
#include "base/log.h"
#include "distribution/rendezvous.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace chicorygap::daemon_app {

namespace {

constexpr const char* log_component = "roles";
constexpr std::size_t candidates_per_role = 2;
constexpr base::duration store_timeout = std::chrono::milliseconds{500};

peer::claim_reply make_reply(const idempotency::decision& d) {
    using verdict = peer::claim_reply::verdict;
    switch (d.result) {
        case idempotency::verdict::granted:
            return {verdict::granted, base::run_state::not_run, 0, {}};
        case idempotency::verdict::known:
            if (d.recorded && d.recorded->whole) {
                return {verdict::recorded, base::run_state::run,
                        static_cast<std::uint16_t>(d.recorded->status), d.recorded->body};
            }
            return {verdict::unknown, base::run_state::run, 0, {}};
        case idempotency::verdict::unknown:
            return {verdict::unknown, base::run_state::unknown, 0, {}};
        case idempotency::verdict::reused:
            return {verdict::key_reused, base::run_state::not_run, 0, {}};
        case idempotency::verdict::refused:
            break;
    }
    return {verdict::unavailable, base::run_state::not_run, 0, {}};
}

bool is_candidate(const std::string& role, const base::vm_id& self, const std::vector<base::vm_id>& members) {
    const auto order = distribution::rendezvous_order(role, members);
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(candidates_per_role, order.size()));
    return std::find(order.begin(), end, self) != end;
}

std::string shard_role_name(std::uint32_t shard) {
    return "once-" + std::to_string(shard);
}

}  // namespace

roles_agent::roles_agent(const settings::daemon_settings& s, ports::http_platform& p,
                         base::random_function random, std::uint64_t incarnation)
    : settings_{s}, controller_{base::boot_clock::now} {
    const auto self = net::to_string(s.peers);
    control::zone_role_options zone;
    zone.zone = s.zone.str();
    zone.daemon = self;
    zone.incarnation = incarnation;
    control::zone_role_hooks hooks;
    hooks.now = base::boot_clock::now;
    hooks.wall_now = base::wall_clock_now;
    hooks.random = std::move(random);
    hooks.report_taken = [this](const usage::report_taken& r) { on_report_accepted(r); };
    hooks.bill_rejected = [](usage::window_number w) {
        base::log_line{base::log_level::error, log_component, "The billing API rejected a usage window."}
            .field("window", w)
            .code(base::result_code::order_refused);
    };
    zone_role_ = &controller_.add(
        std::make_unique<control::zone_role>(zone, p.objects(), p.orders(), p.billing(), std::move(hooks)));
    for (std::uint32_t n = 0; n < idempotency::shard_count; n++) {
        idempotency::shard_options o;
        o.shard = n;
        o.owner = self;
        o.incarnation = incarnation;
        shard_roles_.at(n) = &controller_.add(std::make_unique<control::shard_role>(
            o, store_timeout, p.objects(), base::boot_clock::now,
            [this](const idempotency::decision& d) { on_claim_decided(d); }));
    }
}

void roles_agent::start() {
    controller_.start();
}

void roles_agent::stop() {
    controller_.stop();
}

void roles_agent::update_candidates(const std::vector<membership::member>& members) {
    std::vector<base::vm_id> all;
    std::vector<base::vm_id> zone;
    for (const auto& m : members) {
        all.push_back(m.id);
        if (m.zone == settings_.zone) {
            zone.push_back(m.id);
        }
    }
    controller_.post([this, all, zone] {
        zone_role_->set_candidate(is_candidate("zone-control", settings_.vm, zone));
        for (std::uint32_t n = 0; n < idempotency::shard_count; n++) {
            shard_roles_.at(n)->set_candidate(is_candidate(shard_role_name(n), settings_.vm, all));
        }
        update_held_roles();
    });
}

void roles_agent::claim(const peer::claim_request& r, claim_callback reply) {
    const auto id = idempotency::digest::from_hex(r.record);
    const auto body = idempotency::digest::from_hex(r.digest);
    if (!id || !body) {
        throw base::error{base::result_code::body_malformed, "claim has an invalid record id or body digest"};
    }
    controller_.post([this, id = *id, body = *body, reply = std::move(reply)]() mutable {
        const auto number = next_claim_number_++;
        pending_claims_.emplace(number, std::move(reply));
        shard_roles_.at(idempotency::shard_of(id))->handle(idempotency::claim{number, id, body});
    });
}

void roles_agent::on_claim_decided(const idempotency::decision& d) {
    const auto it = pending_claims_.find(d.claim_number);
    if (it == pending_claims_.end()) {
        return;
    }
    const auto reply = std::move(it->second);
    pending_claims_.erase(it);
    reply(make_reply(d));
}

void roles_agent::record_outcome(const peer::outcome_report& r) {
    const auto id = idempotency::digest::from_hex(r.record);
    if (!id) {
        throw base::error{base::result_code::body_malformed, "outcome report has an invalid record id"};
    }
    controller_.post([this, id = *id, r] {
        shard_roles_.at(idempotency::shard_of(id))
            ->handle(idempotency::outcome_reported{id, {r.status, r.body, r.whole}});
    });
}

void roles_agent::report_usage(const usage::usage_report& r, std::function<void(peer::usage_reply)> reply) {
    controller_.post([this, r, reply = std::move(reply)] {
        const auto now = base::boot_clock::now();
        if (!zone_role_->lease().may_act(now)) {
            reply({false, 0});
            return;
        }
        const auto key = std::make_pair(r.from, r.sequence);
        pending_reports_.emplace(key, reply);
        zone_role_->handle(usage::keeper_event{r});
        // The report was not accepted, for example because the windows are still being loaded.
        if (pending_reports_.erase(key) != 0) {
            reply({false, zone_role_->lease().term()});
        }
    });
}

void roles_agent::on_report_accepted(const usage::report_taken& r) {
    const auto it = pending_reports_.find({r.from, r.sequence});
    if (it == pending_reports_.end()) {
        return;
    }
    const auto reply = std::move(it->second);
    pending_reports_.erase(it);
    reply({true, r.term});
}

void roles_agent::update_held_roles() {
    std::map<std::string, std::uint64_t> held_now;
    const auto now = base::boot_clock::now();
    if (zone_role_->lease().may_act(now)) {
        held_now["zone-control"] = zone_role_->lease().term();
    }
    for (std::uint32_t n = 0; n < idempotency::shard_count; n++) {
        if (shard_roles_.at(n)->lease().may_act(now)) {
            held_now[shard_role_name(n)] = shard_roles_.at(n)->lease().term();
        }
    }
    const std::lock_guard lock{held_roles_mutex_};
    for (const auto& [role, term] : held_now) {
        if (held_roles_.count(role) == 0) {
            base::log_line{base::log_level::info, log_component, "Acquired the lease of a role."}
                .field("role", role)
                .field("term", static_cast<long long>(term));
        }
    }
    for (const auto& [role, term] : held_roles_) {
        if (held_now.count(role) == 0) {
            base::log_line{base::log_level::info, log_component, "Lost the lease of a role."}
                .field("role", role)
                .field("term", static_cast<long long>(term))
                .code(base::result_code::lease_not_held);
        }
    }
    held_roles_ = std::move(held_now);
}

std::map<std::string, std::uint64_t> roles_agent::held_roles() const {
    const std::lock_guard lock{held_roles_mutex_};
    return held_roles_;
}

}  // namespace chicorygap::daemon_app
