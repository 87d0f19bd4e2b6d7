#include "peer_traffic.h"

#include "base/log.h"

#include <chrono>

namespace chicorygap::daemon_app {

namespace {

using namespace std::chrono_literals;

constexpr base::duration log_interval = 5s;
constexpr std::array<const char*, 5> purpose_names{"loads", "digest", "forwarded", "news", "other"};

}  // namespace

void peer_traffic::for_each(const std::function<void(const char*, std::uint64_t)>& f) const {
    for (std::size_t i = 0; i < purpose_count; ++i) {
        f(purpose_names.at(i), sent_.at(i));
    }
}

void peer_traffic::log_if_due(base::time_point now) {
    if (logged_at_ == base::time_point{}) {
        logged_at_ = now;
    }
    if (now - logged_at_ < log_interval) {
        return;
    }
    base::log_line line{base::log_level::info, "fleet", "Bytes sent to peers."};
    line.field("ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - logged_at_).count());
    for (std::size_t i = 0; i < purpose_count; ++i) {
        line.field(purpose_names.at(i), static_cast<long long>(sent_.at(i) - logged_.at(i)));
    }
    logged_ = sent_;
    logged_at_ = now;
}

}  // namespace chicorygap::daemon_app
