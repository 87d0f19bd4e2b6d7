#include "attempt.h"

#include "backend/read_some.h"
#include "base/error.h"
#include "event_parser.h"
#include "request_head.h"

#include <Poco/Net/HTTPMessage.h>

namespace chicorygap::backend {

using base::result_code;
using base::run_state;
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

/// Time to read the rest of a stream after its terminator; a slower connection is closed instead of pooled.
constexpr std::chrono::milliseconds trailing_limit{20};
/// Largest refusal body that is read in order to keep the connection, in bytes.
constexpr std::size_t discard_limit = std::size_t{64} << 10U;

constexpr int status_ok = 200;
constexpr int status_too_many = 429;
constexpr int status_server_error = 500;
constexpr int status_unavailable = 503;

}  // namespace

attempt::attempt(const http_client_options& options, const backend_request& request, const answer_sink& sink,
                 const cancel_token& cancel, connection& c)
    : options_{options},
      request_{request},
      sink_{sink},
      connection_{c},
      guard_{c.guard()},
      sent_before_{guard_.sent()},
      started_{base::boot_clock::now()} {
    if (cancel.poll) {
        guard_.set_hook(cancel.poll, cancel.interval);
    }
}

attempt_outcome attempt::run() {
    try {
        send();
        auto& in = receive_head();
        read(in);
    } catch (const std::exception& e) {
        lost_ = !guard_.stopped();
        fail(head_received_ ? result_code::answer_truncated : result_code::backend_failed, e.what());
    }
    return outcome_;
}

void attempt::send() {
    const auto end = base::boot_clock::now() + request_.limits.first_byte;
    guard_.set_deadline(end, result_code::first_byte_timeout);
    auto head = request_head(request_);
    auto& out = connection_.session().sendRequest(head);
    if (request_.body) {
        out.write(request_.body->data(), static_cast<std::streamsize>(request_.body->size()));
    }
    out.flush();
    if (!out || guard_.ended() || guard_.stopped()) {
        throw base::error{result_code::backend_failed, "request not sent completely"};
    }
}

std::istream& attempt::receive_head() {
    const auto end = base::boot_clock::now() + request_.limits.first_byte;
    guard_.set_deadline(end, result_code::first_byte_timeout);
    auto& in = connection_.session().receiveResponse(response_);
    if (guard_.stopped()) {
        throw base::error{*guard_.stopped(), "stopped before the answer"};
    }
    if (guard_.ended()) {
        // POCO takes the end of the connection for the end of the head. Behind a whole head it has not read
        // on yet.
        throw base::error{result_code::answer_truncated, "connection ended within the head"};
    }
    head_received_ = true;
    outcome_.status = response_.getStatus();
    guard_.set_idle(request_.limits.idle, result_code::token_gap_timeout);
    return in;
}

void attempt::read(std::istream& in) {
    if (response_.get("X-Request-Id", "") != request_.id.str()) {
        fail(result_code::answer_mismatched, "answer carries another request id");
        return;
    }
    const int status = outcome_.status;
    const bool refused = status == status_unavailable && response_.get("X-Run-State", "") == "not_run";
    const bool failed = status >= status_server_error || status == status_too_many;
    if (refused || (failed && request_.kind != call_kind::plain)) {
        read_refusal(in);
    } else if (request_.kind == call_kind::chat_stream && status == status_ok) {
        read_events(in);
    } else if (request_.kind == call_kind::chat_stream && request_.resume_tokens > 0) {
        fail(result_code::backend_failed, "stream resumed with status " + std::to_string(status));
        discard(in);
    } else if (request_.kind == call_kind::plain) {
        read_body(in);
    } else {
        read_chat(in);
    }
}

void attempt::read_refusal(std::istream& in) {
    if (const auto seconds = parse_number(response_.get("Retry-After", ""))) {
        outcome_.retry_after = std::chrono::seconds{*seconds};
    }
    const bool not_run =
        outcome_.status == status_unavailable && response_.get("X-Run-State", "") == "not_run";
    const bool busy = not_run || outcome_.status == status_too_many;
    fail(busy ? result_code::backend_refused : result_code::backend_failed,
         "server answered " + std::to_string(outcome_.status));
    outcome_.state = not_run ? run_state::not_run : run_state::unknown;
    discard(in);
}

void attempt::read_events(std::istream& in) {
    event_parser parser{options_.answer_limit};
    guard_.set_deadline(started_ + request_.limits.first_byte, result_code::first_byte_timeout);
    deliver_head();
    read_buffer buffer;
    bool valid = true;
    while (valid && !done_event_) {
        const auto before = outcome_.tokens;
        const auto bytes = read_some(in, buffer);
        if (bytes.empty()) {
            fail(result_code::answer_truncated, "stream ended without [DONE]");
            return;
        }
        valid = parser.feed(bytes, [this](const std::string& data) { return handle_event(data); });
        if (outcome_.tokens > before) {
            guard_.set_deadline(base::boot_clock::now() + request_.limits.token_gap,
                                result_code::token_gap_timeout);
        }
        valid = valid && outcome_.detail.empty();
    }
    if (!valid) {
        fail(result_code::backend_failed, "invalid event in stream");
        return;
    }
    finish_stream(in);
}

