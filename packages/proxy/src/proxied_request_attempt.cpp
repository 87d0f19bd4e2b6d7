#include "proxied_request.h"
#include "response_check.h"

#include <algorithm>
#include <utility>

namespace chicorygap::proxy {

using base::result_code;
using namespace std::chrono_literals;

namespace {

/// Maximum idle time of a connection that is reused for a request that may not be retried. A server may close
/// an idle connection at any time, which would leave the outcome of the request unknown.
constexpr base::duration max_idle_non_repeatable = 800ms;
/// Maximum idle time of a connection that is reused for a request that may be retried.
constexpr base::duration max_idle_repeatable = 4s;
/// Responses up to this size that are not streams are buffered before they are sent to the caller.
constexpr std::size_t max_buffered_response_bytes = std::size_t{1024} * 1024;
/// The same while memory is scarce.
constexpr std::size_t max_buffered_bytes_under_pressure = std::size_t{16} * 1024;
/// The same for error responses, which have short bodies.
constexpr std::size_t max_buffered_error_bytes = std::size_t{64} * 1024;
/// Bytes that are read of a response which is not forwarded: an error instead of the rest of a stream, or the
/// response to a request whose caller has left.
constexpr std::size_t max_discarded_bytes = std::size_t{1024} * 1024;
/// Unsent output for the caller above which reading from the server pauses.
constexpr std::size_t max_pending_output_bytes = std::size_t{256} * 1024;
/// The same while memory is scarce.
constexpr std::size_t max_pending_output_under_pressure = std::size_t{32} * 1024;
/// Attempt timeout of a request that may be retried and is not a stream, as a multiple of the route's target
/// latency.
constexpr int response_timeout_factor = 2;
/// Lower bound of the attempt timeout of a request that is not a stream.
constexpr base::duration min_response_timeout = 300ms;
/// Attempt timeout between two events of a resumable stream, as a multiple of the route's target gap.
constexpr int token_gap_timeout_factor = 3;
/// Lower bound of the attempt timeout between two events.
constexpr base::duration min_token_gap_timeout = 600ms;
/// Attempt timeout until the first event of a resumable stream, as a multiple of the route's target latency.
/// It is longer because the server may first prefill the prompts of other requests.
constexpr int first_event_timeout_factor = 5;
/// Lower bound of the attempt timeout until the first event.
constexpr base::duration min_first_event_timeout = 1200ms;
constexpr int status_server_error = 500;

}  // namespace

base::duration proxied_request::max_connection_idle() const {
    return route_->repeatable() ? max_idle_repeatable : max_idle_non_repeatable;
}

void proxied_request::start_attempt(const scheduling::start_decision& decision) {
    const auto& server = decision.server;
    const auto self = shared_from_this();
    if (ended_without_caller()) {
        return;
    }
    if (remaining_time() <= 0ms) {
        router_.apply_decisions(
            service_, scheduler().attempt_finished(id_, scheduling::outcome::cancelled, router_.loop.now()));
        end_with_failure(result_code::deadline_unreachable);
        return;
    }
    if (held_back_at_start()) {
        return;
    }
    const auto now = base::boot_clock::now();
    if (record_.attempts == 0) {
        record_.queue_time = now - received_at_;
    }
    evidence_.attempt_started();
    awaiting_server_check_ = false;
    current_attempt_ = attempt_tracker_->start(now);
    record_.attempts = attempt_tracker_->attempts();
    record_.server = server.id;
    record_.prefill_tokens = decision.prefill_tokens;
    record_.affinity_rank = decision.affinity_rank;
    events_.discard_partial();
    events_at_attempt_start_ = events_.event_count();
    std::string{}.swap(response_body_);
    charge_response();
    discarded_bytes_ = 0;
    response_is_stream_ = false;
    response_status_ = 0;
    response_framing_ = http::body_framing::none;
    if (!response_started_) {
        response_head_ = {};
        response_head_bytes_ = 0;
    }
    server_ = server;
    connection_key_ = server.instance_key();
    attempt_started_at_ = router_.loop.now();
    connection_ =
        router_.pool.take(connection_key_, server.address, max_connection_idle(), metadata_.id.str());
    server_request_metadata server_metadata{
        .server = server.id,
        .workspace = workspace_,
        .remaining_time = remaining_time(),
        .priority_rank = priority_rank(),
        .last_event_id = events_.last_id() ? events_.last_id() : metadata_.last_event_id,
        .body_bytes = body_->size(),
        .kv_transfer_source = decision.kv_transfer_source};
    const auto message = http::serialize(router_.codec.encode_server_request(request_.head, server_metadata));
    arm_attempt_timer();
    connection_->start(
        message, request_.head.method == "HEAD",
        [this, weak = weak_from_this()](const http::response_head& head) {
            return !weak.expired() && matches_request(head);
        },
        attempt_hooks(), body_);
}

bool proxied_request::matches_request(const http::response_head& head) const {
    const auto id = router_.codec.decode(head).request_id;
    // Without an id, a response on a connection that was used before may be a late copy of an earlier one.
    return id.empty() ? connection_ && connection_->fresh() : id == metadata_.id.str();
}

http::exchange_hooks proxied_request::attempt_hooks() {
    const auto with_self = [weak = weak_from_this(), attempt = current_attempt_](auto&& f) {
        const auto self = weak.lock();
        if (self && self->current_attempt_ == attempt && !self->ended_) {
            f(*self);
        }
    };
    return {.connected = [with_self] { with_self([](proxied_request& r) { r.on_connected(); }); },
            .head =
                [with_self](http::response_head&& head) {
                    with_self([&](proxied_request& r) { r.on_response_head(std::move(head)); });
                },
            .body =
                [with_self](std::string_view data) {
                    with_self([&](proxied_request& r) { r.on_response_body(data); });
                },
            .complete = [with_self] { with_self([](proxied_request& r) { r.on_response_complete(); }); },
            .failed =
                [with_self](http::exchange_failure failure) {
                    with_self([failure](proxied_request& r) { r.on_exchange_failed(failure); });
                }};
}

void proxied_request::arm_attempt_timer() {
    router_.loop.cancel(attempt_timer_);
    if (!route_->repeatable() || attempt_tracker_->attempts() >= route_->max_attempts) {
        return;  // no further attempt is allowed
    }
    base::duration limit =
        std::max<base::duration>(min_response_timeout, route_->target_latency * response_timeout_factor);
    if (route_->kind == catalog::request_kind::streaming) {
        const bool first = events_.event_count() == 0;
        limit = first ? std::max<base::duration>(min_first_event_timeout,
                                                 route_->target_latency * first_event_timeout_factor)
                      : std::max<base::duration>(min_token_gap_timeout, route_->target_gap.value_or(200ms) *
                                                                            token_gap_timeout_factor);
    }
    attempt_timer_ = router_.loop.after(limit, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_attempt_timeout();
        }
    });
}

