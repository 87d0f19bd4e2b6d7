/// @file
/// One request of a caller, from its receipt to the end of its response.
#pragma once

#include "base/time.h"
#include "catalog/backend_server.h"
#include "event_splitter.h"
#include "http/client_connection.h"
#include "http/server_session.h"
#include "memory/charge.h"
#include "net/loop.h"
#include "proxy/header_codec.h"
#include "proxy/request_record.h"
#include "request_evidence.h"
#include "request_router_impl.h"
#include "retry/attempt_tracker.h"
#include "scheduling/scheduler.h"
#include "suspect_attempt.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chicorygap::proxy {

/// One request of a caller: waits for a server, runs attempts and forwards the response.
///
/// Concept: `retry::attempt_tracker` decides from the data sent and received whether the request may be
/// retried; this class runs the attempts. Responses that are not streams are buffered before they are sent to
/// the caller, so that an incomplete one can be replaced by that of a retry. Streams are forwarded in
/// complete events.
class proxied_request : public std::enable_shared_from_this<proxied_request> {
public:
    proxied_request(request_router::impl& router, http::server_session& session, http::request&& request);
    ~proxied_request();
    proxied_request(const proxied_request&) = delete;
    proxied_request& operator=(const proxied_request&) = delete;

    /// Determines route, workspace and service and submits the request to the scheduler.
    void start();
    /// Sends the request to the server that the scheduler selected.
    void start_attempt(const scheduling::start_decision& decision);
    /// Ends the request after the scheduler rejected it.
    /// @param code reason for the rejection.
    /// @param retry_after delay before the caller should retry.
    void on_rejected(base::result_code code, base::duration retry_after);
    /// Cancels the request, unless it is non-idempotent and a server has received all of it.
    void on_caller_disconnected();
    /// Resumes reading from the server.
    void on_caller_drained();
    /// @return memory of received bytes that the caller has not been sent, because the response is not
    /// complete.
    [[nodiscard]] std::size_t unvalidated_bytes() const;
    /// @return memory of the output that the caller has not taken.
    [[nodiscard]] std::size_t pending_output_bytes() const;
    /// Ends the attempt because the memory limit is exceeded; it counts as the server's failure.
    void on_memory_exceeded();
    /// Ends the request because its caller leaves output in memory.
    void on_memory_exceeded_by_output();
    /// Ends the request because the process exits.
    void on_shutdown();
    /// @return true while an attempt is in flight.
    [[nodiscard]] bool running() const noexcept { return current_attempt_ != 0; }

private:
    void submit();
    void init_deadline_and_retries();
    /// Asks the guard whether a server may be tried, and calls `proceed` once it may. Ends the request if a
    /// part of its prompt is quarantined.
    void when_admitted(const std::function<void()>& proceed);
    /// @return true if the prompt guard keeps the request from a server now; the request is ended or waits.
    [[nodiscard]] bool held_back_at_start();
    /// @return true if the server may have received the request of the current attempt.
    [[nodiscard]] bool attempt_sent() const;
    [[nodiscard]] std::uint64_t fingerprint() const;
    /// @return the current attempt as one whose server may have ended.
    [[nodiscard]] suspect_attempt suspect() const;
    /// Reports a failed attempt after it is known whether the server has ended.
    /// @param drop_idle closes the idle connections to the server.
    void finish_broken_attempt(retry::attempt_outcome outcome, scheduling::outcome server_outcome,
                               std::string failure_cause, bool drop_idle);
    /// Finds out whether a server that has not answered in time is gone with its host.
    void check_silent_server();
    [[nodiscard]] std::uint8_t priority_rank() const;
    [[nodiscard]] scheduling::scheduler& scheduler();
    [[nodiscard]] base::duration remaining_time() const;
    [[nodiscard]] base::duration max_connection_idle() const;
    [[nodiscard]] http::exchange_hooks attempt_hooks();
    [[nodiscard]] bool matches_request(const http::response_head& head) const;

