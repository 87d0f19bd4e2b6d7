#include "proxied_request.h"

#include "base/error.h"
#include "base/log.h"

#include <xxhash.h>

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
/// Bytes that are read of a response which is not forwarded: an error instead of the rest of a stream, or the
/// response to a request whose caller has left.
constexpr std::size_t max_discarded_bytes = std::size_t{1024} * 1024;
/// Unsent output for the caller above which reading from the server pauses.
constexpr std::size_t max_pending_output_bytes = std::size_t{256} * 1024;
/// Delay of the request timer after the deadline, within which the server's own timeout response may arrive.
constexpr base::duration request_timeout_margin = 60ms;
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
/// Retry-After while no configuration is loaded. The daemon loads it within one second after the store
/// becomes available.
constexpr base::duration retry_after_not_ready = 1s;

/// Retry-After while the limit on open requests is reached; most open requests end within this time.
constexpr base::duration retry_after_overload = 500ms;

/// Retry-After during shutdown; another daemon can accept the retry immediately.
constexpr base::duration retry_after_shutdown = 100ms;

/// Interval of the questions whether a request whose prompt is in doubt may be sent.
constexpr base::duration admission_retry_interval = 20ms;

constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

/// Parts of a prompt that a log line names.
constexpr std::size_t max_logged_parts = 8;

/// @return the ids in hexadecimal, separated by commas.
std::string parts_text(const crash_guard::part_ids& parts) {
    std::string out;
    for (std::size_t i = 0; i < std::min(parts.size(), max_logged_parts); ++i) {
        out += (i == 0 ? "" : ",") + crash_guard::part_text(parts[i]);
    }
    return out;
}

bool is_event_stream(const http::response_head& head) {
    const auto* type = head.headers.find("Content-Type");
    return head.status == 200 && type != nullptr && type->starts_with("text/event-stream");
}

}  // namespace

proxied_request::proxied_request(request_router::impl& router, http::server_session& session,
                                 http::request&& request)
    : router_{router},
      session_{session.shared_from_this()},
      request_{std::move(request)},
      metadata_{router.codec.decode(request_.head)},
      catalog_{router.catalog},
      evidence_{router.guard, metadata_.generation},
      id_{router.next_request_id()},
      received_at_{base::boot_clock::now()} {
    record_.id = metadata_.id;
}

proxied_request::~proxied_request() {
    router_.loop.cancel(admission_timer_);
    router_.loop.cancel(request_timer_);
    router_.loop.cancel(attempt_timer_);
}

void proxied_request::start() {
    const auto self = shared_from_this();
    if (!catalog_) {
        retry_after_ = retry_after_not_ready;
        end(status_unavailable, result_code::not_ready);
        return;
    }
    record_.catalog_version = catalog_->version;
    if (router_.options.max_open_requests &&
        router_.active_requests.size() > *router_.options.max_open_requests) {
        retry_after_ = retry_after_overload;
        end(status_unavailable, result_code::queue_full);
        return;
    }
    route_ = catalog_->find_route(metadata_.host, request_.head.target);
    if (route_ == nullptr) {
        end(status_not_found, result_code::route_unknown);
        return;
    }
    record_.route = route_->name;
    tier_ = route_->tier;
    if (catalog_->api_keys_required && !route_->anonymous) {
        const auto* workspace = catalog_->find_workspace(metadata_.key);
        if (workspace == nullptr) {
            end(status_unauthorized,
                metadata_.key.empty() ? result_code::key_missing : result_code::key_unknown);
            return;
        }
        workspace_ = workspace->id;
        tier_ = workspace->tier.value_or(tier_);
    }
    if (router_.shutdown_deadline && received_at_ + route_->timeout > *router_.shutdown_deadline) {
        retry_after_ = retry_after_shutdown;
        end(status_unavailable, result_code::draining);
        return;
    }
    const double fraction = static_cast<double>(router_.random() >> 11) / static_cast<double>(1ULL << 53);
    service_ = catalog::select_service(*route_, fraction);
    init_deadline_and_retries();
    submit();
}

