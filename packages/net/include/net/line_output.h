/// @file
/// Lines to a file descriptor that never block the loop.
#pragma once

#include "net/loop.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace chicorygap::net {

/// Writes lines to a file descriptor without ever waiting for its reader.
///
/// Concept: lines that the descriptor does not take are kept up to a limit and written later; beyond it whole
/// lines are dropped and counted, and a line tells how many once there is room again.
class line_output {
public:
    /// @param fd descriptor, which is made non-blocking; it stays open.
    /// @param limit bytes that are kept.
    line_output(loop& l, int fd, std::size_t limit);
    ~line_output();
    line_output(const line_output&) = delete;
    line_output& operator=(const line_output&) = delete;

    /// @param line a whole line with its newline.
    void write(std::string_view line);

    /// @return lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

private:
    void flush();

    loop& loop_;
    int fd_;
    std::size_t limit_;
    std::string kept_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
    timer_id timer_ = timer_id::none;
};

}  // namespace chicorygap::net
