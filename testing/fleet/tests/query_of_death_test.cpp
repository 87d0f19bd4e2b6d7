#include "fleet.h"

#include <algorithm>
#include <numeric>

namespace chicorygap::testing_fleet {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t shared_first_part = 0xa1;
constexpr std::uint64_t sound_part = 0xb2;
constexpr std::uint64_t deadly_part = 0xdead;
/// Servers that a part may end before it is certain that it does.
constexpr int tolerated_crashes = 5;

struct query_of_death : fleet {
    void SetUp() override {
        fleet::SetUp();
        for (int i = 0; i < 8; ++i) {
            add_server("s" + std::to_string(i), standin::assistant_service).set_deadly_part("dead", 1500ms);
        }
        start_daemons();
    }

    [[nodiscard]] int crashes() const {
        return std::accumulate(servers.begin(), servers.end(), 0,
                               [](int sum, const auto& s) { return sum + s->crash_count(); });
    }

    standin::call_outcome send_prompt(std::size_t i, const std::string& path, std::uint64_t part) {
        return send_call(i, {.id = "f" + std::to_string(++prompts_),
                             .host = standin::site_host,
                             .path = path,
                             .api_key = key,
                             .prompt_tokens = 220,
                             .prompt_prefix = shared_first_part,
                             .shared_parts = {part}});
    }

    /// Sends a tainted and a sound request to each daemon in turn.
    /// @return number of sound requests that were answered.
    int send_mixed(const std::string& path, int rounds) {
        int served = 0;
        for (int k = 0; k < rounds; ++k) {
            const auto i = static_cast<std::size_t>(k) % daemon_count;
            send_prompt(i, path, deadly_part);
            const auto o = send_prompt((i + 1) % daemon_count, path, sound_part);
            served += o.status == 200 && o.complete ? 1 : 0;
            run_for(100ms);
        }
        return served;
    }

private:
    std::uint64_t prompts_ = 1000;
};

// Failure: requests with one part in their prompts end each server that begins to answer them: day "tainted".
TEST_F(query_of_death, resumable_streams_do_not_end_one_server_after_the_other) {
    const int served = send_mixed(standin::chat_path, 24);
    EXPECT_LE(crashes(), tolerated_crashes);
    EXPECT_GE(served, 12);
}

TEST_F(query_of_death, streams_that_run_once_do_not_end_one_server_after_the_other) {
    const int served = send_mixed(standin::draft_path, 24);
    EXPECT_LE(crashes(), tolerated_crashes);
    EXPECT_GE(served, 12);
}

// Failure: a daemon restarts while a part is quarantined. Guards against a part that is tried again by each
// restarted daemon.
TEST_F(query_of_death, restarted_daemon_learns_of_the_quarantine_from_its_peers) {
    send_mixed(standin::chat_path, 9);
    const int before = crashes();
    daemons[1].process->kill();
    daemons[1].process->start();
    ASSERT_TRUE(run_until([&] { return send_prompt(1, standin::chat_path, sound_part).status == 200; }));
    run_for(500ms);
    EXPECT_EQ(send_prompt(1, standin::chat_path, deadly_part).status, 503);
    EXPECT_EQ(crashes(), before);
}

TEST_F(query_of_death, operator_releases_a_part_on_all_daemons) {
    send_mixed(standin::chat_path, 9);
    ASSERT_EQ(send_prompt(2, standin::chat_path, deadly_part).status, 503);
    for (const auto& s : servers) {
        s->set_deadly_part("", {});
    }
    const auto tool = std::make_shared<standin::caller>(loop, daemons[0].process->operator_address());
    standin::call_outcome listed;
    tool->send({.id = "o1", .method = "DELETE", .path = "/quarantine/dead"},
               [&](standin::call_outcome o) { listed = std::move(o); });
    ASSERT_TRUE(run_until([&] { return listed.complete; }));
    EXPECT_EQ(listed.status, 200);
    EXPECT_EQ(listed.body.find("dead"), std::string::npos);
    EXPECT_TRUE(run_until([&] { return send_prompt(2, standin::chat_path, deadly_part).status == 200; }, 2s));
}

}  // namespace
}  // namespace chicorygap::testing_fleet
