/// @file
/// Runs one request on its caller's thread.
#pragma once

#include "answer_timing.h"
#include "mailbox.h"
#include "once_guard.h"
#include "runtime_impl.h"

#include <optional>

namespace chicorygap::gateway {

/// Carries out the core's decisions about one request.
class request_executor {
public:
    request_executor(service_runtime::impl& owner, const front::call& c, front::responder& out,
                     const front::caller_monitor& caller);

    /// Returns when the caller has been answered or has left.
    void run();

private:
    [[nodiscard]] dispatch::submit_request make_submit() const;
    /// @return true when the request has ended.
    bool handle(const dispatch::action& a);
    bool on(const dispatch::start_attempt& a);
    bool on(const dispatch::cancel_attempt& a);
    bool on(const dispatch::reject& a);
    bool on(const dispatch::complete& a);

    [[nodiscard]] backend::backend_request make_request(const dispatch::start_attempt& a,
                                                        const backend::endpoint& server) const;
    [[nodiscard]] backend::answer_sink make_sink(std::uint32_t attempt);
    [[nodiscard]] backend::cancel_token make_cancel(std::uint32_t attempt) const;
    void note_progress(std::uint32_t attempt, std::uint64_t tokens);
    void report(std::uint32_t attempt, const backend::attempt_outcome& o, base::duration service_time);
    void record_end(base::result_code code, base::run_state state);

    service_runtime::impl& owner_;
    const front::call& call_;
    front::responder& out_;
    const front::caller_monitor& caller_;
    std::shared_ptr<const document::lookup> document_;
    const document::service_class* class_ = nullptr;
    const document::route* route_ = nullptr;
    mailbox box_;
    once_guard once_;
    answer_timing timing_;
    std::optional<backend::stream_end> stream_end_;
    std::optional<backend::token_usage> usage_;
    base::backend_server_id server_;
    std::uint32_t attempts_ = 0;
    bool caller_gone_ = false;
};

}  // namespace chicorygap::gateway
