#include "memory/account.h"

#include "memory/charge.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chicorygap::memory {
namespace {

TEST(account_test, sum_and_owners_follow_the_charges) {
    account a{1000};
    charge body{&a, owner::request_body};
    body.set(100);
    {
        charge response{&a, owner::response};
        response.set(70);
        response.set(50);
        EXPECT_EQ(a.held(), 150U);
        EXPECT_EQ(a.held(owner::response), 50U);
    }
    EXPECT_EQ(a.held(), 100U);
    EXPECT_EQ(a.held(owner::request_body), 100U);
    EXPECT_EQ(a.peak(), 170U);
}

// Guards against bytes that are counted twice, or never released, when a buffer changes its holder.
TEST(account_test, moved_charge_is_counted_once) {
    account a{1000};
    charge first{&a, owner::request_body};
    first.set(100);
    charge second{std::move(first)};
    EXPECT_EQ(a.held(), 100U);
    charge third{&a, owner::response};
    third.set(30);
    third = std::move(second);
    EXPECT_EQ(a.held(), 100U);
    EXPECT_EQ(a.held(owner::response), 0U);
    third = charge{};
    EXPECT_EQ(a.held(), 0U);
}

TEST(account_test, levels_are_entered_at_their_bound_and_left_below_it) {
    account a{1000};
    std::vector<std::string> changes;
    a.set_change_hook([&](pressure from, pressure to) {
        changes.push_back(std::string{to_string(from)} + ">" + std::string{to_string(to)});
    });
    charge c{&a, owner::response};
    for (const std::size_t n : {499, 500, 499, 400, 399, 750, 650, 649, 1000, 900, 899, 0, 1000}) {
        c.set(n);
    }
    EXPECT_EQ(changes, (std::vector<std::string>{"none>elevated", "elevated>none", "none>critical",
                                                 "critical>elevated", "elevated>exceeded",
                                                 "exceeded>critical", "critical>none", "none>exceeded"}));
    EXPECT_EQ(a.excess(), 101U);
}

TEST(account_test, reservation_is_refused_that_would_enter_the_critical_level) {
    account a{1000};
    charge first{&a, owner::request_body};
    charge second{&a, owner::request_body};
    EXPECT_TRUE(first.try_set(700));
    EXPECT_FALSE(second.try_set(50));
    EXPECT_EQ(second.bytes(), 0U);
    EXPECT_TRUE(second.try_set(49));
    EXPECT_TRUE(first.try_set(10));
    EXPECT_EQ(a.held(), 59U);
}

TEST(account_test, charge_without_an_account_counts_nothing) {
    charge c{nullptr, owner::response};
    EXPECT_TRUE(c.try_set(100));
    charge none;
    none.set(100);
    EXPECT_EQ(none.bytes(), 0U);
}

RC_GTEST_PROP(account_property, sum_is_that_of_the_live_charges,
              (const std::vector<std::pair<std::uint8_t, std::uint16_t>>& steps)) {
    account a{100'000};
    std::map<int, charge> live;
    for (const auto& [key, bytes] : steps) {
        const int slot = key % 8;
        if (bytes % 5 == 0) {
            live.erase(slot);
            continue;
        }
        const auto it =
            live.try_emplace(slot, &a, all_owners.at(static_cast<std::size_t>(key) % all_owners.size()))
                .first;
        it->second.set(bytes);
        std::size_t sum = 0;
        for (const auto& [k, c] : live) {
            sum += c.bytes();
        }
        RC_ASSERT(a.held() == sum);
        std::size_t by_owner = 0;
        for (const auto o : all_owners) {
            by_owner += a.held(o);
        }
        RC_ASSERT(by_owner == sum);
        RC_ASSERT(a.level() != pressure::exceeded || sum >= 90'000);
        RC_ASSERT(a.level() != pressure::none || sum < 50'000);
    }
}

}  // namespace
}  // namespace chicorygap::memory
