/// @file
/// Times of an answer's tokens.
#pragma once

#include "base/time.h"
#include "document/service_document.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace chicorygap::gateway {

/// Measures time to first token and time between tokens as the caller sees them.
class answer_timing {
public:
    explicit answer_timing(base::time_point received) : received_{received} {}

    /// Records output that was passed to the caller.
    void add(std::uint64_t tokens, base::time_point now) {
        if (tokens_ == 0) {
            first_ = now;
        } else {
            longest_ = std::max(longest_, now - last_);
        }
        last_ = now;
        tokens_ += tokens;
    }

    [[nodiscard]] std::uint64_t tokens() const noexcept { return tokens_; }
    [[nodiscard]] base::duration longest_gap() const noexcept { return longest_; }
    [[nodiscard]] std::optional<base::duration> first_token() const {
        return tokens_ == 0 ? std::nullopt : std::optional{first_ - received_};
    }
    [[nodiscard]] base::duration mean_gap() const {
        return tokens_ < 2 ? base::duration{} : (last_ - first_) / static_cast<std::int64_t>(tokens_ - 1);
    }

    /// @return true when the targets of the class were met; the time between tokens counts by its mean.
    [[nodiscard]] bool meets(const document::service_class& c) const {
        const auto first = first_token();
        const bool prompt = first && *first <= c.first_token_target;
        return prompt && (!c.inter_token_target || mean_gap() <= *c.inter_token_target);
    }

private:
    base::time_point received_;
    base::time_point first_;
    base::time_point last_;
    base::duration longest_{};
    std::uint64_t tokens_ = 0;
};

}  // namespace chicorygap::gateway