bool attempt::handle_event(const std::string& data) {
    if (data == "[DONE]") {
        done_event_ = true;
        return false;
    }
    const auto chunk = chunks_.parse(data);
    if (!chunk || chunk->failed) {
        outcome_.detail = "invalid event in stream";
        return false;
    }
    if (!chunk->finish_reason.empty()) {
        end_.finish_reason = chunk->finish_reason;
    }
    if (chunk->usage) {
        end_.usage = chunk->usage;
    }
    if (chunk->token) {
        mark_first();
        ++outcome_.tokens;
        deliver([&] {
            if (sink_.on_token) {
                sink_.on_token({chunk->text, chunk->delta_json, 1});
            }
        });
    }
    return true;
}

void attempt::finish_stream(std::istream& in) {
    outcome_.usage = end_.usage;
    deliver([&] {
        if (sink_.on_end) {
            sink_.on_end(end_);
        }
    });
    complete();
    discard(in);
}

void attempt::read_chat(std::istream& in) {
    read_buffer buffer;
    std::string body;
    for (auto bytes = read_some(in, buffer); !bytes.empty(); bytes = read_some(in, buffer)) {
        body.append(bytes);
        if (body.size() > options_.answer_limit) {
            fail(result_code::backend_failed, "answer exceeds the limit");
            return;
        }
    }
    const bool success = outcome_.status == status_ok;
    outcome_.usage = success ? parse_chat_answer(body) : std::nullopt;
    if (!body_whole(body.size()) || (success && !outcome_.usage)) {
        fail(result_code::answer_truncated, "answer is not complete");
        return;
    }
    mark_first();
    outcome_.tokens = outcome_.usage ? outcome_.usage->completion_tokens : 0;
    deliver_head();
    deliver([&] {
        if (sink_.on_body) {
            sink_.on_body(body);
        }
    });
    complete();
    reusable_ = response_.getKeepAlive() && connection_.usable();
}

void attempt::read_body(std::istream& in) {
    guard_.set_deadline(std::nullopt, result_code::internal);
    deliver_head();
    read_buffer buffer;
    std::uint64_t total = 0;
    for (auto bytes = read_some(in, buffer); !bytes.empty(); bytes = read_some(in, buffer)) {
        mark_first();
        total += bytes.size();
        deliver([&] {
            if (sink_.on_body) {
                sink_.on_body(bytes);
            }
        });
    }
    if (!body_whole(total)) {
        fail(result_code::answer_truncated, "answer is not complete");
        return;
    }
    complete();
    reusable_ = response_.getKeepAlive() && connection_.usable();
}

void attempt::discard(std::istream& in) {
    const auto end = base::boot_clock::now() + trailing_limit;
    guard_.set_deadline(end, result_code::token_gap_timeout);
    read_buffer buffer;
    std::uint64_t total = 0;
    try {
        for (auto bytes = read_some(in, buffer); !bytes.empty(); bytes = read_some(in, buffer)) {
            total += bytes.size();
            if (total > discard_limit) {
                return;
            }
        }
        reusable_ = !guard_.ended() && response_.getKeepAlive() && connection_.usable();
    } catch (const std::exception&) {
        reusable_ = false;  // the outcome is already known; only the connection is lost
    }
}

bool attempt::body_whole(std::uint64_t bytes) const {
    const bool empty_by_status = request_.method == HTTPRequest::HTTP_HEAD ||
                                 outcome_.status == HTTPResponse::HTTP_NO_CONTENT ||
                                 outcome_.status == HTTPResponse::HTTP_NOT_MODIFIED;
    if (empty_by_status) {
        return true;
    }
    if (response_.getChunkedTransferEncoding()) {
        // POCO ends a chunked body in the same way at its terminator, at a malformed chunk and at a lost
        // connection.
        return !guard_.ended() && !connection_.session().has_buffered_bytes();
    }
    if (response_.hasContentLength()) {
        return bytes == static_cast<std::uint64_t>(response_.getContentLength64());
    }
    return true;  // delimited by the close of the connection; a reset is an exception
}

void attempt::deliver(const std::function<void()>& part) {
    try {
        part();
    } catch (const base::error& e) {
        guard_.stop(e.code());
        throw;
    } catch (const std::exception&) {
        guard_.stop(result_code::caller_gone);
        throw;
    }
}

void attempt::deliver_head() {
    answer_head head;
    head.status = outcome_.status;
    for (const auto& [name, value] : response_) {
        if (answer_header_allowed(name)) {
            head.fields.push_back({name, value});
        }
    }
    if (response_.hasContentLength()) {
        head.length = static_cast<std::uint64_t>(response_.getContentLength64());
    }
    outcome_.begun = true;
    deliver([&] {
        if (sink_.on_head) {
            sink_.on_head(head);
        }
    });
}

void attempt::mark_first() {
    if (!outcome_.first_token) {
        outcome_.first_token = base::boot_clock::now() - started_;
    }
}

void attempt::complete() {
    outcome_.code = result_code::ok;
    outcome_.state = run_state::run;
    outcome_.complete = true;
}

void attempt::fail(result_code code, std::string detail) {
    if (outcome_.complete) {
        return;
    }
    outcome_.code = guard_.stopped().value_or(code);
    outcome_.state = sent() == 0 ? run_state::not_run : run_state::unknown;
    outcome_.detail = std::move(detail);
}

bool attempt::abandoned() const {
    return !outcome_.complete && sent() > 0 && guard_.stopped().has_value();
}

}  // namespace chicorygap::backend
