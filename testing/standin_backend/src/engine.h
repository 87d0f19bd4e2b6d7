/// @file
/// Service model: continuous batching with priorities.
#pragma once

#include "base/time.h"
#include "standin_backend/options.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace chicorygap::standin_backend {

/// One chat request inside the engine.
class job {
public:
    explicit job(int priority) : priority_{priority} {}

    /// Waits for the time. @return false if the job was stopped.
    bool wait_until(base::time_point t);
    /// Waits without limit. @return false, when the job was stopped.
    bool wait_forever();
    void stop();
    [[nodiscard]] int priority() const { return priority_; }

private:
    friend class engine;

    int priority_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopped_ = false;
    bool running_ = false;
};

/// Figures of GET /load.
struct load_report {
    std::size_t running = 0;
    std::size_t queued = 0;
    base::duration age{};
};

/// One change of the prefix cache.
struct cache_event {
    std::uint64_t sequence = 0;
    bool stored = false;
    std::string prefix;
    base::time_point at;
};

/// Batch slots, queue and prefix cache. Safe for use by many threads.
class engine {
public:
    explicit engine(const options& o) : options_{o} {}

    /// Queues a job and waits for a slot.
    /// @return false if the job was stopped while waiting.
    bool enter(const std::string& id, const std::shared_ptr<job>& j);
    /// Removes a job.
    void leave(const std::string& id, const std::shared_ptr<job>& j);
    /// @return false when the queue is full.
    [[nodiscard]] bool has_room() const;

    /// @return time to the first token; records the prefix in the cache.
    base::duration first_token(std::uint64_t prompt_tokens, const std::string& prompt);
    /// @return the current time per token.
    [[nodiscard]] base::duration token_time() const;

    /// @return true if a job with the id was stopped.
    bool cancel(const std::string& id);
    void stop_all();
    /// Stops all jobs and every later one.
    void close();

    [[nodiscard]] load_report load(base::time_point now) const;
    /// @return events with a higher sequence number that are old enough to be reported.
    [[nodiscard]] std::vector<cache_event> events(std::uint64_t after, base::time_point now) const;
    [[nodiscard]] std::vector<std::string> cancelled() const;
    [[nodiscard]] bool wait_for_jobs(std::size_t n, base::duration limit) const;

private:
    struct sample {
        base::time_point at;
        std::size_t running = 0;
        std::size_t queued = 0;
    };

    void start_waiting();
    void record();
    bool remember(const std::string& prefix);
    void publish(bool stored, const std::string& prefix);

    const options& options_;
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::multimap<std::string, std::shared_ptr<job>> jobs_;
    std::list<std::shared_ptr<job>> waiting_;
    std::size_t running_ = 0;
    std::deque<sample> samples_;
    std::list<std::string> prefixes_;
    std::deque<cache_event> events_;
    std::uint64_t next_sequence_ = 1;
    std::vector<std::string> cancelled_;
    bool closed_ = false;
};

}  // namespace chicorygap::standin_backend
