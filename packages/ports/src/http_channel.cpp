#include "http_channel.h"

#include "base/error.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/Socket.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <istream>
#include <ostream>
#include <utility>

namespace chicorygap::ports {

namespace {

using base::result_code;

constexpr int status_internal_error = 500;
constexpr int status_unavailable = 503;

/// Keeps the sum of all steps of one exchange below its timeout.
class deadline {
public:
    explicit deadline(base::duration timeout) : end_{base::boot_clock::now() + timeout} {}

    /// @return the remaining time, at least 1 ms since POCO treats 0 as no limit.
    [[nodiscard]] Poco::Timespan remaining() const {
        const auto left =
            std::chrono::duration_cast<std::chrono::microseconds>(end_ - base::boot_clock::now());
        return Poco::Timespan{std::max<Poco::Timespan::TimeDiff>(left.count(), 1'000)};
    }

    [[nodiscard]] bool passed() const { return base::boot_clock::now() >= end_; }

private:
    base::time_point end_;
};

void send(Poco::Net::HTTPClientSession& s, const http_call& c) {
    Poco::Net::HTTPRequest request{c.method, c.target, Poco::Net::HTTPMessage::HTTP_1_1};
    request.setKeepAlive(true);
    if (!c.if_match.empty()) {
        request.set("If-Match", "\"" + c.if_match + "\"");
    }
    if (!c.body.empty()) {
        request.setContentType("application/json");
    }
    request.setContentLength(static_cast<std::streamsize>(c.body.size()));
    s.sendRequest(request) << c.body << std::flush;
}

std::string read_body(Poco::Net::HTTPClientSession& s, std::istream& in, const deadline& d) {
    std::string out;
    std::array<char, 4096> buf{};
    auto* const source = in.rdbuf();
    // Each sgetc waits for one receive at most, so that a slow sender cannot exceed the deadline.
    while (source->sgetc() != std::char_traits<char>::eof()) {
        const auto ready = std::min<std::streamsize>(source->in_avail(), buf.size());
        out.append(buf.data(), static_cast<std::size_t>(source->sgetn(buf.data(), ready)));
        if (d.passed()) {
            throw Poco::TimeoutException("body incomplete");
        }
        s.socket().setReceiveTimeout(d.remaining());
    }
    return out;
}

http_reply receive(Poco::Net::HTTPClientSession& s, const deadline& d) {
    s.socket().setReceiveTimeout(d.remaining());
    Poco::Net::HTTPResponse response;
    auto& in = s.receiveResponse(response);
    http_reply out{static_cast<int>(response.getStatus()), response.get("ETag", ""), read_body(s, in, d)};
    const auto announced = response.getContentLength64();
    if (!response.getKeepAlive()) {
        s.reset();
    }
    if (announced >= 0 && static_cast<std::size_t>(announced) != out.body.size()) {
        throw Poco::IOException("body truncated");
    }
    return out;
}

[[noreturn]] void fail(const http_call& c, const std::string& reason, bool outcome_unknown) {
    const auto code = outcome_unknown ? result_code::platform_reply_lost : result_code::platform_unavailable;
    throw base::error{code, c.method + " " + c.target + ": " + reason};
}

}  // namespace

http_channel::http_channel(http_platform_options o, call_counter& calls)
    : options_{std::move(o)}, calls_{calls} {}

http_reply http_channel::run(const http_call& c, base::duration timeout) {
    calls_.record(c.kind);
    const deadline d{timeout};
    bool sent = false;
    try {
        auto s = take();
        if (s == nullptr) {
            s = connect(timeout);
        }
        // POCO reconnects on its own when the first write of a request head fails.
        s->setTimeout(d.remaining(), d.remaining(), d.remaining());
        s->socket().setSendTimeout(d.remaining());
        if (c.may_send && !c.may_send()) {
            give_back(std::move(s));
            throw base::error{result_code::lease_not_held, c.method + " " + c.target + ": not sent"};
        }
        sent = true;
        send(*s, c);
        auto reply = receive(*s, d);
        give_back(std::move(s));
        if (reply.status >= status_internal_error) {
            // 503 states that the call was refused; any other failure may have happened after the effect.
            const bool refused = reply.status == status_unavailable;
            fail(c, "status " + std::to_string(reply.status), c.has_effect && !refused);
        }
        return reply;
    } catch (const Poco::Exception& e) {
        fail(c, e.displayText(), sent && c.has_effect);
    }
}

// A connection with pending input was closed by the platform or holds the rest of an earlier reply.
std::unique_ptr<http_channel::session> http_channel::take() {
    const std::lock_guard lock{mutex_};
    while (!idle_.empty()) {
        auto s = std::move(idle_.back());
        idle_.pop_back();
        if (s->connected() && !s->socket().poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ)) {
            return s;
        }
    }
    return nullptr;
}

void http_channel::give_back(std::unique_ptr<session> s) {
    const std::lock_guard lock{mutex_};
    if (idle_.size() < options_.idle_connections && s->connected()) {
        idle_.push_back(std::move(s));
    }
}

std::unique_ptr<http_channel::session> http_channel::connect(base::duration timeout) const {
    const deadline d{timeout};
    auto s = std::make_unique<session>(options_.host, options_.port);
    s->setKeepAlive(true);
    // POCO would replace a connection idle for 8 s; `take` checks instead whether the platform closed it.
    s->setKeepAliveTimeout(Poco::Timespan{24 * Poco::Timespan::HOURS});
    s->setTimeout(d.remaining(), d.remaining(), d.remaining());
    s->open();
    s->socket().setNoDelay(true);
    return s;
}

std::string encoded(const std::string& text) {
    std::string out;
    Poco::URI::encode(text, "!#$&'()*+,:;=?@[]%", out);
    return out;
}

}  // namespace chicorygap::ports