    /// Gives the attempt up if the caller has left while the connection was established.
    void on_connected();
    void on_response_head(http::response_head&& head);
    void on_response_body(std::string_view data);
    void on_stream_body(std::string_view data);
    void on_non_stream_body(std::string_view data);
    /// Counts the buffers of the response.
    void charge_response();
    /// @return size up to which the response is buffered before any of it is sent to the caller.
    [[nodiscard]] std::size_t max_buffered_bytes() const;
    /// @return true if the response is a refusal or an error in whose place a retry may bring an answer.
    [[nodiscard]] bool response_may_be_replaced() const;
    /// Stops reading from the server until the caller has taken the output.
    void pause_if_caller_is_slow();
    /// Ends the attempt because the server sends bytes that are no valid response, and closes its connection.
    /// @param cause for the log.
    void fail_attempt_with_invalid_response(std::string_view cause);
    /// Ends the attempt if its stream holds a block that is not the event that was due.
    /// @return true if the attempt was ended.
    bool fail_attempt_after_event_fault();
    void on_response_complete();
    void on_exchange_failed(http::exchange_failure failure);
    void on_attempt_timeout();
    void on_request_timeout();
    /// Gives up the attempt in flight, if any, and ends the request.
    void end_early(base::result_code code);
    /// @return time in which the caller or the route wants the response.
    [[nodiscard]] base::duration timeout() const;
    /// @return true if the request may last beyond the planned stop and another daemon should take it.
    [[nodiscard]] bool too_late_for_shutdown() const;
    void report_run_started();
    /// Records the time since the previous event and reports it to the scheduler if it exceeds the route's
    /// target.
    void record_token_gap();

    void complete_stream();
    void complete_non_stream();
    void on_attempt_failed(retry::attempt_outcome outcome, scheduling::outcome server_outcome,
                           std::string failure_cause);
    /// Ends the request if its caller has left, which the loop may report only later.
    /// @return true if the request has ended.
    bool ended_without_caller();
    void end_with_failure(base::result_code code);
    /// Ends the request with the response of the server, or with the rest of it.
    void end_with_response();
    /// Ends the request with an error response of the router, or closes the connection if a part of a
    /// response has been sent.
    void end(int status, base::result_code code);
    /// Ends the request, and with it its hold on the session, before the session is told how.
    /// @param answer ends the answer of the session; called last, unless the caller has left.
    void end(int status, base::result_code code, const std::function<void(http::server_session&)>& answer);
    void abort_attempt();
    void arm_attempt_timer();

    request_router::impl& router_;
    std::shared_ptr<http::server_session> session_;
    http::request request_;
    std::shared_ptr<const std::string> body_;  ///< of the request, shared with the connection to the server
    request_metadata metadata_;
    std::shared_ptr<const catalog::snapshot> catalog_;
    request_evidence evidence_;
    const catalog::route* route_ = nullptr;
    base::service_id service_;
    base::workspace_id workspace_;
    base::tier tier_;
    net::timer_id admission_timer_ = net::timer_id::none;
    bool awaiting_server_check_ = false;
    scheduling::local_request_id id_;
    std::optional<retry::attempt_tracker> attempt_tracker_;
    request_record record_;

    base::time_point received_at_;
    base::time_point deadline_;
    net::timer_id request_timer_ = net::timer_id::none;
    net::timer_id attempt_timer_ = net::timer_id::none;

    std::shared_ptr<http::client_connection> connection_;
    std::string connection_key_;
    /// Server of the current or the last attempt.
    catalog::backend_server server_;
    base::time_point attempt_started_at_;
    std::uint32_t current_attempt_ = 0;
    http::response_head response_head_;
    std::size_t response_head_bytes_ = 0;  ///< memory of the fields
    response_metadata response_metadata_;
    int response_status_ = 0;
    http::body_framing response_framing_ = http::body_framing::none;
    std::string response_body_;
    memory::charge response_charge_;
    memory::charge event_charge_;
    event_splitter events_;
    std::uint64_t events_at_attempt_start_ = 0;
    std::optional<base::time_point> last_event_received_at_;
    bool response_is_stream_ = false;
    bool response_started_ = false;  ///< part of the response has been sent to the caller
    bool forwarding_unbuffered_ =
        false;  ///< the response exceeds the buffer limit and is forwarded as it arrives
    std::size_t discarded_bytes_ = 0;  ///< of the current attempt, read and not forwarded
    bool run_reported_ = false;
    bool ended_ = false;
    base::duration retry_after_{};
};

}  // namespace chicorygap::proxy
