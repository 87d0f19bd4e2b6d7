#include "http_responder.h"

#include "base/error.h"

#include <Poco/Net/HTTPMessage.h>

#include <chrono>

namespace chicorygap::front {

using base::result_code;

http_responder::http_responder(Poco::Net::HTTPServerResponse& response, backend::guarded_socket& guard,
                               base::request_id id, bool head_only)
    : response_{response}, guard_{guard}, id_{std::move(id)}, head_only_{head_only} {}

void http_responder::set_chat(const chat_call& chat, std::uint64_t prompt_tokens, base::wall_time created) {
    format_ = std::make_unique<chunk_format>(id_, chat.model, created);
    include_usage_ = chat.include_usage;
    prompt_tokens_ = prompt_tokens;
}

void http_responder::head(const backend::answer_head& h) {
    for (const auto& f : h.fields) {
        if (backend::answer_header_allowed(f.name)) {
            response_.add(f.name, f.value);
        }
    }
    length_ = h.length;
    if (length_) {
        response_.setContentLength64(static_cast<Poco::Int64>(*length_));
    }
    begin(h.status);
}

void http_responder::body(std::string_view bytes) {
    if (head_only_ || bytes.empty()) {
        return;
    }
    written_ += bytes.size();
    if (length_ && written_ > *length_) {
        abort();
        throw base::error{result_code::answer_mismatched, "body exceeds its stated length"};
    }
    write(bytes);
}

void http_responder::finish() {
    const bool empty_by_status = response_.getStatus() == Poco::Net::HTTPResponse::HTTP_NO_CONTENT ||
                                 response_.getStatus() == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
    if (length_ && written_ != *length_ && !head_only_ && !empty_by_status) {
        abort();
        return;
    }
    finished_ = true;
}

void http_responder::token(const backend::token_delta& t) {
    if (!format_) {
        throw base::error{result_code::internal, "token sent in an answer that is not a chat stream"};
    }
    std::string text;
    if (!begun()) {
        begin_stream();
        text = format_->opening();
    }
    tokens_ += t.tokens;
    write(text + format_->token(t));
}

void http_responder::end(const backend::stream_end& e) {
    if (!format_) {
        throw base::error{result_code::internal, "end sent in an answer that is not a chat stream"};
    }
    std::string text;
    if (!begun()) {
        begin_stream();
        text = format_->opening();
    }
    const auto usage = e.usage.value_or(backend::token_usage{prompt_tokens_, tokens_});
    write(text + format_->closing(e.finish_reason, include_usage_ ? &usage : nullptr));
    finished_ = true;
}

refusal http_responder::truthful(const refusal& r) const {
    auto out = r;
    if (idempotency_key_present_ && r.state == base::run_state::not_run && !r.covers_earlier_tries) {
        out.state = base::run_state::unknown;
        out.detail += "; this try was not run, earlier tries with the same Idempotency-Key are not known";
    }
    return out;
}

void http_responder::fail(const refusal& stated) {
    if (finished_) {
        return;
    }
    const auto r = truthful(stated);
    if (!begun()) {
        problem(r);
    } else if (stream_) {
        write("event: error\ndata: " + problem_json(r) + "\n\n");
    } else {
        abort();
    }
    finished_ = true;
}

void http_responder::json(int status, const std::string& text, const std::string& type) {
    response_.setContentType(type);
    response_.setContentLength64(static_cast<Poco::Int64>(text.size()));
    begin(status);
    if (!head_only_) {
        write(text);
    }
    finished_ = true;
}

void http_responder::problem(const refusal& r) {
    if (r.retry_after) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*r.retry_after).count();
        response_.set("Retry-After", std::to_string(std::max<long>(seconds, 1)));
    }
    const bool success_status = base::http_status(r.code) < Poco::Net::HTTPResponse::HTTP_BAD_REQUEST;
    const int status = success_status ? base::http_status(result_code::internal) : base::http_status(r.code);
    json(status, problem_json(r), "application/problem+json");
}

void http_responder::begin(int status) {
    if (begun()) {
        throw base::error{result_code::internal, "answer begun twice"};
    }
    response_.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    if (!id_.empty()) {
        response_.set("X-Request-Id", id_.str());
    }
    const bool old_caller = response_.getVersion() != Poco::Net::HTTPMessage::HTTP_1_1;
    if (!response_.hasContentLength() && !old_caller) {
        response_.setChunkedTransferEncoding(true);
    }
    out_ = &response_.send();
}

void http_responder::begin_stream() {
    response_.setContentType("text/event-stream");
    response_.set("Cache-Control", "no-cache");
    stream_ = true;
    begin(Poco::Net::HTTPResponse::HTTP_OK);
}

void http_responder::write(std::string_view bytes) {
    out_->write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    out_->flush();
    if (!*out_ || guard_.stopped() || guard_.ended()) {
        guard_.stop(result_code::caller_gone);
        throw base::error{*guard_.stopped(), "the caller cannot be reached"};
    }
}

void http_responder::abort() {
    // Without this the response would write the end of a chunked body when it is destroyed.
    guard_.stop(result_code::answer_truncated);
    guard_.setLinger(true, 0);
    finished_ = true;
}

}  // namespace chicorygap::front
