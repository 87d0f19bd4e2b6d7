#include "fakes/disorder.h"
#include "fakes/histories.h"
#include "lease/role_lease.h"
#include "orders/order_processor.h"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <set>

namespace chicorygap::orders {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t node_count = 3;
constexpr std::size_t key_count = 4;
constexpr int step_count = 400;

// Simulates three daemons that compete for the role and request the same orders, with random message loss,
// delays, pauses and restarts.
class fault_schedule {
public:
    explicit fault_schedule(std::uint64_t seed) : random_{seed} {
        for (std::size_t n = 0; n < node_count; ++n) {
            restart(n);
        }
    }

    void run() {
        for (int i = 0; i < step_count && violation_.empty(); ++i) {
            step();
        }
    }

    [[nodiscard]] const std::string& violation() const { return violation_; }
    [[nodiscard]] std::size_t orders() const { return ids_.size(); }
    [[nodiscard]] std::size_t holders() const { return terms_.size(); }

private:
    struct node {
        std::unique_ptr<lease::role_lease> lease;
        std::unique_ptr<order_processor> processor;
        std::uint64_t incarnation = 0;
        bool paused = false;
    };

    void step() {
        const auto n = random_.below(node_count);
        now_ += std::chrono::milliseconds{random_.below(random_.chance(2) ? 16000 : 60)};
        switch (random_.below(20)) {
            case 0:
                nodes_[n].paused = !nodes_[n].paused && random_.chance(30);
                break;
            case 1:
                if (random_.chance(10)) {
                    restart(n);
                }
                break;
            case 2:
                request_order(n);
                break;
            case 3:
                if (random_.chance(5) && !nodes_[n].processor->has_order_in_flight()) {
                    to_lease(n, lease::release_requested{});
                }
                break;
            case 4:
            case 5:
            case 6:
            case 7:
                to_lease(n, lease::tick{});
                to_processor(n, tick{});
                break;
            default:
                network_.step(10);
        }
    }

    void restart(std::size_t n) {
        auto& v = nodes_[n];
        v.incarnation = ++last_incarnation_;
        v.paused = false;
        lease::lease_options l;
        l.role = "zone-control-a";
        l.holder = std::to_string(n);
        l.incarnation = v.incarnation;
        order_options o;
        o.zone = "a";
        o.holder = l.holder;
        o.incarnation = v.incarnation;
        o.slot_count = 4;
        v.lease = std::make_unique<lease::role_lease>(l);
        v.processor = std::make_unique<order_processor>(o);
    }

    void request_order(std::size_t n) {
        const auto k = random_.below(key_count);
        order_requested w;
        w.deduplication_key = std::to_string(k);
        w.content.count = 1;
        w.content.receiver_fences = k % 2 == 0;
        to_processor(n, w);
    }

    // A message to a paused daemon is delayed; a message to an earlier incarnation is dropped.
    template <typename F>
    void when_running(std::size_t n, std::uint64_t incarnation, const F& f) {
        if (nodes_[n].incarnation != incarnation) {
            return;
        }
        if (nodes_[n].paused) {
            const auto later = [=, this] { when_running(n, incarnation, f); };
            network_.send(later, later);
            return;
        }
        f();
    }

    void to_lease(std::size_t n, const lease::lease_event& e) {
        when_running(n, nodes_[n].incarnation, [=, this] {
            for (const auto& a : nodes_[n].lease->handle(e, now_)) {
                std::visit([&](const auto& v) { on_lease_action(n, v); }, a);
            }
        });
    }

    template <typename Call>
    void on_lease_action(std::size_t n, const Call& call) {
        const auto incarnation = nodes_[n].incarnation;
        network_.call_store(call, [=, this](const base::store_reply& r) {
            when_running(n, incarnation, [=, this] { to_lease(n, r); });
        });
    }
    void on_lease_action(std::size_t n, const lease::acquired& a) {
        terms_.insert(a.term);
        to_processor(n, role_acquired{a.term});
    }
    void on_lease_action(std::size_t n, const lease::lost& /*a*/) { to_processor(n, role_lost{}); }
    void on_lease_action(std::size_t n, const lease::released& /*a*/) {
        to_processor(n, role_lost{});
        to_lease(n, lease::candidacy_changed{true});
    }

