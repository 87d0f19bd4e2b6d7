#include "net/line_output.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace chicorygap::net {

namespace {

using namespace std::chrono_literals;

/// Time until kept lines are offered again; a reader that lags catches up within seconds.
constexpr base::duration retry_time = 50ms;

}  // namespace

line_output::line_output(loop& l, int fd, std::size_t limit) : loop_{l}, fd_{fd}, limit_{limit} {
    const int flags = ::fcntl(fd_, F_GETFL);
    if (flags >= 0) {
        ::fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
    }
}

line_output::~line_output() {
    loop_.cancel(timer_);
    flush();
    loop_.cancel(timer_);
}

void line_output::write(std::string_view line) {
    if (kept_.size() + line.size() > limit_) {
        ++dropped_;
        return;
    }
    kept_.append(line);
    if (timer_ == timer_id::none) {
        flush();
    }
}

void line_output::flush() {
    while (!kept_.empty()) {
        const auto n = ::write(fd_, kept_.data(), kept_.size());
        if (n > 0) {
            kept_.erase(0, static_cast<std::size_t>(n));
        } else if (n < 0 && errno == EINTR) {
            continue;
        } else if (n < 0 && errno == EAGAIN) {
            timer_ = loop_.after(retry_time, [this] {
                timer_ = timer_id::none;
                flush();
            });
            return;
        } else {
            kept_.clear();  // nobody reads any more
            return;
        }
    }
    if (dropped_ != reported_) {
        kept_ = "[net] Log lines dropped. count=" + std::to_string(dropped_ - reported_) + '\n';
        reported_ = dropped_;
        flush();
    }
}

}  // namespace chicorygap::net
