/// @file
/// One connection to a server.
#pragma once

#include "base/recent_ids.h"
#include "base/time.h"
#include "http/message.h"
#include "http/message_reader.h"
#include "net/stream.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chicorygap::http {

/// Why an exchange has no complete response.
enum class exchange_failure {
    connect_failed,  ///< no connection; no byte of the request was sent
    reset,           ///< the connection was reset
    closed,          ///< the server closed the connection before the response was complete
    silent,          ///< written bytes were not taken, or the path is gone
    malformed,       ///< the bytes received are no response
    early_bytes,     ///< the server sent bytes before the request, of which no byte was sent
};

/// @return name for log lines.
std::string_view to_string(exchange_failure f) noexcept;

/// What one exchange reports. After `complete` or `failed` nothing else is reported.
struct exchange_hooks {
    /// The connection was established for this exchange, of which no byte was sent yet. May abort it.
    std::function<void()> connected;
    std::function<void(response_head&&)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> complete;
    std::function<void(exchange_failure)> failed;
};

/// Decides whether a response answers the exchange in flight. One that does not is read to its end and
/// dropped.
using match_function = std::function<bool(const response_head&)>;

/// One connection to a server, with one exchange at a time.
///
/// Concept: a byte that arrives while no exchange is in flight, or a response that answers another exchange,
/// makes the connection unusable for further exchanges, so that a response is never taken for the answer to a
/// later request. Bytes that are no part of the answer are read up to a limit.
///
/// Usage: `auto c = client_connection::connect(l, address, 300ms); c->start(bytes, no_body, match, hooks);`
/// `abort` ends an exchange; the connection is closed with it.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    static std::shared_ptr<client_connection> connect(net::loop& l, const net::address& to,
                                                      base::duration connect_timeout,
                                                      memory::account* account = nullptr);
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    ~client_connection() = default;

    /// Sends a request.
    /// @param message head, and the body unless it is given by itself.
    /// @param no_body the response has no body, as for HEAD.
    /// @param match accepts every response if empty.
    /// @param body is sent behind the message without a copy; may be null.
    void start(std::string_view message, bool no_body, match_function match, exchange_hooks hooks,
               std::shared_ptr<const std::string> body = nullptr);

    /// Names the request of the next exchange, whose later attempts must not use this connection.
    void set_request_id(std::string_view id) { request_ids_.add(id); }
    /// @return true if the connection has carried an attempt of the request.
    [[nodiscard]] bool has_carried(std::string_view id) const { return request_ids_.contains(id); }

    /// Closes the connection. The exchange in flight reports nothing more.
    void abort();

    /// Stops or continues reading the response.
    void pause_reading(bool paused) { stream_->pause_reading(paused); }

    /// @return true if another exchange may start.
    [[nodiscard]] bool reusable() const noexcept;
    /// @return true if the connection is open, as far as the kernel knows.
    [[nodiscard]] bool established() const {
        return stream_->open() && stream_->is_connected() && !stream_->peer_has_ended();
    }
    /// @return true if the connection was open at that time or later.
    [[nodiscard]] bool open_since(base::time_point t) const {
        return ended_at_ ? *ended_at_ >= t : stream_->open() && stream_->is_connected();
    }
    /// @param f called when the server ends the connection while no exchange is in flight.
    void set_idle_ended(std::function<void()> f) { idle_ended_ = std::move(f); }
    /// @return true if bytes of the current request may have reached the server.
    [[nodiscard]] bool sent() const noexcept { return stream_->is_connected(); }
    /// @return bytes of the request that the server has not acknowledged, as far as the kernel tells.
    [[nodiscard]] std::size_t unacknowledged() const { return stream_->unacknowledged(); }
    /// @return true if the connection was established for the current exchange.
    [[nodiscard]] bool fresh() const noexcept { return exchanges_ <= 1; }
    /// @return how long the server keeps the idle connection, if it said so.
    [[nodiscard]] std::optional<base::duration> idle_time() const noexcept { return idle_time_; }
    /// @return memory of a response's head that is not complete, in bytes.
    [[nodiscard]] std::size_t head_bytes() const noexcept { return head_charge_.bytes(); }
    /// @return when the last exchange ended.
    [[nodiscard]] base::time_point idle_since() const noexcept { return idle_since_; }

private:
    client_connection(net::loop& l, memory::account* account);

    void connected();
    void received(std::string_view bytes);
    void on_head(response_head&& h);
    void finish();
    void ended(net::stream_end how);
    void fail(exchange_failure f);

    net::loop& loop_;
    std::shared_ptr<net::stream> stream_;
    message_reader reader_;
    memory::charge head_charge_;  ///< of a head that is not complete
    std::shared_ptr<const exchange_hooks> hooks_;
    match_function match_;
    base::recent_ids request_ids_;
    std::function<void()> idle_ended_;
    std::optional<base::time_point> ended_at_;  ///< by the server
    std::optional<base::duration> idle_time_;
    base::time_point idle_since_;
    int exchanges_ = 0;
    int dropped_responses_ = 0;
    std::size_t dropped_bytes_ = 0;  ///< body bytes of dropped responses in this exchange
    int reads_without_progress_ = 0;
    bool in_flight_ = false;
    bool dropping_ = false;
    bool keep_alive_ = true;
    bool broken_ = false;
};

}  // namespace chicorygap::http
