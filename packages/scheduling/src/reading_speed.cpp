#include "reading_speed.h"

#include <chrono>

namespace chicorygap::scheduling {

namespace {

/// Prompts up to this length take hardly longer to read than one step of the server.
constexpr std::int64_t short_tokens = 500;
/// Prompts shorter than this measure the network rather than the reading speed.
constexpr std::int64_t long_tokens = 1'500;
/// A shorter reading time than this is within the variation of a first token.
constexpr double least_reading_ms = 8;

}  // namespace

double reading_speed::observe(std::int64_t unread, base::duration taken) {
    const double ms = std::chrono::duration<double, std::milli>{taken}.count();
    if (unread < short_tokens) {
        first_token_ms_.add(ms);
        return 0;
    }
    const double reading_ms = ms - first_token_ms_.value();
    if (unread < long_tokens || reading_ms <= least_reading_ms) {
        return 0;
    }
    const double seen = static_cast<double>(unread) / reading_ms;
    tokens_per_ms_.add(seen);
    return seen;
}

}  // namespace chicorygap::scheduling
