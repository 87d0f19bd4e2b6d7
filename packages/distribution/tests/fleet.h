/// @file
/// Simulated fleet of distributors with a lossy network and a store, on a manual clock.
#pragma once

#include "distribution/distributor.h"
#include "document/key_digest.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace chicorygap::distribution {

using namespace std::chrono_literals;

inline constexpr const char* booking_key = "document/booking";

/// @param keys keys in clear that the document accepts; `mark` makes texts differ.
inline std::string booking_text(const std::vector<std::string>& keys, int mark = 1) {
    std::string out =
        "[service]\nname = booking\nkind = plain\n[class c]\ntier = 0\nresponse_target = 1s\ndeadline = " +
        std::to_string(mark) +
        "ms\n[route r]\npath = /\nmethods = GET\nclass = c\nworkspaces = all\n[workspace w]\n";
    for (const auto& k : keys) {
        out += "key = " + document::hash_key(k).str() + "\n";
    }
    return out;
}

struct node {
    member id;
    std::unique_ptr<distributor> daemon;
    bool alive = true;
    bool sees_platform = true;
    bool ready = false;
    bool reverted = false;
    std::uint64_t active = 0;
    std::uint64_t active_when_ready = 0;
    std::vector<base::key_digest> removed_keys;
    std::vector<report_invalid> invalid;
    std::vector<report_stale> stale;
    std::optional<watch_platform> pending;
    base::time_point pending_until;
};

class fleet {
public:
    fleet(int zones, int per_zone, unsigned seed) : random_{seed} {
        for (int z = 0; z < zones; ++z) {
            for (int i = 0; i < per_zone; ++i) {
                const auto name = std::to_string(z) + "-" + std::to_string(i);
                nodes_.push_back({});
                nodes_.back().id = {base::vm_id{"vm-" + name}, base::zone_id{"zone-" + std::to_string(z)}};
            }
        }
        for (auto& n : nodes_) {
            start(n);
        }
        announce();
    }

    std::vector<node>& nodes() { return nodes_; }
    base::time_point now() const { return now_; }

    /// Replaces the daemon by a new one without memory.
    void start(node& n) {
        const auto id = n.id;
        const bool sees_platform = n.sees_platform;
        n = {};
        n.id = id;
        n.sees_platform = sees_platform;
        distributor_options o;
        o.vm = id.vm;
        o.zone = id.zone;
        n.daemon = std::make_unique<distributor>(o, now_);
    }

    /// Tells every daemon the members it can reach: its zone, and three contacts per other zone.
    void announce() {
        for (auto& n : nodes_) {
            std::map<std::string, int> contacts;
            members_changed e;
            for (const auto& other : nodes_) {
                if (&other == &n || !other.alive || !linked(n.id, other.id)) {
                    continue;
                }
                if (other.id.zone == n.id.zone || ++contacts[other.id.zone.str()] <= 3) {
                    e.members.push_back(other.id);
                }
            }
            peers_[n.id.vm.str()] = e.members;
            handle(n, e);
        }
    }

    std::uint64_t publish(const std::string& text) {
        store_ = document_version{booking_key, ++version_, false, text, {}};
        return version_;
    }
    void restore_store(const document_version& old) { store_ = old; }
    const document_version& stored() const { return *store_; }

    /// Advances the clock in steps of 100 ms.
    void run(base::duration d) {
        for (const auto end = now_ + d; now_ < end; now_ += 100ms) {
            step();
        }
    }

    template <typename Predicate>
    bool all(Predicate p) {
        return std::all_of(nodes_.begin(), nodes_.end(), [&](node& n) { return !n.alive || p(n); });
    }

    /// Runs until all live daemons have the version active. @return the time that took, or `limit`.
    base::duration time_to(std::uint64_t version, base::duration limit) {
        const auto start = now_;
        while (now_ - start < limit && !all([&](node& n) { return n.active >= version; })) {
            run(100ms);
        }
        return now_ - start;
    }

