/// @file
/// Promises that the soak checks.
#pragma once

#include "base/time.h"
#include "standin/caller.h"
#include "standin/execution_log.h"

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorygap::soak {

/// Kinds of requests that the callers send.
enum class request_kind { order, read, chat, draft };

/// A request as its caller knows it.
struct sent_request {
    request_kind kind = request_kind::order;
    std::string workspace;
    base::time_point at;
    /// Daemon, its links and the store were undisturbed from before the request until its end.
    bool undisturbed = false;
    /// The caller closed its connection itself.
    bool left = false;
};

/// Checks what callers and servers saw against the promises of the product's pages.
///
/// Usage: `note` for each outcome, `check_runs` once at the end; `broken` lists what was broken.
class promises {
public:
    explicit promises(const standin::execution_log& runs) : runs_{runs} {}

    void note(const sent_request& r, const standin::call_outcome& o);

    /// Checks that a server got no more requests than the limit that it named allows.
    /// @param arrivals times of all requests at the server.
    /// @param named_at first response with the limit.
    void check_limit(const std::string& server, const std::vector<base::time_point>& arrivals,
                     base::time_point named_at, double limit_per_s);

    /// Checks what can be known only when nothing runs any more.
    void check_runs();

    /// Adds a finding of the scenario.
    void report(const std::string& what) { broken_.push_back(what); }

    [[nodiscard]] const std::vector<std::string>& broken() const noexcept { return broken_; }
    /// @return number of outcomes by status; 0 counts answers that were broken off or missing.
    [[nodiscard]] const std::map<int, std::size_t>& outcomes() const noexcept { return outcomes_; }

private:
    void check_answer(const sent_request& r, const standin::call_outcome& o);
    void check_stream(const standin::call_outcome& o);

    struct ended_request {
        sent_request request;
        bool refused = false;  ///< told that it has not run
    };

    const standin::execution_log& runs_;
    std::unordered_map<std::string, ended_request> ended_;
    std::map<int, std::size_t> outcomes_;
    std::vector<std::string> broken_;
};

}  // namespace chicorygap::soak
