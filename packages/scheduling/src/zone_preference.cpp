#include "scheduling/zone_preference.h"

#include "zone_plan.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <numeric>
#include <optional>
#include <utility>

namespace chicorygap::scheduling {

namespace {

using namespace std::chrono_literals;

/// Round trip between two zones: twice the 1.4 ms that one way takes.
constexpr double round_trip_ms = 2.8;
constexpr double bytes_per_mb = 1'000'000;
/// Demand of the zone's daemons, relative to its places, at which it becomes short of places, and below which
/// it no longer is. The distance exceeds the variation of the demand of a zone with some ten servers.
constexpr double short_of_places_level = 0.9;
constexpr double enough_places_level = 0.8;
/// Advantage of another zone in the time to the first event from which on this zone is slow, and below which
/// it no longer is. The shortest target to the first event is 120 ms; a fifth of it matters to a caller.
constexpr double slow_level_ms = 25;
constexpr double not_slow_level_ms = 5;
/// Time for which the cause of a state must have gone before the state becomes less urgent: three times the
/// interval of beacons of a zone with some twenty daemons.
constexpr base::duration calm_time = 1s;
/// Upper bound of the time in which reports tell of a start: beacons of a zone with 87 daemons are sent every
/// 1.3 s.
constexpr base::duration max_report_delay = 1500ms;
/// Most requests that may leave in a row because earlier ones of the share stayed.
constexpr double max_credit = 2;
/// Part of the starts of one report delay that may be saved for a burst. What all daemons have saved comes on
/// top of the places that a zone can spare; with a quarter of them it stays within the zone's reserve.
constexpr double saved_part = 0.25;
/// Time between two plans for which starts accrue in any case: a daemon has four requests per second, and
/// makes a plan only when it has one.
constexpr base::duration max_plan_gap = 300ms;
/// Weight of a new value in the averages of run times and bytes.
constexpr double average_weight = 0.1;

double to_ms(base::duration d) {
    return std::chrono::duration<double, std::milli>{d}.count();
}

}  // namespace

class zone_preference::impl {
public:
    impl(base::zone_id home, zone_options o, const base::random_function& random)
        : home_{std::move(home)}, options_{std::move(o)}, random_{random} {}

    [[nodiscard]] bool update_due(base::time_point now) const {
        return !updated_at_ || now - *updated_at_ >= plan_lifetime;
    }

    void update(const std::vector<zone_load>& loads, base::time_point now) {
        const auto it =
            std::find_if(loads.begin(), loads.end(), [this](const auto& z) { return z.zone == home_; });
        home_load_ = it == loads.end() ? zone_load{.zone = home_} : *it;
        const double gain = gain_elsewhere_ms(loads);
        const auto previous = status_.state;
        set_state(state_of(gain), now);
        plan_ = make_zone_plan(loads, home_, wanted(gain));
        status_.shares.clear();
        for (const auto& [zone, part] : plan_) {
            if (part.share > 0) {
                status_.shares[zone] = part.share;
            }
        }
        refill(now);
        updated_at_ = now;
        if (previous != status_.state && options_.state_changed) {
            options_.state_changed({previous, status_.state, home_load_, status_.share()});
        }
    }

    void record_arrival(std::uint64_t bytes) {
        const double before = mean_bytes_.value_or(static_cast<double>(bytes));
        mean_bytes_ = before + average_weight * (static_cast<double>(bytes) - before);
        for (const auto& [zone, share] : status_.shares) {
            auto& a = allowance(zone);
            a.credit = std::min(a.credit + share, max_credit);
        }
    }

    void record_run_time(base::duration d) {
        const double before = run_time_ms_.value_or(to_ms(d));
        run_time_ms_ = before + average_weight * (to_ms(d) - before);
    }

    [[nodiscard]] bool in_share(const base::zone_id& zone) const {
        const auto it = allowances_.find(zone);
        return status_.shares.count(zone) > 0 && it != allowances_.end() && it->second.credit >= 1 &&
               it->second.starts >= 1;
    }

    [[nodiscard]] leave_reason share_reason() const {
        switch (status_.state) {
            case zone_state::sufficient:
                return leave_reason::none;
            case zone_state::slow:
                return leave_reason::slow;
            case zone_state::short_of_places:
                return leave_reason::share;
            case zone_state::closed:
                return leave_reason::closed;
        }
        return leave_reason::none;
    }

    [[nodiscard]] leave_reason may_overflow(const base::zone_id& zone, std::uint64_t bytes,
                                            base::duration waited, base::duration longest_wait) const {
        const auto it = allowances_.find(zone);
        if (plan_.count(zone) == 0 || it == allowances_.end() || it->second.starts < 1) {
            return leave_reason::none;
        }
        if (status_.state == zone_state::closed) {
            return leave_reason::closed;
        }
        const double limit_ms = std::min(cost_ms(bytes), to_ms(longest_wait));
        return std::max(to_ms(waited), expected_wait_ms()) >= limit_ms ? leave_reason::full
                                                                       : leave_reason::none;
    }

