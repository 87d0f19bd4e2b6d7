#include "idempotency/segment_log.h"

#include "base/error.h"

#include <algorithm>
#include <utility>

namespace chicorygap::idempotency {

namespace {

std::size_t entries_size(const std::vector<entry>& entries) {
    std::size_t n = 0;
    for (const auto& e : entries) {
        n += encoded_size(e);
    }
    return n;
}

std::optional<std::size_t> to_slot(std::string_view text) {
    constexpr std::size_t longest = 6;
    if (text.empty() || text.size() > longest || text.find_first_not_of("0123456789") != text.npos) {
        return std::nullopt;
    }
    return std::stoul(std::string{text});
}

}  // namespace

segment_log::segment_log(std::string prefix, std::size_t slots, std::size_t segment_bytes)
    : prefix_{std::move(prefix)}, slots_{slots}, segment_bytes_{segment_bytes}, versions_(slots) {}

std::vector<segment> segment_log::load(const std::vector<base::stored_object>& objects,
                                       base::time_point now) {
    versions_.assign(slots_, 0);
    closed_.clear();
    std::vector<std::pair<segment, std::size_t>> found;
    for (const auto& o : objects) {
        const auto slot = to_slot(std::string_view{o.key}.substr(prefix_.size()));
        auto s = decode_segment(o.value);
        if (!slot || !s) {
            throw base::error{base::result_code::record_unavailable, "object " + o.key + " is not a segment"};
        }
        versions_.resize(std::max(versions_.size(), *slot + 1));
        versions_[*slot] = o.version;
        found.emplace_back(std::move(*s), *slot);
    }
    std::sort(found.begin(), found.end(),
              [](const auto& a, const auto& b) { return a.first.sequence < b.first.sequence; });
    return arrange(std::move(found), now);
}

std::vector<segment> segment_log::arrange(std::vector<std::pair<segment, std::size_t>> found,
                                          base::time_point now) {
    open_ = {};
    open_.sequence = 1;
    open_slot_ = 0;
    open_bytes_ = 0;
    if (found.empty()) {
        return {};
    }
    const auto newest = found.back();
    std::vector<segment> out;
    for (auto& [s, slot] : found) {
        if (newest.first.next == slot) {
            continue;  // expired: its slot was chosen for the following segment
        }
        const bool open = s.sequence == newest.first.sequence && !s.next;
        if (!open) {
            close(s.sequence, slot, now - age_of(newest.first, s.sequence));
        }
        out.push_back(std::move(s));
    }
    if (newest.first.next) {
        open_following(newest.first);
    } else {
        open_ = newest.first;
        open_slot_ = newest.second;
        open_bytes_ = entries_size(open_.entries);
    }
    return out;
}

base::duration segment_log::age_of(const segment& newest, std::uint64_t sequence) {
    const auto it = std::find_if(newest.ages.begin(), newest.ages.end(),
                                 [&](const segment_age& a) { return a.sequence == sequence; });
    return it == newest.ages.end() ? base::duration{} : it->age;
}

segment_log::write segment_log::prepare(const std::vector<entry>& entries, const std::string& token,
                                        base::time_point now) {
    prepared_ = open_;
    prepared_.token = token;
    prepared_.ages = ages(now);
    prepared_.entries.insert(prepared_.entries.end(), entries.begin(), entries.end());
    prepared_bytes_ = open_bytes_ + entries_size(entries);
    if (prepared_bytes_ > segment_bytes_) {
        prepared_.next = free_slot();
    }
    return {key(open_slot_), encode(prepared_), versions_[open_slot_]};
}

void segment_log::commit(std::uint64_t version, base::time_point now) {
    versions_[open_slot_] = version;
    if (!prepared_.next) {
        open_ = std::move(prepared_);
        open_bytes_ = prepared_bytes_;
        return;
    }
    close(prepared_.sequence, open_slot_, now);
    open_following(prepared_);
}

std::vector<std::uint64_t> segment_log::expire(base::duration retention, base::time_point now) {
    std::vector<std::uint64_t> out;
    for (auto& c : closed_) {
        if (!c.expired && now - c.last_written >= retention) {
            c.expired = true;
            out.push_back(c.sequence);
        }
    }
    return out;
}

bool segment_log::has_room() const {
    return open_bytes_ <= segment_bytes_ || free_slot();
}

void segment_log::close(std::uint64_t sequence, std::size_t slot, base::time_point last_written) {
    closed_.push_back({sequence, slot, last_written, false});
}

void segment_log::open_following(const segment& last) {
    open_slot_ = *last.next;
    versions_.resize(std::max(versions_.size(), open_slot_ + 1));
    std::erase_if(closed_, [&](const closed_segment& c) { return c.slot == open_slot_; });
    open_ = {};
    open_.sequence = last.sequence + 1;
    open_bytes_ = 0;
}

std::optional<std::size_t> segment_log::free_slot() const {
    for (std::size_t slot = 0; slot < slots_; ++slot) {
        const auto it = std::find_if(closed_.begin(), closed_.end(),
                                     [&](const closed_segment& c) { return c.slot == slot; });
        const bool unused = it == closed_.end() ? slot != open_slot_ : it->expired;
        if (unused) {
            return slot;
        }
    }
    return std::nullopt;
}

std::vector<segment_age> segment_log::ages(base::time_point now) const {
    std::vector<segment_age> out;
    for (const auto& c : closed_) {
        out.push_back({c.sequence, now - c.last_written});
    }
    return out;
}

}  // namespace chicorygap::idempotency
