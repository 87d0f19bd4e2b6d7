#include "crash_guard/prompt_guard.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>

namespace chicorygap::crash_guard {
namespace {

using namespace std::chrono_literals;
using kind = admission::kind;

constexpr base::time_point start{1000s};
constexpr std::uint64_t first = 1;   // shared by a whole workspace
constexpr std::uint64_t deadly = 7;  // ends each server that begins to answer it
constexpr std::uint64_t sound = 8;

/// @return an attempt of no duration whose server has ended.
ended_attempt end_of(std::uint64_t server, attempt_progress p) {
    return {.server = server, .instance = server, .progress = p};
}

struct prompt_guard_test : testing::Test {
    bool may_try = false;
    std::vector<std::string> decisions;
    std::vector<bool> news;
    prompt_guard guard{{.decided =
                            [this](const part_status& s, std::string_view source) {
                                decisions.push_back(std::to_string(s.part) +
                                                    (s.quarantined ? " in " : " out ") + std::string{source});
                            },
                        .news = [this](bool own) { news.push_back(own); },
                        .may_try = [this] { return may_try; }}};

    void other_successes(base::time_point now, prompt_guard* g = nullptr) {
        for (std::uint64_t i = 0; i < 5; ++i) {
            (g != nullptr ? *g : guard).record_success({100 + i}, now);
        }
    }