    [[nodiscard]] bool may_retry(const base::zone_id& zone) const { return plan_.count(zone) > 0; }

    [[nodiscard]] double cost_ms(std::uint64_t bytes) const {
        return round_trip_ms + price_ms(static_cast<double>(bytes));
    }

    [[nodiscard]] double home_place_cost_ms() const {
        return status_.state == zone_state::short_of_places ? expected_wait_ms() : 0;
    }

    void record_start(const base::zone_id& zone, std::uint64_t bytes, leave_reason reason) {
        auto& a = allowance(zone);
        a.starts = std::max(a.starts - 1, 0.0);
        // Requests that found no place count in the share too; the bound keeps a burst from suppressing it.
        a.credit = std::max(a.credit - 1, -max_credit);
        auto& d = status_.departures[reason];
        ++d.requests;
        d.bytes += bytes;
        d.price_ms += price_ms(static_cast<double>(bytes));
    }

    [[nodiscard]] const zone_status& status() const { return status_; }

private:
    /// Starts in another zone that this daemon may make.
    struct allowance_state {
        double credit = 0;   ///< requests of the share that have not left yet
        double accrued = 0;  ///< part of the next start
        double starts = 0;   ///< starts that are allowed now
        base::time_point granted_at;
    };

    allowance_state& allowance(const base::zone_id& zone) {
        const auto [it, added] = allowances_.try_emplace(zone);
        if (added) {
            // Without this all daemons would start their first request there at the same time.
            constexpr std::uint64_t steps = 1024;
            it->second.credit = static_cast<double>(random_() % steps) / static_cast<double>(steps);
            it->second.accrued = static_cast<double>(random_() % steps) / static_cast<double>(steps);
        }
        return it->second;
    }

    [[nodiscard]] double price_ms(double bytes) const {
        return bytes / bytes_per_mb * options_.byte_price_ms_per_mb;
    }

    /// @return time until a server of the zone has a place for a request that finds none; 0 if unknown.
    [[nodiscard]] double expected_wait_ms() const {
        return home_load_.places > 0 ? run_time_ms_.value_or(0) * (home_load_.waiting + 1) / home_load_.places
                                     : 0;
    }

    /// @return by how much sooner than here a request gets its first event in the best other zone that can
    /// take it, less the cost of the way.
    [[nodiscard]] double gain_elsewhere_ms(const std::vector<zone_load>& loads) const {
        double best = -std::numeric_limits<double>::infinity();
        for (const auto& [zone, part] : make_zone_plan(loads, home_, 1)) {
            const auto it = std::find_if(loads.begin(), loads.end(),
                                         [z = &zone](const auto& load) { return load.zone == *z; });
            if (part.places >= 1) {
                best = std::max(best, to_ms(home_load_.first_event - it->first_event));
            }
        }
        return best - round_trip_ms - price_ms(mean_bytes_.value_or(0));
    }

    [[nodiscard]] zone_state state_of(double gain_ms) const {
        if (home_load_.places <= 0) {
            return zone_state::closed;
        }
        const auto level =
            status_.state >= zone_state::short_of_places ? enough_places_level : short_of_places_level;
        if (home_load_.demand >= level * home_load_.places) {
            return zone_state::short_of_places;
        }
        const auto slow_level = status_.state == zone_state::slow ? not_slow_level_ms : slow_level_ms;
        return gain_ms >= slow_level ? zone_state::slow : zone_state::sufficient;
    }

    /// A more urgent state is entered at once, a less urgent one after `calm_time`.
    void set_state(zone_state s, base::time_point now) {
        if (s >= status_.state) {
            calm_since_.reset();
        } else if (!calm_since_) {
            calm_since_ = now;
        }
        if (s > status_.state || (calm_since_ && now - *calm_since_ >= calm_time)) {
            status_.state = s;
            ++status_.state_changes;
            calm_since_.reset();
        }
    }

    /// @return requests of the zone that should run elsewhere.
    [[nodiscard]] double wanted(double gain_ms) const {
        if (status_.state == zone_state::closed && home_load_.places <= 0) {
            return std::max(home_load_.demand, 1.0);
        }
        double n = status_.state >= zone_state::short_of_places ? excess_demand(home_load_) : 0;
        const double first_event_ms = to_ms(home_load_.first_event);
        if (status_.state == zone_state::slow && gain_ms > 0 && first_event_ms > 0) {
            // The fraction by which leaving shortens the wait: zones that are nearly equal exchange little.
            n = std::max(n, home_load_.demand * std::min(gain_ms / first_event_ms, 1.0));
        }
        return n;
    }

