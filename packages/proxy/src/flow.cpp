#include "flow.h"

#include "base/error.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace chicorygap::proxy {

using base::result_code;
using namespace std::chrono_literals;

namespace {

/// Idle time up to which a connection is used for a request that may not be repeated. A server may close an
/// idle connection at any time; the request would then have an unknown outcome.
constexpr base::duration longest_idle_unrepeatable = 800ms;
constexpr base::duration longest_idle_repeatable = 4s;
/// Answers up to this size are collected before the caller sees them.
constexpr std::size_t collected_answer_limit = std::size_t{1024} * 1024;
/// Output that the caller has not taken, above which the server is not read.
constexpr std::size_t output_limit = std::size_t{256} * 1024;
/// The server's own report of a timeout may arrive this much after it.
constexpr base::duration timeout_margin = 60ms;
/// A repeatable request tries another server after this many times its target without an answer.
constexpr int silent_targets = 2;
constexpr base::duration least_silence = 300ms;
/// A resumable stream goes on elsewhere after this many times its longest pause without an event.
constexpr int silent_gaps = 3;
constexpr base::duration least_silent_gap = 600ms;
/// The same for the first event, which waits behind the prompts of others.
constexpr int silent_first_events = 5;
constexpr base::duration least_silent_first = 1200ms;
/// Retry-After while this daemon knows no configuration: it has one within a second of the store's return.
constexpr base::duration not_ready_retry = 1s;

/// Retry-After while this daemon has as many open requests as it can keep; most of them end within it.
constexpr base::duration overloaded_retry = 500ms;

/// Retry-After while this daemon stops: another one takes the next try at once.
constexpr base::duration stopping_retry = 100ms;

constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

bool is_event_stream(const http::response_head& h) {
    const auto* type = h.headers.find("Content-Type");
    return h.status == 200 && type != nullptr && type->starts_with("text/event-stream");
}

}  // namespace

flow::flow(request_router::core& c, http::server_session& session, http::request&& r)
    : core_{c},
      session_{session.shared_from_this()},
      request_{std::move(r)},
      terms_{c.codec.decode(request_.head)},
      catalog_{c.catalog},
      ticket_{c.next_ticket()},
      arrived_{base::boot_clock::now()} {
    record_.id = terms_.id;
}

flow::~flow() {
    core_.loop.cancel(request_timer_);
    core_.loop.cancel(attempt_timer_);
}

void flow::begin() {
    const auto self = shared_from_this();
    if (!catalog_) {
        retry_after_ = not_ready_retry;
        end(status_unavailable, result_code::not_ready);
        return;
    }
    record_.catalog_version = catalog_->version;
    if (core_.options.max_open_requests && core_.flows.size() > *core_.options.max_open_requests) {
        retry_after_ = overloaded_retry;
        end(status_unavailable, result_code::queue_full);
        return;
    }
    route_ = catalog_->find_route(terms_.host, request_.head.target);
    if (route_ == nullptr) {
        end(status_not_found, result_code::route_unknown);
        return;
    }
    record_.route = route_->name;
    tier_ = route_->tier;
    if (catalog_->api_keys_required && !route_->anonymous) {
        const auto* w = catalog_->find_workspace(terms_.key);
        if (w == nullptr) {
            end(status_unauthorized,
                terms_.key.empty() ? result_code::key_missing : result_code::key_unknown);
            return;
        }
        workspace_ = w->id;
        tier_ = w->tier.value_or(tier_);
    }
    if (core_.shutdown_deadline && arrived_ + route_->timeout > *core_.shutdown_deadline) {
        retry_after_ = stopping_retry;
        end(status_unavailable, result_code::draining);
        return;
    }
    const double point = static_cast<double>(core_.random() >> 11) / static_cast<double>(1ULL << 53);
    service_ = catalog::select_service(*route_, point);
    set_limits();
    submit();
}