    kind admit(const part_ids& parts, base::time_point now) { return guard.admit(parts, now).decision; }
};

// Failure: a part ends each server that begins to answer it. Guards against a third server.
TEST_F(prompt_guard_test, part_that_ends_two_servers_is_quarantined) {
    guard.record_crash({first, deadly}, end_of(11, attempt_progress::beginning), start);
    other_successes(start + 300ms);
    guard.record_crash({2, deadly}, end_of(12, attempt_progress::beginning), start + 500ms);
    EXPECT_EQ(admit({3, deadly}, start + 501ms), kind::refused);
    EXPECT_EQ(admit({first, sound}, start + 501ms), kind::allowed);
    EXPECT_EQ(decisions, std::vector<std::string>{"7 in evidence"});
    EXPECT_GE(guard.admit({deadly}, start + 1s).retry_after, 30s);
}

// Guards against condemning the first part of a workspace for one part behind it.
TEST_F(prompt_guard_test, part_behind_the_shared_ones_is_blamed_if_they_occur_together) {
    for (int i = 0; i < 2; ++i) {
        guard.record_crash({first, deadly}, end_of(11 + i, attempt_progress::beginning), start + i * 500ms);
        other_successes(start + i * 500ms + 300ms);
    }
    guard.expire(start + 1s);
    EXPECT_EQ(decisions, std::vector<std::string>{"7 in evidence"});
    EXPECT_EQ(admit({first, sound}, start + 1s), kind::allowed);
}

// Guards against a verdict on sound parts whose requests ran on servers that ended for another request.
TEST_F(prompt_guard_test, neighbours_of_a_deadly_part_are_cleared_by_the_verdict) {
    guard.record_crash({deadly}, end_of(11, attempt_progress::beginning), start);
    guard.record_crash({sound}, end_of(11, attempt_progress::answering), start);
    other_successes(start + 100ms);
    guard.record_crash({deadly}, end_of(12, attempt_progress::beginning), start + 500ms);
    guard.record_crash({sound}, end_of(12, attempt_progress::answering), start + 500ms);
    guard.record_crash({sound}, end_of(13, attempt_progress::answering), start + 600ms);
    guard.record_crash({deadly}, end_of(13, attempt_progress::beginning), start + 600ms);
    EXPECT_EQ(decisions, std::vector<std::string>{"7 in evidence"});
    EXPECT_EQ(admit({sound}, start + 1s), kind::allowed);
    EXPECT_EQ(guard.status(start + 1s).size(), 1U);
}

// Load: many servers end at the same moment, as in a roll-out or the loss of a zone.
TEST_F(prompt_guard_test, parts_that_are_answered_elsewhere_are_not_blamed_for_servers_that_end_together) {
    guard.record_success({first, sound}, start - 1s);
    for (std::uint64_t server = 0; server < 6; ++server) {
        guard.record_crash({first, sound}, end_of(server, attempt_progress::beginning), start);
    }
    other_successes(start + 10ms);
    guard.expire(start + 1s);
    EXPECT_TRUE(decisions.empty());
    EXPECT_EQ(admit({first, sound}, start + 1s), kind::allowed);
}

// Failure: all servers end on everything. Guards against blaming prompts for servers that answer nothing.
TEST_F(prompt_guard_test, no_part_is_blamed_while_no_request_is_answered) {
    for (std::uint64_t server = 0; server < 8; ++server) {
        guard.record_crash({first, 100 + server}, end_of(server, attempt_progress::beginning),
                           start + std::chrono::milliseconds{100 * server});
    }
    guard.expire(start + 5s);
    EXPECT_TRUE(decisions.empty());
    EXPECT_EQ(admit({first, 200}, start + 5s), kind::allowed);
}

// Guards against blaming parts for one server that ends again and again.
TEST_F(prompt_guard_test, one_server_that_ends_repeatedly_is_no_evidence_against_a_part) {
    for (int i = 0; i < 5; ++i) {
        guard.record_crash({sound}, end_of(11, attempt_progress::beginning), start + i * 2s);
        other_successes(start + i * 2s + 1s);
    }
    guard.expire(start + 20s);
    EXPECT_TRUE(decisions.empty());
}

TEST_F(prompt_guard_test, one_request_at_a_time_while_a_part_is_in_doubt) {
    guard.record_crash({deadly}, end_of(11, attempt_progress::beginning), start);
    EXPECT_EQ(admit({deadly}, start + 10ms), kind::allowed);
    auto running = guard.begin({deadly});
    EXPECT_NE(running, nullptr);
    EXPECT_EQ(admit({2, deadly}, start + 20ms), kind::wait);
    EXPECT_EQ(admit({sound}, start + 20ms), kind::allowed);
    running.reset();
    EXPECT_EQ(admit({2, deadly}, start + 30ms), kind::allowed);
}

// Guards against a third server for a request that has ended two within the time to settle.
TEST_F(prompt_guard_test, requests_wait_while_the_decision_is_due) {
    other_successes(start + 10ms);
    guard.record_crash({deadly}, end_of(11, attempt_progress::beginning), start);
    guard.record_crash({deadly}, end_of(12, attempt_progress::beginning), start + 100ms);
    EXPECT_EQ(admit({deadly}, start + 101ms), kind::wait);
    guard.expire(start + 400ms);
    EXPECT_EQ(admit({deadly}, start + 401ms), kind::refused);
}

TEST_F(prompt_guard_test, success_ends_the_doubt) {
    guard.record_crash({sound}, end_of(11, attempt_progress::beginning), start);
    auto running = guard.begin({sound});
    EXPECT_EQ(admit({sound}, start + 1ms), kind::wait);
    guard.record_success({sound}, start + 2ms);
    EXPECT_EQ(admit({sound}, start + 3ms), kind::allowed);
    EXPECT_TRUE(guard.status(start + 3ms).empty());
}

// Failure: each daemon sees one crash. Guards against a bound that holds for each daemon alone.
TEST_F(prompt_guard_test, evidence_of_several_daemons_is_added_up) {
    prompt_guard other;
    guard.record_crash({first, deadly}, end_of(11, attempt_progress::beginning), start);
    other.record_crash({2, deadly}, end_of(12, attempt_progress::beginning), start + 500ms);
    other_successes(start + 600ms);
    guard.merge(other.report(start + 600ms), start + 600ms);
    EXPECT_EQ(admit({deadly}, start + 700ms), kind::refused);
    other.merge(guard.report(start + 700ms), start + 701ms);
    EXPECT_EQ(other.admit({deadly}, start + 702ms).decision, kind::refused) << "a peer's decision holds";
}

// Load: a large fleet, where beacons are rare. Guards against daemons that learn of a crash too late, and
// against news that daemons repeat to each other without end.
TEST_F(prompt_guard_test, new_evidence_and_decisions_are_reported_once) {
    guard.record_crash({first, deadly}, end_of(11, attempt_progress::beginning), start);
    guard.record_crash({sound}, end_of(11, attempt_progress::waiting), start);
    EXPECT_EQ(news, std::vector<bool>{true});
    prompt_guard other;
    other.record_crash({2, deadly}, end_of(12, attempt_progress::beginning), start + 500ms);
    other_successes(start + 600ms);
    for (int i = 0; i < 3; ++i) {
        guard.merge(other.report(start + 700ms), start + 700ms);
    }
    EXPECT_EQ(decisions, std::vector<std::string>{"7 in evidence"});
    EXPECT_EQ(news, (std::vector<bool>{true, true, false}))
        << "own crash, own decision, crash told by a peer";
}

// Guards against a verdict at a daemon that heard of two crashes and not of the answers elsewhere.
TEST_F(prompt_guard_test, success_at_a_peer_clears_a_part) {
    prompt_guard other;
    other.record_success({sound}, start + 50ms);
    for (std::uint64_t server = 0; server < 2; ++server) {
        guard.record_crash({sound}, end_of(server, attempt_progress::beginning), start);
    }
    other_successes(start + 10ms);
    other.merge(guard.report(start + 100ms), start + 100ms);
    other.record_success({sound}, start + 120ms);
    EXPECT_TRUE(other.status(start + 130ms).empty());
    guard.merge(other.report(start + 150ms), start + 151ms);
    guard.expire(start + 1s);
    EXPECT_TRUE(decisions.empty());
}

TEST_F(prompt_guard_test, reports_merge_to_the_same_state_in_any_order_and_repeatedly) {
    std::vector<prompt_guard> sources(3);
    for (std::size_t i = 0; i < sources.size(); ++i) {
        sources[i].record_crash({first, deadly}, end_of(11 + i, attempt_progress::beginning),
                                start + std::chrono::milliseconds{200 * i});
        sources[i].record_crash({sound}, end_of(11 + i, attempt_progress::waiting), start);
    }
    sources[0].record_success({sound}, start + 500ms);
    sources[2].quarantine(40, start + 600ms);
    sources[1].quarantine(40, start + 600ms);
    sources[1].release(40, start + 700ms);
    std::vector<crash_report> reports;
    for (const auto& s : sources) {
        reports.push_back(s.report(start + 1s));
        reports.push_back(reports.back());
    }
    std::mt19937 random{7};
    std::optional<crash_report> expected;
    for (int round = 0; round < 20; ++round) {
        std::shuffle(reports.begin(), reports.end(), random);
        prompt_guard g;
        for (const auto& r : reports) {
            g.merge(r, start + 1s);
        }
        EXPECT_EQ(g.admit({40}, start + 1s).decision, kind::allowed) << "the later decision holds";
        expected = expected.value_or(g.report(start + 1s));
        EXPECT_EQ(g.report(start + 1s), *expected);
    }
}

// Guards against evidence that grows younger while daemons repeat it to each other.
TEST_F(prompt_guard_test, repeated_reports_do_not_renew_evidence) {
    prompt_guard other;
    guard.record_crash({sound}, end_of(11, attempt_progress::beginning), start);
    auto now = start;
    for (int i = 0; i < 2000; ++i) {
        now += 150ms;
        other.merge(guard.report(now), now + 5ms);
        guard.merge(other.report(now + 10ms), now + 15ms);
    }
    ASSERT_FALSE(guard.report(now).crashes.empty());
    EXPECT_EQ(guard.report(now).crashes.front().age, now - start);
    guard.expire(start + 11min);
    EXPECT_TRUE(guard.report(start + 11min).empty());
}

struct repeated_request : prompt_guard_test {
    static constexpr std::uint64_t session = 5;

