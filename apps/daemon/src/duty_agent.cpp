#include "duty_agent.h"

#include "base/log.h"
#include "platform/object_codec.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <variant>

namespace chicorygap::daemon_app {

using namespace std::chrono_literals;

namespace {

constexpr base::duration tick_interval = 100ms;
/// Interval of the autoscaling decisions: a fraction of the time that a server needs to start.
constexpr base::duration autoscaling_interval = 500ms;
/// Delay before a new lease holder acts, in which it receives the counts and loads of its peers. These arrive
/// several times a second.
constexpr base::duration lease_warm_up = 1s;

/// The last counts of a usage window arrive within this number of beacon intervals plus `settle_margin`.
constexpr int settle_beacons = 2;
constexpr base::duration settle_margin = 900ms;
/// Windows whose stored counts the holder tells its peers.
constexpr std::size_t shared_stored_windows = 4;

std::string window_name(metering::window_number w) {
    return "window-" + std::to_string(static_cast<std::uint64_t>(w));
}

lease::lease_options lease_options(const settings::edge_settings& s, std::uint64_t incarnation) {
    const auto length = s.duties.lease_duration;
    return {.role = "fleet",
            .holder = s.vm.str(),
            .incarnation = incarnation,
            // The holder can attempt three renewals before it must stop acting.
            .renew_interval = length / 4,
            .lease_duration = length,
            .in_flight_margin = length / 6,
            .takeover_margin = length / 6,
            .poll_interval = length / 4};
}

}  // namespace

duty_agent::duty_agent(net::loop& l, const settings::edge_settings& s, platform::store_client& store,
                       const sharing::peer_table& peers, metering::meter& meter, std::uint64_t incarnation,
                       duty_queries queries)
    : loop_{l},
      settings_{s},
      store_{store},
      peers_{peers},
      meter_{meter},
      queries_{std::move(queries)},
      lease_{lease_options(s, incarnation)},
      lease_records_{store, platform::lease_kind},
      reporter_{{s.duties.usage_window, s.duties.usage_report_deadline},
                [this](metering::window_number w) { return meter_.fleet_counts(w); }},
      live_daemons_{s.duties.usage_window + s.duties.usage_report_deadline} {
    if (s.cloud_api) {
        cloud_.emplace(l, *s.cloud_api, s.vm);
    }
}

duty_agent::~duty_agent() {
    loop_.cancel(timer_);
}

void duty_agent::start() {
    if (!cloud_) {
        return;  // no address for usage reports and capacity requests is configured
    }
    handle(lease::candidacy_changed{false});
    timer_ = loop_.every(tick_interval, [this] { tick(); });
}

void duty_agent::stop() {
    stopping_ = true;
    if (cloud_) {
        handle(lease::release_requested{});
    }
}

void duty_agent::on_store_era(std::uint64_t era, bool restored) {
    if (cloud_) {
        reporter_.store_restored(median_wall_time());
        handle(lease::era_changed{era, restored});
    }
}

std::map<metering::window_number, metering::workspace_counts> duty_agent::stored_windows() const {
    std::map<metering::window_number, metering::workspace_counts> out;
    if (held_term() == 0) {
        return out;
    }
    const auto& all = reporter_.stored_counts();
    const auto skipped = all.size() - std::min(all.size(), shared_stored_windows);
    out.insert(std::next(all.begin(), static_cast<std::ptrdiff_t>(skipped)), all.end());
    return out;
}

void duty_agent::remember_stored_window(metering::window_number w, const metering::workspace_counts& counts) {
    reporter_.remember(w, counts);
}

std::uint64_t duty_agent::held_term() const {
    return lease_.may_act(base::boot_clock::now()) ? lease_.term() : 0;
}

bool duty_agent::may_act() const {
    const auto now = base::boot_clock::now();
    return lease_.may_act(now) && now - acquired_at_ >= lease_warm_up;
}

base::wall_time duty_agent::median_wall_time() const {
    return peers_.median_wall_time(base::wall_clock_now(), loop_.now());
}

void duty_agent::tick() {
    const auto now = loop_.now();
    if (!servers_known_since_ && !queries_.servers().empty()) {
        servers_known_since_ = now;
    }
    live_daemons_.observe(peers_.live_count(now), now);
    // Competing for the lease takes store calls, which are unnecessary while a live peer holds the lease.
    const bool candidate =
        !stopping_ && (lease_.held() || (!peers_.lease_holder(now) && queries_.may_compete()));
    if (candidate != std::exchange(candidate_, candidate)) {
        handle(lease::candidacy_changed{candidate});
    }
    if (const auto holder = peers_.lease_holder(now)) {
        handle(lease::term_observed{holder->term});
    }
    handle(lease::tick{});
    if (!may_act()) {
        return;
    }
    if (settings_.reports_usage) {
        report_usage();
    }
    if (settings_.requests_capacity && now >= next_autoscaling_) {
        next_autoscaling_ = now + autoscaling_interval;
        run_autoscalers();
    }
}

void duty_agent::handle(const lease::lease_event& e) {
    apply(lease_.handle(e, base::boot_clock::now()));
}

void duty_agent::apply(const std::vector<lease::lease_action>& actions) {
    const auto reply = [this](const base::store_reply& r) { handle(r); };
    for (const auto& a : actions) {
        if (const auto* put = std::get_if<base::store_put>(&a)) {
            lease_records_.put(*put, reply);
        } else if (const auto* get = std::get_if<base::store_get>(&a)) {
            lease_records_.get(*get, reply);
        } else if (const auto* acquired = std::get_if<lease::acquired>(&a)) {
            acquired_at_ = base::boot_clock::now();
            base::log_line{base::log_level::info, "duties", "Lease acquired."}.field(
                "term", static_cast<long long>(acquired->term));
        } else if (const auto* lost = std::get_if<lease::lost>(&a)) {
            base::log_line{base::log_level::warning, "duties", "Lease lost."}.field(
                "term", static_cast<long long>(lost->term));
            on_lease_lost();
        }
    }
}

void duty_agent::on_lease_lost() {
    reporter_.reset();
    autoscalers_.clear();
}

void duty_agent::report_usage() {
    const bool all_peers_live = peers_.live_count(loop_.now()) >= live_daemons_.value();
    const auto settle_time = settle_margin + settle_beacons * sharing::beacon_interval(peers_.known_count());
    for (const auto& a : reporter_.tick(median_wall_time(), settle_time, all_peers_live, loop_.now())) {
        if (const auto* w = std::get_if<duties::store_window>(&a)) {
            store_window(*w);
        } else if (const auto* read = std::get_if<duties::read_window>(&a)) {
            read_window(*read);
        } else {
            report_window(std::get<duties::report_window>(a));
        }
    }
}

void duty_agent::read_window(const duties::read_window& action) {
    store_.get(platform::usage_kind, window_name(action.window),
               [this, w = action.window](const platform::store_result<platform::stored_item>& r) {
                   if (r.status == platform::store_status::not_found) {
                       base::log_line{base::log_level::warning, "duties",
                                      "Usage window skipped: it may have been reported with counts that the "
                                      "store has lost."}
                           .field("window", static_cast<long long>(w));
                       reporter_.window_missing(w);
                       return;
                   }
                   const bool found = r.status == platform::store_status::ok && r.value;
                   reporter_.window_stored(w, found ? platform::decode_counts(r.value->spec) : std::nullopt);
               });
}

void duty_agent::store_window(const duties::store_window& action) {
    const auto requests = std::accumulate(action.counts.begin(), action.counts.end(), std::uint64_t{0},
                                          [](std::uint64_t sum, const auto& c) { return sum + c.second; });
    base::log_line{base::log_level::info, "duties", "Usage window counted."}
        .field("window", static_cast<long long>(action.window))
        .field("requests", static_cast<long long>(requests))
        .field("daemons", static_cast<long long>(meter_.counting_daemons(action.window)))
        .field("live_daemons", static_cast<long long>(peers_.live_count(loop_.now())));
    store_.create(platform::usage_kind, window_name(action.window), platform::encode_counts(action.counts),
                  [this, w = action.window](const platform::store_result<platform::stored_item>& r) {
                      const bool stored = r.value && (r.status == platform::store_status::ok ||
                                                      r.status == platform::store_status::conflict);
                      reporter_.window_stored(w,
                                              stored ? platform::decode_counts(r.value->spec) : std::nullopt);
                  });
}

void duty_agent::report_window(const duties::report_window& action) {
    if (!may_act()) {
        reporter_.window_reported(action.window, duties::report_result::failed);
        return;
    }
    cloud_->report_usage(action.window, action.counts, lease_.term(),
                         [this, w = action.window](duties::report_result result) {
                             reporter_.window_reported(w, result);
                             base::log_line{base::log_level::info, "duties", "Usage report finished."}
                                 .field("window", static_cast<long long>(w))
                                 .field("result", result == duties::report_result::accepted ? "accepted"
                                                  : result == duties::report_result::fenced ? "fenced"
                                                                                            : "failed");
                         });
}

void duty_agent::run_autoscalers() {
    const auto snapshot = queries_.catalog();
    if (!snapshot) {
        return;
    }
    const auto load = queries_.load();
    const auto servers = queries_.servers();
    for (const auto& [id, service] : snapshot->services()) {
        if (!service.scaling) {
            continue;
        }
        auto& autoscaler = autoscalers_[id];
        if (!autoscaler) {
            autoscaler = std::make_unique<duties::autoscaler>(*service.scaling,
                                                              service.engine ? service.engine->slots : 1,
                                                              servers_known_since_.value_or(loop_.now()));
        }
        std::vector<catalog::backend_server> service_servers;
        std::copy_if(servers.begin(), servers.end(), std::back_inserter(service_servers),
                     [&id = id](const auto& s) { return s.service == id; });
        const auto it = load.find(id);
        const auto status = it == load.end() ? scheduling::scheduler_status{} : it->second;
        duties::service_demand demand{.requests = static_cast<double>(status.running + status.peer_running +
                                                                      status.waiting + status.peer_waiting),
                                      .prefill_tokens_per_s = status.prefill_tokens_per_s,
                                      .prefill_tokens_per_s_per_server = status.prefill_tokens_per_ms * 1000};
        queries_.add_signals(id, demand);
        autoscaler->observe(demand, service_servers, loop_.now());
        for (const auto& request : autoscaler->due_capacity_requests(loop_.now())) {
            send_capacity_request(id, request);
        }
    }
}

void duty_agent::send_capacity_request(const base::service_id& id, const duties::capacity_request& request) {
    const auto term = lease_.term();
    cloud_->request_capacity(
        id, request, term, [this, id, request](duties::capacity_result result, bool fenced) {
            base::log_line{base::log_level::info, "duties", "Capacity request finished."}
                .field("service", id.str())
                .field("zone", request.zone.str())
                .field("count", request.count)
                .field("reclaimable", request.reclaimable ? "yes" : "no")
                .field("result", fenced                                        ? "fenced"
                                 : result == duties::capacity_result::accepted ? "accepted"
                                 : result == duties::capacity_result::failed   ? "failed"
                                                                               : "unavailable");
            const auto it = autoscalers_.find(id);
            if (it != autoscalers_.end()) {
                it->second->capacity_request_finished(request, result, loop_.now());
            }
        });
}

}  // namespace chicorygap::daemon_app
