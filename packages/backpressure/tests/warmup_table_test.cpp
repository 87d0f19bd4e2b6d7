#include "backpressure/signal_table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace chicorygap::backpressure {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{1000s};

catalog::backend_server make_server(const std::string& id, base::duration remaining = {},
                                    std::uint64_t revision = 1) {
    catalog::backend_server s;
    s.id = base::backend_server_id{id};
    s.service = base::service_id{"s"};
    s.zone = base::zone_id{"z"};
    s.remaining_warmup = remaining;
    s.entry_revision = revision;
    return s;
}

struct warmup_table_test : testing::Test {
    signal_table table{base::vm_id{"a"}, base::zone_id{"z"}, start - 1h};
    server_key key = key_of(make_server("x"));
    std::vector<server_status> found;

    void SetUp() override {
        table.set_hooks({.changed = nullptr,
                         .news = nullptr,
                         .server_leaving = nullptr,
                         .server_cold = [this](const server_status& s) { found.push_back(s); }});
        table.set_warmups(warmup_bounds{1.5, 5}, {{base::service_id{"s"}, {3s, 10}}}, start);
        table.set_servers({make_server("x")}, start);
    }
    /// @return starts within the time, as many as the table allows.
    int starts(base::time_point from, base::duration d) {
        int n = 0;
        for (auto now = from; now < from + d; now += 1ms) {
            if (table.may_start(key, now)) {
                table.record_start(key, now);
                ++n;
            }
        }
        return n;
    }
};

// Guards against a division that exceeds its half of the bound in some second.
TEST(warmup_division, senders_stay_within_half_of_the_bound) {
    EXPECT_EQ(divide_warmup({3s, 10}, {1.5, 5}, 30), (warmup_division{5, 625ms}));
    rc::check([] {
        const auto number = [](int limit) { return *rc::gen::inRange(0, limit) / 10.0; };
        const catalog::warmup w{3s, 0.1 + number(1000)};
        const warmup_bounds b{number(40), number(300)};
        const auto daemons = *rc::gen::inRange<std::size_t>(1, 70);
        const auto d = divide_warmup(w, b, daemons);
        RC_ASSERT(d.senders >= 1 && d.senders <= daemons);
        const auto each = 1 + static_cast<std::size_t>((1s - base::duration{1}) / d.gap);
        const double half = (w.requests_per_s * b.overage + b.slack) / 2;
        RC_ASSERT(static_cast<double>(d.senders * each) <= std::max(1.0, half));
    });
}

// Guards against a limit on servers that were there before this daemon, or for services without warm-up.
TEST_F(warmup_table_test, servers_of_the_first_list_are_warm) {
    EXPECT_FALSE(table.cold(key, start));
    EXPECT_GE(starts(start, 1s), 900);
}

TEST_F(warmup_table_test, instance_that_was_not_listed_before_is_cold) {
    auto renewed = make_server("x");
    renewed.incarnation = 7;
    table.set_servers({renewed}, start + 1s);
    key = key_of(renewed);
    EXPECT_TRUE(table.cold(key, start + 3999ms));
    EXPECT_FALSE(table.cold(key, start + 4s));
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found.front().cold_source, "first_seen");
    EXPECT_EQ(found.front().server.str(), "x");
    EXPECT_EQ(starts(start + 2s, 1s), 8) << "alone in its fleet, one start in 125 ms";
}

// Guards against a time that starts again with each list, and against an entry that is written again with the
// same time and taken for the old one.
TEST_F(warmup_table_test, entry_counts_from_the_time_at_which_it_was_written_again) {
    table.set_servers({make_server("x", 1s, 2)}, start);
    table.set_servers({make_server("x", 1s, 2)}, start + 500ms);
    EXPECT_FALSE(table.cold(key, start + 1s));
    table.set_servers({make_server("x", 1s, 3)}, start + 2s);
    EXPECT_TRUE(table.cold(key, start + 2900ms));
    table.set_servers({make_server("x", 0s, 4)}, start + 2950ms);
    EXPECT_FALSE(table.cold(key, start + 2950ms));
}

