#include "replay/engine.h"

#include <algorithm>

namespace chicorygap::replay {

namespace {

// One step of a batch of n requests: 25 ms + 0.8 ms * n, so that 16 streams run at 26 tokens/s each.
constexpr double step_seconds = 0.025;
constexpr double step_seconds_per_run = 0.0008;
// Part of the speed of running streams that prompt processing takes away.
constexpr double prefill_interference = 0.3;

}  // namespace

double engine::tokens_per_second() const {
    return 1 / (step_seconds + step_seconds_per_run * static_cast<double>(running_.size()));
}

void engine::add_work(std::size_t service_class, double tokens) {
    if (service_class >= work_.size()) {
        work_.resize(service_class + 1);
    }
    work_[service_class] += tokens;
}

double engine::work_of(std::size_t service_class) const {
    return service_class < work_.size() ? work_[service_class] : 0;
}

void engine::add(engine_run r) {
    const auto later =
        std::find_if(queue_.begin(), queue_.end(), [&](const auto& o) { return o.priority > r.priority; });
    queue_.insert(later, r);
}

std::vector<std::uint64_t> engine::advance(double dt) {
    while (!queue_.empty() && static_cast<int>(running_.size()) < server_.slots) {
        // Kept in order of priority, so that urgent prompts are processed first.
        const auto later = std::find_if(running_.begin(), running_.end(),
                                        [&](const auto& o) { return o.priority > queue_.front().priority; });
        running_.insert(later, queue_.front());
        queue_.pop_front();
    }
    const double speed = server_.speed * slow_factor;
    double prefill = dt * prefill_rate * speed;
    const bool prefilling =
        std::any_of(running_.begin(), running_.end(), [](const auto& r) { return r.prefill_left > 0; });
    const double decode = dt * tokens_per_second() * speed * (prefilling ? 1 - prefill_interference : 1);
    std::vector<std::uint64_t> ended;
    for (auto& r : running_) {
        if (r.prefill_left > 0) {
            const double part = std::min(prefill, r.prefill_left);
            prefill -= part;
            r.prefill_left -= part;
            add_work(r.service_class, part * prompt_cost);
            continue;
        }
        const double part = std::min(decode, r.output_left);
        r.generated += part;
        r.output_left -= part;
        add_work(r.service_class, part);
        if (r.output_left <= 1e-9) {
            ended.push_back(r.attempt);
        }
    }
    return ended;
}

void engine::remove(std::uint64_t attempt) {
    std::erase_if(running_, [&](const auto& r) { return r.attempt == attempt; });
    std::erase_if(queue_, [&](const auto& r) { return r.attempt == attempt; });
}

const engine_run* engine::find(std::uint64_t attempt) const {
    const auto it =
        std::find_if(running_.begin(), running_.end(), [&](const auto& r) { return r.attempt == attempt; });
    return it == running_.end() ? nullptr : &*it;
}

void engine::clear() {
    running_.clear();
    queue_.clear();
}

}  // namespace chicorygap::replay
