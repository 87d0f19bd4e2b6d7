/// @file
/// In-memory Object API at the level of messages, with injected faults.
#pragma once

#include "base/store_message.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace chicorygap::fakes {

/// What happens to a call.
enum class store_fault {
    none,
    refuse,        ///< no effect, and the caller knows it
    drop_request,  ///< no effect, no reply
    drop_reply,    ///< effect, but no reply
    delay,         ///< no reply; the effect happens at `deliver_delayed`
};

/// Object API for tests of decision code.
///
/// Usage: `inject(store_fault::drop_reply)` applies to the next call, `set_down(true)` to all calls.
class message_store {
public:
    /// Applies `f` to one of the next calls, after the faults injected before.
    void inject(store_fault f) { faults_.push_back(f); }

    /// While down, every call is lost without effect.
    void set_down(bool down) { down_ = down; }

    base::store_reply call(const base::store_put& p) {
        switch (next_fault()) {
            case store_fault::refuse:
                return {p.correlation, base::store_result::refused, 0, {}, {}};
            case store_fault::drop_request:
                return lost(p.correlation);
            case store_fault::drop_reply:
                apply(p);
                return lost(p.correlation);
            case store_fault::delay:
                delayed_.push_back(p);
                return lost(p.correlation);
            case store_fault::none:
                break;
        }
        return apply(p);
    }

    base::store_reply call(const base::store_get& g) {
        const auto f = next_fault();
        if (f != store_fault::none) {
            return lost(g.correlation);
        }
        return {g.correlation, base::store_result::read, 0, find(g.key), {}};
    }

    base::store_reply call(const base::store_list& l) {
        const auto f = next_fault();
        if (f != store_fault::none) {
            return lost(l.correlation);
        }
        return {l.correlation, base::store_result::read, 0, {}, list(l.prefix)};
    }

    /// Takes a copy of all objects, to which `return_from_copy` goes back.
    void save_copy() { saved_ = {objects_, last_version_}; }
    /// Loses all updates since the copy; their versions are given out again.
    void return_from_copy() { std::tie(objects_, last_version_) = saved_; }

    /// Lets the delayed updates take effect in the order of their calls.
    void deliver_delayed() {
        auto calls = std::exchange(delayed_, {});
        for (const auto& p : calls) {
            apply(p);
        }
    }

    [[nodiscard]] std::optional<base::stored_object> find(const std::string& key) const {
        const auto it = objects_.find(key);
        return it == objects_.end() ? std::nullopt : std::optional{it->second};
    }

    [[nodiscard]] std::vector<base::stored_object> list(const std::string& prefix) const {
        std::vector<base::stored_object> out;
        for (auto it = objects_.lower_bound(prefix); it != objects_.end() && it->first.starts_with(prefix);
             ++it) {
            out.push_back(it->second);
        }
        return out;
    }

    /// @return number of updates that took effect.
    [[nodiscard]] std::uint64_t updates() const { return updates_; }

private:
    static base::store_reply lost(std::uint64_t correlation) {
        return {correlation, base::store_result::lost, 0, {}, {}};
    }

    store_fault next_fault() {
        if (down_) {
            return store_fault::drop_request;
        }
        if (faults_.empty()) {
            return store_fault::none;
        }
        const auto f = faults_.front();
        faults_.pop_front();
        return f;
    }

    base::store_reply apply(const base::store_put& p) {
        const auto current = find(p.key);
        if ((current ? current->version : 0) != p.expected) {
            return {p.correlation, base::store_result::conflict, 0, current, {}};
        }
        const auto version = ++last_version_;
        objects_[p.key] = {p.key, p.value, version};
        ++updates_;
        return {p.correlation, base::store_result::applied, version, {}, {}};
    }

    std::map<std::string, base::stored_object> objects_;
    std::pair<std::map<std::string, base::stored_object>, std::uint64_t> saved_;
    std::deque<store_fault> faults_;
    std::vector<base::store_put> delayed_;
    std::uint64_t last_version_ = 0;
    std::uint64_t updates_ = 0;
    bool down_ = false;
};

}  // namespace chicorygap::fakes
