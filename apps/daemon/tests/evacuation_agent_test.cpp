#include "evacuation_agent.h"

#include "base/store_era.h"
#include "platform/object_codec.h"
#include "platform/store_client.h"
#include "standin/object_store.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace chicorygap::daemon_app {
namespace {

using namespace std::chrono_literals;
using standin::store_fault;

struct evacuation_agent_test : testing::Test {
    /// Daemon, as far as its evacuations are concerned.
    struct daemon {
        daemon(net::loop& l, const net::address& store, bool enabled)
            : client{l, store, era},
              agent{l,
                    client,
                    enabled,
                    [] { return 0; },
                    {.changed =
                         [this](catalog::evacuation_state s) {
                             state = std::move(s);
                             ++changes;
                         },
                     .history_lost = nullptr,
                     .next_watch =
                         [](int /*failures*/) {
                             return platform::watch_options{.mirror = nullptr, .max_wait = 200ms};
                         }}} {
            era.set_changed_hook([this](std::uint64_t previous, std::uint64_t) {
                if (previous != 0) {
                    agent.store_restored();
                }
            });
        }

        base::store_era era;
        platform::store_client client;
        catalog::evacuation_state state;
        int changes = 0;
        evacuation_agent agent;
    };

    static constexpr const char* kind = "evacuations";
    net::loop loop;
    standin::object_store store{loop, {"127.0.0.1", 0}};
    const base::zone_id a{"a"};

    std::unique_ptr<daemon> make(bool enabled = true) {
        return std::make_unique<daemon>(loop, store.address(), enabled);
    }

    bool run_until(const std::function<bool()>& done, base::duration limit = 3s) {
        const auto end = base::boot_clock::now() + limit;
        while (!done() && base::boot_clock::now() < end) {
            loop.run_once(10ms);
        }
        return done();
    }
};

// Failure: the entry exists before the daemon starts, and the store is away at first. Guards against a daemon
// that serves a zone because it has not read the entry yet.
TEST_F(evacuation_agent_test, daemon_is_not_ready_before_it_has_read_the_entries) {
    store.put(kind, "a", "{}");
    store.set_fault(store_fault::unavailable);
    const auto d = make();
    d->agent.start();
    run_until([] { return false; }, 300ms);
    EXPECT_FALSE(d->agent.ready());
    store.set_fault(store_fault::none);
    ASSERT_TRUE(run_until([&] { return d->agent.ready(); }));
    EXPECT_TRUE(d->state.evacuated.contains(a));
}

// A deployment without the setting does not know the kind.
TEST_F(evacuation_agent_test, kind_is_not_read_without_the_setting) {
    const auto d = make(false);
    d->agent.start();
    run_until([] { return false; }, 100ms);
    EXPECT_TRUE(d->agent.ready());
    EXPECT_EQ(store.call_count(), 0U);
}

// Failure: the entry appears and disappears within a second. Guards against a state that does not follow.
TEST_F(evacuation_agent_test, zone_is_evacuated_and_returns_with_the_entry) {
    const auto d = make();
    d->agent.start();
    ASSERT_TRUE(run_until([&] { return d->agent.ready(); }));
    EXPECT_EQ(d->changes, 1);
    const auto before = d->agent.announced();
    store.put(kind, "a", "{}");
    ASSERT_TRUE(run_until([&] { return d->state.evacuated.contains(a); }));
    EXPECT_GT(d->agent.announced(), before);
    store.remove(kind, "a");
    ASSERT_TRUE(run_until([&] { return d->state.returned.contains(a); }));
    EXPECT_TRUE(d->state.evacuated.empty());
}

// Failure: the store turns a daemon away while a zone is evacuated. Guards against a daemon that does not see
// from a beacon that it is behind, and against a copy of a peer that it does not take.
TEST_F(evacuation_agent_test, daemon_without_the_store_learns_of_an_evacuation_from_a_peer) {
    const auto cut_off = make();
    const auto peer = make();
    cut_off->agent.start();
    peer->agent.start();
    ASSERT_TRUE(run_until([&] { return cut_off->agent.ready() && peer->agent.ready(); }));
    cut_off->client.set_address({"127.0.0.1", 1});
    ASSERT_TRUE(run_until([&] { return !cut_off->agent.cache().reachable(); }));
    store.put(kind, "a", "{}");
    ASSERT_TRUE(run_until([&] { return peer->state.evacuated.contains(a); }));
    EXPECT_GT(peer->agent.announced(), cut_off->agent.cache().position());
    EXPECT_TRUE(cut_off->agent.cache().replace_if_newer(peer->agent.cache().encode()));
    EXPECT_TRUE(cut_off->state.evacuated.contains(a));
}

// Failure: a daemon starts while nothing changes. Guards against all its peers fetching its copy because its
// first list is newer than theirs; a daemon that has read nothing must fetch it.
TEST_F(evacuation_agent_test, daemon_that_starts_announces_no_news) {
    store.put(kind, "a", "{}");
    const auto first = make();
    first->agent.start();
    ASSERT_TRUE(run_until([&] { return first->agent.ready(); }));
    for (int i = 0; i < 20; ++i) {
        store.put("servers", "s", std::to_string(i));
    }
    const auto second = make();
    second->agent.start();
    ASSERT_TRUE(run_until([&] { return second->agent.ready(); }));
    EXPECT_LE(second->agent.announced(), first->agent.cache().position());
    EXPECT_GT(second->agent.announced(), base::store_position{});
}

// Failure: the store returns from a copy that lacks the entry. Guards against a daemon that sends requests to
// the zone again although nobody has withdrawn the evacuation.
TEST_F(evacuation_agent_test, evacuation_survives_the_return_of_the_store_from_a_copy) {
    const auto d = make();
    d->agent.start();
    ASSERT_TRUE(run_until([&] { return d->agent.ready(); }));
    store.put("servers", "s", "{}");
    store.save_copy();
    store.put(kind, "a", "{}");
    ASSERT_TRUE(run_until([&] { return d->state.evacuated.contains(a); }));
    store.return_from_copy();
    store.put("servers", "s", "{}");
    ASSERT_TRUE(run_until([&] { return d->agent.cache().position().era == store.era(); }));
    EXPECT_TRUE(d->agent.cache().items().empty());
    EXPECT_TRUE(d->state.evacuated.contains(a));
    EXPECT_TRUE(d->agent.evacuations().at(0).kept);
}

// Guards against a warning with each check, and against none after the zone was named again.
TEST_F(evacuation_agent_test, evacuation_of_an_unknown_zone_is_counted) {
    store.put(kind, "nowhere", "{}");
    store.put(kind, "a", "{}");
    const auto d = make();
    d->agent.start();
    ASSERT_TRUE(run_until([&] { return d->agent.ready(); }));
    d->agent.check_zones([this] { return std::set{a}; });
    EXPECT_EQ(d->agent.unknown_zone_count(), 1U);
    store.remove(kind, "nowhere");
    ASSERT_TRUE(run_until([&] { return d->state.evacuated.size() == 1; }));
    d->agent.check_zones([this] { return std::set{a}; });
    EXPECT_EQ(d->agent.unknown_zone_count(), 0U);
}

}  // namespace
}  // namespace chicorygap::daemon_app
