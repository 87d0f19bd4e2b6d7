/// @file
/// Faults to inject into coming requests.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::standin_platform {

/// - refuse: status 503 without effect
/// - delay: takes effect and is answered after `delay`
/// - drop_reply: takes effect, then the connection closes without a reply
/// - silent: no effect and no reply; the connection stays open for `delay`
/// - restart: pending watches end and connections close without a reply for `delay`; objects are kept
enum class fault_kind { refuse, delay, drop_reply, silent, restart };

struct fault {
    fault_kind kind = fault_kind::refuse;
    std::string path;         ///< prefix of the paths concerned; empty for all.
    std::string method;       ///< empty for all.
    std::uint64_t count = 1;  ///< requests still to be hit; 0 for all until cleared.
    base::duration delay{};
};

/// @return the kind, or nothing for an unknown name.
std::optional<fault_kind> parse_fault_kind(const std::string& name);

/// Ordered list of faults; a request takes the first that concerns it.
class fault_plan {
public:
    void add(const fault& f);
    void clear();
    /// @return the fault that hits this request, counted down.
    std::optional<fault> take(const std::string& method, const std::string& path);

private:
    std::mutex mutex_;
    std::vector<fault> faults_;
};

}  // namespace chicorygap::standin_platform
