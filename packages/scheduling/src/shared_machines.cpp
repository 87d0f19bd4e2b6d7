#include "shared_machines.h"

#include "placement.h"

#include <algorithm>
#include <chrono>

namespace chicorygap::scheduling {

namespace {

using namespace std::chrono_literals;

/// Time for which a report of the requests on a server counts. Generations end within a second or two.
constexpr base::duration report_lifetime = 300ms;
/// Plain requests are short: their servers work off a queue within a few times the time of one request.
constexpr int plain_report_request_times = 3;
constexpr base::duration min_report_lifetime = 40ms;
/// Prompt tokens from which on the time to the first event depends on the speed of the server more than on
/// the network.
constexpr std::int64_t min_comparable_tokens = 400;
/// Bounds of the time for which a server that refused a request counts as full.
constexpr base::duration min_full_time = 20ms;
constexpr base::duration max_full_time = 300ms;
/// Time of a request that is assumed for a full server until it is measured.
constexpr base::duration min_request_time = 30ms;
/// Multiple of the expected time from which on a missing first event shows that the server is slow.
constexpr int overdue_factor = 2;

}  // namespace

attempt_times shared_machines::started(const placement& p, base::time_point now) const {
    attempt_times t{.started_at = now, .first_event = p.estimate.first_event, .wait = p.estimate.wait};
    t.comparable = p.server->running() < p.server->info.slots;
    if (p.prefill_tokens >= min_comparable_tokens && !p.kv_transfer) {
        t.average_first_event = p.estimate.average_first_event;
    }
    return t;
}

void shared_machines::advance(const std::vector<server_state*>& servers, double prefill_tokens_per_ms,
                              base::time_point now) {
    for (auto* s : servers) {
        const double tokens_per_s = prefill_tokens_per_ms * 1000 / s->shared.pace.time_factor(now);
        s->backlog.advance(s->prefill_tokens_per_s(now) / tokens_per_s, now);
        s->overdue = {};
    }
}

void shared_machines::missing_first_event(server_state& s, const attempt_times& t, base::time_point now) {
    if (!t.first_event_at) {
        s.overdue = std::max(s.overdue, now - t.started_at - t.first_event);
    }
}

void shared_machines::reported(server_state& s, const server_report& r, bool generation,
                               base::time_point now) const {
    const auto lifetime = generation ? report_lifetime
                                     : std::clamp(times_.request_time() * plain_report_request_times,
                                                  base::duration{min_report_lifetime}, report_lifetime);
    s.shared.report(r, s.local_load.running, lifetime, now);
}

void shared_machines::first_event(server_state& s, attempt_times& t, base::time_point now) {
    t.first_event_at = now;
    const auto measured_wait = t.wait + (now - t.started_at - t.first_event);
    s.backlog.observe(std::max(base::duration{}, measured_wait), t.wait);
    if (t.average_first_event > base::duration{}) {
        times_.record_first_event(s.shared.pace, t.average_first_event, now - t.started_at, now);
    }
}

base::duration shared_machines::time_until_place(const server_state& s, base::time_point now) const {
    const auto request_time = std::max(times_.request_time(), base::duration{min_request_time});
    const double slots = std::max<std::uint32_t>(1, s.info.slots);
    const auto one_end =
        std::chrono::duration_cast<base::duration>(request_time * (s.shared.pace.time_factor(now) / slots));
    return std::clamp(one_end, base::duration{min_full_time}, base::duration{max_full_time});
}

void shared_machines::ended(server_state& s, const scheduled_request& request, const attempt_times& t,
                            outcome o, base::time_point now) {
    const auto elapsed = now - t.started_at;
    if (o == outcome::rejected && !s.shared.reported_room(now)) {
        s.shared.refused(time_until_place(s, now), now);
    }
    if (o != outcome::success) {
        // The first event would have taken at least this long; without these the slowest servers are measured
        // by their fast responses only.
        const bool overdue = t.average_first_event > base::duration{} && !t.first_event_at &&
                             elapsed > overdue_factor * t.average_first_event;
        if (overdue && (o == outcome::unreachable || o == outcome::cancelled)) {
            times_.record_first_event(s.shared.pace, t.average_first_event, elapsed, now);
        }
        return;
    }
    auto* pace = t.comparable && !request.generation ? &s.shared.pace : nullptr;
    times_.record_request(pace, elapsed, now);
    if (request.generation && t.first_event_at) {
        times_.record_stream(request.generation->output_tokens, now - *t.first_event_at);
    }
}

}  // namespace chicorygap::scheduling
