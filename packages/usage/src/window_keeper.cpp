#include "usage/window_keeper.h"

#include <algorithm>
#include <utility>

namespace chicorygap::usage {

window_keeper::window_keeper(keeper_options o, base::random_function random)
    : options_{std::move(o)},
      random_{std::move(random)},
      fold_{options_.limits},
      write_{options_.retry_delay} {}

std::vector<keeper_action> window_keeper::handle(const keeper_event& e, base::time_point now) {
    actions_.clear();
    std::visit([&](const auto& v) { on(v, now); }, e);
    if (phase_ != phase::not_holder) {
        advance(now);
    }
    return std::exchange(actions_, {});
}

window_number window_keeper::window_of(base::wall_time wall) const {
    const auto length = std::chrono::duration_cast<base::wall_time::duration>(options_.window_length);
    return wall.time_since_epoch() / length;
}

void window_keeper::on(const tick& e, base::time_point now) {
    if (phase_ != phase::running || now < acquired_at_ + options_.grace) {
        return;
    }
    const auto grace = std::chrono::duration_cast<base::wall_time::duration>(options_.grace);
    const auto due = window_of(e.wall - grace) - 1;
    // Windows that were missed stay without a snapshot: their counts cannot be told from those of the latest
    // one.
    if (due > closed_) {
        fold_.close(due);
        closed_ = due;
    }
}

void window_keeper::on(const role_acquired& e, base::time_point now) {
    on(role_lost{}, now);
    phase_ = phase::reading_head;
    term_ = e.term;
    acquired_at_ = now;
    acquired_wall_ = e.wall;
    operate_at_ = now;
}

void window_keeper::on(const role_lost& /*e*/, base::time_point /*now*/) {
    phase_ = phase::not_holder;
    operation_ = operation::none;
    get_correlation_ = 0;
    billing_ = false;
    accepted_ = 0;
    write_.abandon();
    fold_.clear();
    closed_ = 0;
}

void window_keeper::on(const usage_report& e, base::time_point /*now*/) {
    if (phase_ == phase::not_holder) {
        return;
    }
    const auto oldest = last_.oldest_incarnation.find(e.from.daemon);
    const bool retired = oldest != last_.oldest_incarnation.end() && e.from.incarnation < oldest->second;
    if (retired || fold_.take(e)) {
        actions_.emplace_back(report_taken{e.from, term_, e.sequence});
    }
}

void window_keeper::on(const bill_replied& e, base::time_point now) {
    if (!billing_ || e.window != head_.reported + 1) {
        return;
    }
    billing_ = false;
    if (e.result == bill_result::lost || e.result == bill_result::not_sent) {
        bill_at_ = now + options_.retry_delay;
        return;
    }
    if (e.result == bill_result::refused) {
        actions_.emplace_back(bill_rejected{e.window});
    }
    head_.reported = e.window;
    accepted_ = e.window;
}

void window_keeper::on(const base::store_reply& e, base::time_point now) {
    const bool failed = e.result == base::store_result::lost || e.result == base::store_result::refused;
    if (get_correlation_ != 0 && e.correlation == get_correlation_) {
        get_correlation_ = 0;
        const auto op = std::exchange(operation_, operation::none);
        if (failed) {
            note_failure(now);
            operate_at_ = now + options_.retry_delay;
            return;
        }
        note_success(now);
        got(op, e.current, now);
    } else if (const auto r = write_.handle(e, now)) {
        note_success(now);
        written(std::exchange(operation_, operation::none), *r, now);
    } else if (failed) {
        note_failure(now);
    }
}

void window_keeper::advance(base::time_point now) {
    if (const auto p = write_.retry(next_correlation_, now)) {
        ++next_correlation_;
        actions_.emplace_back(*p);
    }
    if (operation_ != operation::none || now < operate_at_) {
        return;
    }
    switch (phase_) {
        case phase::reading_head:
            get(operation::get_head, head_key(), now);
            break;
        case phase::creating_head:
            put_head(now);
            break;
        case phase::reading_windows:
            get(operation::get_window, window_key(reading_), now);
            break;
        case phase::running:
            advance_running(now);
            break;
        case phase::not_holder:
            break;
    }
}

void window_keeper::advance_running(base::time_point now) {
    if (last_.window < closed_) {
        start_freeze(now);
    } else if (!billing_ && head_.reported < last_.window && now >= bill_at_) {
        get(operation::get_bill, window_key(head_.reported + 1), now);
    } else if (head_.frozen != stored_head_.frozen || head_.reported != stored_head_.reported) {
        put_head(now);
    }
}

void window_keeper::get(operation op, const std::string& key, base::time_point /*now*/) {
    operation_ = op;
    get_correlation_ = next_correlation_++;
    actions_.emplace_back(base::store_get{get_correlation_, key});
}

void window_keeper::put(operation op, const std::string& key, std::string value, std::uint64_t expected,
                        base::time_point now) {
    operation_ = op;
    actions_.emplace_back(write_.begin(next_correlation_++, key, std::move(value), expected, now));
}

void window_keeper::put_head(base::time_point now) {
    head_.token = token(next_correlation_);
    put(operation::put_head, head_key(), encode(head_), head_version_, now);
    stored_head_ = head_;
}

void window_keeper::start_freeze(base::time_point now) {
    freezing_ = fold_.freeze(last_.window + 1, last_);
    retire_sources(freezing_);
    freezing_.token = token(next_correlation_);
    put(operation::freeze, window_key(freezing_.window), encode(freezing_), 0, now);
}

// A source is retired when a later incarnation of its daemon was already counted in the previous window and
// it has added nothing since. A process that was replaced cannot add counts any more.
void window_keeper::retire_sources(window_record& r) const {
    for (auto it = r.marks.begin(); it != r.marks.end();) {
        const auto next = std::next(it);
        const auto before = last_.marks.find(it->first);
        const bool replaced = next != r.marks.end() && next->first.daemon == it->first.daemon &&
                              last_.marks.contains(next->first);
        if (replaced && before != last_.marks.end() && before->second == it->second) {
            r.oldest_incarnation[it->first.daemon] = next->first.incarnation;
            r.marks.erase(it);
        }
        it = next;
    }
}

void window_keeper::got(operation op, const std::optional<base::stored_object>& current,
                        base::time_point now) {
    if (op == operation::get_head) {
        got_head(current);
    } else if (op == operation::get_window) {
        got_window(current, now);
    } else if (op == operation::get_bill) {
        got_bill(current, now);
    }
}

void window_keeper::got_head(const std::optional<base::stored_object>& current) {
    if (!current) {
        // The head is created before the first window, so that no holder starts without the marks of an
        // earlier one.
        const auto before = window_of(acquired_wall_) - 1;
        head_ = {before, before, before, {}};
        head_version_ = 0;
        phase_ = phase::creating_head;
        return;
    }
    const auto h = decode_head(current->value);
    if (!h) {
        return;
    }
    // A window whose bill was accepted since the role was acquired stays reported. A bill in flight is
    // awaited only if its window is still the next one; otherwise its reply would be ignored and no further
    // window billed.
    const auto expected = std::exchange(head_, *h).reported;
    head_.reported = std::max(h->reported, accepted_);
    billing_ = billing_ && head_.reported == expected;
    stored_head_ = *h;
    head_version_ = current->version;
    last_ = {};
    last_.window = head_.origin;
    reading_ = head_.frozen;
    phase_ = phase::reading_windows;
}

void window_keeper::got_window(const std::optional<base::stored_object>& current, base::time_point now) {
    if (!current && reading_ == head_.origin) {
        ++reading_;
        return;
    }
    if (!current && last_.window == reading_ - 1) {
        head_.frozen = last_.window;
        closed_ = std::max(closed_, last_.window);
        fold_.snapshot_all();
        fold_.drop_until(last_.window);
        phase_ = phase::running;
        return;
    }
    auto r = current ? decode_window(current->value) : std::nullopt;
    if (!r) {
        operate_at_ =
            now + options_.retry_delay;  // missing or damaged: without its marks nothing can be frozen
        return;
    }
    last_ = std::move(*r);
    ++reading_;
}

void window_keeper::got_bill(const std::optional<base::stored_object>& current, base::time_point now) {
    auto r = current ? decode_window(current->value) : std::nullopt;
    if (!r) {
        bill_at_ = now + options_.retry_delay;
        return;
    }
    billing_ = true;
    actions_.emplace_back(send_bill{term_, r->window, std::move(r->rows)});
}

void window_keeper::written(operation op, const lease::write_result& r, base::time_point now) {
    if (op == operation::freeze) {
        frozen(r, now);
        return;
    }
    if (!r.applied) {
        phase_ = phase::reading_head;
        return;
    }
    head_version_ = r.version;
    if (phase_ == phase::creating_head) {
        phase_ = phase::reading_head;
    }
}

void window_keeper::frozen(const lease::write_result& r, base::time_point now) {
    if (r.applied) {
        last_ = std::move(freezing_);
        fold_.drop_retired(last_);
    } else {
        auto other = r.current ? decode_window(r.current->value) : std::nullopt;
        if (!other) {
            operate_at_ = now + options_.retry_delay;
            return;
        }
        last_ = std::move(*other);
        fold_.snapshot_all();
    }
    fold_.drop_until(last_.window);
    head_.frozen = last_.window;
}

void window_keeper::note_failure(base::time_point now) {
    outage_since_ = outage_since_.value_or(now);
}

void window_keeper::note_success(base::time_point now) {
    if (outage_since_ && now - *outage_since_ >= options_.long_outage && options_.settle_spread.count() > 0) {
        const auto spread = static_cast<std::size_t>(options_.settle_spread.count());
        operate_at_ = now + base::duration{base::pick(random_, spread)};
    }
    outage_since_.reset();
}

std::string window_keeper::window_key(window_number w) const {
    return "usage/" + options_.zone + '/' + std::to_string(w);
}

std::string window_keeper::head_key() const {
    return "usage/" + options_.zone + "/head";
}

std::string window_keeper::token(std::uint64_t correlation) const {
    return options_.holder + '/' + std::to_string(options_.incarnation) + '/' + std::to_string(correlation);
}

}  // namespace chicorygap::usage