void proxied_request::init_deadline_and_retries() {
    const auto timeout = std::min(route_->timeout, metadata_.timeout.value_or(route_->timeout));
    deadline_ = received_at_ + timeout;
    request_timer_ = router_.loop.after(timeout + request_timeout_margin, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_request_timeout();
        }
    });
    attempt_tracker_.emplace(retry::retry_policy{.deadline = deadline_,
                                                 .idempotent = route_->repeatable(),
                                                 .resumable = route_->resumable,
                                                 .max_attempts = std::max(1U, route_->max_attempts),
                                                 .hedge_delay = std::nullopt,
                                                 .min_attempt_time = {}});
}

void proxied_request::submit() {
    record_.service = service_;
    record_.workspace = workspace_;
    record_.tier = tier_;
    auto& state = router_.service(service_);
    state.budget.record_request(router_.loop.now());
    router_.signals.record_arrival(service_, router_.loop.now());
    scheduling::scheduled_request scheduled{.id = id_,
                                            .priority_rank = priority_rank(),
                                            .workspace = workspace_,
                                            .idempotent = route_->repeatable(),
                                            .generation = metadata_.generation,
                                            .arrived = received_at_,
                                            .target_at = received_at_ + route_->target_latency,
                                            .deadline = deadline_};
    if (scheduled.generation) {
        record_.prompt_tokens = scheduled.generation->prompt_tokens;
        scheduled.generation->max_token_gap = route_->target_gap;
    }
    when_admitted([this, scheduled = std::move(scheduled)] {
        router_.apply_decisions(service_, scheduler().submit(scheduled, router_.loop.now()));
    });
}

void proxied_request::when_admitted(const std::function<void()>& proceed) {
    const auto a = evidence_.admit(router_.loop.now());
    switch (a.decision) {
        case crash_guard::admission::kind::allowed:
            proceed();
            return;
        case crash_guard::admission::kind::refused:
            retry_after_ = a.retry_after;
            record_.failure_cause = "part_" + crash_guard::part_text(a.part);
            end_with_failure(result_code::prompt_quarantined);
            return;
        case crash_guard::admission::kind::wait:
            admission_timer_ =
                router_.loop.after(admission_retry_interval, [weak = weak_from_this(), proceed] {
                    const auto self = weak.lock();
                    if (self && !self->ended_) {
                        self->admission_timer_ = net::timer_id::none;
                        self->when_admitted(proceed);
                    }
                });
            return;
    }
}

bool proxied_request::held_back_at_start() {
    const auto now = router_.loop.now();
    if (evidence_.admit_attempt(now).decision == crash_guard::admission::kind::allowed) {
        return false;
    }
    router_.apply_decisions(service_, scheduler().attempt_finished(id_, scheduling::outcome::cancelled, now));
    when_admitted(
        [this] { router_.apply_decisions(service_, scheduler().resubmit(id_, router_.loop.now())); });
    return true;
}

void proxied_request::finish_broken_attempt(retry::attempt_outcome outcome, std::string failure_cause) {
    const auto progress = evidence_.progress(response_status_ != 0, router_.loop.now());
    if (progress == crash_guard::attempt_progress::none) {
        on_attempt_failed(outcome, scheduling::outcome::unreachable, std::move(failure_cause));
        return;
    }
    const auto address = net::to_string(server_.address);
    const std::uint64_t server = XXH64(address.data(), address.size(), 0);
    awaiting_server_check_ = true;
    router_.check.start(
        connection_key_, server_.address,
        [&router = router_, parts = evidence_.shared_parts(), server, progress, weak = weak_from_this(),
         attempt = current_attempt_, outcome, cause = std::move(failure_cause), request = metadata_.id,
         name = record_.server, service = service_](bool ended) {
            // A server that leaves is expected to end.
            if (ended && router.is_serving(service, name)) {
                base::log_line{base::log_level::info, "proxy", "Server ended during a request."}
                    .field("request", request.str())
                    .field("server", name.str())
                    .field("shared_parts", parts_text(parts))
                    .field("progress", static_cast<int>(progress));
                router.guard.record_crash(parts, server, progress, router.loop.now());
            }
            const auto self = weak.lock();
            if (self && self->current_attempt_ == attempt && !self->ended_) {
                self->awaiting_server_check_ = false;
                self->on_attempt_failed(outcome, scheduling::outcome::unreachable, cause);
            }
        });
}

