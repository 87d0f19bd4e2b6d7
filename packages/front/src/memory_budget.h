/// @file
/// Bound on the memory of all request bodies together.
#pragma once

#include <atomic>
#include <cstddef>

namespace chicorygap::front {

/// Counts bytes reserved by all connections. Safe for use by many threads.
class memory_budget {
public:
    explicit memory_budget(std::size_t limit) : limit_{limit} {}

    [[nodiscard]] bool reserve(std::size_t n) {
        if (used_.fetch_add(n) + n <= limit_) {
            return true;
        }
        used_.fetch_sub(n);
        return false;
    }
    void release(std::size_t n) { used_.fetch_sub(n); }
    [[nodiscard]] std::size_t used() const { return used_.load(); }

private:
    std::size_t limit_;
    std::atomic<std::size_t> used_{0};
};

/// Bytes reserved by one request, returned on destruction.
class reservation {
public:
    explicit reservation(memory_budget& budget) : budget_{budget} {}
    ~reservation() { budget_.release(held_); }
    reservation(const reservation&) = delete;
    reservation& operator=(const reservation&) = delete;

    /// @return false if the budget does not allow `total` bytes.
    [[nodiscard]] bool grow_to(std::size_t total) {
        if (total <= held_) {
            return true;
        }
        if (!budget_.reserve(total - held_)) {
            return false;
        }
        held_ = total;
        return true;
    }

private:
    memory_budget& budget_;
    std::size_t held_ = 0;
};

}  // namespace chicorygap::front