    std::function<bool(const member&, const member&)> linked = [](const member&, const member&) {
        return true;
    };
    double loss = 0;
    bool store_up = true;
    bool shuffle = false;  ///< deliver in random order, with delays and duplicates.

private:
    struct packet {
        member from;
        base::vm_id to;
        message content;
    };

    bool chance(double p) { return std::uniform_real_distribution<>{0, 1}(random_) < p; }

    node* find(const base::vm_id& vm) {
        const auto it =
            std::find_if(nodes_.begin(), nodes_.end(), [&](const node& n) { return n.id.vm == vm; });
        return it == nodes_.end() ? nullptr : &*it;
    }

    void step() {
        ++steps_;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            auto& n = nodes_[i];
            if (!n.alive) {
                continue;
            }
            answer_watch(n);
            if (steps_ % 5 == 0) {
                handle(n, tick{});
            }
            if ((steps_ + i) % 10 == 0) {
                gossip(n);
            }
        }
        deliver();
    }

    void gossip(node& n) {
        std::vector<member> own;
        std::vector<member> contacts;
        for (const auto& m : peers_[n.id.vm.str()]) {
            (m.zone == n.id.zone ? own : contacts).push_back(m);
        }
        for (const auto* const list : {&own, &contacts}) {
            if (!list->empty()) {
                const auto& to = (*list)[random_() % list->size()];
                network_.push_back({n.id, to.vm, n.daemon->make_digest(32, now_)});
            }
        }
    }

    void answer_watch(node& n) {
        if (!n.pending) {
            return;
        }
        const auto after = n.pending->after_version;
        const bool changed = store_ && store_->version > after;
        if (!store_up || !n.sees_platform) {
            n.pending.reset();
            handle(n, platform_failed{});
        } else if (changed || now_ >= n.pending_until) {
            n.pending.reset();
            handle(n, platform_replied{after, changed ? std::vector<document_version>{*store_}
                                                      : std::vector<document_version>{}});
        }
    }

    void deliver() {
        // Messages sent while delivering are delivered in the same step: links are much faster than a step.
        while (!network_.empty()) {
            if (shuffle) {
                std::swap(network_.back(), network_[random_() % network_.size()]);
                if (chance(0.2)) {
                    return;
                }
            }
            const packet p = network_.back();
            if (!shuffle || !chance(0.1)) {
                network_.pop_back();
            }
            auto* const to = find(p.to);
            auto* const from = find(p.from.vm);
            if (to != nullptr && to->alive && linked(p.from, to->id)) {
                if (!chance(loss)) {
                    handle(*to, message_received{p.from, p.content});
                }
            } else if (from->alive && !shuffle) {
                handle(*from, send_failed{p.to, p.content});
            }
        }
    }

    void handle(node& n, const event& e) {
        for (const auto& a : n.daemon->handle(e, now_)) {
            std::visit([&](const auto& it) { apply(n, it); }, a);
        }
    }

    void apply(node& n, const send& a) { network_.push_back({n.id, a.to, a.content}); }
    void apply(node& n, const watch_platform& a) {
        n.pending = a;
        n.pending_until = now_ + a.max_wait;
    }
    void apply(node& n, const activate& a) {
        n.reverted = n.reverted || a.version <= n.active;
        n.active = a.version;
        n.removed_keys.insert(n.removed_keys.end(), a.removed_keys.begin(), a.removed_keys.end());
    }
    void apply(node& n, const deactivate& a) { n.active = a.version; }
    void apply(node& n, const report_invalid& a) { n.invalid.push_back(a); }
    void apply(node& n, const report_stale& a) { n.stale.push_back(a); }
    void apply(node& n, const became_ready&) {
        n.ready = true;
        n.active_when_ready = n.active;
    }
    void apply(node&, const keys_usable_changed&) {}

    std::mt19937 random_;
    base::time_point now_{std::chrono::hours{1}};
    std::size_t steps_ = 0;
    std::vector<node> nodes_;
    std::map<std::string, std::vector<member>> peers_;
    std::vector<packet> network_;
    std::optional<document_version> store_;
    std::uint64_t version_ = 100;
};

}  // namespace chicorygap::distribution
