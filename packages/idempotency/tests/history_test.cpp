#include "fakes/disorder.h"
#include "fakes/histories.h"
#include "idempotency/claim_client.h"
#include "idempotency/shard_owner.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>

namespace chicorygap::idempotency {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t node_count = 3;
constexpr std::size_t key_count = 4;
constexpr int steps = 200;

// Three daemons that may all believe they own the shard, with random loss, delay, pause and restart.
class history {
public:
    explicit history(std::uint64_t seed) : random_{seed} {
        for (std::size_t n = 0; n < node_count; ++n) {
            restart(n);
        }
        to_owner(0, role_acquired{++term_});
        for (std::size_t n = 0; n < node_count; ++n) {
            to_client(n, owner_changed{shard_of(id(0)), name(0)});
        }
    }

    void run() {
        for (int i = 0; i < steps && fault_.empty(); ++i) {
            step();
        }
    }

    [[nodiscard]] const std::string& fault() const { return fault_; }
    [[nodiscard]] std::size_t executions() const { return executed_.size(); }

private:
    struct node {
        std::unique_ptr<shard_owner> owner;
        std::unique_ptr<claim_client> client;
        std::uint64_t incarnation = 0;
        bool paused = false;
    };

    void step() {
        const auto n = random_.below(node_count);
        now_ += std::chrono::milliseconds{random_.below(random_.chance(2) ? 3000 : 60)};
        switch (random_.below(24)) {
            case 0:
                if (random_.chance(50)) {
                    to_owner(n, role_acquired{++term_});
                }
                break;
            case 1:
                if (random_.chance(20)) {
                    to_owner(n, role_lost{});
                }
                break;
            case 2:
                nodes_[n].paused = !nodes_[n].paused;
                break;
            case 3:
                if (random_.chance(20)) {
                    restart(n);
                }
                break;
            case 4:
                to_client(n, owner_changed{shard_of(id(0)), name(random_.below(node_count))});
                break;
            case 5:
            case 6:
                new_request(n);
                break;
            case 7:
                finish_one(n);
                break;
            case 8:
                to_owner(n, tick{});
                to_client(n, client_tick{});
                break;
            default:
                network_.step(15);
        }
    }

    // All keys belong to one shard as far as this test is concerned: the owner does not check the shard.
    static digest id(std::size_t key) {
        auto d = make_record_id("north", "booking", std::to_string(key));
        d.bytes[0] = 0;
        return d;
    }

    static std::string name(std::size_t n) { return std::to_string(n); }

    void restart(std::size_t n) {
        auto& v = nodes_[n];
        v.incarnation = ++last_incarnation_;
        v.paused = false;
        shard_options o;
        o.owner = name(n);
        o.incarnation = v.incarnation;
        o.segment_bytes = 300;
        o.retention = 1000h;
        v.owner = std::make_unique<shard_owner>(o);
        v.client = std::make_unique<claim_client>();
    }

    void new_request(std::size_t n) {
        const auto key = random_.below(key_count);
        const claim c{++last_number_, id(key), make_digest(random_.chance(90) ? "a" : "b")};
        requests_[c.number] = c;
        to_client(n, permit_wanted{c});
    }

