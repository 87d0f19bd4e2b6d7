#include "orders/order_processor.h"

#include <algorithm>
#include <utility>

namespace chicorygap::orders {

order_processor::order_processor(order_options o)
    : options_{std::move(o)}, table_{options_.zone, options_.slot_count} {}

std::vector<order_action> order_processor::handle(const order_event& e, base::time_point now) {
    actions_.clear();
    std::visit([&](const auto& v) { on(v, now); }, e);
    if (holds_role_) {
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
    holds_role_ = true;
    loaded_ = false;
    term_ = e.term;
    acquired_at_ = now;
    next_list_at_ = now;
    list_in_flight_ = 0;
    write_.abandon();
    deliveries_.clear();
    unstored_results_.clear();
}

void order_processor::on(const role_lost& /*e*/, base::time_point /*now*/) {
    holds_role_ = false;
    write_.abandon();
    for (const auto& w : std::exchange(pending_requests_, {})) {
        actions_.emplace_back(order_declined{w.deduplication_key});
    }
}

void order_processor::on(const order_requested& e, base::time_point /*now*/) {
    if (!holds_role_) {
        actions_.emplace_back(order_declined{e.deduplication_key});
        return;
    }
    const bool queued =
        std::any_of(pending_requests_.begin(), pending_requests_.end(),
                    [&](const order_requested& w) { return w.deduplication_key == e.deduplication_key; });
    if (queued) {
        return;
    }
    if (pending_requests_.size() >= options_.max_pending_orders) {
        actions_.emplace_back(order_declined{e.deduplication_key, base::result_code::queue_full});
        return;
    }
    pending_requests_.push_back(e);
    if (loaded_) {
        resolve_pending_requests();
    }
}

void order_processor::on(const order_replied& e, base::time_point now) {
    const auto it = deliveries_.find(e.sequence);
    if (it == deliveries_.end() || !it->second.in_flight) {
        return;
    }
    it->second.in_flight = false;
    if (!holds_role_) {
        return;
    }
    switch (e.result) {
        case send_result::accepted:
            unstored_results_[e.sequence] = order_status::accepted;
            break;
        case send_result::rejected:
            unstored_results_[e.sequence] = order_status::rejected;
            break;
        case send_result::stale_token:
            on(role_lost{}, now);
            actions_.emplace_back(superseded{});
            break;
        case send_result::not_sent:
        case send_result::no_reply:
            schedule_retry(it->second, now);
            break;
    }
}

void order_processor::on(const running_requests_reported& e, base::time_point now) {
    for (auto& [sequence, d] : deliveries_) {
        const auto* r = table_.at(sequence);
        // Until `drain_propagation_time` has passed, a daemon that does not know of the release may still
        // send requests.
        if (r != nullptr && d.draining && r->content.server == e.server &&
            now >= d.drain_started_at + options_.drain_propagation_time) {
            d.server_idle = e.count == 0;
        }
    }
}

void order_processor::on(const base::store_reply& e, base::time_point now) {
    if (list_in_flight_ != 0 && e.correlation == list_in_flight_) {
        list_in_flight_ = 0;
        handle_list_reply(e, now);
    } else if (const auto r = write_.handle(e, now)) {
        handle_write_result(*r, now);
    }
}

void order_processor::load(base::time_point now) {
    if (list_in_flight_ == 0 && now >= next_list_at_) {
        list_in_flight_ = next_correlation_++;
        next_list_at_ = now + options_.retry_delay;
        actions_.emplace_back(base::store_list{list_in_flight_, "order/" + options_.zone + '/'});
    }
}

void order_processor::handle_list_reply(const base::store_reply& e, base::time_point now) {
    if (!holds_role_ || e.result != base::store_result::read || !table_.load(e.objects)) {
        return;
    }
    loaded_ = true;
    next_list_at_ = now + options_.refresh_interval;
    std::erase_if(deliveries_, [&](const auto& d) {
        const auto* r = table_.at(d.first);
        return r == nullptr || (r->status != order_status::open && !d.second.in_flight);
    });
    resolve_pending_requests();
}

void order_processor::advance(base::time_point now) {
    if (const auto put = write_.retry(next_correlation_, now)) {
        ++next_correlation_;
        actions_.emplace_back(*put);
    }
    // A list call and a write are never in flight together, because the list could return the state before
    // the write.
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
    if (!write_.pending() && now >= next_list_at_) {
        loaded_ = false;
        load(now);
        return;
    }
    send_due(now);
}

void order_processor::start_write(base::time_point now) {
    if (!unstored_results_.empty()) {
        const auto [sequence, status] = *unstored_results_.begin();
        const auto* r = table_.at(sequence);
        if (r != nullptr && r->status == order_status::open) {
            auto changed = *r;
            changed.status = status;
            write_record(std::move(changed), now);
            return;
        }
        unstored_results_.erase(sequence);
    }
    const auto sequence = table_.next_sequence();
    if (pending_requests_.empty() || !sequence) {
        return;
    }
    order_record r;
    r.sequence = *sequence;
    r.deduplication_key = pending_requests_.front().deduplication_key;
    r.content = pending_requests_.front().content;
    r.term = term_;
    write_record(std::move(r), now);
}

void order_processor::write_record(order_record r, base::time_point now) {
    const auto correlation = next_correlation_++;
    r.token =
        options_.holder + '/' + std::to_string(options_.incarnation) + '/' + std::to_string(correlation);
    written_record_ = std::move(r);
    actions_.emplace_back(write_.begin(correlation, table_.key(written_record_.sequence),
                                       encode(written_record_), table_.version(written_record_.sequence),
                                       now));
}

void order_processor::handle_write_result(const lease::write_result& r, base::time_point now) {
    if (!holds_role_) {
        return;
    }
    if (!r.applied) {
        loaded_ = false;
        next_list_at_ = now;
        return;
    }
    table_.put(written_record_, r.version);
    if (written_record_.status != order_status::open) {
        unstored_results_.erase(written_record_.sequence);
        deliveries_.erase(written_record_.sequence);
        report_settled(written_record_);
    }
    resolve_pending_requests();
}

void order_processor::resolve_pending_requests() {
    std::erase_if(pending_requests_, [&](const order_requested& w) {
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
        if (r.status == order_status::open && !unstored_results_.contains(sequence)) {
            send_if_due(r, now);
        }
    }
}

void order_processor::send_if_due(const order_record& r, base::time_point now) {
    auto& d = deliveries_[r.sequence];
    const bool former_orders_may_be_in_flight =
        !r.content.receiver_fences && now < acquired_at_ + options_.unfenced_receiver_delay;
    if (d.in_flight || now < d.send_at || former_orders_may_be_in_flight || !drain_finished(r, d, now)) {
        return;
    }
    d.in_flight = true;
    actions_.emplace_back(send_order{r.sequence, table_.order_id(r.sequence), term_, r.content});
}

bool order_processor::drain_finished(const order_record& r, delivery& d, base::time_point now) {
    if (r.content.kind != order_kind::release_server) {
        return true;
    }
    if (!d.draining) {
        d.draining = true;
        d.drain_started_at = now;
        actions_.emplace_back(drain_server{r.content.server});
    }
    return d.server_idle;
}

void order_processor::schedule_retry(delivery& d, base::time_point now) const {
    d.delay = std::clamp(2 * d.delay, options_.retry_delay, options_.max_retry_delay);
    d.send_at = now + d.delay;
}

}  // namespace chicorygap::orders
