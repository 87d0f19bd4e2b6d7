/// @file
/// What the stand-in has received and executed, and the faults it still has to apply.
#pragma once

#include "standin_backend/server.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::standin_backend {

/// An accepted order.
struct order_entry {
    std::string id;
    std::string body;
    std::uint64_t fencing_token = 0;
};

/// Safe for use by many threads.
class journal {
public:
    void add(received_request r);
    [[nodiscard]] std::vector<received_request> received() const;
    [[nodiscard]] bool wait_for_received(std::size_t n, base::duration limit) const;

    /// Counts an execution. @return how often the key has been executed, with this one.
    std::uint64_t count_run(const std::string& key);
    [[nodiscard]] std::map<std::string, std::uint64_t> runs() const;

    /// Accepts an order; a repeated id is accepted without a second effect.
    /// @return false if the token is lower than the highest one seen and `check` is set.
    bool accept(const order_entry& o, bool check);
    [[nodiscard]] std::vector<order_entry> orders() const;

    void inject(const fault& f);
    /// @return the next fault for the path; consumes one of its count.
    std::optional<fault> take_fault(const std::string& path);
    /// @return true while the server plays a restart.
    [[nodiscard]] bool down() const;

private:
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::deque<received_request> received_;
    std::size_t received_total_ = 0;
    std::map<std::string, std::uint64_t> runs_;
    std::vector<order_entry> orders_;
    std::uint64_t highest_token_ = 0;
    std::vector<fault> faults_;
    base::time_point down_until_;
};

}  // namespace chicorygap::standin_backend
