#include "proxied_request.h"

#include "base/error.h"
#include "base/log.h"
#include "evidence_text.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace chicorygap::proxy {

using base::result_code;
using namespace std::chrono_literals;

namespace {

/// Delay of the request timer after the deadline, within which the server's own timeout response may arrive.
constexpr base::duration request_timeout_margin = 60ms;
/// Retry-After while no configuration is loaded. The daemon loads it within one second after the store
/// becomes available.
constexpr base::duration retry_after_not_ready = 1s;

/// Retry-After while the limit on open requests is reached; most open requests end within this time.
constexpr base::duration retry_after_overload = 500ms;

/// Retry-After during shutdown; another daemon can accept the retry immediately.
constexpr base::duration retry_after_shutdown = 100ms;

/// Interval of the questions whether a request whose prompt is in doubt may be sent.
constexpr base::duration admission_retry_interval = 20ms;

/// The parts of a prompt are held by the request, by its evidence and by the scheduler.
constexpr std::size_t copies_of_parts = 3;

constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

/// Head of a response on the wire, and bytes of a stream for each output token: an event of five tokens with
/// its framing has about 120 bytes.
constexpr std::uint64_t response_head_bytes = 300;
constexpr std::uint64_t stream_bytes_per_token = 24;

/// @return bytes of the answer as far as they are known beforehand; those of a plain service are not.
std::uint64_t expected_response_bytes(const std::optional<scheduling::generation_requirements>& g) {
    const auto tokens = g ? std::max<std::int64_t>(g->output_tokens, 0) : 0;
    return response_head_bytes + stream_bytes_per_token * static_cast<std::uint64_t>(tokens);
}

}  // namespace

proxied_request::proxied_request(request_router::impl& router, http::server_session& session,
                                 http::request&& request)
    : router_{router},
      session_{session.shared_from_this()},
      request_{std::move(request)},
      body_{http::share_body(std::move(request_))},
      metadata_{router.codec.decode(request_.head)},
      catalog_{router.catalog},
      evidence_{router.guard, metadata_.generation, fingerprint()},
      id_{router.next_request_id()},
      received_at_{base::boot_clock::now()},
      response_charge_{router_.options.account, memory::owner::response},
      event_charge_{router_.options.account, memory::owner::partial_event},
      events_{router.hooks.check_event} {
    record_.id = metadata_.id;
    if (metadata_.generation) {
        const auto parts = metadata_.generation->parts.size() * sizeof(scheduling::prefix_part);
        request_.head_charge.set(request_.head_charge.bytes() + copies_of_parts * parts);
    }
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
    if (too_late_for_shutdown()) {
        retry_after_ = retry_after_shutdown;
        end(status_unavailable, result_code::draining);
        return;
    }
    const double fraction = static_cast<double>(router_.random() >> 11) / static_cast<double>(1ULL << 53);
    service_ = catalog::select_service(*route_, fraction);
    if (metadata_.last_event_id) {
        // A server of a route that is not resumable may begin at any event.
        events_.begin_after(route_->resumable ? *metadata_.last_event_id : std::string{});
    }
    init_deadline_and_retries();
    submit();
}

base::duration proxied_request::timeout() const {
    return std::min(route_->timeout, metadata_.timeout.value_or(route_->timeout));
}

bool proxied_request::too_late_for_shutdown() const {
    if (!router_.shutdown ||
        received_at_ + timeout() + request_timeout_margin <= router_.shutdown->deadline) {
        return false;
    }
    // Usually a request ends long before its time-out, but an order that is cut can be sent to nobody else.
    return route_->kind == catalog::request_kind::non_idempotent ||
           received_at_ >= router_.shutdown->accept_all_until;
}