// Failure: a server says that it stays cold for hours.
TEST_F(warmup_table_test, time_that_a_server_says_is_bounded_by_its_service) {
    table.observe(make_server("x"), {.cold = 1h}, start, start);
    EXPECT_TRUE(table.cold(key, start + 2999ms));
    EXPECT_FALSE(table.cold(key, start + 3s));
    table.set_servers({make_server("x", 1h, 2)}, start + 5s);
    EXPECT_FALSE(table.cold(key, start + 8s));
}

TEST_F(warmup_table_test, response_that_says_warm_ends_what_an_earlier_one_said) {
    table.observe(make_server("x"), {.cold = 2s}, start, start);
    table.observe(make_server("x"), {.cold = 0s}, start, start + 1s);
    EXPECT_FALSE(table.cold(key, start + 1s));
}

// Failure: a server ends and comes back as a new process under its old entry.
TEST_F(warmup_table_test, unreachable_server_and_returned_zone_count_as_cold) {
    table.record_unreachable(key, start);
    EXPECT_TRUE(table.cold(key, start + 2999ms));
    EXPECT_FALSE(table.cold(key, start + 3s));
    table.zone_returned(base::zone_id{"other"}, start + 4s);
    EXPECT_FALSE(table.cold(key, start + 4s));
    table.zone_returned(base::zone_id{"z"}, start + 4s);
    EXPECT_TRUE(table.cold(key, start + 6999ms));
    EXPECT_EQ(table.status(start + 5s).front().cold_source, "zone_returned");
}

// Guards against waiting times that ignore when the server is warm, or when this daemon may send.
TEST_F(warmup_table_test, forecast_tells_the_next_start_and_the_end) {
    table.observe(make_server("x"), {.cold = 2s}, start, start);
    table.record_start(key, start);
    const auto f = table.forecast(key, start + 25ms);
    ASSERT_TRUE(f && f->rate && f->limit_ends);
    EXPECT_EQ(f->first, 100ms);
    EXPECT_EQ(*f->limit_ends, 1975ms);
    table.record_start(key, start + 1950ms);
    EXPECT_EQ(table.forecast(key, start + 1990ms)->first, 10ms) << "warm before the next start is due";
    EXPECT_EQ(table.forecast(key, start + 2s)->first, 0ms);
    EXPECT_FALSE(table.forecast(key, start + 2s)->rate);
}

// Guards against a server that gets all requests of a daemon at once although it may be cold already.
TEST_F(warmup_table_test, server_with_many_starts_within_a_second_is_crowded) {
    for (int i = 0; i < 4; ++i) {
        EXPECT_FALSE(table.crowded(key, start + i * 100ms));
        table.record_start(key, start + i * 100ms);
    }
    EXPECT_TRUE(table.crowded(key, start + 999ms)) << "a fifth of 20";
    EXPECT_FALSE(table.crowded(key, start + 1s));
    table.set_warmups(std::nullopt, {}, start);
    EXPECT_FALSE(table.crowded(key, start + 400ms));
}

// Guards against a limit in deployments that name no bound.
TEST_F(warmup_table_test, without_bounds_there_is_no_limit) {
    table.set_warmups(std::nullopt, {{base::service_id{"s"}, {3s, 10}}}, start);
    table.observe(make_server("x"), {.cold = 2s}, start, start);
    EXPECT_FALSE(table.cold(key, start));
    EXPECT_TRUE(found.empty());
}

// Failure: a daemon starts while servers are cold. Guards against starts before it has heard of its peers.
TEST_F(warmup_table_test, daemon_that_has_just_started_waits) {
    signal_table young{base::vm_id{"a"}, base::zone_id{"z"}, start};
    young.set_warmups(warmup_bounds{1.5, 5}, {{base::service_id{"s"}, {3s, 10}}}, start);
    young.set_servers({make_server("x", 3s)}, start);
    EXPECT_FALSE(young.may_start(key, start + 999ms));
    EXPECT_TRUE(young.may_start(key, start + 1s));
    EXPECT_EQ(young.forecast(key, start + 400ms)->first, 600ms);
}

}  // namespace
}  // namespace chicorygap::backpressure
