/// @file
/// Service-time model of a backend server with continuous batching.
#pragma once

#include "replay/trace.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace chicorygap::replay {

/// One attempt on a server.
struct engine_run {
    std::uint64_t attempt = 0;  // key of the simulation
    std::size_t service_class = 0;
    /// Smaller is served first; equal ones in order of arrival.
    int priority = 0;
    double prefill_left = 0;  // prompt tokens, and tokens to continue behind, not yet processed
    double output_left = 0;
    double generated = 0;
};

/// Backend server that runs up to `slots` requests in one batch; further ones wait by priority.
///
/// Prompts are processed by priority at a fixed rate and slow the running streams down; each step
/// of the batch takes a constant and a part per request, so streams slow down as the batch grows.
class engine {
public:
    explicit engine(trace_server s) : server_{std::move(s)} {}

    /// Advances by `dt` seconds.
    /// @return attempts that ended in this step.
    std::vector<std::uint64_t> advance(double dt);
    void add(engine_run r);
    void remove(std::uint64_t attempt);
    /// @return run of an attempt, or null when it is waiting or unknown.
    [[nodiscard]] const engine_run* find(std::uint64_t attempt) const;
    /// Ends everything, as a crash does.
    void clear();

    [[nodiscard]] const trace_server& server() const { return server_; }
    [[nodiscard]] const std::vector<engine_run>& running() const { return running_; }
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }
    /// @return work done for a class in output tokens; a prompt token counts `prompt_cost`.
    [[nodiscard]] double work_of(std::size_t service_class) const;

    double slow_factor = 1;  // below 1 while a fault slows the server
    bool alive = true;
    bool present = true;  // false after the VM has left
    bool leaving = false;

    static constexpr double prompt_cost = 0.05;
    static constexpr double prefill_rate = 8000;  // prompt tokens per second

private:
    [[nodiscard]] double tokens_per_second() const;
    void add_work(std::size_t service_class, double tokens);

    trace_server server_;
    std::vector<engine_run> running_;
    std::deque<engine_run> queue_;
    std::vector<double> work_;
};

}  // namespace chicorygap::replay
