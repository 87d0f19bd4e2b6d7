#include "orders/order_processor.h"

#include <algorithm>
#include <utility>

namespace chicorygap::orders {

order_processor::order_processor(order_options o)
    : options_{std::move(o)}, table_{options_.zone, options_.slot_count} {}

std::vector<order_action> order_processor::handle(const order_event& e, base::time_point now) {
    actions_.clear();
    std::visit([&](const auto& v) { on(v, now); }, e);
    if (holder_) {
        advance(now);
    }
    return std::exchange(actions_, {});
}

bool order_processor::has_order_in_flight() const noexcept {
    return std::any_of(deliveries_.begin(), deliveries_.end(),
                       [](const auto& d) { return d.second.in_flight; });
}

void order_processor::on(const tick& /*e*/, base::time_point /*now*/) {}

void order_processor::on(const role_acquired& e, base::time_point now) {
    holder_ = true;
    loaded_ = false;
    term_ = e.term;
    acquired_at_ = now;
    list_at_ = now;
    list_in_flight_ = 0;
    write_.abandon();
    deliveries_.clear();
    settled_.clear();
}

void order_processor::on(const role_lost& /*e*/, base::time_point /*now*/) {
    holder_ = false;
    write_.abandon();
    for (const auto& w : std::exchange(waiting_, {})) {
        actions_.emplace_back(order_declined{w.deduplication_key});
    }
}

void order_processor::on(const order_requested& e, base::time_point /*now*/) {
    if (!holder_) {
        actions_.emplace_back(order_declined{e.deduplication_key});
        return;
    }
    const bool queued = std::any_of(waiting_.begin(), waiting_.end(), [&](const order_requested& w) {
        return w.deduplication_key == e.deduplication_key;
    });
    if (queued) {
        return;
    }
    if (waiting_.size() >= options_.max_pending_orders) {
        actions_.emplace_back(order_declined{e.deduplication_key, base::result_code::queue_full});
        return;
    }
    waiting_.push_back(e);
    if (loaded_) {
        decide_waiting();
    }
}

void order_processor::on(const order_replied& e, base::time_point now) {
    const auto it = deliveries_.find(e.sequence);
    if (it == deliveries_.end() || !it->second.in_flight) {
        return;
    }
    it->second.in_flight = false;
    if (!holder_) {
        return;
    }
    switch (e.result) {
        case send_result::accepted:
            settled_[e.sequence] = order_status::accepted;
            break;
        case send_result::rejected:
            settled_[e.sequence] = order_status::rejected;
            break;
        case send_result::stale_token:
            on(role_lost{}, now);
            actions_.emplace_back(superseded{});
            break;
        case send_result::not_sent:
        case send_result::no_reply:
            retry_later(it->second, now);
            break;
    }
}

void order_processor::on(const running_requests_reported& e, base::time_point now) {
    for (auto& [sequence, d] : deliveries_) {
        const auto* r = table_.at(sequence);
        // Work that was sent before every daemon knew of the release may still arrive until
        // `drain_propagation_time` has passed.
        if (r != nullptr && d.draining && r->content.server == e.server &&
            now >= d.drained_at + options_.drain_propagation_time) {
            d.server_idle = e.count == 0;
        }
    }
}

void order_processor::on(const base::store_reply& e, base::time_point now) {
    if (list_in_flight_ != 0 && e.correlation == list_in_flight_) {
        list_in_flight_ = 0;
        loaded(e, now);
    } else if (const auto r = write_.handle(e, now)) {
        written(*r, now);
    }
}

void order_processor::load(base::time_point now) {
    if (list_in_flight_ == 0 && now >= list_at_) {
        list_in_flight_ = next_correlation_++;
        list_at_ = now + options_.retry_delay;
        actions_.emplace_back(base::store_list{list_in_flight_, "order/" + options_.zone + '/'});
    }
}

void order_processor::loaded(const base::store_reply& e, base::time_point now) {
    if (!holder_ || e.result != base::store_result::read || !table_.load(e.objects)) {
        return;
    }
    loaded_ = true;
    list_at_ = now + options_.refresh_interval;
    std::erase_if(deliveries_, [&](const auto& d) {
        const auto* r = table_.at(d.first);
        return r == nullptr || (r->status != order_status::open && !d.second.in_flight);
    });
    decide_waiting();
}

void order_processor::advance(base::time_point now) {
    if (const auto put = write_.retry(next_correlation_, now)) {
        ++next_correlation_;
        actions_.emplace_back(*put);
    }
    // A list and a write are never under way together: the list could show the state before the write.
    if (!loaded_ && !write_.pending()) {
        load(now);
        return;
    }
    if (!loaded_) {
        return;
    }
    if (!write_.pending()) {
        start_write(now);
    }
    if (!write_.pending() && now >= list_at_) {
        loaded_ = false;
        load(now);
        return;
    }
    send_due(now);
}

void order_processor::start_write(base::time_point now) {
    if (!settled_.empty()) {
        const auto [sequence, status] = *settled_.begin();
        const auto* r = table_.at(sequence);
        if (r != nullptr && r->status == order_status::open) {
            auto changed = *r;
            changed.status = status;
            write(std::move(changed), now);
            return;
        }
        settled_.erase(sequence);
    }
    const auto sequence = table_.next_sequence();
    if (waiting_.empty() || !sequence) {
        return;
    }
    order_record r;
    r.sequence = *sequence;
    r.deduplication_key = waiting_.front().deduplication_key;
    r.content = waiting_.front().content;
    r.term = term_;
    write(std::move(r), now);
}

void order_processor::write(order_record r, base::time_point now) {
    const auto correlation = next_correlation_++;
    r.token =
        options_.holder + '/' + std::to_string(options_.incarnation) + '/' + std::to_string(correlation);
    writing_ = std::move(r);
    actions_.emplace_back(write_.begin(correlation, table_.key(writing_.sequence), encode(writing_),
                                       table_.version(writing_.sequence), now));
}

void order_processor::written(const lease::write_result& r, base::time_point now) {
    if (!holder_) {
        return;
    }
    if (!r.applied) {
        loaded_ = false;
        list_at_ = now;
        return;
    }
    table_.put(writing_, r.version);
    if (writing_.status != order_status::open) {
        settled_.erase(writing_.sequence);
        deliveries_.erase(writing_.sequence);
        report_settled(writing_);
    }
    decide_waiting();
}

void order_processor::decide_waiting() {
    std::erase_if(waiting_, [&](const order_requested& w) {
        const auto* r = table_.find(w.deduplication_key);
        if (r != nullptr && r->status != order_status::open) {
            report_settled(*r);
        }
        return r != nullptr;
    });
}

void order_processor::report_settled(const order_record& r) {
    actions_.emplace_back(order_settled{r.deduplication_key, r.status});
}

void order_processor::send_due(base::time_point now) {
    for (const auto& [sequence, r] : table_.records()) {
        if (r.status == order_status::open && !settled_.contains(sequence)) {
            send_if_due(r, now);
        }
    }
}

void order_processor::send_if_due(const order_record& r, base::time_point now) {
    auto& d = deliveries_[r.sequence];
    const bool waiting_for_old_orders =
        !r.content.receiver_fences && now < acquired_at_ + options_.unfenced_receiver_delay;
    if (d.in_flight || now < d.send_at || waiting_for_old_orders || !drained(r, d, now)) {
        return;
    }
    d.in_flight = true;
    actions_.emplace_back(send_order{r.sequence, table_.order_id(r.sequence), term_, r.content});
}

bool order_processor::drained(const order_record& r, delivery& d, base::time_point now) {
    if (r.content.kind != order_kind::release_server) {
        return true;
    }
    if (!d.draining) {
        d.draining = true;
        d.drained_at = now;
        actions_.emplace_back(drain_server{r.content.server});
    }
    return d.server_idle;
}

void order_processor::retry_later(delivery& d, base::time_point now) const {
    d.delay = std::clamp(2 * d.delay, options_.retry_delay, options_.max_retry_delay);
    d.send_at = now + d.delay;
}

}  // namespace chicorygap::orders
