/// @file
/// Counts calls to the platform for the budget of calls per second.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chicorygap::ports {

/// Kinds of calls; `count` is their number.
enum class call_kind : std::size_t { read, write, watch, list, vm_list, server_list, order, usage, count };

/// @return the kind's name, for example "read".
std::string_view to_string(call_kind k) noexcept;

/// Calls by kind since the start of the process. Safe for use by several threads.
class call_counter {
public:
    void record(call_kind k) noexcept { calls_[index(k)].fetch_add(1, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t calls(call_kind k) const noexcept {
        return calls_[index(k)].load(std::memory_order_relaxed);
    }

private:
    static std::size_t index(call_kind k) noexcept { return static_cast<std::size_t>(k); }

    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(call_kind::count)> calls_{};
};

}  // namespace chicorygap::ports