void proxied_request::report_run_started() {
    if (!std::exchange(run_reported_, true) && router_.hooks.run_started && !workspace_.empty()) {
        router_.hooks.run_started(workspace_);
    }
}

void proxied_request::on_connected() {
    if (session_ && session_->caller_has_left()) {
        attempt_tracker_->finish(current_attempt_, {result_code::caller_gone, false});
        current_attempt_ = 0;
        abort_attempt();
        ended_without_caller();
    }
}

void proxied_request::on_response_head(http::response_head&& head) {
    response_metadata_ = router_.codec.decode(head);
    response_status_ = head.status;
    response_framing_ = http::framing_of(head);
    const expected_response expected{.stream = route_->kind == catalog::request_kind::streaming,
                                     .head_request = request_.head.method == "HEAD"};
    response_is_stream_ = expected.stream && !expected.head_request && is_event_stream(head) &&
                          !response_metadata_.not_run && !response_metadata_.wrong_server;
    // A server that spoils its response has run the request.
    if (!response_is_stream_ && !response_metadata_.not_run && !response_metadata_.wrong_server) {
        report_run_started();
    }
    const auto* fault = find_head_fault(head, response_metadata_, expected);
    if (fault != nullptr) {
        fail_attempt_with_invalid_response(fault);
        return;
    }
    record_.server_signals = response_metadata_.signals;
    router_.observe_signals(server_, response_metadata_.wrong_server, response_metadata_.signals,
                            attempt_started_at_);
    if (response_metadata_.queue_length) {
        record_.server_queue_length = response_metadata_.queue_length;
        scheduler().set_server_queue_length(id_, *response_metadata_.queue_length, router_.loop.now());
    }
    if (router_.usable_report(server_, response_metadata_)) {
        record_.server_load = response_metadata_.load;
        scheduler().set_server_report(id_, *response_metadata_.load, router_.loop.now());
    }
    if (!response_started_) {
        response_head_ = std::move(head);  // the head sent to the caller is that of the first server
        response_head_bytes_ = response_head_.headers.memory_bytes();
        charge_response();
    }
}

