/// @file
/// Simulation of a fleet of distributors with an unreliable network and a document store, on a manual clock.
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

/// @param keys API keys in plain text that the document accepts.
/// @param revision makes the texts of two documents with the same keys differ.
inline std::string booking_text(const std::vector<std::string>& keys, int revision = 1) {
    std::string out =
        "[service]\nname = booking\nkind = plain\n[class c]\ntier = 0\nresponse_target = 1s\ndeadline = " +
        std::to_string(revision) +
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
    bool platform_reachable = true;
    bool ready = false;
    bool reverted = false;
    std::uint64_t active = 0;
    std::uint64_t active_when_ready = 0;
    std::vector<base::key_digest> removed_keys;
    std::vector<report_invalid> invalid;
    std::vector<report_stale> stale;
    std::optional<watch_platform> pending_watch;
    base::time_point watch_deadline;
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
        update_members();
    }

    std::vector<node>& nodes() { return nodes_; }
    base::time_point now() const { return now_; }

    /// Replaces the daemon by a newly started one.
    void start(node& n) {
        const auto id = n.id;
        const bool platform_reachable = n.platform_reachable;
        n = {};
        n.id = id;
        n.platform_reachable = platform_reachable;
        distributor_options o;
        o.vm = id.vm;
        o.zone = id.zone;
        n.daemon = std::make_unique<distributor>(o, now_);
    }

    /// Sends `members_changed` to every daemon: the reachable members of its zone and three contacts in each
    /// other zone.
    void update_members() {
        for (auto& n : nodes_) {
            std::map<std::string, int> contacts;
            members_changed e;
            for (const auto& other : nodes_) {
                if (&other == &n || !other.alive || !reachable(n.id, other.id)) {
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

    /// Runs until the version is active on all live daemons.
    /// @return the simulated time that passed, at most about `limit`.
    base::duration time_until_active(std::uint64_t version, base::duration limit) {
        const auto start = now_;
        while (now_ - start < limit && !all([&](node& n) { return n.active >= version; })) {
            run(100ms);
        }
        return now_ - start;
    }

    std::function<bool(const member&, const member&)> reachable = [](const member&, const member&) {
        return true;
    };
    double loss_rate = 0;
    bool store_available = true;
    bool reorder_messages = false;  ///< deliver messages in random order, with delays and duplicates.

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
            reply_to_watch(n);
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

    void reply_to_watch(node& n) {
        if (!n.pending_watch) {
            return;
        }
        const auto after = n.pending_watch->after_version;
        const bool changed = store_ && store_->version > after;
        if (!store_available || !n.platform_reachable) {
            n.pending_watch.reset();
            handle(n, platform_failed{});
        } else if (changed || now_ >= n.watch_deadline) {
            n.pending_watch.reset();
            handle(n, platform_replied{after, changed ? std::vector<document_version>{*store_}
                                                      : std::vector<document_version>{}});
        }
    }

    void deliver() {
        // Messages sent during delivery are delivered in the same step, because the network latency is much
        // shorter than a step.
        while (!network_.empty()) {
            if (reorder_messages) {
                std::swap(network_.back(), network_[random_() % network_.size()]);
                if (chance(0.2)) {
                    return;
                }
            }
            const packet p = network_.back();
            if (!reorder_messages || !chance(0.1)) {
                network_.pop_back();
            }
            auto* const to = find(p.to);
            auto* const from = find(p.from.vm);
            if (to != nullptr && to->alive && reachable(p.from, to->id)) {
                if (!chance(loss_rate)) {
                    handle(*to, message_received{p.from, p.content});
                }
            } else if (from->alive && !reorder_messages) {
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
        n.pending_watch = a;
        n.watch_deadline = now_ + a.max_wait;
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
