/// @file
/// Finds out which servers end, and tells the prompt guard which requests were there.
#pragma once

#include "base/time.h"
#include "catalog/backend_server.h"
#include "check_finding.h"
#include "server_check.h"
#include "suspect_attempt.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicorygap::crash_guard {
class prompt_guard;
}
namespace chicorygap::http {
class client_connection;
class connection_pool;
}  // namespace chicorygap::http
namespace chicorygap::net {
class loop;
}

namespace chicorygap::proxy {

/// What is done about servers that end while this daemon runs nothing there.
struct end_watch_hooks {
    /// @return true if the end of the server should be found even if no attempt on it has failed.
    std::function<bool(const catalog::backend_server&)> watched;
    /// A watched server has ended; another process may take its place under the same entry.
    std::function<void(const catalog::backend_server&)> ended;
};

/// Finds out which servers end, and tells the prompt guard which requests were there.
///
/// Concept: no single sign shows the end of a process on every network. A refused connect shows it, and so do
/// all connections of an instance that break together, an entry that is gone or renewed without having
/// drained. An error response and a time-out count if the server ends soon behind them. A server that drains
/// is expected to end. What is left open is passed on as such.
///
/// Usage: `attempt_broke` for an attempt whose connection broke, `attempt_timed_out` for one without an
/// answer, `error_received` for a complete error response, `set_servers` for each list.
class end_watch {
public:
    end_watch(net::loop& l, http::connection_pool& pool, crash_guard::prompt_guard& guard);
    end_watch(const end_watch&) = delete;
    end_watch& operator=(const end_watch&) = delete;

    void set_hooks(end_watch_hooks hooks) { hooks_ = std::move(hooks); }
    void set_servers(const std::vector<catalog::backend_server>& servers);

    /// @param done called once, not from within this call.
    void attempt_broke(const suspect_attempt& a, std::function<void()> done);
    /// The server sent nothing in time; its host may be gone.
    void attempt_timed_out(const suspect_attempt& a);
    /// The server may end behind its error response.
    void error_received(const suspect_attempt& a);

private:
    /// What the server list says of an instance.
    enum class listing : std::uint8_t { listed, leaving, gone };
    /// Attempt that failed while its server lived, and that counts if the server ends before `until`.
    struct failed_attempt {
        suspect_attempt attempt;
        base::time_point at;
        base::time_point until;
    };

    [[nodiscard]] listing listing_of(const catalog::backend_server& s) const;
    [[nodiscard]] static std::string_view to_string(listing l) noexcept;
    /// @return other connections that can tell whether the process lives.
    [[nodiscard]] std::vector<std::shared_ptr<http::client_connection>> witnesses(
        const std::string& instance) const;
    void record(const suspect_attempt& a, const check_finding& f);
    void remember(const suspect_attempt& a, base::duration lifetime);
    /// Records the failed attempts on an instance that has ended.
    void record_failures(const std::string& instance, const check_finding& f);
    void idle_connection_ended(const std::string& instance);
    /// @return the listed server that the hooks watch, or null.
    [[nodiscard]] const catalog::backend_server* watched(const std::string& instance) const;
    void forget_old_failures();

    net::loop& loop_;
    http::connection_pool& pool_;
    crash_guard::prompt_guard& guard_;
    server_check check_;
    end_watch_hooks hooks_;
    std::unordered_map<std::string, catalog::backend_server> listed_;  ///< by instance
    /// Instances that drained, and when they were last listed.
    std::map<std::string, base::time_point> drained_;
    std::map<std::string, std::vector<failed_attempt>> failures_;  ///< by instance
};

}  // namespace chicorygap::proxy
