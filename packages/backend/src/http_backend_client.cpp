#include "backend/http_backend_client.h"

#include "attempt.h"
#include "base/error.h"
#include "base/log.h"
#include "connection_pool.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>

namespace chicorygap::backend {

using base::result_code;
using base::run_state;

namespace {

/// The next attempt waits for the cancellation of one that timed out; its server may not answer at all.
constexpr base::duration timed_out_cancel_limit = std::chrono::milliseconds{100};

attempt_outcome not_sent(result_code code, std::string detail) {
    attempt_outcome o;
    o.code = code;
    o.state = run_state::not_run;
    o.detail = std::move(detail);
    return o;
}

bool plain_text(const std::string& text) {
    constexpr char first_visible = '!';
    constexpr char last_visible = '~';
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return c >= first_visible && c <= last_visible; });
}

bool valid(const backend_request& r) {
    return !r.id.empty() && plain_text(r.id.str()) && !r.method.empty() && plain_text(r.method) &&
           r.target.starts_with('/') && plain_text(r.target);
}

}  // namespace

class http_backend_client::impl {
public:
    explicit impl(http_client_options options) : options_{std::move(options)}, pool_{options_} {}

    attempt_outcome call(const backend_request& request, const answer_sink& sink,
                         const cancel_token& cancel) {
        if (!valid(request)) {
            return not_sent(result_code::internal, "request cannot be expressed in HTTP");
        }
        auto c = pool_.take(request.server);
        if (c) {
            bool dead = false;
            auto outcome = run(request, sink, cancel, std::move(c), dead);
            if (!dead) {
                return outcome;
            }
        }
        if (const auto reason = cancel.poll ? cancel.poll() : std::nullopt) {
            return not_sent(*reason, "cancelled before it was sent");
        }
        try {
            c = std::make_unique<connection>(request.server, request.limits.connect);
        } catch (const base::error& e) {
            return not_sent(e.code(), e.what());
        }
        bool dead = false;
        return run(request, sink, cancel, std::move(c), dead);
    }

    [[nodiscard]] std::size_t idle_connections() const { return pool_.size(); }
    void forget(const endpoint& server) { pool_.forget(server); }

private:
    attempt_outcome run(const backend_request& request, const answer_sink& sink, const cancel_token& cancel,
                        std::unique_ptr<connection> c, bool& dead) {
        attempt a{options_, request, sink, cancel, *c};
        auto outcome = a.run();
        dead = a.connection_was_dead();
        if (a.reusable()) {
            pool_.put(request.server, std::move(c));
        } else if (a.abandoned()) {
            c.reset();
            const bool timed_out = outcome.code == result_code::first_byte_timeout ||
                                   outcome.code == result_code::token_gap_timeout;
            send_cancel(request, timed_out ? std::min(timed_out_cancel_limit, options_.cancel_limit)
                                           : options_.cancel_limit);
        }
        return outcome;
    }

    /// Uses a new connection, because the one of the attempt may be stalled.
    void send_cancel(const backend_request& request, base::duration limit) {
        try {
            connection c{request.server, limit};
            const auto end = base::boot_clock::now() + limit;
            c.guard().set_deadline(end, result_code::first_byte_timeout);
            Poco::Net::HTTPRequest cancel{"POST", "/cancel/" + request.id.str(), "HTTP/1.1"};
            cancel.setHost(request.server.host, request.server.port);
            cancel.setContentLength(0);
            cancel.setKeepAlive(false);
            c.session().sendRequest(cancel).flush();
            Poco::Net::HTTPResponse answer;
            c.session().receiveResponse(answer);
        } catch (const std::exception&) {
            base::log_line{base::log_level::warning, "backend", "Cancellation not delivered."}.field(
                "request", request.id.str());
        }
    }

    http_client_options options_;
    connection_pool pool_;
};

http_backend_client::http_backend_client(http_client_options options)
    : impl_{std::make_unique<impl>(std::move(options))} {}
http_backend_client::~http_backend_client() = default;

attempt_outcome http_backend_client::call(const backend_request& request, const answer_sink& sink,
                                          const cancel_token& cancel) {
    return impl_->call(request, sink, cancel);
}

std::size_t http_backend_client::idle_connections() const {
    return impl_->idle_connections();
}

void http_backend_client::forget(const endpoint& server) {
    impl_->forget(server);
}

}  // namespace chicorygap::backend