void flow::set_limits() {
    const auto allowed = std::min(route_->timeout, terms_.timeout.value_or(route_->timeout));
    ends_at_ = arrived_ + allowed;
    request_timer_ = core_.loop.after(allowed + timeout_margin, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_request_timeout();
        }
    });
    ledger_.emplace(retry::retry_policy{.deadline = ends_at_,
                                        .idempotent = route_->repeatable(),
                                        .resumable = route_->resumable,
                                        .max_attempts = std::max(1U, route_->max_attempts),
                                        .hedge_delay = std::nullopt,
                                        .min_attempt_time = {}});
}

void flow::submit() {
    record_.service = service_;
    record_.workspace = workspace_;
    record_.tier = tier_;
    auto& s = core_.service(service_);
    s.budget.record_request(core_.loop.now());
    scheduling::scheduled_request w{.id = ticket_,
                                    .priority_rank = urgency(),
                                    .workspace = workspace_,
                                    .idempotent = route_->repeatable(),
                                    .generation = terms_.generation,
                                    .arrived = arrived_,
                                    .target_at = arrived_ + route_->target_latency,
                                    .deadline = ends_at_};
    if (w.generation) {
        record_.prompt_tokens = w.generation->prompt_tokens;
        w.generation->max_token_gap = route_->target_gap;
    }
    core_.carry_out(service_, s.scheduler->submit(std::move(w), core_.loop.now()));
}

// The workspace's tier goes first; among its requests the more urgent route goes first.
std::uint8_t flow::urgency() const {
    return static_cast<std::uint8_t>(tier_.level * base::tier_count + route_->tier.level);
}

scheduling::scheduler& flow::scheduler() {
    return *core_.service(service_).scheduler;
}

base::duration flow::remaining() const {
    return ends_at_ - base::boot_clock::now();
}

base::duration flow::longest_idle() const {
    return route_->repeatable() ? longest_idle_repeatable : longest_idle_unrepeatable;
}

void flow::send(const scheduling::start_decision& decision) {
    const auto& server = decision.server;
    const auto self = shared_from_this();
    if (remaining() <= 0ms) {
        core_.carry_out(service_, scheduler().attempt_finished(ticket_, scheduling::outcome::cancelled,
                                                               core_.loop.now()));
        give_up(result_code::deadline_unreachable);
        return;
    }
    const auto now = base::boot_clock::now();
    if (record_.attempts == 0) {
        record_.queue_time = now - arrived_;
    }
    attempt_ = ledger_->start(now);
    record_.attempts = ledger_->attempts();
    record_.server = server.id;
    record_.unread_tokens = decision.prefill_tokens;
    record_.home_rank = decision.affinity_rank;
    events_.restart();
    body_.clear();
    answer_is_stream_ = false;
    attempt_status_ = 0;
    if (!answer_begun_) {
        answer_ = {};
    }
    connection_key_ = server.instance_key();
    connection_ = core_.pool.take(connection_key_, server.address, longest_idle());
    server_request_metadata t{.server = server.id,
                              .workspace = workspace_,
                              .remaining_time = remaining(),
                              .urgency = urgency(),
                              .last_event_id = events_.last_id() ? events_.last_id() : terms_.last_event_id,
                              .body_bytes = request_.body.size(),
                              .copy_from = decision.kv_transfer_source};
    const auto message = http::serialize(core_.codec.encode_server_request(request_.head, t)) + request_.body;
    arm_attempt_timer();
    connection_->start(
        message, request_.head.method == "HEAD",
        [this, weak = weak_from_this()](const http::response_head& h) {
            return !weak.expired() && answers_this(h);
        },
        attempt_hooks());
}

bool flow::answers_this(const http::response_head& h) const {
    const auto id = core_.codec.decode(h).request_id;
    return id.empty() || id == terms_.id.str();
}

http::exchange_hooks flow::attempt_hooks() {
    const auto with_self = [weak = weak_from_this(), attempt = attempt_](auto&& f) {
        const auto self = weak.lock();
        if (self && self->attempt_ == attempt && !self->ended_) {
            f(*self);
        }
    };
    return {.head = [with_self](
                        http::response_head&& h) { with_self([&](flow& f) { f.on_head(std::move(h)); }); },
            .body = [with_self](std::string_view part) { with_self([&](flow& f) { f.on_body(part); }); },
            .complete = [with_self] { with_self([](flow& f) { f.on_complete(); }); },
            .failed = [with_self](http::exchange_failure x) { with_self([x](flow& f) { f.on_failed(x); }); }};
}

