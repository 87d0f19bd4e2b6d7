#include "invalid_report_log.h"

#include "base/log.h"

#include <chrono>

namespace chicorygap::proxy {

namespace {

constexpr base::duration log_interval = std::chrono::seconds{10};

}  // namespace

void invalid_report_log::invalid(const base::backend_server_id& server, base::time_point now) {
    ++count_;
    if (logged_at_ && now - *logged_at_ < log_interval) {
        return;
    }
    base::log_line{base::log_level::warning, "proxy", "Load report of a server ignored; it is not valid."}
        .field("server", server.str())
        .field("reports", static_cast<long long>(count_ - logged_count_));
    logged_at_ = now;
    logged_count_ = count_;
}

}  // namespace chicorygap::proxy
