#include "lease/role_lease.h"

#include <algorithm>
#include <utility>

namespace chicorygap::lease {

role_lease::role_lease(lease_options o) : options_{std::move(o)} {}

std::vector<lease_action> role_lease::handle(const lease_event& e, base::time_point now) {
    actions_.clear();
    expire(now);
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
        // A read that was overtaken by an own write shows an older state.
        if (e.result == base::store_result::read && !held_ && !write_.pending()) {
            observe(e.current, now);
        }
    } else if (const auto r = write_.handle(e, now)) {
        written(*r, now);
    }
    advance(now);
}

void role_lease::on(const object_observed& e, base::time_point now) {
    // A watch may deliver an older state than a reply did.
    if (e.object.key == key() && e.object.version > version_ && !write_.pending()) {
        observe(e.object, now);
        if (held_ && !own_record()) {
            drop_role();
        }
    }
    advance(now);
}

void role_lease::on(const candidacy_changed& e, base::time_point now) {
    candidate_ = e.candidate;
    advance(now);
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
        write(write_kind::release, term_, now);
    } else if (held_ && now >= renew_at_) {
        write(write_kind::renew, term_, now);
    } else if (!held_ && candidate_) {
        compete(now);
    }
}

void role_lease::expire(base::time_point now) {
    if (held_ && now >= act_until_) {
        drop_role();
    }
}

void role_lease::compete(base::time_point now) {
    if (takeover_due(now)) {
        write(write_kind::acquire, (observed_ ? observed_->term : 0) + 1, now);
    } else {
        poll(now);
    }
}

bool role_lease::takeover_due(base::time_point now) const {
    if (!known_) {
        return false;
    }
    if (version_ == 0) {
        return true;
    }
    if (!observed_) {
        return false;  // not a lease record: its term is unknown, so no higher one can be chosen
    }
    // Our own record shows that nobody else has held the role since we wrote it.
    if (observed_->free || own_record()) {
        return true;
    }
    const auto length = std::max(options_.lease_duration, observed_->lease_duration);
    return now >= observed_since_ + length + options_.takeover_margin;
}

bool role_lease::own_record() const {
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

void role_lease::write(write_kind kind, std::uint64_t term, base::time_point now) {
    const auto correlation = next_correlation_++;
    kind_ = kind;
    written_ = {
        options_.holder,
        options_.incarnation,
        term,
        options_.lease_duration,
        kind == write_kind::release,
        options_.holder + '/' + std::to_string(options_.incarnation) + '/' + std::to_string(correlation)};
    actions_.emplace_back(write_.begin(correlation, key(), encode(written_), version_, now));
}

void role_lease::written(const write_result& r, base::time_point now) {
    if (!r.applied) {
        observe(r.current, now);
        if (held_) {
            drop_role();
        }
        return;
    }
    observed_ = written_;
    version_ = r.version;
    observed_since_ = now;
    if (kind_ == write_kind::release) {
        held_ = false;
        return;
    }
    act_until_ = r.sent_at + options_.lease_duration - options_.in_flight_margin;
    renew_at_ = r.sent_at + options_.renew_interval;
    if (!held_ && now < act_until_) {
        held_ = true;
        term_ = written_.term;
        actions_.emplace_back(acquired{term_});
    }
    expire(now);
}

void role_lease::observe(const std::optional<base::stored_object>& object, base::time_point now) {
    const auto version = object ? object->version : 0;
    if (known_ && version == version_) {
        return;
    }
    known_ = true;
    version_ = version;
    observed_ = object ? decode_lease(object->value) : std::nullopt;
    observed_since_ = now;
}

void role_lease::drop_role() {
    held_ = false;
    write_.abandon();
    // Read the object before competing again: an abandoned write may have changed it.
    known_ = false;
    poll_at_ = {};
    actions_.emplace_back(lost{term_});
}

}  // namespace chicorygap::lease
