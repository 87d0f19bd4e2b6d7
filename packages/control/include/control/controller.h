/// @file
/// Thread of a daemon's roles.
#pragma once

#include "base/time.h"
#include "control/role_runner.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace chicorygap::control {

/// Runs roles on one thread.
///
/// Usage: `add` each role, `start`, and `post` functions that use a role. Hooks of the roles are called on
/// the thread too; they must not block. `stop` hands the roles over and ends the thread.
class controller {
public:
    /// Interval of the ticks; a tenth of the shortest time that the roles act on.
    static constexpr base::duration default_tick_interval = std::chrono::milliseconds{100};
    /// Longest wait for handovers in `stop`; a lease that was not handed over expires by itself.
    static constexpr base::duration default_release_limit = std::chrono::seconds{3};

    explicit controller(base::now_function now, base::duration tick_interval = default_tick_interval);
    ~controller();

    controller(const controller&) = delete;
    controller& operator=(const controller&) = delete;
    controller(controller&&) = delete;
    controller& operator=(controller&&) = delete;

    /// Adds a role before `start`.
    /// @return the role, to be used only in posted functions.
    template <typename Role>
    Role& add(std::unique_ptr<Role> role) {
        auto& r = *role;
        roles_.push_back(std::move(role));
        return r;
    }

    void start();

    /// Runs `f` on the thread. Has no effect after `stop`.
    void post(std::function<void()> f);

    /// Hands all roles over and ends the thread.
    void stop(base::duration release_limit = default_release_limit);

    /// One pass over the posted functions and all roles; `start` repeats it, tests call it without `start`.
    void run_once();

private:
    void loop();
    void run_posted();
    void hand_over(base::duration limit);
    [[nodiscard]] bool any_held() const;

    base::now_function now_;
    base::duration tick_interval_;
    std::vector<std::unique_ptr<role_runner>> roles_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::function<void()>> posted_;
    bool stopping_ = false;
    base::duration release_limit_ = default_release_limit;
    std::thread thread_;
};

}  // namespace chicorygap::control
