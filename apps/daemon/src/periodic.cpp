#include "periodic.h"

#include "base/error.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace chicorygap::daemon_app {

periodic::periodic(std::string part, base::duration interval, std::function<void()> f)
    : part_{std::move(part)}, interval_{interval}, function_{std::move(f)}, thread_{[this] { run(); }} {}

periodic::~periodic() {
    {
        const std::lock_guard lock{mutex_};
        stopped_ = true;
    }
    stopped_changed_.notify_all();
    thread_.join();
}

void periodic::run() {
    int failures = 0;
    std::unique_lock lock{mutex_};
    while (!stopped_) {
        lock.unlock();
        failures = call() ? 0 : failures + 1;
        const auto pause = failures == 0 ? interval_ : pause_after_failure(failures);
        lock.lock();
        stopped_changed_.wait_for(lock, pause, [this] { return stopped_; });
    }
}

bool periodic::call() {
    try {
        function_();
        return true;
    } catch (const base::error& e) {
        base::log_line{base::log_level::warning, part_, "Periodic work failed."}
            .field("reason", e.what())
            .code(e.code());
    } catch (const std::exception& e) {
        base::log_line{base::log_level::error, part_, "Periodic work failed."}
            .field("reason", e.what())
            .code(base::result_code::internal);
    }
    return false;
}

base::duration periodic::pause_after_failure(int failures) {
    constexpr int most_doublings = 10;
    const auto pause =
        std::min(failure_interval_limit, interval_ * (1 << std::min(failures, most_doublings)));
    std::uniform_real_distribution<double> share{0.5, 1.0};
    return std::chrono::duration_cast<base::duration>(pause * share(random_));
}

}  // namespace chicorygap::daemon_app
