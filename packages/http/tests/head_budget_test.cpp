// Which heads are taken, and which connections are closed, when memory is scarce.
#include "http/head_budget.h"

#include "http/connection_shedding.h"
#include "memory/account.h"
#include "memory/charge.h"

#include <gtest/gtest.h>

#include <vector>

namespace chicorygap::http {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t limit = 1'000'000;

struct head_budget_test : testing::Test {
    memory::account account{limit};
    head_budget budget{&account};
    memory::charge heads{&account, memory::owner::request_head};
    memory::charge others{&account, memory::owner::response};
};

// Failure: a crowd of heads of many short lines takes the memory that responses need.
TEST_F(head_budget_test, large_heads_take_a_quarter_of_the_account_together) {
    heads.set(200'000);
    EXPECT_TRUE(budget.may_hold_head(0, 50'000));
    EXPECT_FALSE(budget.may_hold_head(0, 50'001));
    EXPECT_TRUE(budget.may_hold_head(100'000, 150'000)) << "its own bytes do not count twice";
}

// Failure: ordinary callers are turned away because of the crowd.
TEST_F(head_budget_test, head_of_usual_size_is_always_taken) {
    heads.set(2 * limit);
    EXPECT_TRUE(budget.may_hold_head(0, head_budget::usual_head_bytes));
    EXPECT_FALSE(budget.may_hold_head(0, head_budget::usual_head_bytes + 1));
}

// Failure: a single request inside the limits is refused on a small VM.
TEST_F(head_budget_test, head_that_is_alone_is_taken_whatever_its_size) {
    EXPECT_TRUE(budget.may_hold_head(0, limit / 2));
    heads.set(300'000);
    EXPECT_TRUE(budget.may_hold_head(300'000, limit / 2));
}

TEST_F(head_budget_test, large_heads_give_way_under_pressure) {
    others.set(limit * 8 / 10);
    EXPECT_FALSE(budget.may_hold_head(0, 10'000));
    EXPECT_FALSE(budget.may_hold_input(0, 10'000));
    EXPECT_TRUE(head_budget{nullptr}.may_hold_head(0, 10'000));
}

struct connection_shedding_test : head_budget_test {
    const base::time_point now{100s};
    std::vector<held_connection> connections{
        {connection_use::idle, 3'000, now - 9s},        {connection_use::unfinished_head, 60'000, now},
        {connection_use::request, 90'000, now},         {connection_use::unfinished_head, 3'500, now},
        {connection_use::unfinished_head, 70'000, now}, {connection_use::idle, 3'000, now - 2s},
    };
};

TEST_F(connection_shedding_test, nothing_is_closed_without_pressure) {
    others.set(limit * 7 / 10);
    EXPECT_TRUE(connections_to_close(connections, account).empty());
}

// Failure: responses and bodies of ordinary callers end while crowds hold unfinished heads.
TEST_F(connection_shedding_test, unfinished_heads_go_first_and_only_as_many_as_needed) {
    others.set(limit * 76 / 100);
    EXPECT_EQ(connections_to_close(connections, account), (std::vector<std::size_t>{4, 1}));
    others.set(limit * 70 / 100);
    EXPECT_EQ(connections_to_close(connections, account), (std::vector<std::size_t>{4}));
}

TEST_F(connection_shedding_test, idle_connections_follow_when_the_limit_is_exceeded_and_requests_stay) {
    others.set(limit + 1);
    EXPECT_EQ(connections_to_close(connections, account), (std::vector<std::size_t>{4, 1, 3, 0, 5}));
}

}  // namespace
}  // namespace chicorygap::http
