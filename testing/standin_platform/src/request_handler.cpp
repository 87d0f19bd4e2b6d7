#include "request_handler.h"

#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <exception>
#include <ostream>

namespace chicorygap::standin_platform {

namespace {

constexpr int status_refused = 503;

request read(Poco::Net::HTTPServerRequest& in) {
    const Poco::URI uri{in.getURI()};
    request r;
    r.method = in.getMethod();
    r.path = uri.getPath();
    for (const auto& [name, value] : uri.getQueryParameters()) {
        r.query[name] = value;
    }
    r.if_match = in.get("If-Match", "");
    Poco::StreamCopier::copyToString(in.stream(), r.body);
    return r;
}

void write(const reply& answer, Poco::Net::HTTPServerResponse& out) {
    out.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
    out.setContentType("application/json");
    out.setContentLength(static_cast<std::streamsize>(answer.body.size()));
    if (!answer.etag.empty()) {
        out.set("ETag", "\"" + answer.etag + "\"");
    }
    out.send() << answer.body;
}

}  // namespace

platform_state::platform_state(const options& o)
    : now{o.now}, fleet{o.list_lag, o.now}, orders{o.ignore_fencing_tokens, [this](const ports::order& it) {
                                                       fleet.apply(it);
                                                   }} {}

void platform_state::pause(base::duration d) {
    std::unique_lock lock{mutex};
    stopped.wait_for(lock, d, [this] { return stopping; });
}

void platform_state::stop() {
    {
        const std::lock_guard lock{mutex};
        stopping = true;
        stopped.notify_all();
    }
    objects.cancel_watches();
}

void platform_state::restart(base::duration outage) {
    {
        const std::lock_guard lock{mutex};
        down_until = now() + outage;
    }
    objects.cancel_watches();
}

bool platform_state::down() {
    const std::lock_guard lock{mutex};
    return stopping || now() < down_until;
}

void platform_state::count(const std::string& method, const std::string& path) {
    const std::lock_guard lock{mutex};
    ++calls[method + " " + path.substr(0, path.find('/', 1))];
}

reply request_handler::with_faults(const request& r) {
    // Faults must stay controllable during the faults themselves.
    if (r.path == "/fault") {
        return answer(state_, r);
    }
    state_.count(r.method, r.path);
    if (state_.down()) {
        return {};
    }
    const auto hit = state_.faults.take(r.method, r.path);
    if (!hit) {
        return answer(state_, r);
    }
    switch (hit->kind) {
        case fault_kind::refuse:
            return {status_refused, "{}", ""};
        case fault_kind::delay:
            state_.pause(hit->delay);
            return answer(state_, r);
        case fault_kind::drop_reply:
            answer(state_, r);
            return {};
        case fault_kind::silent:
            state_.pause(hit->delay);
            return {};
        case fault_kind::restart:
            state_.restart(hit->delay);
            return {};
    }
    return {};
}

void request_handler::handleRequest(Poco::Net::HTTPServerRequest& in, Poco::Net::HTTPServerResponse& out) {
    const auto reply = with_faults(read(in));
    // A watch that a restart cancelled looks like an empty result; its connection must break instead.
    if (reply.status == 0 || (state_.down() && in.getURI().find("/fault") == std::string::npos)) {
        out.setKeepAlive(false);
        return;
    }
    write(reply, out);
}

}  // namespace chicorygap::standin_platform