    void to_processor(std::size_t n, const order_event& e) {
        when_running(n, nodes_[n].incarnation, [=, this] {
            for (const auto& a : nodes_[n].processor->handle(e, now_)) {
                std::visit([&](const auto& v) { on_processor_action(n, v); }, a);
            }
        });
    }

    template <typename Action>
    void on_processor_action(std::size_t n, const Action& a) {
        if constexpr (std::is_same_v<Action, base::store_put> || std::is_same_v<Action, base::store_list>) {
            const auto incarnation = nodes_[n].incarnation;
            network_.call_store(a, [=, this](const base::store_reply& r) {
                when_running(n, incarnation, [=, this] { to_processor(n, r); });
            });
        }
    }

    // The first message stands for the connection. The lease is checked after connecting, immediately before
    // writing.
    void on_processor_action(std::size_t n, const send_order& a) {
        const auto incarnation = nodes_[n].incarnation;
        const auto reply = [=, this](send_result r) {
            when_running(n, incarnation, [=, this] { to_processor(n, order_replied{a.sequence, r}); });
        };
        const auto connected = [=, this] {
            when_running(n, incarnation, [=, this] {
                if (!nodes_[n].lease->may_act(a.term, now_)) {
                    reply(send_result::not_sent);
                    return;
                }
                const auto r = receive(n, a);
                network_.send([=] { reply(r); }, [=] { reply(send_result::no_reply); });
            });
        };
        network_.send(connected, [=] { reply(send_result::not_sent); });
    }

    send_result receive(std::size_t sender, const send_order& a) {
        for (std::size_t n = 0; n < node_count; ++n) {
            if (n != sender && nodes_[n].lease->may_act(now_)) {
                violation_ =
                    "P6: an order arrived while another daemon was also permitted to act in the role";
            }
        }
        if (a.term < highest_term_) {
            if (a.content.receiver_fences) {
                return send_result::stale_token;
            }
            violation_ = "P6: an order of a former holder reached a receiver without fencing";
        }
        highest_term_ = std::max(highest_term_, a.term);
        const auto* r = nodes_[sender].processor->records().contains(a.sequence)
                            ? &nodes_[sender].processor->records().at(a.sequence)
                            : nullptr;
        if (r != nullptr) {
            const auto [it, first] = ids_.try_emplace(r->deduplication_key, a.order_id);
            if (!first && it->second != a.order_id) {
                violation_ = "two orders with one deduplication key";
            }
        }
        return random_.chance(20) ? send_result::rejected : send_result::accepted;
    }

    fakes::dice random_;
    fakes::message_store store_;
    fakes::disorder network_{store_, random_};
    std::array<node, node_count> nodes_;
    base::time_point now_{1h};
    std::uint64_t last_incarnation_ = 0;
    std::uint64_t highest_term_ = 0;
    std::map<std::string, std::string> ids_;
    std::set<std::uint64_t> terms_;
    std::string violation_;
};

// Guards against orders of two holders, and against two orders with one deduplication key, under random
// sequences of message loss, delay, pause, restart and release.
TEST(orders_fault_schedule, one_holder_sends_one_order_per_deduplication_key) {
    std::size_t orders = 0;
    std::size_t holders = 0;
    EXPECT_TRUE(fakes::check_histories("P6 over random fault schedules", [&](auto seed) {
        fault_schedule h{seed};
        h.run();
        orders += h.orders();
        holders += h.holders();
        return h.violation();
    }));
    // Schedules without orders and takeovers would not test the properties.
    EXPECT_GT(orders, 5'000U);
    EXPECT_GT(holders, 12'000U);
}

}  // namespace
}  // namespace chicorygap::orders
