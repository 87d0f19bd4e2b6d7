#include "lease/role_lease.h"

#include <algorithm>
#include <utility>

namespace chicorygap::lease {

namespace {

/// Position of the era in a term. The lower part has room for the revisions of the store, and terms stay
/// exact as floating-point numbers for the first 8,000 eras.
constexpr int era_shift = 40;

}  // namespace

role_lease::role_lease(lease_options o) : options_{std::move(o)} {}

std::vector<lease_action> role_lease::handle(const lease_event& e, base::time_point now) {
    actions_.clear();
    check_expiry(now);
    std::visit([&](const auto& v) { on(v, now); }, e);
    return std::exchange(actions_, {});
}

bool role_lease::may_act(base::time_point now) const noexcept {
    return held_ && !releasing_ && now < act_until_;
}

void role_lease::on(const tick& /*e*/, base::time_point now) {
    advance(now);
}

void role_lease::on(const base::store_reply& e, base::time_point now) {
    if (get_in_flight_ == e.correlation) {
        get_in_flight_.reset();
        // A read that was in flight during a write by this daemon may return an older state.
        if (e.result == base::store_result::read && !held_ && !write_.pending()) {
            observe(e.current, now);
        }
    } else if (const auto r = write_.handle(e, now)) {
        handle_write_result(*r, now);
    }
    advance(now);
}

void role_lease::on(const object_observed& e, base::time_point now) {
    // A watch may deliver an older state than an earlier reply.
    if (e.object.key == key() && e.object.version > version_ && !write_.pending()) {
        observe(e.object, now);
        if (held_ && !is_own_record()) {
            lose_role();
        }
    }
    advance(now);
}

void role_lease::on(const candidacy_changed& e, base::time_point now) {
    candidate_ = e.candidate;
    advance(now);
}

void role_lease::on(const era_changed& e, base::time_point now) {
    era_ = e.era;
    era_known_since_ = now;
    if (!e.restored) {
        return;
    }
    held_in_last_era_until_ = held_ ? act_until_ : base::time_point{};
    if (held_) {
        lose_role();
    }
    write_.abandon();
    get_in_flight_.reset();
    object_known_ = false;
    observed_.reset();
    version_ = 0;
    poll_at_ = {};
    advance(now);
}

void role_lease::on(const term_observed& e, base::time_point /*now*/) {
    highest_observed_term_ = std::max(highest_observed_term_, e.term);
}

void role_lease::on(const release_requested& /*e*/, base::time_point now) {
    candidate_ = false;
    releasing_ = true;
    advance(now);
}

void role_lease::advance(base::time_point now) {
    if (const auto put = write_.retry(next_correlation_, now)) {
        ++next_correlation_;
        actions_.emplace_back(*put);
    }
    if (write_.pending()) {
        return;
    }
    if (releasing_ && !held_) {
        releasing_ = false;
        actions_.emplace_back(released{});
    } else if (releasing_) {
        start_write(write_kind::release, term_, now);
    } else if (held_ && now >= renew_at_) {
        start_write(write_kind::renew, term_, now);
    } else if (!held_ && candidate_) {
        try_acquire(now);
    }
}

void role_lease::check_expiry(base::time_point now) {
    if (held_ && now >= act_until_) {
        lose_role();
    }
}

void role_lease::try_acquire(base::time_point now) {
    if (takeover_due(now)) {
        start_write(write_kind::acquire, next_term(), now);
    } else {
        poll(now);
    }
}

std::uint64_t role_lease::next_term() const {
    const auto known = std::max({observed_ ? observed_->term : 0, term_, highest_observed_term_});
    // Each acquisition raises the version, so that no two of one era choose the same term, even if a write
    // that was meant for an earlier era has replaced the record since.
    return era_ == 0 ? known + 1 : std::max(known, (era_ << era_shift) + version_) + 1;
}

bool role_lease::forgotten_holder_may_act(base::time_point now) const {
    const bool own = now < held_in_last_era_until_;
    return era_ != 0 && !own && now < era_known_since_ + options_.lease_duration + options_.takeover_margin;
}

bool role_lease::takeover_due(base::time_point now) const {
    if (!object_known_) {
        return false;
    }
    if (now < held_in_last_era_until_) {
        return true;  // nobody else can have acquired the lease since
    }
    if (forgotten_holder_may_act(now)) {
        return false;
    }
    if (version_ == 0) {
        return true;
    }
    if (!observed_) {
        return false;  // not a valid lease record; without its term, no higher term can be chosen
    }
    // A record of this daemon shows that no other daemon has held the role since it was written.
    if (observed_->free || is_own_record()) {
        return true;
    }
    const auto lease_duration = std::max(options_.lease_duration, observed_->lease_duration);
    return now >= observed_since_ + lease_duration + options_.takeover_margin;
}

bool role_lease::is_own_record() const {
    return observed_ && observed_->holder == options_.holder &&
           observed_->incarnation == options_.incarnation;
}

void role_lease::poll(base::time_point now) {
    if (get_in_flight_ || now < poll_at_) {
        return;
    }
    poll_at_ = now + options_.poll_interval;
    get_in_flight_ = next_correlation_++;
    actions_.emplace_back(base::store_get{*get_in_flight_, key()});
}

void role_lease::start_write(write_kind kind, std::uint64_t term, base::time_point now) {
    const auto correlation = next_correlation_++;
    pending_write_kind_ = kind;
    written_record_ = {
        options_.holder,
        options_.incarnation,
        term,
        options_.lease_duration,
        kind == write_kind::release,
        options_.holder + '/' + std::to_string(options_.incarnation) + '/' + std::to_string(correlation)};
    actions_.emplace_back(write_.begin(correlation, key(), encode(written_record_), version_, now));
}

void role_lease::handle_write_result(const write_result& r, base::time_point now) {
    if (!r.applied) {
        observe(r.current, now);
        if (held_) {
            lose_role();
        }
        return;
    }
    observed_ = written_record_;
    version_ = r.version;
    observed_since_ = now;
    if (pending_write_kind_ == write_kind::release) {
        held_ = false;
        return;
    }
    act_until_ = r.sent_at + options_.lease_duration - options_.in_flight_margin;
    renew_at_ = r.sent_at + options_.renew_interval;
    if (!held_ && now < act_until_) {
        held_ = true;
        term_ = written_record_.term;
        actions_.emplace_back(acquired{term_});
    }
    check_expiry(now);
}

void role_lease::observe(const std::optional<base::stored_object>& object, base::time_point now) {
    const auto version = object ? object->version : 0;
    if (object_known_ && version == version_) {
        return;
    }
    object_known_ = true;
    version_ = version;
    observed_ = object ? decode_lease(object->value) : std::nullopt;
    observed_since_ = now;
}

void role_lease::lose_role() {
    held_ = false;
    write_.abandon();
    // Read the object before the next acquisition, because an abandoned write may have changed it.
    object_known_ = false;
    poll_at_ = {};
    actions_.emplace_back(lost{term_});
}

}  // namespace chicorygap::lease