void proxied_request::init_deadline_and_retries() {
    deadline_ = received_at_ + timeout();
    request_timer_ = router_.loop.after(timeout() + request_timeout_margin, [weak = weak_from_this()] {
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
    scheduled.traffic_bytes = body_->size() + expected_response_bytes(scheduled.generation);
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

// Tells requests apart whose prompts have no named parts.
std::uint64_t proxied_request::fingerprint() const {
    if (!metadata_.generation || !metadata_.generation->parts.empty()) {
        return 0;
    }
    const auto target = XXH64(request_.head.target.data(), request_.head.target.size(), 0);
    return XXH64(body_->data(), body_->size(), target);
}

suspect_attempt proxied_request::suspect() const {
    const auto now = router_.loop.now();
    return {.request = metadata_.id,
            .server = server_,
            .parts = evidence_.parts(),
            .progress = evidence_.progress(response_status_ != 0),
            .progressed = evidence_.progressed(),
            .length = now - attempt_started_at_};
}

void proxied_request::finish_broken_attempt(retry::attempt_outcome outcome,
                                            scheduling::outcome server_outcome, std::string failure_cause,
                                            bool drop_idle) {
    const auto a = suspect();
    if (a.progress == crash_guard::attempt_progress::none) {
        if (drop_idle) {
            router_.pool.drop(connection_key_);
        }
        on_attempt_failed(outcome, server_outcome, std::move(failure_cause));
        return;
    }
    awaiting_server_check_ = true;
    router_.ends.attempt_broke(a, [weak = weak_from_this(), attempt = current_attempt_, outcome,
                                   server_outcome, cause = std::move(failure_cause)] {
        const auto self = weak.lock();
        if (self && self->current_attempt_ == attempt && !self->ended_) {
            self->awaiting_server_check_ = false;
            self->on_attempt_failed(outcome, server_outcome, cause);
        }
    });
    if (drop_idle) {
        router_.pool.withdraw(connection_key_);  // those that the check needs live on
    }
}

void proxied_request::check_silent_server() {
    const auto a = suspect();
    if (a.progress == crash_guard::attempt_progress::waiting ||
        a.progress == crash_guard::attempt_progress::beginning) {
        router_.ends.attempt_timed_out(a);
    }
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
        .field("framing", to_string(response_framing_))
        .code(next.reason);
    if (metadata_.generation) {
        line.field("response_status", response_status_)
            .field("attempt_events", static_cast<long long>(events_.event_count() - events_at_attempt_start_))
            .field("shared_parts", shared_parts_text(evidence_.parts()))
            .field("own_part", own_part_text(evidence_.parts()));
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
    end_early(result_code::deadline_unreachable);
}

void proxied_request::on_shutdown() {
    const auto self = shared_from_this();
    retry_after_ = retry_after_shutdown;
    end_early(result_code::draining);
}

void proxied_request::on_memory_exceeded() {
    const auto self = shared_from_this();
    fail_attempt_with_invalid_response("memory_limit");
}

void proxied_request::on_memory_exceeded_by_output() {
    const auto self = shared_from_this();
    record_.failure_cause = "memory_limit";
    end_early(result_code::caller_too_slow);
}

void proxied_request::end_early(result_code code) {
    if (current_attempt_ != 0) {
        const bool sent = attempt_sent();
        if (sent && code == result_code::deadline_unreachable && !awaiting_server_check_) {
            check_silent_server();
        }
        abort_attempt();
        attempt_tracker_->finish(current_attempt_, {result_code::first_byte_timeout, sent});
        current_attempt_ = 0;
        router_.apply_decisions(
            service_, scheduler().attempt_finished(id_, scheduling::outcome::cancelled, router_.loop.now()));
    }
    end_with_failure(code);
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
    if (response_started_ || code == result_code::caller_gone) {
        end(0, code, [](http::server_session& s) { s.abort(); });
        return;
    }
    const auto retry_after = retry_after_ > 0ms ? std::optional{retry_after_} : std::nullopt;
    end(status, code, [this, status, retry_after](http::server_session& s) {
        s.respond(router_.codec.error_response(status, metadata_.id, retry_after), {});
    });
}

void proxied_request::end(int status, result_code code,
                          const std::function<void(http::server_session&)>& answer) {
    if (std::exchange(ended_, true)) {
        return;
    }
    const auto self = shared_from_this();
    router_.loop.cancel(request_timer_);
    router_.loop.cancel(attempt_timer_);
    router_.loop.cancel(admission_timer_);
    evidence_.attempt_ended();
    abort_attempt();
    events_.discard_partial();
    charge_response();
    const auto session = std::exchange(session_, nullptr);
    router_.remove(id_, session.get());
    if (!service_.empty()) {
        scheduler().remove(id_);
    }
    record_.status = session == nullptr ? 0 : status;
    record_.code = code;
    if (attempt_tracker_) {
        record_.run_state = attempt_tracker_->run_state();
    }
    record_.event_count = events_.event_count();
    record_.last_event_id = events_.last_id();
    record_.framing = response_framing_;
    record_.total_time = base::boot_clock::now() - received_at_;
    const auto age = [](const std::optional<base::time_point>& since) {
        return since ? std::optional<base::duration>{base::boot_clock::now() - *since} : std::nullopt;
    };
    record_.server_list_age = age(router_.server_list_updated_at);
    record_.peer_load_age = age(router_.peer_load_received_at);
    if (router_.hooks.request_ended) {
        router_.hooks.request_ended(record_);
    }
    if (session) {
        answer(*session);
    }
}

bool proxied_request::attempt_sent() const {
    return awaiting_server_check_ || (connection_ && connection_->sent());
}

void proxied_request::abort_attempt() {
    if (const auto connection = std::exchange(connection_, nullptr)) {
        record_.unacknowledged_bytes = connection->unacknowledged();
        connection->abort();
    }
}

bool proxied_request::ended_without_caller() {
    if (session_ && !session_->caller_has_left()) {
        return false;
    }
    router_.apply_decisions(
        service_, scheduler().attempt_finished(id_, scheduling::outcome::cancelled, router_.loop.now()));
    end(0, result_code::caller_gone);
    return true;
}

void proxied_request::on_caller_disconnected() {
    const auto self = shared_from_this();
    session_.reset();
    const bool running = current_attempt_ != 0 && attempt_sent();
    const bool delivered = awaiting_server_check_ || (connection_ && connection_->unacknowledged() == 0);
    if (running && delivered && route_->kind == catalog::request_kind::non_idempotent) {
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
