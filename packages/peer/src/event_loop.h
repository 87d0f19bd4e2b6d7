/// @file
/// Thread that runs a KJ event loop.
#pragma once

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace chicorygap::peer {

/// KJ objects belong to one thread. Other threads hand work over with `post` and never wait for the loop,
/// because a handler on the loop may be waiting for a mutex that they hold.
class event_loop {
public:
    event_loop();
    ~event_loop();

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    using work = std::function<void(kj::AsyncIoContext&)>;

    /// Runs `w` on the loop's thread, in the order of the calls. Work posted after `stop` is dropped.
    void post(work w);
    /// Runs the posted work, then `last`, and ends the thread.
    void stop(work last);

private:
    void run();
    std::vector<work> take(kj::Promise<void>& wake);

    std::mutex mutex_;
    std::vector<work> queue_;
    work last_;
    bool stopping_ = false;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> waker_;
    std::thread thread_;
};

}  // namespace chicorygap::peer
