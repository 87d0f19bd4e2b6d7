#include "service_estimate.h"

#include "placement.h"
#include "service_times.h"

#include <algorithm>
#include <chrono>

namespace chicorygap::scheduling {

namespace {

/// Time of a request to a plain service that is assumed until it is measured.
constexpr double default_request_ms = 20;

base::duration from_ms(double ms) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double, std::milli>{ms});
}

/// @return time of one request on the server at its usual pace, without waiting.
double usual_request_ms(const server_state& s, const placement_context& c) {
    const auto measured = c.times->request_time();
    const double mean = measured > base::duration{}
                            ? std::chrono::duration<double, std::milli>{measured}.count()
                            : default_request_ms;
    return mean / s.shared.pace.speed();
}

}  // namespace

std::uint32_t present_requests(const server_state& s, const placement_context& c, base::time_point now) {
    return c.times == nullptr ? s.running() : s.shared.requests(s.running(), s.local_load.running, now);
}

std::int64_t present_kv_cache_tokens(const server_state& s, std::int64_t unknown_request_tokens,
                                     const placement_context& c, base::time_point now) {
    const auto known = s.running();
    const auto present = present_requests(s, c, now);
    if (present <= known) {
        return s.kv_cache_tokens();  // those of a request that has just ended may still be held
    }
    const auto each = known > 0 ? s.kv_cache_tokens() / known : unknown_request_tokens;
    return s.kv_cache_tokens() + each * (present - known);
}

double present_prefill_speed(const server_state& s, const placement_context& c, base::time_point now) {
    return c.prefill_tokens_per_ms / s.shared.pace.time_factor(now);
}

double usual_prefill_speed(const server_state& s, const placement_context& c) {
    return c.prefill_tokens_per_ms * s.shared.pace.speed();
}

service_estimate estimate_generation(const server_state& s, const scheduled_request& request,
                                     const prefill_work& work, const placement_context& c,
                                     base::time_point now) {
    const auto& pace = s.shared.pace;
    const double work_ms =
        work.wait_ms + static_cast<double>(work.prefill_tokens) / usual_prefill_speed(s, c);
    const double ratio = c.times->first_event_ratio();
    const double first_ms =
        (c.base_latency_ms + pace.duration_ms(work_ms, now)) * ratio + work.kv_transfer_ms;
    const std::chrono::duration<double, std::milli> stream{
        c.times->stream_time(request.generation->output_tokens)};
    // The stream is longer than the present slowdown lasts.
    return {.average_first_event = from_ms(c.base_latency_ms + work_ms * pace.speed()),
            .first_event = from_ms(first_ms),
            .wait = from_ms(pace.duration_ms(work.wait_ms, now) * ratio),
            .total = from_ms(first_ms + stream.count() / pace.speed())};
}

service_estimate estimate_plain_request(const server_state& s, const placement_context& c,
                                        base::time_point now) {
    const double slots = std::max<std::uint32_t>(1, s.info.slots);
    const double ahead = std::max(0.0, present_requests(s, c, now) + 1 - slots);
    const double own_ms = usual_request_ms(s, c);
    const double wait_ms = own_ms * ahead / slots;
    const auto total = from_ms(s.shared.pace.duration_ms(own_ms + wait_ms, now));
    return {.first_event = total, .wait = from_ms(wait_ms), .total = total};
}

bool can_serve_in_time(const server_state& s, const scheduled_request& request, const service_estimate& e,
                       const placement_context& c, base::time_point now) {
    if (present_requests(s, c, now) == 0) {
        return true;
    }
    return now + e.total <= request.deadline && now + e.first_event <= request.first_event_deadline();
}

double plain_server_cost_ms(const server_state& s, const placement_context& c, base::time_point now) {
    const double slots = std::max<std::uint32_t>(1, s.info.slots);
    return usual_request_ms(s, c) * s.shared.pace.slowdown(now) * (present_requests(s, c, now) + 1) / slots;
}

}  // namespace chicorygap::scheduling