    void finish_one(std::size_t n) {
        if (executed_.empty()) {
            return;
        }
        auto it = executed_.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random_.below(executed_.size())));
        to_client(n, request_finished{it->first, {200, it->first.hex(), true}});
    }

    // A message to a paused daemon waits; one to a dead incarnation is lost.
    template <typename F>
    void when_running(std::size_t n, std::uint64_t incarnation, const F& f) {
        if (nodes_[n].incarnation != incarnation) {
            return;
        }
        if (nodes_[n].paused) {
            network_.send([=, this] { when_running(n, incarnation, f); },
                          [=, this] { when_running(n, incarnation, f); });
            return;
        }
        f();
    }

    void to_owner(std::size_t n, const shard_event& e) {
        when_running(n, nodes_[n].incarnation, [=, this] {
            for (const auto& a : nodes_[n].owner->handle(e, now_)) {
                std::visit([&](const auto& v) { on_owner_action(n, v); }, a);
            }
        });
    }

    template <typename Call>
    void on_owner_action(std::size_t n, const Call& call) {
        const auto incarnation = nodes_[n].incarnation;
        network_.call_store(call, [=, this](const base::store_reply& r) {
            when_running(n, incarnation, [=, this] { to_owner(n, r); });
        });
    }

    void on_owner_action(std::size_t /*n*/, const decision& d) {
        const auto [client, incarnation] = askers_[d.claim_number];
        const auto deliver = [=, this, c = client, i = incarnation] {
            when_running(c, i, [=, this] { to_client(c, claim_decided{d}); });
        };
        network_.send(deliver, [] {});
        if (random_.chance(10)) {
            network_.send(deliver, [] {});
        }
    }

    void to_client(std::size_t n, const client_event& e) {
        when_running(n, nodes_[n].incarnation, [=, this] {
            for (const auto& a : nodes_[n].client->handle(e, now_)) {
                std::visit([&](const auto& v) { on_client_action(n, v); }, a);
            }
        });
    }

    void on_client_action(std::size_t n, const send_claim& a) {
        askers_[a.request.number] = {n, nodes_[n].incarnation};
        const auto to = std::stoul(a.daemon);
        network_.send([=, this] { to_owner(to, a.request); },
                      [=, this] { to_client(n, claim_lost{a.request.number}); });
    }

    void on_client_action(std::size_t n, const send_outcome& a) {
        const auto to = std::stoul(a.daemon);
        network_.send(
            [=, this] {
                to_owner(to, outcome_reported{a.id, a.result});
                to_client(n, outcome_accepted{a.id});
            },
            [] {});
    }

    void on_client_action(std::size_t /*n*/, const permit& a) {
        const auto& c = requests_[a.claim_number];
        if (++executed_[c.id] > 1) {
            fault_ = "P10: an id was executed twice";
        }
        if (!executed_numbers_.insert(a.claim_number).second || not_run_.contains(a.claim_number)) {
            fault_ = "P9: a request ran after it was refused as not run";
        }
    }

    void on_client_action(std::size_t /*n*/, const refuse& a) {
        if (a.state == base::run_state::not_run) {
            not_run_.insert(a.claim_number);
            if (executed_numbers_.contains(a.claim_number)) {
                fault_ = "P9: a request that ran was refused as not run";
            }
        }
    }

    void on_client_action(std::size_t /*n*/, const repeat_outcome& a) {
        if (a.result.body != requests_[a.claim_number].id.hex()) {
            fault_ = "P8: a request received another request's outcome";
        }
    }

    fakes::dice random_;
    fakes::message_store store_;
    fakes::disorder network_{store_, random_};
    std::array<node, node_count> nodes_;
    base::time_point now_{1h};
    std::uint64_t last_incarnation_ = 0;
    std::uint64_t last_number_ = 0;
    std::uint64_t term_ = 0;
    std::map<std::uint64_t, claim> requests_;
    std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> askers_;
    std::map<digest, int> executed_;
    std::set<std::uint64_t> executed_numbers_;
    std::set<std::uint64_t> not_run_;
    std::string fault_;
};

// Guards against two executions of one id and against a false "not run" under any order of loss, delay,
// duplication, pause, restart and disputed ownership.
TEST(idempotency_history, at_most_once_and_not_run_is_true) {
    std::size_t executions = 0;
    const auto passed = fakes::check_histories("P9 and P10 over random fault schedules", [&](auto seed) {
        history h{seed};
        h.run();
        executions += h.executions();
        return h.fault();
    });
    EXPECT_TRUE(passed);
    // A schedule that executes nothing would prove nothing.
    EXPECT_GT(executions, 5'000U);
}

}  // namespace
}  // namespace chicorygap::idempotency
