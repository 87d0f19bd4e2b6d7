#include "engine.h"

#include <algorithm>
#include <chrono>

namespace chicorygap::standin_backend {

namespace {

constexpr std::size_t max_events = 10'000;
constexpr std::size_t max_samples = 10'000;
/// Part of the prefill time that a cached prefix still takes.
constexpr int cached_divisor = 10;
/// Bytes of the prompt that identify its prefix.
constexpr std::size_t prefix_bytes = 256;

}  // namespace

bool job::wait_until(base::time_point t) {
    std::unique_lock lock{mutex_};
    while (!stopped_) {
        const auto left = t - base::boot_clock::now();
        if (left <= base::duration::zero()) {
            return true;
        }
        changed_.wait_for(lock, left);
    }
    return false;
}

bool job::wait_forever() {
    std::unique_lock lock{mutex_};
    changed_.wait(lock, [this] { return stopped_; });
    return false;
}

void job::stop() {
    {
        const std::scoped_lock lock{mutex_};
        stopped_ = true;
    }
    changed_.notify_all();
}

bool engine::enter(const std::string& id, const std::shared_ptr<job>& j) {
    {
        const std::scoped_lock lock{mutex_};
        jobs_.emplace(id, j);
        if (closed_) {
            j->stop();
        }
        const auto behind = std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& other) {
            return other->priority() > j->priority();
        });
        waiting_.insert(behind, j);
        start_waiting();
        record();
    }
    changed_.notify_all();
    std::unique_lock lock{j->mutex_};
    j->changed_.wait(lock, [&] { return j->running_ || j->stopped_; });
    return !j->stopped_;
}

void engine::leave(const std::string& id, const std::shared_ptr<job>& j) {
    {
        const std::scoped_lock lock{mutex_};
        const auto [first, last] = jobs_.equal_range(id);
        const auto it = std::find_if(first, last, [&](const auto& e) { return e.second == j; });
        if (it != last) {
            jobs_.erase(it);
        }
        if (std::erase(waiting_, j) == 0) {
            --running_;
        }
        start_waiting();
        record();
    }
    changed_.notify_all();
}

void engine::start_waiting() {
    while (running_ < options_.slots && !waiting_.empty()) {
        const auto j = waiting_.front();
        waiting_.pop_front();
        ++running_;
        {
            const std::scoped_lock lock{j->mutex_};
            j->running_ = true;
        }
        j->changed_.notify_all();
    }
}

bool engine::has_room() const {
    const std::scoped_lock lock{mutex_};
    return running_ < options_.slots || waiting_.size() < options_.queue;
}

base::duration engine::first_token(std::uint64_t prompt_tokens, const std::string& prompt) {
    const std::scoped_lock lock{mutex_};
    auto prefill = options_.prefill_per_token * static_cast<std::int64_t>(prompt_tokens);
    if (remember(prompt.substr(0, prefix_bytes))) {
        prefill /= cached_divisor;
    }
    return options_.first_token + prefill;
}

base::duration engine::token_time() const {
    const std::scoped_lock lock{mutex_};
    const double others = running_ > 0 ? static_cast<double>(running_ - 1) : 0;
    const double growth = options_.load_factor * others / static_cast<double>(options_.slots);
    return std::chrono::duration_cast<base::duration>(options_.token_time * (1 + growth));
}

bool engine::cancel(const std::string& id) {
    const std::scoped_lock lock{mutex_};
    const auto [first, last] = jobs_.equal_range(id);
    if (first == last) {
        return false;
    }
    std::for_each(first, last, [](const auto& e) { e.second->stop(); });
    cancelled_.push_back(id);
    return true;
}

void engine::stop_all() {
    const std::scoped_lock lock{mutex_};
    for (const auto& [id, j] : jobs_) {
        j->stop();
    }
}

void engine::close() {
    {
        const std::scoped_lock lock{mutex_};
        closed_ = true;
    }
    stop_all();
}

load_report engine::load(base::time_point now) const {
    const std::scoped_lock lock{mutex_};
    const auto reported = now - options_.report_lag;
    const auto it =
        std::find_if(samples_.rbegin(), samples_.rend(), [&](const auto& s) { return s.at <= reported; });
    if (it == samples_.rend()) {
        return {0, 0, options_.report_lag};
    }
    return {it->running, it->queued, options_.report_lag};
}

std::vector<cache_event> engine::events(std::uint64_t after, base::time_point now) const {
    const std::scoped_lock lock{mutex_};
    std::vector<cache_event> out;
    std::copy_if(events_.begin(), events_.end(), std::back_inserter(out),
                 [&](const auto& e) { return e.sequence > after && e.at + options_.report_lag <= now; });
    return out;
}

std::vector<std::string> engine::cancelled() const {
    const std::scoped_lock lock{mutex_};
    return cancelled_;
}

bool engine::wait_for_jobs(std::size_t n, base::duration limit) const {
    std::unique_lock lock{mutex_};
    return changed_.wait_for(lock, limit, [&] { return jobs_.size() == n; });
}

void engine::record() {
    samples_.push_back({base::boot_clock::now(), running_, waiting_.size()});
    if (samples_.size() > max_samples) {
        samples_.pop_front();
    }
}

bool engine::remember(const std::string& prefix) {
    const auto it = std::find(prefixes_.begin(), prefixes_.end(), prefix);
    if (it != prefixes_.end()) {
        prefixes_.splice(prefixes_.end(), prefixes_, it);
        return true;
    }
    if (options_.cached_prefixes == 0) {
        return false;
    }
    if (prefixes_.size() >= options_.cached_prefixes) {
        publish(false, prefixes_.front());
        prefixes_.pop_front();
    }
    prefixes_.push_back(prefix);
    publish(true, prefix);
    return false;
}

void engine::publish(bool stored, const std::string& prefix) {
    const auto sequence = next_sequence_++;
    if (options_.cache_event_gap > 0 && sequence % options_.cache_event_gap == 0) {
        return;
    }
    events_.push_back({sequence, stored, prefix, base::boot_clock::now()});
    if (events_.size() > max_events) {
        events_.pop_front();
    }
}

}  // namespace chicorygap::standin_backend
