#include "request_reader.h"

#include "backend/read_some.h"
#include "base/error.h"
#include "chat_body.h"
#include "chunk_format.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>

namespace chicorygap::front {

using base::result_code;
using base::run_state;
using Poco::Net::HTTPRequest;

namespace {

const std::string chat_path = "/v1/chat/completions";
const std::string models_path = "/v1/models";

/// Bytes of prompt text per token, on average.
constexpr std::uint64_t bytes_per_token = 4;

/// A service may offer the interface under a prefix per class, for example /urgent/v1/chat/completions,
/// because client libraries let callers choose the base URL but no further path.
bool ends_with_path(const std::string& path, const std::string& end) {
    return path.size() >= end.size() && path.compare(path.size() - end.size(), end.size(), end) == 0;
}

[[noreturn]] void refuse(result_code code, std::string detail) {
    throw refused{{code, run_state::not_run, std::move(detail), std::nullopt}};
}

bool printable(const std::string& text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

/// Dot segments would let the route match see another path than the backend server.
bool has_dot_segment(const std::string& path) {
    std::string decoded;
    try {
        Poco::URI::decode(path, decoded);
    } catch (const Poco::Exception&) {
        return true;
    }
    decoded += '/';
    return decoded.find("/../") != std::string::npos || decoded.find("/./") != std::string::npos ||
           decoded.find('\\') != std::string::npos || decoded.find('\0') != std::string::npos;
}

}  // namespace

request_reader::request_reader(const server_options& options, const hooks& h,
                               Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
                               backend::guarded_socket& guard, reservation& memory)
    : options_{options}, hooks_{h}, request_{request}, response_{response}, guard_{guard}, memory_{memory} {}

std::variant<call, local_answer, refusal> request_reader::read(const base::request_id& id) {
    try {
        return read_checked(id);
    } catch (const refused& r) {
        return r.reason;
    }
}

std::variant<call, local_answer, refusal> request_reader::read_checked(const base::request_id& id) {
    call c;
    c.id = id;
    c.received = options_.now();
    check_target();
    const auto key = check_key();
    check_framing();
    c.key = key.digest();
    c.method = request_.getMethod();
    c.path = path_;
    c.target = backend::without_credentials(request_.getURI(), key.secret());
    c.body = read_body();
    check_copies(key, *c.body);
    if (ends_with_path(path_, models_path) && hooks_.models) {
        return local_answer{models_json(hooks_.models(key.digest()))};
    }
    if (ends_with_path(path_, chat_path)) {
        auto chat = parse_chat_body(*c.body, options_.json_depth);
        if (auto* r = std::get_if<refusal>(&chat)) {
            return *r;
        }
        c.chat = std::get<chat_call>(std::move(chat));
    }
    c.permission = authorize(key, c.chat ? c.chat->model : std::string{});
    c.estimated_prompt_tokens = c.body->size() / bytes_per_token;
    c.fields = forwarded_fields(key);
    if (request_.has("Idempotency-Key")) {
        c.idempotency_key = request_.get("Idempotency-Key");
    }
    return c;
}

void request_reader::check_target() {
    constexpr std::array<std::string_view, 7> methods{"GET",   "HEAD",   "POST",   "PUT",
                                                      "PATCH", "DELETE", "OPTIONS"};
    const auto& method = request_.getMethod();
    if (std::find(methods.begin(), methods.end(), method) == methods.end()) {
        refuse(result_code::method_not_allowed, "this method is not supported");
    }
    const auto& target = request_.getURI();
    if (!target.starts_with('/') || !printable(target)) {
        refuse(result_code::body_malformed, "the request target must be a path");
    }
    path_ = target.substr(0, target.find_first_of("?#"));
    if (has_dot_segment(path_)) {
        refuse(result_code::route_unknown, "the path must not hold dot segments");
    }
    const bool wrong_method = (ends_with_path(path_, chat_path) && method != HTTPRequest::HTTP_POST) ||
                              (ends_with_path(path_, models_path) && method != HTTPRequest::HTTP_GET);
    if (wrong_method) {
        response_.set("Allow", ends_with_path(path_, chat_path) ? "POST" : "GET");
        refuse(result_code::method_not_allowed, "this method is not supported here");
    }
}

credential request_reader::check_key() {
    auto taken = take_credential(request_);
    if (auto* r = std::get_if<refusal>(&taken)) {
        throw refused{*r};
    }
    auto key = std::get<credential>(std::move(taken));
    if (hooks_.check_key) {
        if (const auto r = hooks_.check_key(key.digest())) {
            throw refused{*r};
        }
    }
    return key;
}

void request_reader::check_framing() {
    const auto count = [this](const std::string& name) {
        return std::count_if(request_.begin(), request_.end(),
                             [&](const auto& f) { return Poco::icompare(f.first, name) == 0; });
    };
    const bool encoded = count("Transfer-Encoding") > 0;
    // Two readings of one body would let the next request on the connection be forged.
    if (count("Content-Length") > 1 || count("Transfer-Encoding") > 1 ||
        (encoded && request_.hasContentLength()) || (encoded && !request_.getChunkedTransferEncoding())) {
        refuse(result_code::body_malformed, "the length of the body is ambiguous");
    }
    if (request_.hasContentLength()) {
        const auto text = request_.get("Content-Length");
        const bool digits = !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
            return std::isdigit(c) != 0;
        });
        constexpr std::size_t max_digits = 18;
        if (!digits || text.size() > max_digits) {
            refuse(result_code::body_malformed, "Content-Length is not a number");
        }
        if (static_cast<std::uint64_t>(request_.getContentLength64()) > options_.body_bytes) {
            refuse(result_code::body_too_large,
                   "the body exceeds " + std::to_string(options_.body_bytes) + " bytes");
        }
    }
}