    /// Adds the starts that the plan allows since the last one: the places that are used become free after
    /// the run time, and the unused ones are taken within the time in which the reports tell of it. Allowed
    /// starts lapse. In a large fleet, whose daemons have less than one place each, all of them would
    /// otherwise save a start and use it at the same time.
    void refill(base::time_point now) {
        const double report_delay_ms = to_ms(max_report_delay);
        const double run_ms = std::max(run_time_ms_.value_or(report_delay_ms), to_ms(plan_lifetime));
        const double delay_ms = std::min(run_ms, report_delay_ms);
        const double longest_ms = std::max(saved_part * delay_ms, to_ms(max_plan_gap));
        const double elapsed_ms = updated_at_ ? std::min(to_ms(now - *updated_at_), longest_ms) : 0;
        const auto daemons = static_cast<double>(std::max<std::size_t>(home_load_.reports, 1));
        for (const auto& [zone, part] : plan_) {
            auto& a = allowance(zone);
            const double kept = saved_part * part.places / daemons;
            if (to_ms(now - a.granted_at) > saved_part * delay_ms) {
                a.starts = std::min(a.starts, kept);
            }
            a.accrued += (part.used / run_ms + part.unused / delay_ms) * elapsed_ms / daemons;
            if (const double whole = std::floor(a.accrued); whole >= 1) {
                a.accrued -= whole;
                // Where requests are short, a plan may allow several starts until the next one.
                const double most = std::max({kept, std::min(whole, part.places / daemons), 1.0});
                a.starts = std::min(a.starts + whole, most);
                a.granted_at = now;
            }
            // Nothing is left over from the time in which the zone had spare places.
            a.starts = part.places > 0 ? a.starts : 0;
        }
    }

    base::zone_id home_;
    zone_options options_;
    base::random_function random_;
    zone_status status_;
    zone_load home_load_;
    zone_plan plan_;
    std::map<base::zone_id, allowance_state> allowances_;
    std::optional<base::time_point> updated_at_;
    std::optional<base::time_point> calm_since_;  ///< time since which a less urgent state would apply
    std::optional<double> run_time_ms_;
    std::optional<double> mean_bytes_;
};

zone_preference::zone_preference(base::zone_id home, zone_options o, const base::random_function& random)
    : impl_{std::make_unique<impl>(std::move(home), std::move(o), random)} {}
zone_preference::~zone_preference() = default;

bool zone_preference::update_due(base::time_point now) const {
    return impl_->update_due(now);
}

void zone_preference::update(const std::vector<zone_load>& loads, base::time_point now) {
    impl_->update(loads, now);
}

void zone_preference::record_arrival(std::uint64_t bytes) {
    impl_->record_arrival(bytes);
}

void zone_preference::record_run_time(base::duration d) {
    impl_->record_run_time(d);
}

bool zone_preference::in_share(const base::zone_id& zone) const {
    return impl_->in_share(zone);
}

leave_reason zone_preference::share_reason() const {
    return impl_->share_reason();
}

leave_reason zone_preference::may_overflow(const base::zone_id& zone, std::uint64_t bytes,
                                           base::duration waited, base::duration longest_wait) const {
    return impl_->may_overflow(zone, bytes, waited, longest_wait);
}

bool zone_preference::may_retry(const base::zone_id& zone) const {
    return impl_->may_retry(zone);
}

double zone_preference::cost_ms(std::uint64_t bytes) const {
    return impl_->cost_ms(bytes);
}

double zone_preference::home_place_cost_ms() const {
    return impl_->home_place_cost_ms();
}

void zone_preference::record_start(const base::zone_id& zone, std::uint64_t bytes, leave_reason reason) {
    impl_->record_start(zone, bytes, reason);
}

const zone_status& zone_preference::status() const {
    return impl_->status();
}

const char* to_string(zone_state s) {
    switch (s) {
        case zone_state::sufficient:
            return "sufficient";
        case zone_state::slow:
            return "slow";
        case zone_state::short_of_places:
            return "short_of_places";
        case zone_state::closed:
            return "closed";
    }
    return "unknown";
}

const char* to_string(leave_reason r) {
    switch (r) {
        case leave_reason::none:
            return "none";
        case leave_reason::slow:
            return "slow";
        case leave_reason::share:
            return "share";
        case leave_reason::retry:
            return "retry";
        case leave_reason::full:
            return "full";
        case leave_reason::closed:
            return "closed";
    }
    return "unknown";
}

double zone_status::share() const {
    return std::accumulate(shares.begin(), shares.end(), 0.0,
                           [](double sum, const auto& s) { return sum + s.second; });
}

}  // namespace chicorygap::scheduling