void flow::arm_attempt_timer() {
    core_.loop.cancel(attempt_timer_);
    if (!route_->repeatable() || ledger_->attempts() >= route_->max_attempts) {
        return;  // no other server may be tried
    }
    base::duration limit = std::max<base::duration>(least_silence, route_->target_latency * silent_targets);
    if (route_->kind == catalog::request_kind::streaming) {
        const bool first = events_.events() == 0;
        limit =
            first ? std::max<base::duration>(least_silent_first, route_->target_latency * silent_first_events)
                  : std::max<base::duration>(least_silent_gap,
                                             route_->target_gap.value_or(200ms) * silent_gaps);
    }
    attempt_timer_ = core_.loop.after(limit, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_attempt_timeout();
        }
    });
}

void flow::note_run_started() {
    if (!std::exchange(run_counted_, true) && core_.hooks.run_started && !workspace_.empty()) {
        core_.hooks.run_started(workspace_);
    }
}

void flow::note_pause() {
    const auto now = base::boot_clock::now();
    const auto last = std::exchange(last_event_at_, now);
    record_.max_event_gap = std::max(record_.max_event_gap, last ? now - *last : base::duration{});
    if (last && route_->target_gap && now - *last > *route_->target_gap) {
        scheduler().token_gap_exceeded(ticket_, now);
    }
}

void flow::on_head(http::response_head&& h) {
    answer_terms_ = core_.codec.decode(h);
    answer_is_stream_ = route_->kind == catalog::request_kind::streaming && is_event_stream(h) &&
                        !answer_terms_.not_run && !answer_terms_.wrong_server;
    if (!answer_is_stream_ && !answer_terms_.not_run && !answer_terms_.wrong_server) {
        note_run_started();
    }
    attempt_status_ = h.status;
    if (answer_terms_.queue_length) {
        record_.server_queue_length = answer_terms_.queue_length;
        scheduler().set_server_queue_length(ticket_, *answer_terms_.queue_length, core_.loop.now());
    }
    if (!answer_begun_) {
        answer_ = std::move(h);  // the caller keeps the head of the first server
    }
}

void flow::on_body(std::string_view part) {
    if (answer_is_stream_) {
        on_stream(part);
    } else {
        on_plain(part);
    }
}

void flow::on_stream(std::string_view part) {
    const auto before = events_.events();
    const auto whole = events_.feed(part);
    if (whole.empty()) {
        return;
    }
    const auto self = shared_from_this();
    if (!ledger_->record_output(attempt_, events_.events() - before)) {
        return;
    }
    note_run_started();
    note_pause();
    scheduler().first_output(ticket_, core_.loop.now());
    if (!record_.time_to_first_output) {
        record_.time_to_first_output = base::boot_clock::now() - arrived_;
    }
    if (!std::exchange(answer_begun_, true)) {
        http::response_head head{.status = answer_.status, .headers = http::end_to_end(answer_.headers)};
        session_->begin(std::move(head));
    }
    session_->send(whole);
    if (session_->buffered() > output_limit) {
        connection_->pause_reading(true);
    }
    arm_attempt_timer();
}

void flow::on_plain(std::string_view part) {
    if (answer_begun_ && !passing_on_) {
        return;  // a failure in place of the rest of a stream; the caller must not see it
    }
    body_.append(part);
    if (passing_on_) {
        session_->send(std::exchange(body_, {}));
        return;
    }
    if (body_.size() <= collected_answer_limit || !session_) {
        return;
    }
    // Too large to collect: from here on a failure breaks the answer off.
    passing_on_ = true;
    answer_begun_ = true;
    core_.loop.cancel(attempt_timer_);
    session_->begin({.status = answer_.status, .headers = http::end_to_end(answer_.headers)});
    session_->send(std::exchange(body_, {}));
}

