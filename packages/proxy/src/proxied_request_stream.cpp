// Streams of events in the responses to a request.
#include "base/log.h"
#include "proxied_request.h"

#include <algorithm>
#include <utility>

namespace chicorygap::proxy {

using base::result_code;
using namespace std::chrono_literals;

namespace {

/// Memory of an incomplete event while memory is scarce; an event has a few hundred bytes.
constexpr std::size_t max_event_bytes_under_pressure = std::size_t{64} * 1024;

}  // namespace

void proxied_request::record_token_gap() {
    const auto now = base::boot_clock::now();
    const auto last = std::exchange(last_event_received_at_, now);
    record_.max_token_gap = std::max(record_.max_token_gap, last ? now - *last : base::duration{});
    if (last && route_->target_gap && now - *last > *route_->target_gap) {
        scheduler().token_gap_exceeded(id_, now);
    }
}

void proxied_request::on_stream_body(std::string_view data) {
    const auto events_before = events_.event_count();
    const auto complete_events = events_.feed(data);
    const auto self = shared_from_this();
    charge_response();
    const bool too_long_under_pressure = router_.memory_pressure() != memory::pressure::none &&
                                         events_.held_bytes() > max_event_bytes_under_pressure;
    if (complete_events.empty()) {
        if (!fail_attempt_after_event_fault() && too_long_under_pressure) {
            fail_attempt_with_invalid_response(to_string(event_fault::too_long));
        }
        return;
    }
    if (!attempt_tracker_->record_output(current_attempt_, events_.event_count() - events_before)) {
        return;
    }
    report_run_started();
    evidence_.event_received(router_.loop.now());
    record_token_gap();
    scheduler().first_output(id_, router_.loop.now());
    if (!record_.time_to_first_output) {
        record_.time_to_first_output = base::boot_clock::now() - received_at_;
    }
    if (!std::exchange(response_started_, true)) {
        http::response_head head{.status = response_head_.status,
                                 .headers = http::end_to_end(response_head_.headers)};
        session_->begin(std::move(head));
    }
    session_->send(complete_events);
    if (fail_attempt_after_event_fault()) {
        return;
    }
    if (too_long_under_pressure) {
        fail_attempt_with_invalid_response(to_string(event_fault::too_long));
        return;
    }
    pause_if_caller_is_slow();
    arm_attempt_timer();
}

bool proxied_request::fail_attempt_after_event_fault() {
    if (events_.fault() == event_fault::none) {
        return false;
    }
    base::log_line{base::log_level::warning, "proxy", "Block in a stream is not the event that is due."}
        .field("request", metadata_.id.str())
        .field("server", record_.server.str())
        .field("attempt", record_.attempts)
        .field("fault", to_string(events_.fault()))
        .field("bytes", static_cast<long long>(events_.faulty_block_bytes()))
        .field("events", static_cast<long long>(events_.event_count()))
        .field("attempt_events", static_cast<long long>(events_.event_count() - events_at_attempt_start_))
        .field("framing", to_string(response_framing_));
    fail_attempt_with_invalid_response(to_string(events_.fault()));
    return true;
}

void proxied_request::complete_stream() {
    // The end of a connection before any event of this attempt does not show that the server had none left.
    const bool nothing_received = events_.event_count() == events_at_attempt_start_ &&
                                  response_framing_ == http::body_framing::connection_end;
    if (events_.has_partial() || !response_started_ || nothing_received) {
        finish_broken_attempt({result_code::answer_truncated, true}, scheduling::outcome::unreachable,
                              "truncated", false);
        return;
    }
    evidence_.answered(router_.loop.now());
    attempt_tracker_->finish(current_attempt_, {result_code::ok, true});
    router_.apply_decisions(
        service_, scheduler().attempt_finished(id_, scheduling::outcome::success, router_.loop.now()));
    end(response_head_.status, result_code::ok, [this](http::server_session& s) {
        s.send(events_.take_comments());
        s.finish();
    });
}

}  // namespace chicorygap::proxy
