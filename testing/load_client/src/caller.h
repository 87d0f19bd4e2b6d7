/// @file
/// Sends requests as an ordinary client library would.
#pragma once

#include "mix.h"

#include <string>
#include <vector>

namespace chicorygap::load_client {

/// What a caller knows about one request in the end.
enum class verdict {
    answered,  ///< whole answer
    refused,   ///< explicit refusal with a run state
    cut,       ///< the connection ended without an answer or an explicit error
    wrong,     ///< an answer that is not the request's own or not whole, though it looked complete
};

/// Outcome of one request over all its tries.
struct outcome {
    verdict result = verdict::cut;
    /// From the last problem details.
    int code = 0;
    std::string run_state;
    int tries = 0;
    std::string detail;
};

/// A caller that repeats a request through another daemon when the connection fails.
class caller {
public:
    /// @param daemons addresses, `host:port`.
    /// @param first index of the daemon that is tried first.
    caller(const std::vector<std::string>& daemons, std::size_t first) : daemons_{daemons}, next_{first} {}

    outcome send(const planned_request& r);

private:
    outcome send_once(const planned_request& r, const std::string& daemon);

    const std::vector<std::string>& daemons_;
    std::size_t next_;
};

}  // namespace chicorygap::load_client
