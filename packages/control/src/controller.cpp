#include "control/controller.h"

#include <algorithm>
#include <utility>

namespace chicorygap::control {

controller::controller(base::now_function now, base::duration tick_interval)
    : now_{std::move(now)}, tick_interval_{tick_interval} {}

controller::~controller() {
    stop();
}

void controller::start() {
    thread_ = std::thread{[this] { loop(); }};
}

void controller::post(std::function<void()> f) {
    {
        const std::lock_guard lock{mutex_};
        if (stopping_) {
            return;
        }
        posted_.push_back(std::move(f));
    }
    wake_.notify_one();
}

void controller::stop(base::duration release_limit) {
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
        release_limit_ = release_limit;
    }
    wake_.notify_one();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void controller::run_once() {
    run_posted();
    // All leases first: a role with much work must not let another one's lease expire.
    for (const auto& r : roles_) {
        r->tick_lease();
    }
    for (const auto& r : roles_) {
        r->tick_work();
    }
}

void controller::run_posted() {
    std::deque<std::function<void()>> posted;
    {
        const std::lock_guard lock{mutex_};
        posted.swap(posted_);
    }
    for (const auto& f : posted) {
        f();
    }
}

void controller::loop() {
    auto tick_at = now_();
    while (true) {
        {
            std::unique_lock lock{mutex_};
            const auto wait = std::max(base::duration{}, tick_at - now_());
            wake_.wait_for(lock, wait, [&] { return stopping_ || !posted_.empty(); });
            if (stopping_) {
                break;
            }
        }
        run_posted();
        if (now_() >= tick_at) {
            tick_at = now_() + tick_interval_;
            run_once();
        }
    }
    run_posted();
    hand_over(release_limit_);
}

void controller::hand_over(base::duration limit) {
    const auto give_up_at = now_() + limit;
    for (const auto& r : roles_) {
        r->release();
    }
    while (any_held() && now_() < give_up_at) {
        std::this_thread::sleep_for(tick_interval_);
        for (const auto& r : roles_) {
            r->tick_lease();
        }
    }
}

bool controller::any_held() const {
    return std::any_of(roles_.begin(), roles_.end(), [](const auto& r) { return r->lease().held(); });
}

}  // namespace chicorygap::control
