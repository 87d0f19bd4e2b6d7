#include "event_loop.h"

#include <utility>

namespace chicorygap::peer {

event_loop::event_loop() : thread_{[this] { run(); }} {}

event_loop::~event_loop() {
    if (thread_.joinable()) {
        stop([](kj::AsyncIoContext&) {});
    }
}

void event_loop::post(work w) {
    const std::lock_guard lock{mutex_};
    if (stopping_) {
        return;
    }
    queue_.push_back(std::move(w));
    if (waker_.get() != nullptr) {
        waker_->fulfill();
        waker_ = nullptr;
    }
}

void event_loop::stop(work last) {
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
        last_ = std::move(last);
        if (waker_.get() != nullptr) {
            waker_->fulfill();
            waker_ = nullptr;
        }
    }
    thread_.join();
}

void event_loop::run() {
    auto io = kj::setupAsyncIo();
    while (true) {
        kj::Promise<void> wake = nullptr;
        for (auto& w : take(wake)) {
            w(io);
        }
        {
            const std::lock_guard lock{mutex_};
            if (stopping_ && queue_.empty()) {
                break;
            }
        }
        wake.wait(io.waitScope);
    }
    last_(io);
}

std::vector<event_loop::work> event_loop::take(kj::Promise<void>& wake) {
    const std::lock_guard lock{mutex_};
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    wake = kj::mv(pair.promise);
    waker_ = kj::mv(pair.fulfiller);
    return std::exchange(queue_, {});
}

}  // namespace chicorygap::peer
