/// @file
/// Runs platform calls of decision code on worker threads.
#pragma once

#include "base/result_code.h"
#include "platform/billing_service.h"
#include "platform/object_store.h"
#include "platform/order_service.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chicorygap::platform {

struct read_call {
    std::string key;
};
struct put_call {
    std::string key;
    std::string value;
    std::uint64_t expected = 0;
};
struct remove_call {
    std::string key;
    std::uint64_t expected = 0;
};
struct list_call {
    std::string prefix;
};
struct order_call {
    platform::order order;
    send_guard may_send;
};
struct usage_call {
    usage_report report;
    send_guard may_send;
};

using call = std::variant<read_call, put_call, remove_call, list_call, order_call, usage_call>;

/// A call that threw `base::error`.
struct call_failure {
    base::result_code code = base::result_code::platform_unavailable;
    std::string reason;
};

using call_result = std::variant<std::optional<object>, put_result, std::vector<object>, order_reply,
                                 usage_reply, call_failure>;

/// Receives the result of the call with this correlation number, on a worker thread.
using call_sink = std::function<void(std::uint64_t correlation, const call_result& result)>;

/// Worker threads that run calls with one timeout each. A full queue fails a call at once, so that an outage
/// of the platform uses bounded memory. The destructor drops queued calls and waits for running ones.
///
/// Usage: `executor e{objects, orders, billing, {}}; e.submit(7, read_call{"lease/x"}, sink);`
class executor {
public:
    struct options {
        std::size_t threads = 4;
        std::size_t queue_length = 1'000;
        base::duration timeout = std::chrono::seconds{2};
    };

    /// The interfaces must outlive the executor.
    executor(object_store& objects, order_service& orders, billing_service& billing, options o);
    ~executor();

    executor(const executor&) = delete;
    executor& operator=(const executor&) = delete;

    /// Queues a call. The sink receives `platform_unavailable` on the calling thread when the queue is full.
    void submit(std::uint64_t correlation, call c, call_sink sink);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace chicorygap::platform