// Ranks by the tier of the workspace and, within it, by the tier of the route.
std::uint8_t proxied_request::priority_rank() const {
    return static_cast<std::uint8_t>(tier_.level * base::tier_count + route_->tier.level);
}

scheduling::scheduler& proxied_request::scheduler() {
    return *router_.service(service_).scheduler;
}

base::duration proxied_request::remaining_time() const {
    return deadline_ - base::boot_clock::now();
}

base::duration proxied_request::max_connection_idle() const {
    return route_->repeatable() ? max_idle_repeatable : max_idle_non_repeatable;
}

void proxied_request::start_attempt(const scheduling::start_decision& decision) {
    const auto& server = decision.server;
    const auto self = shared_from_this();
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
    response_body_.clear();
    discarded_bytes_ = 0;
    response_is_stream_ = false;
    response_status_ = 0;
    if (!response_started_) {
        response_head_ = {};
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
        .body_bytes = request_.body.size(),
        .kv_transfer_source = decision.kv_transfer_source};
    const auto message =
        http::serialize(router_.codec.encode_server_request(request_.head, server_metadata)) + request_.body;
    arm_attempt_timer();
    connection_->start(
        message, request_.head.method == "HEAD",
        [this, weak = weak_from_this()](const http::response_head& head) {
            return !weak.expired() && matches_request(head);
        },
        attempt_hooks());
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
    return {.head =
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

void proxied_request::record_token_gap() {
    const auto now = base::boot_clock::now();
    const auto last = std::exchange(last_event_received_at_, now);
    record_.max_token_gap = std::max(record_.max_token_gap, last ? now - *last : base::duration{});
    if (last && route_->target_gap && now - *last > *route_->target_gap) {
        scheduler().token_gap_exceeded(id_, now);
    }
}

void proxied_request::on_response_head(http::response_head&& head) {
    response_metadata_ = router_.codec.decode(head);
    response_is_stream_ = route_->kind == catalog::request_kind::streaming && is_event_stream(head) &&
                          !response_metadata_.not_run && !response_metadata_.wrong_server;
    if (!response_is_stream_ && !response_metadata_.not_run && !response_metadata_.wrong_server) {
        report_run_started();
    }
    response_status_ = head.status;
    record_.server_signals = response_metadata_.signals;
    router_.observe_signals(server_, response_metadata_.wrong_server, response_metadata_.signals,
                            attempt_started_at_);
    if (response_metadata_.queue_length) {
        record_.server_queue_length = response_metadata_.queue_length;
        scheduler().set_server_queue_length(id_, *response_metadata_.queue_length, router_.loop.now());
    }
    if (!response_started_) {
        response_head_ = std::move(head);  // the head sent to the caller is that of the first server
    }
}

void proxied_request::on_response_body(std::string_view data) {
    if (response_is_stream_) {
        on_stream_body(data);
    } else {
        on_non_stream_body(data);
    }
}

void proxied_request::on_stream_body(std::string_view data) {
    const auto events_before = events_.event_count();
    const auto complete_events = events_.feed(data);
    const auto self = shared_from_this();
    if (complete_events.empty()) {
        if (events_.event_too_long()) {
            fail_attempt_with_invalid_response("event_too_long");
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
    if (events_.event_too_long()) {
        fail_attempt_with_invalid_response("event_too_long");
        return;
    }
    pause_if_caller_is_slow();
    arm_attempt_timer();
}

void proxied_request::pause_if_caller_is_slow() {
    if (connection_ && session_->buffered() > max_pending_output_bytes) {
        connection_->pause_reading(true);
    }
}

void proxied_request::fail_attempt_with_invalid_response(const char* cause) {
    router_.loop.cancel(attempt_timer_);
    abort_attempt();
    on_attempt_failed({result_code::answer_mismatched, true}, scheduling::outcome::failed, cause);
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
    if (response_body_.size() <= max_buffered_response_bytes) {
        return;
    }
    // The response exceeds the buffer limit: from here on a failure aborts the response.
    forwarding_unbuffered_ = true;
    response_started_ = true;
    router_.loop.cancel(attempt_timer_);
    session_->begin({.status = response_head_.status, .headers = http::end_to_end(response_head_.headers)});
    session_->send(std::exchange(response_body_, {}));
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

void proxied_request::complete_stream() {
    if (events_.has_partial() || !response_started_) {
        finish_broken_attempt({result_code::answer_truncated, true}, "truncated");
        return;
    }
    evidence_.answered(router_.loop.now());
    attempt_tracker_->finish(current_attempt_, {result_code::ok, true});
    router_.apply_decisions(
        service_, scheduler().attempt_finished(id_, scheduling::outcome::success, router_.loop.now()));
    session_->send(events_.take_comments());
    session_->finish();
    end(response_head_.status, result_code::ok);
}

void proxied_request::complete_non_stream() {
    const bool not_run = response_metadata_.not_run || response_metadata_.wrong_server;
    if (not_run && response_metadata_.request_id.empty()) {
        on_attempt_failed({result_code::answer_mismatched, true}, scheduling::outcome::failed,
                          "refusal_without_id");
        return;
    }
    if (not_run) {
        const auto server_outcome =
            response_metadata_.wrong_server ? scheduling::outcome::replaced : scheduling::outcome::rejected;
        on_attempt_failed({result_code::backend_refused, true}, server_outcome,
                          response_metadata_.wrong_server ? "wrong_server" : "not_run");
        return;
    }
    const bool failed = response_head_.status >= 500;
    const bool in_stream = response_started_ && !forwarding_unbuffered_;
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
    if (forwarding_unbuffered_ && session_) {
        session_->finish();
    } else if (session_) {
        session_->respond(
            {.status = response_head_.status, .headers = http::end_to_end(response_head_.headers)},
            response_body_);
    }
    end(response_head_.status, response_head_.status >= 500 ? result_code::backend_failed : result_code::ok);
}

void proxied_request::on_exchange_failed(http::exchange_failure failure) {
    const auto self = shared_from_this();
    router_.loop.cancel(attempt_timer_);
    connection_.reset();
    router_.pool.drop(connection_key_);
    const bool sent =
        failure != http::exchange_failure::connect_failed && failure != http::exchange_failure::early_bytes;
    const bool has_output = response_started_ || !response_body_.empty() || discarded_bytes_ > 0;
    const auto code = !sent        ? result_code::connect_failed
                      : has_output ? result_code::answer_truncated
                                   : result_code::answer_mismatched;
    const bool broken = failure == http::exchange_failure::reset || failure == http::exchange_failure::closed;
    if (broken) {
        finish_broken_attempt({code, sent}, std::string{to_string(failure)});
    } else {
        on_attempt_failed({code, sent}, scheduling::outcome::unreachable, std::string{to_string(failure)});
    }
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
    abort_attempt();
    on_attempt_failed({code, sent}, scheduling::outcome::unreachable, "silent");
}

void proxied_request::on_attempt_failed(retry::attempt_outcome outcome, scheduling::outcome server_outcome,
                                        std::string failure_cause) {
    record_.failure_cause = std::move(failure_cause);
    evidence_.attempt_ended();
    attempt_tracker_->finish(current_attempt_, outcome);
    current_attempt_ = 0;
    auto& state = router_.service(service_);
    router_.apply_decisions(service_,
                            state.scheduler->attempt_finished(id_, server_outcome, router_.loop.now()));
    if (ended_) {
        return;
    }
    const auto next = attempt_tracker_->try_next_attempt(state.budget, router_.loop.now());
    base::log_line line{base::log_level::info, "proxy", "Attempt failed."};
    line.field("request", metadata_.id.str())
        .field("server", record_.server.str())
        .field("attempt", record_.attempts)
        .field("cause", record_.failure_cause)
        .field("retry", next.allowed ? "yes" : "no")
        .code(next.reason);
    if (metadata_.generation) {
        line.field("response_status", response_status_)
            .field("attempt_events", static_cast<long long>(events_.event_count() - events_at_attempt_start_))
            .field("shared_parts", parts_text(evidence_.shared_parts()));
    }
    if (next.allowed && session_) {
        when_admitted(
            [this] { router_.apply_decisions(service_, scheduler().resubmit(id_, router_.loop.now())); });
        return;
    }
    // Without a further attempt, the server's own error response is forwarded to the caller.
    if (outcome.code == result_code::backend_failed && !response_started_) {
        end_with_response();
        return;
    }
    end_with_failure(next.reason == result_code::ok ? outcome.code : next.reason);
}

void proxied_request::on_rejected(result_code code, base::duration retry_after) {
    const auto self = shared_from_this();
    retry_after_ = retry_after;
    end_with_failure(code);
}

void proxied_request::on_request_timeout() {
    const auto self = shared_from_this();
    request_timer_ = net::timer_id::none;
    if (current_attempt_ != 0) {
        const bool sent = attempt_sent();
        abort_attempt();
        attempt_tracker_->finish(current_attempt_, {result_code::first_byte_timeout, sent});
        current_attempt_ = 0;
        router_.apply_decisions(
            service_, scheduler().attempt_finished(id_, scheduling::outcome::cancelled, router_.loop.now()));
    }
    end_with_failure(result_code::deadline_unreachable);
}

void proxied_request::end_with_failure(result_code code) {
    if (ended_) {
        return;
    }
    record_.run_state = attempt_tracker_->run_state();
    if (record_.run_state == base::run_state::not_run) {
        retry_after_ = std::max<base::duration>(retry_after_, 250ms);
        end(status_unavailable, code);
    } else {
        retry_after_ = {};
        end(code == result_code::deadline_unreachable ? status_gateway_timeout : status_bad_gateway, code);
    }
}

void proxied_request::end(int status, result_code code) {
    if (std::exchange(ended_, true)) {
        return;
    }
    const auto self = shared_from_this();
    router_.loop.cancel(request_timer_);
    router_.loop.cancel(attempt_timer_);
    router_.loop.cancel(admission_timer_);
    evidence_.attempt_ended();
    abort_attempt();
    auto* const session = session_.get();
    const bool response_pending = session_ && session_->busy();
    router_.remove(id_, session);
    if (!service_.empty()) {
        scheduler().remove(id_);
    }
    if (response_pending && response_started_) {
        status = 0;
        session_->abort();
    } else if (response_pending) {
        const auto retry_after = retry_after_ > 0ms ? std::optional{retry_after_} : std::nullopt;
        session_->respond(router_.codec.error_response(status, metadata_.id, retry_after), {});
    }
    record_.status = session == nullptr ? 0 : status;
    record_.code = code;
    if (attempt_tracker_) {
        record_.run_state = attempt_tracker_->run_state();
    }
    record_.event_count = events_.event_count();
    record_.total_time = base::boot_clock::now() - received_at_;
    const auto age = [](const std::optional<base::time_point>& since) {
        return since ? std::optional<base::duration>{base::boot_clock::now() - *since} : std::nullopt;
    };
    record_.server_list_age = age(router_.server_list_updated_at);
    record_.peer_load_age = age(router_.peer_load_received_at);
    if (router_.hooks.request_ended) {
        router_.hooks.request_ended(record_);
    }
}

bool proxied_request::attempt_sent() const {
    return awaiting_server_check_ || (connection_ && connection_->sent());
}

void proxied_request::abort_attempt() {
    if (const auto connection = std::exchange(connection_, nullptr)) {
        connection->abort();
    }
}

void proxied_request::on_caller_disconnected() {
    const auto self = shared_from_this();
    session_.reset();
    const bool running = current_attempt_ != 0 && attempt_sent();
    if (running && route_->kind == catalog::request_kind::non_idempotent) {
        return;  // aborting the attempt would not undo its effects
    }
    if (current_attempt_ != 0) {
        attempt_tracker_->finish(current_attempt_, {result_code::caller_gone, running});
        current_attempt_ = 0;
        abort_attempt();
        router_.apply_decisions(
            service_, scheduler().attempt_finished(id_, scheduling::outcome::cancelled, router_.loop.now()));
    }
    end(0, result_code::caller_gone);
}

void proxied_request::on_caller_drained() {
    if (connection_) {
        connection_->pause_reading(false);
    }
}

}  // namespace chicorygap::proxy