void proxied_request::on_response_body(std::string_view data) {
    if (response_is_stream_) {
        on_stream_body(data);
    } else {
        on_non_stream_body(data);
    }
}

void proxied_request::pause_if_caller_is_slow() {
    const auto limit = router_.memory_pressure() == memory::pressure::none
                           ? max_pending_output_bytes
                           : max_pending_output_under_pressure;
    if (connection_ && session_->buffered() > limit) {
        connection_->pause_reading(true);
    }
    router_.check_memory();
}

void proxied_request::charge_response() {
    response_charge_.set(response_body_.capacity() + response_head_bytes_);
    event_charge_.set(events_.held_bytes());
    router_.check_memory();
}

std::size_t proxied_request::unvalidated_bytes() const {
    return connection_ && !ended_
               ? response_charge_.bytes() + event_charge_.bytes() + connection_->head_bytes()
               : 0;
}

std::size_t proxied_request::pending_output_bytes() const {
    return session_ && !ended_ ? session_->buffered() : 0;
}

std::size_t proxied_request::max_buffered_bytes() const {
    if (response_status_ >= status_server_error) {
        return max_buffered_error_bytes;
    }
    return router_.memory_pressure() == memory::pressure::none ? max_buffered_response_bytes
                                                               : max_buffered_bytes_under_pressure;
}

bool proxied_request::response_may_be_replaced() const {
    const bool refused = response_metadata_.not_run || response_metadata_.wrong_server;
    return refused || (response_status_ >= status_server_error && route_->repeatable() &&
                       attempt_tracker_->attempts() < route_->max_attempts);
}

void proxied_request::fail_attempt_with_invalid_response(std::string_view cause) {
    router_.loop.cancel(attempt_timer_);
    abort_attempt();
    finish_broken_attempt({result_code::answer_mismatched, true}, scheduling::outcome::failed,
                          std::string{cause}, false);
}

void proxied_request::on_non_stream_body(std::string_view data) {
    const auto self = shared_from_this();
    const bool discarded = !session_ || (response_started_ && !forwarding_unbuffered_);
    if (discarded) {
        // An error response instead of the rest of a stream must not reach the caller; a caller that has left
        // needs none.
        response_body_.clear();
        discarded_bytes_ += data.size();
        if (discarded_bytes_ > max_discarded_bytes) {
            fail_attempt_with_invalid_response("body_too_long");
        }
        return;
    }
    if (forwarding_unbuffered_) {
        session_->send(data);
        pause_if_caller_is_slow();
        return;
    }
    response_body_.append(data);
    charge_response();
    if (response_body_.size() <= max_buffered_bytes()) {
        return;
    }
    if (response_may_be_replaced()) {
        fail_attempt_with_invalid_response("body_too_long");
        return;
    }
    // The response exceeds the buffer limit: from here on a failure aborts the response.
    forwarding_unbuffered_ = true;
    response_started_ = true;
    router_.loop.cancel(attempt_timer_);
    session_->begin({.status = response_head_.status, .headers = http::end_to_end(response_head_.headers)});
    session_->send(std::exchange(response_body_, {}));
    charge_response();
    pause_if_caller_is_slow();
}

