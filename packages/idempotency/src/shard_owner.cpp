#include "idempotency/shard_owner.h"

#include "base/error.h"

#include <utility>

namespace chicorygap::idempotency {

namespace {

std::string prefix(const shard_options& o) {
    return "once/" + std::to_string(o.shard) + '/';
}

}  // namespace

shard_owner::shard_owner(shard_options o)
    : options_{std::move(o)},
      log_{prefix(options_), options_.slots, options_.segment_bytes},
      write_{options_.retry_delay} {}

std::vector<shard_action> shard_owner::handle(const shard_event& e, base::time_point now) {
    actions_.clear();
    expire_records(now);
    std::visit([&](const auto& v) { on(v, now); }, e);
    if (state_ != state::not_owner) {
        advance(now);
    }
    return std::exchange(actions_, {});
}

void shard_owner::on(const tick& /*e*/, base::time_point /*now*/) {}

void shard_owner::on(const role_acquired& /*e*/, base::time_point now) {
    reload(now);
}

void shard_owner::on(const role_lost& /*e*/, base::time_point /*now*/) {
    state_ = state::not_owner;
    write_.abandon();
    requeue_batch();
    refuse_waiting();
    outcomes_.clear();
    records_.clear();
}

void shard_owner::on(const claim& e, base::time_point /*now*/) {
    if (state_ == state::not_owner) {
        answer(e, verdict::refused);
        return;
    }
    if (state_ == state::serving && answer_from_record(e)) {
        return;
    }
    const auto it = undecided_.find(e.id);
    if (it != undecided_.end()) {
        answer(e, it->second == e.body ? verdict::unknown : verdict::reused);
    } else if (has_room()) {
        undecided_.emplace(e.id, e.body);
        waiting_.push_back(e);
    } else {
        answer(e, verdict::refused);
    }
}

void shard_owner::on(const outcome_reported& e, base::time_point /*now*/) {
    const auto* r = records_.find(e.id);
    const bool useless = state_ == state::serving && (r == nullptr || r->result);
    if (state_ == state::not_owner || useless || outcomes_.size() >= options_.max_waiting) {
        return;
    }
    entry n{e.id, std::nullopt, e.result};
    if (n.result->body.size() > options_.max_outcome_bytes) {
        n.result->body.clear();
        n.result->whole = false;
    }
    records_.apply(n, 0);
    outcomes_.push_back(std::move(n));
}

void shard_owner::on(const base::store_reply& e, base::time_point now) {
    if (e.correlation == list_in_flight_) {
        list_in_flight_ = 0;
        loaded(e, now);
    } else if (const auto r = write_.handle(e, now)) {
        written(*r, now);
    }
}

void shard_owner::reload(base::time_point now) {
    state_ = state::loading;
    write_.abandon();
    requeue_batch();
    list_in_flight_ = 0;
    list_at_ = now;
}

void shard_owner::load(base::time_point now) {
    if (list_in_flight_ != 0 || now < list_at_) {
        return;
    }
    list_in_flight_ = next_correlation_++;
    list_at_ = now + options_.retry_delay;
    actions_.emplace_back(base::store_list{list_in_flight_, prefix(options_)});
}

void shard_owner::loaded(const base::store_reply& e, base::time_point now) {
    if (state_ != state::loading || e.result != base::store_result::read) {
        return;
    }
    records_.clear();
    try {
        for (const auto& s : log_.load(e.objects, now)) {
            for (const auto& n : s.entries) {
                records_.apply(n, s.sequence);
            }
        }
    } catch (const base::error&) {
        refuse_waiting();
        return;
    }
    for (const auto& n : outcomes_) {
        records_.apply(n, 0);
    }
    expire_records(now);
    state_ = state::serving;
    decide_waiting();
}

void shard_owner::advance(base::time_point now) {
    if (state_ == state::loading) {
        load(now);
        return;
    }
    if (const auto put = write_.retry(next_correlation_, now)) {
        ++next_correlation_;
        actions_.emplace_back(*put);
    }
    if (!write_.pending() && now >= write_at_ && (!waiting_.empty() || !outcomes_.empty())) {
        start_write(now);
    }
}

void shard_owner::expire_records(base::time_point now) {
    for (const auto sequence : log_.expire(options_.retention, now)) {
        records_.expire(sequence);
    }
}

void shard_owner::start_write(base::time_point now) {
    if (!log_.has_room()) {
        refuse_waiting();
        return;
    }
    batch_ = take_batch();
    const auto correlation = next_correlation_++;
    const auto token =
        options_.owner + '/' + std::to_string(options_.incarnation) + '/' + std::to_string(correlation);
    auto w = log_.prepare(batch_, token, now);
    write_at_ = now + options_.batch_interval;
    actions_.emplace_back(write_.begin(correlation, std::move(w.key), std::move(w.value), w.expected, now));
}

std::vector<entry> shard_owner::take_batch() {
    std::vector<entry> out;
    std::size_t bytes = 0;
    // Outcomes take at most half of a write, so that a backlog of them does not delay claims.
    while (!outcomes_.empty() && bytes < options_.batch_bytes / 2) {
        bytes += encoded_size(outcomes_.front());
        out.push_back(std::move(outcomes_.front()));
        outcomes_.pop_front();
    }
    while (!waiting_.empty() && bytes < options_.batch_bytes) {
        const auto& c = waiting_.front();
        out.push_back({c.id, c.body, std::nullopt});
        bytes += encoded_size(out.back());
        writing_.push_back(c);
        waiting_.pop_front();
    }
    return out;
}

void shard_owner::written(const lease::write_result& r, base::time_point now) {
    if (!r.applied) {
        reload(now);
        return;
    }
    for (const auto& e : batch_) {
        records_.apply(e, log_.open_sequence());
    }
    log_.commit(r.version, now);
    batch_.clear();
    for (const auto& c : std::exchange(writing_, {})) {
        undecided_.erase(c.id);
        answer(c, verdict::granted);
    }
}

void shard_owner::requeue_batch() {
    for (auto& e : batch_) {
        if (e.result) {
            outcomes_.push_back(std::move(e));
        }
    }
    batch_.clear();
    waiting_.insert(waiting_.begin(), writing_.begin(), writing_.end());
    writing_.clear();
}

void shard_owner::decide_waiting() {
    for (const auto& c : std::exchange(waiting_, {})) {
        if (answer_from_record(c)) {
            undecided_.erase(c.id);
        } else {
            waiting_.push_back(c);
        }
    }
}

void shard_owner::refuse_waiting() {
    for (const auto& c : std::exchange(waiting_, {})) {
        undecided_.erase(c.id);
        answer(c, verdict::refused);
    }
}

void shard_owner::answer(const claim& c, verdict v) {
    actions_.emplace_back(decision{c.number, v, std::nullopt});
}

bool shard_owner::answer_from_record(const claim& c) {
    const auto* r = records_.find(c.id);
    if (r == nullptr) {
        return false;
    }
    if (r->body != c.body) {
        answer(c, verdict::reused);
    } else if (r->result) {
        actions_.emplace_back(decision{c.number, verdict::known, r->result});
    } else {
        answer(c, verdict::unknown);
    }
    return true;
}

bool shard_owner::has_room() const {
    return undecided_.size() < options_.max_waiting &&
           records_.size() + undecided_.size() < options_.max_records;
}

}  // namespace chicorygap::idempotency
