#include "catalog/evacuation_table.h"

#include <gtest/gtest.h>

#include <string>

namespace chicorygap::catalog {
namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{100s};
const base::zone_id a{"a"};
const base::zone_id b{"b"};

struct evacuation_table_test : testing::Test {
    std::string changes;
    evacuation_table table{[this](const evacuation_change& c) {
        changes += (changes.empty() ? std::string{} : " ") + (c.evacuated ? '+' : '-') + c.subject.zone.str();
    }};

    bool observe(const std::vector<evacuation_entry>& listed, base::store_position as_of,
                 base::duration after) {
        return table.observe(listed, as_of, start + after);
    }
};

// Failure: two zones are evacuated at once and taken back one after the other. Guards against one entry that
// replaces the other.
TEST_F(evacuation_table_test, zones_are_evacuated_independently) {
    EXPECT_FALSE(table.known());
    EXPECT_FALSE(observe({}, {1, 10}, 0s));
    EXPECT_TRUE(table.known());
    EXPECT_TRUE(observe({{a, 11}, {b, 12}}, {1, 12}, 1s));
    EXPECT_TRUE(table.evacuated(a) && table.evacuated(b));
    EXPECT_FALSE(observe({{a, 11}, {b, 12}}, {1, 13}, 2s));
    EXPECT_TRUE(observe({{b, 12}}, {1, 14}, 3s));
    EXPECT_EQ(changes, "+a +b -a");
    const auto s = table.state(start + 3s);
    EXPECT_EQ(s.evacuated, std::set<base::zone_id>{b});
    EXPECT_EQ(s.returned.at(a), start + 3s);
    EXPECT_EQ(table.evacuations().at(0).since, start + 1s);
}

// Failure: the entry exists when the daemon starts. Guards against a zone that counts as usable until the
// entry is written again.
TEST_F(evacuation_table_test, entry_of_the_first_list_is_in_force) {
    EXPECT_TRUE(observe({{a, 5}}, {1, 10}, 0s));
    EXPECT_TRUE(table.evacuated(a));
}

// Load: a zone is evacuated and taken back within a second, and again. Guards against a state that lags
// behind the last list.
TEST_F(evacuation_table_test, zone_that_is_taken_back_within_a_second_counts_as_returned) {
    observe({}, {1, 10}, 0s);
    observe({{a, 11}}, {1, 11}, 100ms);
    observe({}, {1, 12}, 600ms);
    EXPECT_FALSE(table.evacuated(a));
    EXPECT_EQ(table.state(start + 600ms).returned.count(a), 1U);
    observe({{a, 13}}, {1, 13}, 900ms);
    EXPECT_TRUE(table.evacuated(a));
    EXPECT_EQ(table.state(start + 900ms).returned.count(a), 0U);
}

TEST_F(evacuation_table_test, returned_zone_is_forgotten_after_the_memory_time) {
    observe({{a, 11}}, {1, 11}, 0s);
    observe({}, {1, 12}, 1s);
    table.expire(start + 1s + evacuation_table::memory_time + 1ms);
    EXPECT_TRUE(table.state(start + 1s + evacuation_table::memory_time + 1ms).returned.empty());
}

// Failure: the store returns from a copy that is older than the evacuation. Guards against requests to a zone
// whose evacuation nobody has withdrawn.
TEST_F(evacuation_table_test, entry_that_the_copy_lacks_stays_in_force_for_a_limited_time) {
    observe({{a, 11}}, {1, 11}, 0s);
    EXPECT_FALSE(observe({}, {2, 8}, 1s));
    EXPECT_TRUE(table.evacuated(a));
    EXPECT_TRUE(table.evacuations().at(0).kept);
    EXPECT_FALSE(observe({}, {2, 9}, 2s));
    EXPECT_FALSE(table.expire(start + 1s + evacuation_table::doubt_time - 1ms));
    EXPECT_TRUE(table.expire(start + 1s + evacuation_table::doubt_time));
    EXPECT_EQ(changes, "+a -a");
}

// Failure: the operator writes the lost entry again and removes it. Guards against an evacuation that stays
// in force although the operator has withdrawn it.
TEST_F(evacuation_table_test, entry_that_was_written_again_can_be_withdrawn_at_once) {
    observe({{a, 11}}, {1, 11}, 0s);
    observe({}, {2, 8}, 1s);
    observe({{a, 9}}, {2, 9}, 2s);
    EXPECT_FALSE(table.evacuations().at(0).kept);
    EXPECT_TRUE(observe({}, {2, 10}, 3s));
    EXPECT_FALSE(table.evacuated(a));
}

// Failure: a second return from a copy while an entry is kept. Guards against a zone that stays evacuated
// without an entry for as long as the store returns again and again.
TEST_F(evacuation_table_test, second_return_from_a_copy_does_not_extend_the_time) {
    observe({{a, 11}}, {1, 11}, 0s);
    observe({}, {2, 8}, 1s);
    observe({}, {3, 8}, 9s);
    EXPECT_TRUE(table.expire(start + 1s + evacuation_table::doubt_time));
}

// Failure: the store returns from a copy that holds an evacuation which was withdrawn. Guards against a zone
// that loses its work although the operator has taken it back.
TEST_F(evacuation_table_test, withdrawn_entry_of_the_copy_stays_withdrawn_for_a_limited_time) {
    observe({{a, 11}}, {1, 11}, 0s);
    observe({{a, 12}}, {1, 12}, 1s);
    observe({}, {1, 13}, 2s);
    EXPECT_FALSE(observe({{a, 11}}, {2, 11}, 3s));
    EXPECT_FALSE(table.evacuated(a));
    EXPECT_FALSE(table.expire(start + 12s));
    EXPECT_TRUE(table.expire(start + 13s));
    EXPECT_TRUE(table.evacuated(a));
}

// Guards against an evacuation that is ignored because an earlier one of the same zone was withdrawn.
TEST_F(evacuation_table_test, entry_written_after_the_return_counts_at_once) {
    observe({{a, 11}}, {1, 11}, 0s);
    observe({}, {1, 13}, 1s);
    observe({{a, 11}}, {2, 11}, 2s);
    EXPECT_TRUE(observe({{a, 12}}, {2, 12}, 3s));
    EXPECT_TRUE(table.evacuated(a));
}

// Failure: a list of the history before the return arrives late. Guards against going back to it.
TEST_F(evacuation_table_test, list_of_an_earlier_era_is_ignored) {
    observe({}, {2, 8}, 0s);
    EXPECT_FALSE(observe({{a, 11}}, {1, 11}, 1s));
    EXPECT_FALSE(table.evacuated(a));
}

}  // namespace
}  // namespace chicorygap::catalog
