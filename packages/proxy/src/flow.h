/// @file
/// One request of a caller.
#pragma once

#include "base/time.h"
#include "catalog/backend_server.h"
#include "core.h"
#include "event_splitter.h"
#include "http/client_connection.h"
#include "http/server_session.h"
#include "net/loop.h"
#include "proxy/header_codec.h"
#include "proxy/request_record.h"
#include "retry/attempt_tracker.h"
#include "scheduling/scheduler.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chicorygap::proxy {

/// One request of a caller: waits for a server, runs attempts, passes the answer on.
///
/// Concept: what may be repeated is decided by `retry::attempt_tracker` from what was sent and what came
/// back; this class carries it out. Answers that are not streams are collected before the caller sees them,
/// so that a broken one can be replaced; streams are passed on in whole events.
class flow : public std::enable_shared_from_this<flow> {
public:
    flow(request_router::core& c, http::server_session& session, http::request&& r);
    ~flow();
    flow(const flow&) = delete;
    flow& operator=(const flow&) = delete;

    /// Finds route, workspace and service and asks the scheduler for a server.
    void begin();
    /// The scheduler chose a server.
    void send(const scheduling::start_decision& decision);
    /// The scheduler refused the request.
    void refused(base::result_code code, base::duration retry_after);
    void caller_gone();
    void caller_drained();

private:
    void submit();
    void set_limits();
    [[nodiscard]] std::uint8_t urgency() const;
    [[nodiscard]] scheduling::scheduler& scheduler();
    [[nodiscard]] base::duration remaining() const;
    [[nodiscard]] base::duration longest_idle() const;
    [[nodiscard]] http::exchange_hooks attempt_hooks();
    [[nodiscard]] bool answers_this(const http::response_head& h) const;

    void on_head(http::response_head&& h);
    void on_body(std::string_view part);
    void on_stream(std::string_view part);
    void on_plain(std::string_view part);
    void on_complete();
    void on_failed(http::exchange_failure f);
    void on_attempt_timeout();
    void on_request_timeout();
    void note_run_started();
    void note_pause();

    void complete_stream();
    void complete_plain();
    void attempt_failed(retry::attempt_outcome o, scheduling::outcome for_server, std::string cause);
    void give_up(base::result_code code);
    void pass_plain_answer();
    void end(int status, base::result_code code);
    void close_attempt();
    void arm_attempt_timer();

    request_router::core& core_;
    std::shared_ptr<http::server_session> session_;
    http::request request_;
    request_metadata terms_;
    std::shared_ptr<const catalog::snapshot> catalog_;
    const catalog::route* route_ = nullptr;
    base::service_id service_;
    base::workspace_id workspace_;
    base::tier tier_;
    scheduling::local_request_id ticket_;
    std::optional<retry::attempt_tracker> ledger_;
    request_record record_;

    base::time_point arrived_;
    base::time_point ends_at_;
    net::timer_id request_timer_ = net::timer_id::none;
    net::timer_id attempt_timer_ = net::timer_id::none;

    std::shared_ptr<http::client_connection> connection_;
    std::string connection_key_;
    std::uint32_t attempt_ = 0;
    http::response_head answer_;
    response_metadata answer_terms_;
    int attempt_status_ = 0;
    std::string body_;
    event_splitter events_;
    std::optional<base::time_point> last_event_at_;
    bool answer_is_stream_ = false;
    bool answer_begun_ = false;  ///< the caller has part of the answer
    bool passing_on_ = false;    ///< an answer that is too large to collect is passed on as it comes
    bool run_counted_ = false;
    bool ended_ = false;
    base::duration retry_after_{};
};

}  // namespace chicorygap::proxy