void proxied_request::on_response_complete() {
    const auto self = shared_from_this();
    router_.loop.cancel(attempt_timer_);
    const auto connection = std::exchange(connection_, nullptr);
    connection->pause_reading(false);
    router_.pool.give_back(connection_key_, connection);
    if (response_is_stream_) {
        complete_stream();
    } else {
        complete_non_stream();
    }
}

void proxied_request::complete_non_stream() {
    const bool not_run = response_metadata_.not_run || response_metadata_.wrong_server;
    if (not_run) {
        const auto server_outcome =
            response_metadata_.wrong_server ? scheduling::outcome::replaced : scheduling::outcome::rejected;
        on_attempt_failed({result_code::backend_refused, true}, server_outcome,
                          response_metadata_.wrong_server ? "wrong_server" : "not_run");
        return;
    }
    const bool failed = response_head_.status >= 500;
    const bool in_stream = response_started_ && !forwarding_unbuffered_;
    if (const auto a = suspect(); failed && a.progress != crash_guard::attempt_progress::none) {
        router_.ends.error_received(a);
    }
    if (in_stream || (failed && route_->repeatable() && !forwarding_unbuffered_)) {
        on_attempt_failed({result_code::backend_failed, true}, scheduling::outcome::failed,
                          "status_" + std::to_string(response_status_));
        return;
    }
    if (!failed) {
        evidence_.answered(router_.loop.now());
    }
    attempt_tracker_->finish(current_attempt_,
                             {failed ? result_code::backend_failed : result_code::ok, true});
    router_.apply_decisions(
        service_,
        scheduler().attempt_finished(id_, failed ? scheduling::outcome::failed : scheduling::outcome::success,
                                     router_.loop.now()));
    end_with_response();
}

void proxied_request::end_with_response() {
    const auto code = response_head_.status >= 500 ? result_code::backend_failed : result_code::ok;
    end(response_head_.status, code, [this](http::server_session& s) {
        if (forwarding_unbuffered_) {
            s.finish();
        } else {
            s.respond({.status = response_head_.status, .headers = http::end_to_end(response_head_.headers)},
                      response_body_);
        }
    });
}

void proxied_request::on_exchange_failed(http::exchange_failure failure) {
    const auto self = shared_from_this();
    router_.loop.cancel(attempt_timer_);
    connection_.reset();
    if (failure != http::exchange_failure::malformed && failure != http::exchange_failure::early_bytes) {
        router_.signals.record_unreachable(backpressure::key_of(server_), router_.loop.now());
    }
    const bool sent =
        failure != http::exchange_failure::connect_failed && failure != http::exchange_failure::early_bytes;
    const bool has_output = response_started_ || !response_body_.empty() || discarded_bytes_ > 0;
    const auto code = !sent        ? result_code::connect_failed
                      : has_output ? result_code::answer_truncated
                                   : result_code::answer_mismatched;
    const bool broken = failure == http::exchange_failure::reset ||
                        failure == http::exchange_failure::closed ||
                        failure == http::exchange_failure::malformed;
    if (broken) {
        // The other connections to the server tell whether it has ended.
        finish_broken_attempt({code, sent}, scheduling::outcome::unreachable, std::string{to_string(failure)},
                              true);
        return;
    }
    router_.pool.drop(connection_key_);
    if (failure == http::exchange_failure::silent) {
        check_silent_server();
    }
    on_attempt_failed({code, sent}, scheduling::outcome::unreachable, std::string{to_string(failure)});
}

void proxied_request::on_attempt_timeout() {
    const auto self = shared_from_this();
    attempt_timer_ = net::timer_id::none;
    const auto code =
        events_.event_count() > 0 ? result_code::token_gap_timeout : result_code::first_byte_timeout;
    if (router_.service(service_).budget.available(router_.loop.now()) < 1) {
        return;  // the attempt continues because the budget allows no retry
    }
    const bool sent = connection_ && connection_->sent();
    check_silent_server();
    abort_attempt();
    on_attempt_failed({code, sent}, scheduling::outcome::unreachable, "silent");
}

}  // namespace chicorygap::proxy