void flow::on_complete() {
    const auto self = shared_from_this();
    core_.loop.cancel(attempt_timer_);
    const auto c = std::exchange(connection_, nullptr);
    c->pause_reading(false);
    core_.pool.give_back(connection_key_, c);
    if (answer_is_stream_) {
        complete_stream();
    } else {
        complete_plain();
    }
}

void flow::complete_stream() {
    if (events_.has_partial() || !answer_begun_) {
        attempt_failed({result_code::answer_truncated, true}, scheduling::outcome::unreachable, "truncated");
        return;
    }
    ledger_->finish(attempt_, {result_code::ok, true});
    core_.carry_out(service_,
                    scheduler().attempt_finished(ticket_, scheduling::outcome::success, core_.loop.now()));
    session_->finish();
    end(answer_.status, result_code::ok);
}

void flow::complete_plain() {
    if (answer_terms_.not_run || answer_terms_.wrong_server) {
        const auto for_server =
            answer_terms_.wrong_server ? scheduling::outcome::replaced : scheduling::outcome::rejected;
        attempt_failed({result_code::backend_refused, true}, for_server,
                       answer_terms_.wrong_server ? "wrong_server" : "not_run");
        return;
    }
    const bool failed = answer_.status >= 500;
    const bool in_stream = answer_begun_ && !passing_on_;
    if (in_stream || (failed && route_->repeatable() && !passing_on_)) {
        attempt_failed({result_code::backend_failed, true}, scheduling::outcome::failed,
                       "status_" + std::to_string(attempt_status_));
        return;
    }
    ledger_->finish(attempt_, {failed ? result_code::backend_failed : result_code::ok, true});
    core_.carry_out(
        service_,
        scheduler().attempt_finished(
            ticket_, failed ? scheduling::outcome::failed : scheduling::outcome::success, core_.loop.now()));
    pass_plain_answer();
}

void flow::pass_plain_answer() {
    if (passing_on_ && session_) {
        session_->finish();
    } else if (session_) {
        session_->respond({.status = answer_.status, .headers = http::end_to_end(answer_.headers)}, body_);
    }
    end(answer_.status, answer_.status >= 500 ? result_code::backend_failed : result_code::ok);
}

void flow::on_failed(http::exchange_failure f) {
    const auto self = shared_from_this();
    core_.loop.cancel(attempt_timer_);
    connection_.reset();
    core_.pool.drop(connection_key_);
    const bool sent = f != http::exchange_failure::connect_failed;
    const bool progressed = answer_begun_ || !body_.empty();
    const auto code = !sent        ? result_code::connect_failed
                      : progressed ? result_code::answer_truncated
                                   : result_code::answer_mismatched;
    attempt_failed({code, sent}, scheduling::outcome::unreachable, std::string{to_string(f)});
}

void flow::on_attempt_timeout() {
    const auto self = shared_from_this();
    attempt_timer_ = net::timer_id::none;
    const auto code = events_.events() > 0 ? result_code::token_gap_timeout : result_code::first_byte_timeout;
    if (core_.service(service_).budget.available(core_.loop.now()) < 1) {
        return;  // the attempt goes on: nothing else may be tried
    }
    const bool sent = connection_ && connection_->sent();
    close_attempt();
    attempt_failed({code, sent}, scheduling::outcome::unreachable, "silent");
}

void flow::attempt_failed(retry::attempt_outcome o, scheduling::outcome for_server, std::string cause) {
    record_.failure_cause = std::move(cause);
    ledger_->finish(attempt_, o);
    attempt_ = 0;
    auto& s = core_.service(service_);
    core_.carry_out(service_, s.scheduler->attempt_finished(ticket_, for_server, core_.loop.now()));
    if (ended_) {
        return;
    }
    const auto next = ledger_->try_next_attempt(s.budget, core_.loop.now());
    base::log_line{base::log_level::info, "proxy", "Attempt failed."}
        .field("request", terms_.id.str())
        .field("server", record_.server.str())
        .field("attempt", record_.attempts)
        .field("cause", record_.failure_cause)
        .field("retry", next.allowed ? "yes" : "no")
        .code(next.reason);
    if (next.allowed && session_) {
        core_.carry_out(service_, s.scheduler->resubmit(ticket_, core_.loop.now()));
        return;
    }
    // A failure that the server itself reported is the answer if nothing else can be had.
    if (o.code == result_code::backend_failed && !answer_begun_) {
        pass_plain_answer();
        return;
    }
    give_up(next.reason == result_code::ok ? o.code : next.reason);
}