std::shared_ptr<const std::string> request_reader::read_body() {
    auto body = std::make_shared<std::string>();
    const bool chunked = request_.getChunkedTransferEncoding();
    if (!chunked && !request_.hasContentLength()) {
        consumed_ = true;
        return body;
    }
    if (request_.getExpectContinue()) {
        response_.sendContinue();
    }
    guard_.set_deadline(base::boot_clock::now() + options_.body_limit, result_code::caller_too_slow);
    try {
        append_body(*body);
    } catch (const base::error& e) {
        refuse(e.code(), "the body did not arrive in time");
    } catch (const Poco::Exception&) {
        refuse(result_code::caller_gone, "the connection failed within the body");
    }
    const bool whole =
        chunked ? !guard_.ended() : body->size() == static_cast<std::uint64_t>(request_.getContentLength64());
    if (!whole) {
        refuse(result_code::caller_gone, "the connection ended within the body");
    }
    // Trailer fields of a chunked body are not read, so that its connection cannot carry another request.
    consumed_ = !chunked;
    return body;
}

void request_reader::append_body(std::string& body) {
    constexpr std::size_t step = std::size_t{64} << 10U;
    backend::read_buffer buffer;
    auto& in = request_.stream();
    for (auto bytes = backend::read_some(in, buffer); !bytes.empty();
         bytes = backend::read_some(in, buffer)) {
        const auto size = body.size() + bytes.size();
        if (size > options_.body_bytes) {
            refuse(result_code::body_too_large,
                   "the body exceeds " + std::to_string(options_.body_bytes) + " bytes");
        }
        // Whole steps, because the string grows ahead of its content.
        if (!memory_.grow_to((size / step + 1) * step)) {
            refuse(result_code::queue_full, "too many large bodies are being received");
        }
        body.append(bytes);
    }
}

void request_reader::check_copies(const credential& key, const std::string& body) const {
    const bool in_body = !key.secret().empty() && body.find(key.secret()) != std::string::npos;
    if (in_body || key.inside(path_) || key.inside(request_.get("Idempotency-Key", ""))) {
        refuse(result_code::body_malformed, "the key may only be sent in Authorization");
    }
}

grant request_reader::authorize(const credential& key, const std::string& model) const {
    auto decision = hooks_.authorize({key.digest(), request_.getMethod(), path_, model});
    if (auto* r = std::get_if<refusal>(&decision)) {
        throw refused{*r};
    }
    return std::get<grant>(std::move(decision));
}

backend::headers request_reader::forwarded_fields(const credential& key) const {
    backend::headers out;
    for (const auto& [name, value] : request_) {
        if (backend::request_header_allowed(name) && !key.inside(value)) {
            out.push_back({name, value});
        }
    }
    return out;
}

refusal head_refusal(const backend::guarded_socket& guard, const std::string& what, std::uint64_t bytes) {
    // POCO reports "invalid or too long" in one message; a head of ordinary size is invalid.
    constexpr std::uint64_t ordinary_bytes = 4096;
    const bool too_long = what.find("too long") != std::string::npos && bytes > ordinary_bytes;
    const bool too_large = too_long || what.find("Too many") != std::string::npos;
    auto code = too_large ? result_code::header_too_large : result_code::body_malformed;
    code = guard.stopped().value_or(code);
    std::string detail = "the request head is malformed";
    if (code == result_code::caller_too_slow) {
        detail = "the request head did not arrive in time";
    } else if (code == result_code::header_too_large) {
        detail = "the request head is too large";
    }
    return {code, run_state::not_run, detail, std::nullopt};
}

}  // namespace chicorygap::front
