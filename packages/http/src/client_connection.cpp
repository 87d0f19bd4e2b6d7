#include "http/client_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace chicorygap::http {

namespace {

/// Longest head of a response; twice what callers may send.
constexpr std::size_t head_limit = std::size_t{32} * 1024;
/// Responses to other requests that are dropped before the connection counts as broken.
constexpr int dropped_response_limit = 3;
/// Request bodies up to this size are sent together with their head, which saves a packet.
constexpr std::size_t max_copied_body_bytes = std::size_t{16} * 1024;
/// Body bytes of such responses that are read during one exchange before the connection counts as broken.
constexpr std::size_t max_dropped_bytes = std::size_t{256} * 1024;
/// Reads in a row that bring neither a head nor a part of a body, before the bytes count as no response.
/// Bounds the time of a server that sends a few bytes at a time; one that sends an interim response each
/// second stays below it for eight minutes.
constexpr int max_reads_without_progress = 512;

std::optional<base::duration> keep_alive_time(const header_list& headers) {
    const auto* value = headers.find("Keep-Alive");
    if (value == nullptr) {
        return std::nullopt;
    }
    constexpr std::string_view parameter = "timeout=";
    const auto at = value->find(parameter);
    if (at == std::string::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char* first = value->data() + at + parameter.size();
    const auto [end, ec] = std::from_chars(first, value->data() + value->size(), seconds);
    return ec == std::errc{} && seconds >= 0 ? std::optional<base::duration>{std::chrono::seconds{seconds}}
                                             : std::nullopt;
}

}  // namespace

std::string_view to_string(exchange_failure f) noexcept {
    switch (f) {
        case exchange_failure::connect_failed:
            return "connect_failed";
        case exchange_failure::reset:
            return "reset";
        case exchange_failure::closed:
            return "closed";
        case exchange_failure::silent:
            return "silent";
        case exchange_failure::malformed:
            return "malformed";
        case exchange_failure::early_bytes:
            return "early_bytes";
    }
    return "unknown";
}

client_connection::client_connection(net::loop& l, memory::account* account)
    : loop_{l},
      reader_{message_reader::kind::response,
              {.request = nullptr,
               .response = [this](response_head&& h) { on_head(std::move(h)); },
               .body =
                   [this](std::string_view part) {
                       if (dropping_) {
                           dropped_bytes_ += part.size();
                           return;
                       }
                       reads_without_progress_ = 0;
                       const auto hooks = hooks_;
                       if (in_flight_ && hooks->body) {
                           hooks->body(part);
                       }
                   }},
              head_limit},
      head_charge_{account, memory::owner::response},
      hooks_{std::make_shared<const exchange_hooks>()} {}

std::shared_ptr<client_connection> client_connection::connect(net::loop& l, const net::address& to,
                                                              base::duration connect_timeout,
                                                              memory::account* account) {
    std::shared_ptr<client_connection> c{new client_connection{l, account}};
    const std::weak_ptr<client_connection> weak = c;
    c->stream_ = net::stream::connect(l, to, connect_timeout,
                                      {.connected =
                                           [weak] {
                                               if (const auto self = weak.lock()) {
                                                   self->connected();
                                               }
                                           },
                                       .received =
                                           [weak](std::string_view b) {
                                               if (const auto self = weak.lock()) {
                                                   self->received(b);
                                               }
                                           },
                                       .drained = nullptr,
                                       .ended =
                                           [weak](net::stream_end how) {
                                               if (const auto self = weak.lock()) {
                                                   self->ended(how);
                                               }
                                           }});
    c->stream_->set_account(account, memory::owner::server_output);
    return c;
}

void client_connection::start(std::string_view message, bool no_body, match_function match,
                              exchange_hooks hooks, std::shared_ptr<const std::string> body) {
    const auto self = shared_from_this();
    hooks_ = std::make_shared<const exchange_hooks>(std::move(hooks));
    match_ = std::move(match);
    in_flight_ = true;
    dropping_ = false;
    keep_alive_ = true;
    dropped_responses_ = 0;
    dropped_bytes_ = 0;
    reads_without_progress_ = 0;
    ++exchanges_;
    // A late copy of the response would have a length and no body, like the original. Behind a request with a
    // response body, it would take the bytes of that response for its own body.
    broken_ = broken_ || no_body;
    reader_.expect_no_body(no_body);
    if (!stream_->open()) {
        fail(exchange_failure::connect_failed);
        return;
    }
    if (!body || body->size() <= max_copied_body_bytes) {
        stream_->write(body ? std::string{message} + *body : std::string{message});
        return;
    }
    stream_->write(message);
    stream_->write_shared(std::move(body));
}

void client_connection::abort() {
    const auto self = shared_from_this();
    in_flight_ = false;
    broken_ = true;
    hooks_ = std::make_shared<const exchange_hooks>();
    stream_->reset();
}

bool client_connection::reusable() const noexcept {
    return !in_flight_ && !broken_ && keep_alive_ && stream_->open();
}

// Bytes that are there before the request was sent cannot be its response.
void client_connection::connected() {
    const auto self = shared_from_this();
    if (in_flight_ && stream_->has_unread_bytes()) {
        fail(exchange_failure::early_bytes);
        return;
    }
    const auto hooks = hooks_;
    if (in_flight_ && hooks->connected) {
        hooks->connected();
    }
}

void client_connection::received(std::string_view bytes) {
    const auto self = shared_from_this();
    while (!bytes.empty()) {
        if (!in_flight_) {
            broken_ = true;  // bytes that answer nothing
            stream_->close();
            return;
        }
        const auto r = reader_.read(bytes);
        head_charge_.set(reader_.memory_bytes());
        if (!stream_->open()) {
            return;  // a hook aborted the exchange
        }
        bytes.remove_prefix(r.consumed);
        if (r.state == read_state::invalid || dropped_responses_ > dropped_response_limit ||
            dropped_bytes_ > max_dropped_bytes) {
            fail(exchange_failure::malformed);
            return;
        }
        if (r.state == read_state::more) {
            if (++reads_without_progress_ > max_reads_without_progress) {
                fail(exchange_failure::malformed);
            }
            return;
        }
        if (std::exchange(dropping_, false)) {
            continue;
        }
        // Bytes behind the response belong to no request.
        broken_ = broken_ || !bytes.empty();
        finish();
        return;
    }
}

void client_connection::on_head(response_head&& h) {
    if (!in_flight_) {
        return;
    }
    keep_alive_ = h.keep_alive;
    if (match_ && !match_(h)) {
        // Where one unexpected response came, another may follow: the connection serves this exchange only.
        dropping_ = true;
        broken_ = true;
        ++dropped_responses_;
        return;
    }
    reads_without_progress_ = 0;
    idle_time_ = keep_alive_time(h.headers);
    const auto hooks = hooks_;
    if (hooks->head) {
        hooks->head(std::move(h));
    }
}

void client_connection::finish() {
    in_flight_ = false;
    idle_since_ = loop_.now();
    const auto hooks = std::exchange(hooks_, std::make_shared<const exchange_hooks>());
    if (broken_ || !keep_alive_) {
        stream_->close();
    }
    if (hooks->complete) {
        hooks->complete();
    }
}

void client_connection::ended(net::stream_end how) {
    const auto self = shared_from_this();
    if (stream_->is_connected()) {
        ended_at_ = loop_.now();
    }
    if (!in_flight_) {
        broken_ = true;
        if (const auto f = std::exchange(idle_ended_, nullptr)) {
            f();
        }
        return;
    }
    if (how == net::stream_end::orderly && !dropping_ && reader_.end_of_input() == read_state::complete) {
        broken_ = true;
        finish();
        return;
    }
    switch (how) {
        case net::stream_end::orderly:
            fail(exchange_failure::closed);
            return;
        case net::stream_end::reset:
            fail(exchange_failure::reset);
            return;
        case net::stream_end::connect_failed:
            fail(exchange_failure::connect_failed);
            return;
        case net::stream_end::timeout:
            fail(stream_->is_connected() ? exchange_failure::silent : exchange_failure::connect_failed);
            return;
    }
}

void client_connection::fail(exchange_failure f) {
    in_flight_ = false;
    broken_ = true;
    stream_->reset();
    const auto hooks = std::exchange(hooks_, std::make_shared<const exchange_hooks>());
    if (hooks->failed) {
        hooks->failed(f);
    }
}

}  // namespace chicorygap::http
