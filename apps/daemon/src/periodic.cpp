#include "periodic.h"

#include "base/error.h"
#include "base/log.h"

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
    std::unique_lock lock{mutex_};
    while (!stopped_) {
        lock.unlock();
        try {
            function_();
        } catch (const base::error& e) {
            base::log_line{base::log_level::warning, part_, "Periodic work failed."}
                .field("reason", e.what())
                .code(e.code());
        } catch (const std::exception& e) {
            base::log_line{base::log_level::error, part_, "Periodic work failed."}
                .field("reason", e.what())
                .code(base::result_code::internal);
        }
        lock.lock();
        stopped_changed_.wait_for(lock, interval_, [this] { return stopped_; });
    }
}

}  // namespace chicorygap::daemon_app
