#include "handler.h"

#include "base/error.h"
#include "chat.h"
#include "debug_json.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSONString.h>

#include <charconv>
#include <chrono>

namespace chicorygap::standin_backend {

namespace {

constexpr std::size_t body_piece = 1000;
constexpr std::uint64_t largest_body = std::uint64_t{64} << 20U;

bool is_control(const std::string& path) {
    return path == "/load" || path == "/cache-events" || path == "/orders" || path == "/fault" ||
           path.starts_with("/cancel/") || path.starts_with("/debug/");
}

Poco::JSON::Object::Ptr parse_object(const std::string& text) {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

}  // namespace

std::string expected_bytes(std::size_t n) {
    constexpr std::string_view digits = "0123456789";
    std::string out;
    out.reserve(n);
    for (std::size_t i = 0; i < n; ++i) {
        out += digits[i % digits.size()];
    }
    return out;
}

void handler::handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) {
    exchange e{request, response};
    const auto path = e.path();
    if (path != "/fault" && !path.starts_with("/debug/")) {
        state_.log.add(e.request());
        if (state_.log.down()) {
            e.reset();
            return;
        }
    }
    if (is_control(path)) {
        control(e, path);
        return;
    }
    const auto f = state_.log.take_fault(path);
    if (apply_early(e, f)) {
        return;
    }
    if (path == "/v1/chat/completions") {
        chat{state_, e, f}.run();
    } else {
        plain(e, f);
    }
}

bool handler::apply_early(exchange& e, const std::optional<fault>& f) {
    if (f && f->kind == fault_kind::refuse) {
        e.set("X-Run-State", "not_run");
        e.set("Retry-After", "1");
        e.json(503, R"({"error":{"message":"refused","type":"overloaded"}})");
        return true;
    }
    if (f && f->kind == fault_kind::fail) {
        e.json(500, R"({"error":{"message":"failed","type":"server_error"}})");
        return true;
    }
    return false;
}

void handler::control(exchange& e, const std::string& path) {
    try {
        if (path == "/load") {
            load(e);
        } else if (path == "/cache-events") {
            cache_events(e);
        } else if (path == "/orders") {
            order(e);
        } else if (path == "/fault") {
            inject(e);
        } else if (path.starts_with("/cancel/")) {
            const bool found = state_.batch.cancel(path.substr(std::string{"/cancel/"}.size()));
            e.json(200, found ? R"({"cancelled":true})" : R"({"cancelled":false})");
        } else {
            debug(e, path);
        }
    } catch (const std::exception&) {
        e.json(400, R"({"error":"invalid request"})");
    }
}

void handler::inject(exchange& e) {
    const auto o = parse_object(e.request().body);
    fault f;
    f.kind = parse_fault_kind(o->getValue<std::string>("kind"));
    f.path = o->optValue<std::string>("path", "/");
    f.count = o->optValue<std::uint64_t>("count", 1);
    f.delay = std::chrono::milliseconds{o->optValue<std::int64_t>("delay_ms", 0)};
    f.after_tokens = o->optValue<std::uint64_t>("after_tokens", 0);
    state_.log.inject(f);
    if (f.kind == fault_kind::restart) {
        state_.batch.stop_all();
    }
    e.json(200, "{}");
}

void handler::order(exchange& e) {
    const auto& r = e.request();
    order_entry o;
    o.id = parse_object(r.body)->getValue<std::string>("id");
    o.body = r.body;
    const auto token = r.field("X-Fencing-Token");
    std::from_chars(token.data(), token.data() + token.size(), o.fencing_token);
    if (state_.log.accept(o, state_.settings.check_fencing)) {
        e.json(200, R"({"accepted":true})");
    } else {
        e.json(409, R"({"accepted":false,"error":"stale fencing token"})");
    }
}

void handler::load(exchange& e) {
    const auto r = state_.batch.load(base::boot_clock::now());
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(r.age).count();
    e.json(200, R"({"slots":)" + std::to_string(state_.settings.slots) + R"(,"running":)" +
                    std::to_string(r.running) + R"(,"queued":)" + std::to_string(r.queued) + R"(,"age_ms":)" +
                    std::to_string(age) + R"(,"model":)" +
                    Poco::toJSON(state_.settings.model, Poco::JSON_WRAP_STRINGS) + "}");
}

void handler::cache_events(exchange& e) {
    const auto after = e.number("after").value_or(0);
    e.json(200, events_json(state_.batch.events(after, base::boot_clock::now())));
}

void handler::debug(exchange& e, const std::string& path) {
    if (path == "/debug/received") {
        e.json(200, received_json(state_.log.received()));
    } else if (path == "/debug/runs") {
        e.json(200, runs_json(state_.log.runs()));
    } else if (path == "/debug/orders") {
        e.json(200, orders_json(state_.log.orders()));
    } else if (path == "/debug/cancelled") {
        e.json(200, cancelled_json(state_.batch.cancelled()));
    } else {
        e.json(404, "{}");
    }
}

void handler::plain(exchange& e, const std::optional<fault>& f) {
    const auto id = e.request().field("X-Request-Id");
    const auto key = e.request().field("Idempotency-Key");
    const auto j = std::make_shared<job>(0);
    const auto kind = f ? f->kind : fault_kind::clear;
    const auto delay = kind == fault_kind::delay ? f->delay : base::duration{};
    const bool entered = state_.batch.enter(id, j);
    if (entered && kind == fault_kind::silent) {
        j->wait_forever();
        e.cut();
    } else if (entered && j->wait_until(base::boot_clock::now() + state_.settings.plain_time + delay)) {
        state_.log.count_run(key);
        plain_answer(e, f);
    } else {
        e.reset();
    }
    state_.batch.leave(id, j);
}

void handler::plain_answer(exchange& e, const std::optional<fault>& f) {
    const auto kind = f ? f->kind : fault_kind::clear;
    if (kind == fault_kind::drop_reply || kind == fault_kind::crash) {
        e.reset();
        return;
    }
    if (kind == fault_kind::wrong_id) {
        e.echo_wrong_id();
    }
    const auto bytes = e.number("bytes");
    if (!bytes) {
        const auto& body = e.request().body;
        e.json(200, body.empty() ? R"({"ok":true})" : body);
        return;
    }
    const auto text = expected_bytes(std::min(*bytes, largest_body));
    e.begin("application/octet-stream");
    for (std::size_t at = 0; at < text.size(); at += body_piece) {
        if (kind == fault_kind::truncate && at >= f->after_tokens) {
            e.cut();
            return;
        }
        if (!e.write(text.substr(at, body_piece))) {
            return;
        }
    }
}

}  // namespace chicorygap::standin_backend
