#include "replay/baseline.h"

#include <algorithm>
#include <utility>

namespace chicorygap::replay {

namespace {

constexpr std::size_t queue_limit = 10'000;
constexpr std::uint32_t max_attempts = 3;

}  // namespace

baseline::baseline(baseline_kind kind, std::map<std::string, int> tier_of_class, base::random_function random)
    : kind_{kind}, tier_of_class_{std::move(tier_of_class)}, random_{std::move(random)} {}

std::vector<dispatch::action> baseline::handle(const dispatch::event& e, base::time_point /*now*/) {
    actions_.clear();
    std::visit([this](const auto& v) { on(v); }, e);
    start_queued();
    return std::move(actions_);
}

int baseline::level_of(const job& j) const {
    return kind_ == baseline_kind::first_come_random ? 0 : tier_of_class_.at(j.terms.service_class.str());
}

void baseline::on(const dispatch::submit_request& e) {
    if (queued_ >= queue_limit) {
        actions_.emplace_back(dispatch::reject{e.id, base::result_code::queue_full});
        return;
    }
    job& j = jobs_[e.id];
    j.terms = e;
    queues_[level_of(j)].push_back(e.id);
    ++queued_;
}

void baseline::on(const dispatch::attempt_progress& e) {
    if (const auto it = jobs_.find(e.request); it != jobs_.end()) {
        it->second.tokens += e.tokens;
    }
}

void baseline::on(const dispatch::attempt_result& e) {
    const auto it = jobs_.find(e.request);
    if (it == jobs_.end() || it->second.attempt != e.attempt) {
        return;
    }
    job& j = it->second;
    j.in_flight = false;
    --in_flight_;
    --connections_[j.server];
    if (e.code == base::result_code::ok) {
        actions_.emplace_back(dispatch::complete{e.request});
        jobs_.erase(it);
        return;
    }
    if (e.sent) {
        j.state = base::run_state::unknown;
    }
    const bool may_retry = j.attempt < max_attempts && (j.terms.idempotent || !e.sent) &&
                           e.code != base::result_code::caller_gone;
    if (may_retry && start(j)) {
        return;
    }
    if (e.code != base::result_code::caller_gone) {
        actions_.emplace_back(dispatch::reject{e.request, e.code, j.state});
    }
    jobs_.erase(it);
}

void baseline::on(const dispatch::cancel_request& e) {
    const auto it = jobs_.find(e.request);
    if (it == jobs_.end()) {
        return;
    }
    if (it->second.in_flight) {
        actions_.emplace_back(dispatch::cancel_attempt{e.request, it->second.attempt, e.code});
        return;
    }
    // The queue's entry is skipped when its turn comes.
    jobs_.erase(it);
}

void baseline::on(const routing::event& e) {
    if (const auto* list = std::get_if<routing::servers_changed>(&e)) {
        servers_ = list->servers;
    } else if (const auto* p = std::get_if<routing::peers_changed>(&e)) {
        peers_ = std::max(static_cast<int>(p->peers.size()), 1);
    } else if (const auto* l = std::get_if<routing::server_draining>(&e)) {
        for (auto& server : servers_) {
            server.draining = server.draining || server.id == l->server;
        }
    }
}

int baseline::limit() const {
    int slots = 0;
    for (const auto& s : servers_) {
        slots += s.draining ? 0 : s.slots;
    }
    return (slots + peers_ - 1) / peers_;
}

void baseline::start_queued() {
    for (auto& [level, queue] : queues_) {
        while (!queue.empty() && in_flight_ < limit()) {
            const auto it = jobs_.find(queue.front());
            if (it != jobs_.end() && !start(it->second)) {
                return;
            }
            queue.pop_front();
            --queued_;
        }
    }
}

bool baseline::start(job& j) {
    const auto* s = select(j);
    if (s == nullptr) {
        return false;
    }
    j.server = s->id;
    j.in_flight = true;
    ++j.attempt;
    ++in_flight_;
    ++connections_[s->id];
    actions_.emplace_back(dispatch::start_attempt{j.terms.id, j.attempt, s->id, j.tokens});
    return true;
}

const routing::server_info* baseline::select(const job& j) {
    std::vector<const routing::server_info*> usable;
    for (const auto& s : servers_) {
        const bool other = j.attempt == 0 || s.id != j.server;
        if (!s.draining && other) {
            usable.push_back(&s);
        }
    }
    if (usable.empty()) {
        return nullptr;
    }
    if (kind_ == baseline_kind::first_come_random) {
        return usable[base::pick(random_, usable.size())];
    }
    return *std::min_element(usable.begin(), usable.end(), [&](const auto* a, const auto* b) {
        return connections_[a->id] * b->slots < connections_[b->id] * a->slots;
    });
}

}  // namespace chicorygap::replay
