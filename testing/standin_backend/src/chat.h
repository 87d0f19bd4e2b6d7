/// @file
/// POST /v1/chat/completions of the stand-in.
#pragma once

#include "exchange.h"
#include "state.h"

#include <memory>
#include <optional>
#include <string>

namespace chicorygap::standin_backend {

/// Executes one chat completion.
class chat {
public:
    chat(state& s, exchange& e, std::optional<fault> f) : state_{s}, exchange_{e}, fault_{std::move(f)} {}

    void run();

private:
    struct prompt {
        std::string model;
        std::string text;
        std::uint64_t tokens = 0;
        std::uint64_t max_tokens = 0;
        bool stream = false;
        bool include_usage = false;
        bool stated_limit = false;
    };

    [[nodiscard]] prompt parse() const;
    void execute(const prompt& p);
    void stream(const prompt& p);
    void whole(const prompt& p);
    /// Produces tokens; returns false if the request ended early.
    template <typename Emit>
    bool produce(const prompt& p, const Emit& emit);
    bool before_token(std::uint64_t produced);
    [[nodiscard]] bool has(fault_kind k) const { return fault_ && fault_->kind == k; }
    [[nodiscard]] std::string chunk(const prompt& p, const std::string& delta,
                                    const std::string& finish) const;
    [[nodiscard]] std::string usage(const prompt& p) const;

    state& state_;
    exchange& exchange_;
    std::optional<fault> fault_;
    std::shared_ptr<job> job_;
    std::uint64_t first_ = 0;
};

}  // namespace chicorygap::standin_backend
