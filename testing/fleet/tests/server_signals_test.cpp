// What servers say of themselves in their responses: limits, waits, and that they stop.
#include "fleet.h"

#include <algorithm>

namespace chicorygap::testing_fleet {
namespace {

using namespace std::chrono_literals;

/// Time from the first response with a signal until the fleet must act on it.
constexpr base::duration reaction_time = 3s;
/// Window over which a server counts requests against its limit.
constexpr base::duration limit_window = 4s;

struct server_signals : fleet {
    void SetUp() override {
        fleet::SetUp();
        for (int i = 0; i < 3; ++i) {
            add_server("s" + std::to_string(i), standin::order_service);
        }
        start_daemons();
    }

    [[nodiscard]] standin::server& limited() { return *servers[0]; }

    /// Sends requests to the daemons in turn, about 60 a second.
    /// @return number of requests that were answered with success.
    int send_requests(base::duration d, std::size_t first_daemon = 0,
                      std::size_t daemons_used = daemon_count) {
        const auto end = base::boot_clock::now() + d;
        int served = 0;
        for (std::size_t i = 0; base::boot_clock::now() < end; ++i) {
            served += send(first_daemon + i % daemons_used).status == 200 ? 1 : 0;
            ++sent;
        }
        return served;
    }

    /// @return most arrivals at a server in a window of that length that begins at `from` or later.
    static std::ptrdiff_t most_arrivals(const standin::server& s, base::time_point from,
                                        base::duration window) {
        const auto& at = s.arrivals();
        std::ptrdiff_t most = 0;
        for (auto first = std::lower_bound(at.begin(), at.end(), from); first != at.end(); ++first) {
            most = std::max(most, std::lower_bound(first, at.end(), *first + window) - first);
        }
        return most;
    }

    static std::ptrdiff_t arrivals_between(const standin::server& s, base::time_point from,
                                           base::time_point to) {
        const auto& at = s.arrivals();
        return std::lower_bound(at.begin(), at.end(), to) - std::lower_bound(at.begin(), at.end(), from);
    }

    int sent = 0;
};

// Failure: a server gets more requests than the limit that it names in its responses: day "capped".
TEST_F(server_signals, server_gets_no_more_requests_than_the_limit_that_it_names) {
    limited().set_response_field("Server-Limit", "1");
    const auto named_at = base::boot_clock::now();
    const int served = send_requests(reaction_time + limit_window + 2s);
    EXPECT_LE(most_arrivals(limited(), named_at + reaction_time, limit_window), 1.5 * 4 * 1 + 5);
    EXPECT_GE(arrivals_between(limited(), named_at + reaction_time, named_at + reaction_time + 6s), 3)
        << "the limit is used";
    EXPECT_EQ(served, sent);
}

// Failure: as above, and the daemon that heard the limit first is restarted.
TEST_F(server_signals, restarted_daemon_keeps_to_the_limit) {
    limited().set_response_field("Server-Limit", "2");
    const auto named_at = base::boot_clock::now();
    send_requests(2s);
    daemons[1].process->kill();
    daemons[1].process->start();
    send_requests(reaction_time + limit_window - 1s, 1, 2);
    EXPECT_LE(most_arrivals(limited(), named_at + reaction_time, limit_window), 1.5 * 4 * 2 + 5);
}

// Guards against a limit that is kept after its server names none.
TEST_F(server_signals, limit_ends_when_responses_do_not_name_it) {
    limited().set_response_field("Server-Limit", "2");
    send_requests(3s);
    limited().set_response_field("Server-Limit", "");
    send_requests(4s);
    const auto ended = base::boot_clock::now();
    sent = 0;
    send_requests(2s);
    EXPECT_GT(arrivals_between(limited(), ended, base::boot_clock::now()), sent / 6)
        << "a third is the server's part";
}

// Failure: a daemon goes on sending to a server that has answered 503 with Retry-After.
TEST_F(server_signals, server_that_names_a_wait_gets_no_requests_from_that_daemon) {
    limited().set_response_field("Retry-After", "3");
    limited().set_fault(standin::server_fault::overloaded);
    ASSERT_TRUE(run_until([&] {
        send(0);
        return !limited().arrivals().empty();
    }));
    const auto named_at = limited().arrivals().front();
    send_requests(2800ms, 0, 1);
    EXPECT_LE(arrivals_between(limited(), named_at + 500ms, named_at + 2900ms), 2);
    limited().set_fault(standin::server_fault::none);
    send_requests(1500ms, 0, 1);
    EXPECT_GT(arrivals_between(limited(), named_at + 3s, named_at + 5s), 0) << "it is used again afterwards";
}

// Failure: a server gets requests although it says in its responses that it stops; the store has not heard of
// it.
TEST_F(server_signals, server_that_says_that_it_stops_gets_no_requests_after_the_drain_time) {
    limited().set_response_field("Server-Leaving", "1");
    ASSERT_TRUE(run_until([&] {
        send(0);
        return !limited().arrivals().empty();
    }));
    const auto named_at = limited().arrivals().front();
    for (std::size_t i = 0; i < daemon_count; ++i) {
        disconnect_from_store(i);
    }
    const int served = send_requests(drain_time + 1s);
    EXPECT_EQ(arrivals_between(limited(), named_at + drain_time, named_at + drain_time + 1s), 0);
    EXPECT_EQ(served, sent);
}

}  // namespace
}  // namespace chicorygap::testing_fleet
