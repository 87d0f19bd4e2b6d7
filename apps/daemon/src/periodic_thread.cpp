#include "periodic_thread.h"

#include "base/error.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace chicorygap::daemon_app {

periodic_thread::periodic_thread(std::string log_component, base::duration interval, std::function<void()> f)
    : log_component_{std::move(log_component)}, interval_{interval}, function_{std::move(f)}, thread_{[this] {
          run();
      }} {}

periodic_thread::~periodic_thread() {
    {
        const std::lock_guard lock{mutex_};
        stopped_ = true;
    }
    stop_requested_.notify_all();
    thread_.join();
}

void periodic_thread::run() {
    int failures = 0;
    std::unique_lock lock{mutex_};
    while (!stopped_) {
        lock.unlock();
        failures = call() ? 0 : failures + 1;
        const auto delay = failures == 0 ? interval_ : failure_delay(failures);
        lock.lock();
        stop_requested_.wait_for(lock, delay, [this] { return stopped_; });
    }
}

bool periodic_thread::call() {
    try {
        function_();
        return true;
    } catch (const base::error& e) {
        base::log_line{base::log_level::warning, log_component_, "Periodic task failed."}
            .field("reason", e.what())
            .code(e.code());
    } catch (const std::exception& e) {
        base::log_line{base::log_level::error, log_component_, "Periodic task failed."}
            .field("reason", e.what())
            .code(base::result_code::internal);
    }
    return false;
}

base::duration periodic_thread::failure_delay(int failures) {
    constexpr int max_doublings = 10;
    const auto delay = std::min(max_failure_delay, interval_ * (1 << std::min(failures, max_doublings)));
    std::uniform_real_distribution<double> jitter{0.5, 1.0};
    return std::chrono::duration_cast<base::duration>(delay * jitter(random_engine_));
}

}  // namespace chicorygap::daemon_app