void flow::refused(result_code code, base::duration retry_after) {
    const auto self = shared_from_this();
    retry_after_ = retry_after;
    give_up(code);
}

void flow::on_request_timeout() {
    const auto self = shared_from_this();
    request_timer_ = net::timer_id::none;
    if (attempt_ != 0) {
        const bool sent = connection_ && connection_->sent();
        close_attempt();
        ledger_->finish(attempt_, {result_code::first_byte_timeout, sent});
        attempt_ = 0;
        core_.carry_out(service_, scheduler().attempt_finished(ticket_, scheduling::outcome::cancelled,
                                                               core_.loop.now()));
    }
    give_up(result_code::deadline_unreachable);
}

void flow::give_up(result_code code) {
    if (ended_) {
        return;
    }
    record_.run_state = ledger_->run_state();
    if (record_.run_state == base::run_state::not_run) {
        retry_after_ = std::max<base::duration>(retry_after_, 250ms);
        end(status_unavailable, code);
    } else {
        retry_after_ = {};
        end(code == result_code::deadline_unreachable ? status_gateway_timeout : status_bad_gateway, code);
    }
}

void flow::end(int status, result_code code) {
    if (std::exchange(ended_, true)) {
        return;
    }
    const auto self = shared_from_this();
    core_.loop.cancel(request_timer_);
    core_.loop.cancel(attempt_timer_);
    close_attempt();
    auto* const session = session_.get();
    const bool unanswered = session_ && session_->busy();
    core_.remove(ticket_, session);
    if (!service_.empty()) {
        scheduler().remove(ticket_);
    }
    if (unanswered && answer_begun_) {
        status = 0;
        session_->abort();
    } else if (unanswered) {
        const auto retry_after = retry_after_ > 0ms ? std::optional{retry_after_} : std::nullopt;
        session_->respond(core_.codec.error_response(status, terms_.id, retry_after), {});
    }
    record_.status = session == nullptr ? 0 : status;
    record_.code = code;
    if (ledger_) {
        record_.run_state = ledger_->run_state();
    }
    record_.event_count = events_.events();
    record_.total_time = base::boot_clock::now() - arrived_;
    const auto age = [](const std::optional<base::time_point>& since) {
        return since ? std::optional<base::duration>{base::boot_clock::now() - *since} : std::nullopt;
    };
    record_.server_list_age = age(core_.servers_changed);
    record_.peer_load_age = age(core_.peers_heard);
    if (core_.hooks.request_ended) {
        core_.hooks.request_ended(record_);
    }
}

void flow::close_attempt() {
    if (const auto c = std::exchange(connection_, nullptr)) {
        c->abort();
    }
}

void flow::caller_gone() {
    const auto self = shared_from_this();
    session_.reset();
    const bool running = attempt_ != 0 && connection_ && connection_->sent();
    if (running && route_->kind == catalog::request_kind::non_idempotent) {
        return;  // breaking it off would not undo it
    }
    if (attempt_ != 0) {
        ledger_->finish(attempt_, {result_code::caller_gone, running});
        attempt_ = 0;
        close_attempt();
        core_.carry_out(service_, scheduler().attempt_finished(ticket_, scheduling::outcome::cancelled,
                                                               core_.loop.now()));
    }
    end(0, result_code::caller_gone);
}

void flow::caller_drained() {
    if (connection_) {
        connection_->pause_reading(false);
    }
}

}  // namespace chicorygap::proxy
