#include "event_loop.h"

#include "base/error.h"

#include <kj/exception.h>

#include <cstdint>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace chicorygap::peer {

namespace {

// KJ adds a stack trace to the text of exceptions by starting addr2line. A daemon must start no process.
class no_stack_traces : public kj::ExceptionCallback {
public:
    StackTraceMode stackTraceMode() override {  // NOLINT(readability-identifier-naming)
        return StackTraceMode::NONE;
    }
};

}  // namespace

event_loop::event_loop() : wake_fd_{eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)} {
    if (wake_fd_ < 0) {
        throw base::error{base::result_code::internal, "eventfd failed"};
    }
    thread_ = std::thread{[this] { run(); }};
}

event_loop::~event_loop() {
    if (thread_.joinable()) {
        stop([](kj::AsyncIoContext&) {});
    }
    close(wake_fd_);
}

void event_loop::post(work w) {
    const std::lock_guard lock{mutex_};
    if (!stopping_) {
        queue_.push_back(std::move(w));
        wake();
    }
}

void event_loop::stop(work last) {
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
        last_ = std::move(last);
        wake();
    }
    thread_.join();
}

void event_loop::run() {
    const no_stack_traces quiet;
    auto io = kj::setupAsyncIo();
    using provider = kj::LowLevelAsyncIoProvider;
    auto input =
        io.lowLevelProvider->wrapInputFd(wake_fd_, provider::ALREADY_CLOEXEC | provider::ALREADY_NONBLOCK);
    bool stopping = false;
    while (!stopping) {
        std::uint64_t count = 0;
        input->read(&count, sizeof count).wait(io.waitScope);
        for (auto& w : take(stopping)) {
            w(io);
        }
    }
    last_(io);
}

std::vector<event_loop::work> event_loop::take(bool& stopping) {
    const std::lock_guard lock{mutex_};
    stopping = stopping_;
    return std::exchange(queue_, {});
}

void event_loop::wake() const {
    const std::uint64_t one = 1;
    // Fails only if the counter is full, and then the loop is awake anyway.
    [[maybe_unused]] const auto n = write(wake_fd_, &one, sizeof one);
}

}  // namespace chicorygap::peer
