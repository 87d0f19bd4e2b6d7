/// @file
/// Simulated network for several instances of the membership protocol in one process.
#pragma once

#include "membership/membership_protocol.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace chicorygap::membership::testing {

using namespace std::chrono_literals;

/// One daemon and the actions that its protocol returned.
struct node {
    membership_protocol protocol;
    bool running = true;
    bool paused = false;
    std::size_t sent_bytes = 0;
    std::size_t largest_message_bytes = 0;
    std::vector<member_changed> changes{};
    std::map<std::string, std::vector<server_load>> loads{};
};

/// Simulated network with message loss, a delay of 1 ms and blocked links. Time advances in ticks of 100 ms.
class simulated_network {
public:
    explicit simulated_network(std::uint64_t seed) : random_{seed} {}

    /// Probability that a message is lost.
    double loss_probability = 0;
    /// Returns true for pairs of addresses that cannot communicate.
    std::function<bool(const std::string&, const std::string&)> link_blocked = [](const auto&, const auto&) {
        return false;
    };

    node& add(const std::string& address, const std::string& zone, std::uint64_t incarnation = 1) {
        const member self{.id = base::vm_id{"vm-" + address},
                          .address = address,
                          .zone = base::zone_id{zone},
                          .incarnation = incarnation};
        auto random = [g = std::make_shared<std::mt19937_64>(random_())] { return (*g)(); };
        nodes.erase(address);
        auto& n = nodes.emplace(address, node{.protocol = membership_protocol{{.self = self}, random, now}})
                      .first->second;
        dispatch(address, n.protocol.handle(seeds_changed{seeds}, now));
        return n;
    }

    /// Adds `count` daemons "<zone>:0", "<zone>:1", ... and lists the first ones as seeds.
    void add_zone(const std::string& zone, int count) {
        for (int i = 0; i < std::min(count, 3); i++) {
            seeds.push_back({zone + ":" + std::to_string(i), base::zone_id{zone}});
        }
        for (int i = 0; i < count; i++) {
            add(zone + ":" + std::to_string(i), zone);
        }
        for (auto& [address, n] : nodes) {
            dispatch(address, n.protocol.handle(seeds_changed{seeds}, now));
        }
    }

    void handle_event(const std::string& address, const event& e) {
        dispatch(address, nodes.at(address).protocol.handle(e, now));
    }

    void run(base::duration time) {
        for (const auto end = now + time; now < end; now += 100ms) {
            for (auto& [address, n] : nodes) {
                if (n.running && !n.paused) {
                    dispatch(address, n.protocol.handle(tick{}, now));
                }
            }
            deliver();
        }
    }

    /// Runs until the condition holds.
    /// @return the elapsed time, or at least `limit` if the condition did not hold in time.
    base::duration run_until(const std::function<bool()>& condition, base::duration limit) {
        const auto begin = now;
        while (!condition() && now - begin < limit) {
            run(100ms);
        }
        return now - begin;
    }

    /// @return whether every running daemon of the zone sees as many alive members as daemons are running.
    [[nodiscard]] bool views_complete(const std::string& zone) const {
        std::size_t expected = 0;
        for (const auto& [address, n] : nodes) {
            expected += n.running && n.protocol.self().zone.str() == zone ? 1 : 0;
        }
        return std::ranges::all_of(nodes, [&](const auto& pair) {
            const auto& n = pair.second;
            return !n.running || n.protocol.self().zone.str() != zone || alive_count(n) == expected;
        });
    }

    /// @return whether the address is in the live list of every other running daemon exactly if `live` is
    /// true.
    [[nodiscard]] bool all_see(const std::string& address, bool live) const {
        return std::ranges::all_of(nodes, [&](const auto& pair) {
            const auto list = pair.second.protocol.live_members();
            return pair.first == address || !pair.second.running ||
                   (std::ranges::find(list, address, &member::address) != list.end()) == live;
        });
    }

    static std::size_t alive_count(const node& n) {
        const auto list = n.protocol.live_members();
        return static_cast<std::size_t>(std::ranges::count(list, member_state::alive, &member::state));
    }

    base::time_point now{1000s};
    std::map<std::string, node> nodes;
    std::vector<seed> seeds;

private:
    struct packet {
        std::string from;
        send content;
    };

    void dispatch(const std::string& from, std::vector<action> actions) {
        auto& n = nodes.at(from);
        for (auto& a : actions) {
            if (auto* s = std::get_if<send>(&a)) {
                const auto size = encoded_size(s->content);
                n.sent_bytes += size;
                n.largest_message_bytes = std::max(n.largest_message_bytes, size);
                if (std::uniform_real_distribution<>{}(random_) >= loss_probability) {
                    packets_.push_back({from, std::move(*s)});
                }
            } else if (auto* c = std::get_if<member_changed>(&a)) {
                n.changes.push_back(*c);
            } else if (auto* l = std::get_if<peer_loads_received>(&a)) {
                n.loads[l->peer.str()] = l->loads;
            }
        }
    }

    void deliver() {
        while (!packets_.empty()) {
            for (auto& p : std::exchange(packets_, {})) {
                const auto it = nodes.find(p.content.address);
                const bool reachable = it != nodes.end() && it->second.running && !it->second.paused;
                if (reachable && !link_blocked(p.from, p.content.address)) {
                    dispatch(it->first, it->second.protocol.handle(received{p.content.content}, now + 1ms));
                }
            }
        }
    }

    std::mt19937_64 random_;
    std::vector<packet> packets_;
};

}  // namespace chicorygap::membership::testing