    /// @return the parts of a prompt of the session.
    static part_ids prompt(std::uint64_t own, std::uint64_t shared = session) {
        part_ids out{first, shared};
        out.ids.push_back(own);
        out.last_is_own = true;
        return out;
    }
};

// Failure: a request ends each server that begins to answer it and is sent again and again, while sound
// requests of its session are answered every second. Guards against a request that no shared part tells
// apart.
TEST_F(repeated_request, is_quarantined_where_its_session_is_in_use) {
    std::uint64_t ended = 0;
    for (int i = 0; i < 120; ++i) {
        const auto now = start + i * 100ms;
        if (i % 10 == 0) {
            EXPECT_EQ(admit(prompt(1000 + i), now), kind::allowed) << "sound request of the session";
            guard.record_success(prompt(1000 + i), now);
        }
        if (i % 7 == 3 && admit(prompt(666), now) == kind::allowed) {
            guard.record_crash(prompt(666), end_of(++ended, attempt_progress::beginning), now);
        }
        guard.expire(now);
    }
    EXPECT_EQ(ended, 2U);
    EXPECT_EQ(decisions, std::vector<std::string>{"666 in evidence"});
}

// Guards against a verdict on a session whose requests were on the same servers as the request that ended
// them.
TEST_F(repeated_request, does_not_accuse_a_session_that_ended_no_server) {
    for (std::uint64_t server = 0; server < 4; ++server) {
        const auto now = start + server * 500ms;
        guard.record_crash(prompt(700 + server, 6), end_of(server, attempt_progress::answering), now);
        guard.record_crash(prompt(666), end_of(server, attempt_progress::beginning), now);
        other_successes(now + 100ms);
        guard.record_success(prompt(800 + server), now + 200ms);
        guard.expire(now + 450ms);
    }
    EXPECT_EQ(decisions, std::vector<std::string>{"666 in evidence"});
    EXPECT_EQ(admit(prompt(900, 6), start + 3s), kind::allowed);
}

// Guards against a part that goes on to end servers because the first two ended under one request.
TEST_F(repeated_request, does_not_hide_a_shared_part_that_ends_a_further_server) {
    guard.record_crash(prompt(21, deadly), end_of(1, attempt_progress::beginning), start);
    other_successes(start + 100ms);
    guard.record_crash(prompt(21, deadly), end_of(2, attempt_progress::beginning), start + 500ms);
    ASSERT_EQ(decisions, std::vector<std::string>{"21 in evidence"});
    guard.record_crash(prompt(22, deadly), end_of(3, attempt_progress::beginning), start + 800ms);
    EXPECT_EQ(decisions, (std::vector<std::string>{"21 in evidence", "7 in evidence"}));
    EXPECT_EQ(admit(prompt(23, deadly), start + 1s), kind::refused);
    EXPECT_EQ(admit(prompt(24), start + 1s), kind::allowed);
}

// Guards against peers that take the own part of a request for one that others share, or hear of it too late.
TEST_F(repeated_request, is_told_to_peers_as_what_it_is) {
    prompt_guard other;
    guard.record_crash(prompt(21, deadly), end_of(1, attempt_progress::beginning), start);
    guard.record_crash(prompt(31, 6), end_of(1, attempt_progress::waiting), start);
    other.merge(guard.report(start + 10ms), start + 10ms);
    other_successes(start + 100ms, &other);
    other.record_crash(prompt(21, deadly), end_of(2, attempt_progress::beginning), start + 500ms);
    EXPECT_EQ(other.admit(prompt(21, 9), start + 501ms).decision, kind::refused);
    EXPECT_EQ(other.admit(prompt(22, deadly), start + 501ms).decision, kind::allowed);
    other.record_crash(prompt(22, deadly), end_of(3, attempt_progress::beginning), start + 800ms);
    EXPECT_EQ(other.admit(prompt(23, deadly), start + 801ms).decision, kind::refused);
}

struct end_without_byte : prompt_guard_test {
    /// @return an attempt that got no byte of a response.
    static ended_attempt waiting(std::uint64_t server, base::duration length = 20ms, bool confirmed = true) {
        return {.server = server,
                .instance = 1000 + server,
                .progress = attempt_progress::waiting,
                .length = length,
                .confirmed = confirmed};
    }
};

// Failure: issue 40, servers end without a byte. Guards against evidence that asks for the head of a
// response.
TEST_F(end_without_byte, part_that_ends_servers_is_quarantined) {
    std::uint64_t ended = 0;
    for (int i = 0; i < 100; ++i) {
        const auto now = start + i * 100ms;
        guard.record_success({first, sound}, now);
        if (i % 6 == 0 && admit({first, deadly}, now) == kind::allowed) {
            guard.record_crash({first, deadly}, waiting(++ended), now + 20ms);
        }
        guard.expire(now + 50ms);
    }
    EXPECT_LE(ended, 3U);
    EXPECT_EQ(decisions, std::vector<std::string>{"7 in evidence"});
}

// Guards against peers that hear of the first ends only with the next beacon.
TEST_F(end_without_byte, is_told_to_peers_at_once_and_once) {
    guard.record_crash({first, sound}, waiting(1), start);
    guard.record_crash({first, deadly}, waiting(1), start + 1ms);
    EXPECT_EQ(news, std::vector<bool>{true});
    prompt_guard other;
    other.merge(guard.report(start + 5ms), start + 5ms);
    EXPECT_EQ(other.status(start + 5ms).size(), 3U);
}

// Load: servers end by themselves every 0.7 s, and a session of one caller is met three times. Guards against
// blaming a session for ends that are as frequent without it.
TEST_F(end_without_byte, rare_session_is_not_blamed_while_servers_end_by_themselves) {
    std::uint64_t server = 0;
    for (int i = 0; i < 300; ++i) {
        const auto now = start + i * 100ms;
        guard.record_success({first, 50 + static_cast<std::uint64_t>(i)}, now);
        if (i % 7 == 0) {
            ++server;
            guard.record_crash({first, 5000 + server}, waiting(server, 300ms), now);
        }
        if (i == 70 || i == 77 || i == 84) {
            guard.record_crash({first, sound}, waiting(server, 300ms), now);
        }
        guard.expire(now);
    }
    EXPECT_TRUE(decisions.empty()) << decisions.front();
    EXPECT_EQ(admit({first, sound}, start + 30s), kind::allowed);
}

// Load: half of the servers end at the same moment, with one session on several of them.
TEST_F(end_without_byte, ends_at_the_same_moment_count_once) {
    for (std::uint64_t server = 0; server < 5; ++server) {
        guard.record_crash({first, sound}, waiting(server, 500ms),
                           start + std::chrono::milliseconds{server * 10});
    }
    other_successes(start + 500ms);
    guard.expire(start + 1s);
    EXPECT_TRUE(decisions.empty());
    ASSERT_EQ(guard.status_of({sound}, start + 1s).size(), 1U);
    EXPECT_EQ(guard.status_of({sound}, start + 1s).front().ends, 1U);
    EXPECT_EQ(guard.status_of({sound}, start + 1s).front().undecided, "one_end");
}

// Load: connections are lost on servers that live, a third of all. Guards against blaming a part for lost
// connections that were met as often without it.
TEST_F(end_without_byte, lost_connections_are_weighed_by_how_many_are_lost_without_the_part) {
    for (std::uint64_t i = 0; i < 60; ++i) {
        const auto now = start + std::chrono::milliseconds{100 * i};
        if (i % 3 == 0) {
            guard.record_crash({first, 500 + i}, waiting(i, 50ms, false), now);
        } else {
            guard.record_success({first, 500 + i}, now);
        }
        if (i % 15 == 0) {
            guard.record_crash({first, sound}, waiting(i, 50ms, false), now);
        }
        guard.expire(now);
    }
    EXPECT_TRUE(decisions.empty()) << decisions.front();
}

// Failure: processes are back before it is known that they ended. Guards against a part that is never found
// because each single end is in doubt.
TEST_F(end_without_byte, part_is_found_where_only_its_connections_are_lost) {
    std::uint64_t ended = 0;
    for (std::uint64_t i = 0; i < 100; ++i) {
        const auto now = start + std::chrono::milliseconds{100 * i};
        guard.record_success({first, 500 + i}, now);
        if (i % 6 == 0 && admit({first, deadly}, now) == kind::allowed) {
            guard.record_crash({first, deadly}, waiting(++ended, 20ms, false), now);
        }
        guard.expire(now + 50ms);
    }
    EXPECT_LE(ended, 5U);
    EXPECT_EQ(decisions, std::vector<std::string>{"7 in evidence"});
}

// Failure: servers end some time inside the answer. Guards against an answer that clears its prompt and then
// ends its server.
TEST_F(end_without_byte, answer_that_breaks_off_with_its_server_does_not_clear_its_prompt) {
    std::uint64_t ended = 0;
    for (std::uint64_t i = 0; i < 100; ++i) {
        const auto now = start + std::chrono::milliseconds{100 * i};
        guard.record_success({first, 500 + i}, now);
        guard.record_progress({first, sound}, now);
        if (i % 6 == 0 && admit({first, deadly}, now) == kind::allowed) {
            guard.record_progress({first, deadly}, now);
            auto a = waiting(++ended, 600ms);
            a.progress = attempt_progress::answering;
            a.progressed = true;
            guard.record_crash({first, deadly}, a, now + 50ms);
        }
        guard.expire(now + 60ms);
    }
    EXPECT_LE(ended, 5U);
    EXPECT_EQ(decisions, std::vector<std::string>{"7 in evidence"});
}

TEST_F(end_without_byte, confirmation_completes_the_evidence) {
    for (std::uint64_t i = 1; i <= 2; ++i) {
        guard.record_crash({deadly}, waiting(i, 20ms, false), start + std::chrono::milliseconds{400 * i});
    }
    other_successes(start + 900ms);
    guard.expire(start + 2s);
    ASSERT_TRUE(decisions.empty());
    guard.confirm_end(1001, start + 2s);
    guard.confirm_end(1002, start + 2s);
    EXPECT_EQ(decisions, std::vector<std::string>{"7 in evidence"});
}

// Load: one server ends again and again, with a new process each time, and a session returns to it.
TEST_F(end_without_byte, processes_of_one_server_are_no_evidence_against_its_session) {
    for (std::uint64_t i = 0; i < 6; ++i) {
        auto a = waiting(1);
        a.instance += i;
        guard.record_crash({first, sound}, a, start + std::chrono::seconds{4 * i});
        other_successes(start + std::chrono::seconds{4 * i + 1});
        guard.expire(start + std::chrono::seconds{4 * i + 2});
    }
    EXPECT_TRUE(decisions.empty());
    EXPECT_EQ(guard.status_of({sound}, start + 24s).front().undecided, "one_server");
}

// Failure: servers hang before they end, so that the sound requests of a session that prefers these servers
// hang with the request that ends them. Guards against a verdict on the session.
TEST_F(end_without_byte, session_that_prefers_the_ended_servers_is_not_blamed_for_one_request) {
    const auto prompt = [](part_ids parts, std::uint64_t own) {
        parts.ids.push_back(own);
        parts.last_is_own = true;
        return parts;
    };
    for (std::uint64_t i = 0; i < 100; ++i) {
        guard.record_success({first, 50}, start);
    }
    for (std::uint64_t i = 0; i < 2; ++i) {
        const auto now = start + std::chrono::milliseconds{1300 * i};
        guard.record_crash(prompt({first, deadly, sound}, 900), waiting(i, 100ms), now);
        guard.record_crash(prompt({first, sound}, 901 + i), waiting(i, 50ms), now);
        guard.record_success({first, 50}, now + 100ms);
    }
    guard.expire(start + 2s);
    EXPECT_TRUE(decisions.empty()) << decisions.front();
    guard.record_crash(prompt({first, deadly, 12}, 910), waiting(2, 100ms), start + 2s);
    guard.expire(start + 3s);
    EXPECT_EQ(decisions, std::vector<std::string>{"7 in evidence"});
    EXPECT_EQ(admit({first, sound}, start + 3s), kind::allowed);
}

// Load: each server that ends leaves the own parts of all requests there. Guards against beacons that tell
// them for ten minutes.
TEST_F(end_without_byte, single_ends_under_own_parts_are_told_for_a_short_time) {
    part_ids parts{first, sound, 900};
    parts.last_is_own = true;
    guard.record_crash(parts, waiting(1), start);
    guard.record_success({first, sound}, start + 1s);
    EXPECT_EQ(guard.report(start + 2s).crashes.size(), 1U);
    EXPECT_TRUE(guard.report(start + 30s).crashes.empty());
}

struct quarantined_part : prompt_guard_test {
    static constexpr base::time_point later = start + 2min;
    void SetUp() override {
        guard.record_crash({deadly}, end_of(11, attempt_progress::beginning), start);
        other_successes(start + 1ms);
        guard.record_crash({deadly}, end_of(12, attempt_progress::beginning), start + 500ms);
        ASSERT_EQ(admit({deadly}, start + 1s), kind::refused);
        decisions.clear();
    }
};

TEST_F(quarantined_part, is_tried_by_one_request_of_one_daemon) {
    EXPECT_EQ(admit({deadly}, later), kind::refused) << "another daemon tries";
    may_try = true;
    EXPECT_EQ(admit({deadly}, start + 30s), kind::refused) << "the quarantine lasts";
    EXPECT_EQ(admit({deadly}, later), kind::allowed);
    EXPECT_EQ(admit({deadly}, later + 1ms), kind::refused) << "one request only";
    guard.record_success({deadly}, later + 1s);
    EXPECT_EQ(admit({deadly}, later + 2s), kind::allowed);
    EXPECT_EQ(decisions, std::vector<std::string>{"7 out trial"});
}

TEST_F(quarantined_part, stays_longer_after_a_failed_trial) {
    may_try = true;
    ASSERT_EQ(admit({deadly}, later), kind::allowed);
    guard.record_crash({deadly}, end_of(13, attempt_progress::beginning), later + 1s);
    EXPECT_EQ(admit({deadly}, later + 90s), kind::refused);
    EXPECT_EQ(admit({deadly}, later + 3min), kind::allowed);
}

TEST_F(quarantined_part, is_released_by_an_operator_for_all_daemons) {
    prompt_guard other;
    other.merge(guard.report(start + 1s), start + 1s);
    ASSERT_EQ(other.admit({deadly}, start + 1s).decision, kind::refused);
    guard.release(deadly, start + 2s);
    EXPECT_EQ(admit({deadly}, start + 2s), kind::allowed);
    other.merge(guard.report(start + 3s), start + 3s);
    EXPECT_EQ(other.admit({deadly}, start + 3s).decision, kind::allowed);
    guard.merge(other.report(start + 3s), start + 3s);
    EXPECT_EQ(admit({deadly}, start + 4s), kind::allowed);
}

// Failure: a daemon restarts. Guards against a part that is tried again by each restarted daemon.
TEST_F(quarantined_part, is_known_to_a_restarted_daemon_from_its_peers) {
    prompt_guard restarted;
    restarted.merge(guard.report(start + 5s), start + 5s);
    EXPECT_EQ(restarted.admit({deadly}, start + 6s).decision, kind::refused);
}

// Load: a caller whose requests have many random parts. Guards against memory and reports without bounds, and
// against parts that occur once displacing one that ends servers.
TEST_F(quarantined_part, many_random_parts_stay_bounded) {
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        guard.record_crash({1'000'000 + i}, end_of(i, attempt_progress::beginning), start + 2s);
        guard.record_success({9'000'000 + i}, start + 2s);
    }
    EXPECT_LE(guard.status(start + 3s).size(), 256U);
    EXPECT_EQ(admit({deadly}, start + 3s), kind::refused);
    const auto r = guard.report(start + 3s);
    EXPECT_LE(r.crashes.size() + r.successes.size() + r.verdicts.size(), 64U);
}

}  // namespace
}  // namespace chicorygap::crash_guard
