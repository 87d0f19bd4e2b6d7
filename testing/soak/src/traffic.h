/// @file
/// Callers of one soak run.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "net/loop.h"
#include "promises.h"
#include "standin/caller.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chicorygap::soak {

class site;

/// Callers that send one request after the other, each to one daemon, and go on using open connections.
class traffic {
public:
    traffic(net::loop& l, site& s, promises& p, base::random_function random, std::size_t callers);
    ~traffic();
    traffic(const traffic&) = delete;
    traffic& operator=(const traffic&) = delete;

    void start();
    /// No further requests are sent.
    void stop() { stopped_ = true; }
    [[nodiscard]] bool idle() const;

    /// Answered and sent requests since the last call.
    struct share {
        std::size_t sent = 0;
        std::size_t served = 0;
    };
    share take_share();

private:
    struct slot {
        std::shared_ptr<standin::caller> caller;
        std::size_t daemon = 0;
        net::timer_id timer = net::timer_id::none;
        bool left = false;
    };

    void next(std::size_t index);
    void ended(std::size_t index, const sent_request& r, const standin::call_outcome& o);
    [[nodiscard]] bool undisturbed(std::size_t daemon, base::time_point since) const;
    [[nodiscard]] bool chance(std::uint64_t one_in) { return random_() % one_in == 0; }

    net::loop& loop_;
    site& site_;
    promises& promises_;
    base::random_function random_;
    std::vector<slot> slots_;
    std::uint64_t next_id_ = 0;
    share share_;
    bool stopped_ = false;
};

}  // namespace chicorygap::soak
