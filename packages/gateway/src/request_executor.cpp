#include "request_executor.h"

#include "base/error.h"
#include "base/log.h"
#include "prefix_hashes.h"

#include <utility>

namespace chicorygap::gateway {

using base::result_code;
using base::run_state;

namespace {

constexpr base::duration caller_poll_interval = std::chrono::milliseconds{50};
constexpr base::duration claim_timeout = std::chrono::seconds{2};

const document::route* find_route(const document::lookup& d, const front::call& c) {
    return d.find_route(c.method, c.path).match;
}

std::string backend_target(const document::route* r, const front::call& c) {
    if (r == nullptr) {
        return c.target;
    }
    const auto query = c.target.find('?');
    return document::forwarded_path(*r, c.path) + (query == std::string::npos ? "" : c.target.substr(query));
}

}  // namespace

request_executor::request_executor(service_runtime::impl& owner, const front::call& c, front::responder& out,
                                   const front::caller_monitor& caller)
    : owner_{owner},
      call_{c},
      out_{out},
      caller_{caller},
      document_{owner.document()},
      class_{document::find_class(document_->document(), c.permission.request_class)},
      route_{find_route(*document_, c)},
      once_{owner.options().permits, c, route_ != nullptr && !route_->repeatable},
      timing_{c.received} {}

void request_executor::run() {
    if (class_ == nullptr) {
        out_.fail({result_code::route_unknown, run_state::not_run, "the class was removed", std::nullopt});
        return;
    }
    if (route_ != nullptr && route_->idempotency_key_required && !call_.idempotency_key) {
        out_.fail({result_code::idempotency_key_missing, run_state::not_run,
                   "this route requires the header Idempotency-Key", std::nullopt});
        record_end(result_code::idempotency_key_missing, run_state::not_run);
        return;
    }
    owner_.enter(call_, box_);
    owner_.post(make_submit());
    bool ended = false;
    while (!ended && !caller_gone_) {
        if (const auto a = box_.wait(caller_poll_interval)) {
            ended = handle(*a);
        } else if (caller_.gone()) {
            owner_.post(dispatch::cancel_request{call_.id, result_code::caller_gone});
            caller_gone_ = true;
        }
    }
    owner_.leave(call_.id);
    if (caller_gone_) {
        record_end(result_code::caller_gone, attempts_ == 0 ? run_state::not_run : run_state::unknown);
    }
}

dispatch::submit_request request_executor::make_submit() const {
    dispatch::submit_request s;
    s.id = call_.id;
    s.service_class = class_->id;
    s.workspace = call_.permission.workspace;
    if (call_.chat) {
        s.model = call_.chat->model;
        s.resumable = call_.chat->stream;
        if (call_.chat->max_tokens) {
            s.max_output_tokens = static_cast<std::int64_t>(*call_.chat->max_tokens);
        }
        s.prefixes = prefix_hashes(*call_.body);
    }
    s.prompt_tokens = static_cast<std::int64_t>(call_.estimated_prompt_tokens);
    s.start_deadline = call_.received + class_->deadline;
    s.deadline = s.start_deadline + document_->document().timeouts.first_byte;
    s.idempotent = route_ == nullptr || route_->repeatable;
    s.urgent = class_->tier.level == 0;
    return s;
}

bool request_executor::handle(const dispatch::action& a) {
    return std::visit([this](const auto& v) { return on(v); }, a);
}

bool request_executor::on(const dispatch::start_attempt& a) {
    attempts_ = a.attempt;
    server_ = a.server;
    if (!once_.acquire(claim_timeout)) {
        // Nothing was sent. The code is not retryable, so that the core rejects the request; `answer_instead`
        // then gives the answer.
        owner_.post(dispatch::attempt_result{call_.id, a.attempt, result_code::outcome_unknown, false});
        return false;
    }
    const auto server = owner_.address(a.server);
    if (!server) {  // removed from the list between the decision and now
        owner_.post(dispatch::attempt_result{call_.id, a.attempt, result_code::connect_failed, false});
        return false;
    }
    const auto started = owner_.options().now();
    const auto o =
        owner_.options().client->call(make_request(a, *server), make_sink(a.attempt), make_cancel(a.attempt));
    report(a.attempt, o, owner_.options().now() - started);
    return false;
}

bool request_executor::on(const dispatch::cancel_attempt&) {
    return false;
}

bool request_executor::on(const dispatch::reject& a) {
    if (!out_.begun() && once_.answer_instead(out_)) {
        record_end(once_.code(), once_.state());
        return true;
    }
    front::refusal r{a.code, a.state, std::string{to_string(a.code)}, std::nullopt};
    if (a.retry_after > base::duration::zero()) {
        r.retry_after = a.retry_after;
    }
    r.covers_earlier_tries = once_.granted();
    if (a.state == run_state::not_run) {
        once_.finish_not_run(r);
    }
    out_.fail(r);
    record_end(a.code, a.state);
    return true;
}

bool request_executor::on(const dispatch::complete&) {
    once_.finish();
    if (call_.chat && call_.chat->stream && stream_end_) {
        out_.end(*stream_end_);
    } else {
        out_.finish();
    }
    record_end(result_code::ok, run_state::run);
    return true;
}

backend::backend_request request_executor::make_request(const dispatch::start_attempt& a,
                                                        const backend::endpoint& server) const {
    backend::backend_request r;
    r.id = base::request_id{call_.id.str() + "-" + std::to_string(a.attempt)};
    r.server = server;
    if (call_.chat) {
        r.kind = call_.chat->stream ? backend::call_kind::chat_stream : backend::call_kind::chat;
    }
    r.method = call_.method;
    r.target = backend_target(route_, call_);
    r.fields = call_.fields;
    r.body = call_.body;
    r.priority = class_->tier;
    r.resume_tokens = a.resume_tokens;
    const auto& t = document_->document().timeouts;
    r.limits = {t.connect, t.first_byte, t.token_gap, t.idle};
    return r;
}

backend::answer_sink request_executor::make_sink(std::uint32_t attempt) {
    backend::answer_sink s;
    s.on_head = [this](const backend::answer_head& h) {
        if (call_.chat && call_.chat->stream && h.status == 200) {
            return;  // the first token sends the head of a stream
        }
        once_.note_head(h);
        out_.head(h);
    };
    s.on_token = [this, attempt](const backend::token_delta& t) {
        out_.token(t);
        note_progress(attempt, t.tokens);
    };
    s.on_end = [this](const backend::stream_end& e) { stream_end_ = e; };
    s.on_body = [this, attempt](std::string_view bytes) {
        once_.note_body(bytes);
        out_.body(bytes);
        note_progress(attempt, 1);
    };
    return s;
}

backend::cancel_token request_executor::make_cancel(std::uint32_t attempt) const {
    backend::cancel_token t;
    t.poll = [this, attempt]() -> std::optional<result_code> {
        if (const auto reason = box_.cancelled(attempt)) {
            return reason;
        }
        return caller_.gone() ? std::optional{result_code::caller_gone} : std::nullopt;
    };
    t.interval = caller_poll_interval;
    return t;
}

void request_executor::note_progress(std::uint32_t attempt, std::uint64_t tokens) {
    timing_.add(tokens, owner_.options().now());
    owner_.post(dispatch::attempt_progress{call_.id, attempt, tokens});
}

void request_executor::report(std::uint32_t attempt, const backend::attempt_outcome& o,
                              base::duration service_time) {
    if (o.usage) {
        usage_ = o.usage;
    }
    if (o.code != result_code::ok) {
        base::log_line{base::log_level::info, "gateway", "Attempt failed."}
            .field("request", call_.id.str())
            .field("attempt", attempt)
            .field("server", server_.str())
            .field("state", to_string(o.state))
            .field("detail", o.detail)
            .code(o.code);
    }
    caller_gone_ = o.code == result_code::caller_gone;
    owner_.post(
        dispatch::attempt_result{call_.id, attempt, o.code, o.state != run_state::not_run, service_time});
}

void request_executor::record_end(result_code code, run_state state) {
    if (!owner_.options().on_end) {
        return;
    }
    request_record r;
    r.id = call_.id;
    r.service = call_.permission.service;
    r.workspace = call_.permission.workspace;
    r.service_class = class_->id;
    r.tier = class_->tier;
    r.code = code;
    r.state = state;
    r.server = server_;
    r.attempts = attempts_;
    r.prompt_tokens = usage_ ? usage_->prompt_tokens : call_.estimated_prompt_tokens;
    r.output_tokens = usage_ ? usage_->completion_tokens : (call_.chat ? timing_.tokens() : 0);
    r.first_token = timing_.first_token();
    r.longest_gap = timing_.longest_gap();
    r.mean_gap = call_.chat && call_.chat->stream ? timing_.mean_gap() : base::duration{};
    r.total = owner_.options().now() - call_.received;
    r.on_target = code == result_code::ok && timing_.meets(*class_);
    owner_.options().on_end(r);
}

}  // namespace chicorygap::gateway
