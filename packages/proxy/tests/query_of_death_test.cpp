#include "router_fixture.h"

#include <algorithm>

namespace chicorygap::proxy {
namespace {

constexpr const char* deadly_prompt = "1,666,";
constexpr const char* sound_prompt = "1,7,";

struct query_of_death : request_router_test {
    void SetUp() override {
        load_catalog();
        router.prompt_guard().set_settle_time({});
        for (std::size_t i = 0; i < 4; ++i) {
            add_server([this, i](const connection& c, const std::string& r) { answer(i, c, r); });
        }
    }

    /// Ends the process when it begins to answer the deadly prompt.
    void answer(std::size_t i, const connection& c, const std::string& request) {
        const auto at = request.find("Id: ") + 4;
        const auto id = request.substr(at, request.find("\r\n", at) - at);
        c->write(stream_head(id));
        if (deadly.contains(id) && !last_words.empty()) {
            c->write(last_words);
            servers[i]->end_process();
        } else if (deadly.contains(id)) {
            // The head arrives first.
            loop.after(20ms, [this, i] { servers[i]->end_process(); });
        } else {
            c->write(chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n");
        }
    }

    std::shared_ptr<test_caller> send_prompt(const std::string& path, const std::string& prompt) {
        const auto id = std::to_string(++last_id);
        if (prompt == deadly_prompt) {
            deadly.insert(id);
        }
        auto c = send_request(path, id, "k", "", prompt + id);
        EXPECT_TRUE(wait_for_records(records.size() + 1));
        return c;
    }

    /// @return records of ended servers for the two parts that the deadly prompt shares.
    std::ptrdiff_t shared_part_crashes() {
        const auto crashes = router.prompt_guard().report(loop.now()).crashes;
        return std::count_if(crashes.begin(), crashes.end(),
                             [](const auto& c) { return c.depth != crash_guard::own_part_depth; });
    }

    std::set<std::string> deadly;
    std::string last_words;  ///< what a server writes before it ends, if anything
    int last_id = 0;
};

// Failure: requests with one part in their prompts end one server after the other.
TEST_F(query_of_death, prompt_that_has_ended_two_servers_is_refused_as_not_run) {
    send_prompt("/draft/", deadly_prompt);
    send_prompt("/draft/", sound_prompt);
    send_prompt("/draft/", deadly_prompt);
    send_prompt("/draft/", sound_prompt);
    loop.run_once(1ms);
    router.prompt_guard().expire(loop.now());
    const auto before = router.connections_opened();
    const auto refused = send_prompt("/draft/", deadly_prompt);
    EXPECT_TRUE(contains(refused->received, "503"));
    EXPECT_TRUE(contains(refused->received, "Retry-After"));
    EXPECT_EQ(records.back().code, base::result_code::prompt_quarantined);
    EXPECT_EQ(records.back().run_state, base::run_state::not_run);
    EXPECT_EQ(records.back().attempts, 0U);
    EXPECT_EQ(router.connections_opened(), before);
    EXPECT_TRUE(contains(send_prompt("/draft/", sound_prompt)->received, "200 OK"));
    EXPECT_EQ(router.prompt_guard().status(loop.now()).size(), 1U);
}

// Guards against a promise that a request has not run after two of its attempts have ended servers.
TEST_F(query_of_death, request_that_ended_servers_itself_is_not_reported_as_not_run) {
    send_prompt("/talk/", sound_prompt);
    const auto c = send_prompt("/talk/", deadly_prompt);
    EXPECT_TRUE(contains(c->received, "502"));
    EXPECT_NE(records.back().run_state, base::run_state::not_run);
    EXPECT_EQ(records.back().attempts, 2U);
}

// Failure: a server that a prompt ends writes garbage first, inside the framing or in its place. Guards
// against an end that is no evidence because the attempt failed over the garbage.
TEST_F(query_of_death, end_of_a_server_behind_garbage_is_evidence) {
    for (const auto& [text, cause] :
         {std::pair{chunk("garbage\n\n"), "event_unknown_field"}, {std::string{"garbage"}, "malformed"}}) {
        last_words = text;
        const auto before = shared_part_crashes();
        send_prompt("/draft/", deadly_prompt);
        EXPECT_EQ(records.back().failure_cause, cause);
        EXPECT_EQ(shared_part_crashes(), before + 2) << cause;
    }
}

// Failure: one request is sent again and again while its session is in use, so that answers clear all parts
// that it shares. Guards against a further server for each repeat.
TEST_F(query_of_death, request_that_has_ended_two_servers_is_refused_where_its_session_is_in_use) {
    const auto repeat = [this] {
        const auto id = std::to_string(++last_id);
        deadly.insert(id);
        auto c = send_request("/draft/", id, "k", "", "1,7,666");
        EXPECT_TRUE(wait_for_records(records.size() + 1));
        return c;
    };
    for (int i = 0; i < 2; ++i) {
        send_prompt("/draft/", sound_prompt);
        repeat();
    }
    send_prompt("/draft/", sound_prompt);
    loop.run_once(1ms);
    router.prompt_guard().expire(loop.now());
    EXPECT_TRUE(contains(repeat()->received, "503"));
    EXPECT_EQ(records.back().code, base::result_code::prompt_quarantined);
    EXPECT_EQ(records.back().attempts, 0U);
    EXPECT_TRUE(contains(send_prompt("/draft/", sound_prompt)->received, "200 OK"));
}

struct broken_connection : request_router_test {
    std::function<void(const connection&)> break_off = [](const connection& c) { c->close(); };

    void SetUp() override {
        load_catalog();
        for (int i = 0; i < 4; ++i) {
            add_server([this](const connection& c, const std::string&) {
                c->write(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
                loop.after(10ms, [this, c] { break_off(c); });
            });
        }
    }

    /// Leaves one server, so that all requests meet there.
    void add_only_server() {
        remove_servers();
        add_server([this](const connection& c, const std::string& request) {
            if (!contains(request, "/order/")) {
                c->write(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
                loop.after(10ms, [this, c] { break_off(c); });
            }
        });
    }

    void send_prompts(std::size_t n) {
        for (std::size_t i = 0; i < n; ++i) {
            send_request("/draft/", std::to_string(i + 1), "k", "", "1,7," + std::to_string(i));
            ASSERT_TRUE(wait_for_records(i + 1));
        }
    }
};

// Failure: connections are reset, or responses are spoiled, on servers that live. Guards against blaming the
// prompt.
TEST_F(broken_connection, is_no_evidence_while_another_connection_of_the_process_lives) {
    add_only_server();
    send_request("/order/", "900");
    ASSERT_TRUE(run_until([&] { return servers[0]->request_count() == 1; }));
    send_prompts(6);
    EXPECT_TRUE(router.prompt_guard().report(loop.now()).crashes.empty());
}

// Failure: the same where no other connection tells whether the process lives. Guards against a decision that
// takes a lost answer for an ended server.
TEST_F(broken_connection, is_not_decided_on_while_the_servers_may_live) {
    send_prompts(6);
    router.prompt_guard().expire(loop.now() + 1s);
    for (const auto& part : router.prompt_guard().status(loop.now())) {
        EXPECT_FALSE(part.quarantined) << part.part;
    }
    for (const auto& r : records) {
        EXPECT_EQ(r.attempts, 1U);
    }
}

// Failure: a server that leaves ends before its requests. Guards against blaming the prompt.
TEST_F(broken_connection, is_no_evidence_if_the_server_has_drained) {
    break_off = [this](const connection&) {
        auto list = router.servers();
        for (auto& s : list) {
            s.draining = true;
        }
        router.set_servers(list);
        router.set_servers({});
        for (const auto& s : servers) {
            s->end_process();
        }
    };
    send_prompts(1);
    EXPECT_TRUE(router.prompt_guard().report(loop.now()).crashes.empty());
}

// Failure: the entry of a server that a prompt has ended is removed before the server is checked.
TEST_F(broken_connection, is_evidence_if_the_entry_is_gone_without_having_drained) {
    break_off = [this](const connection& c) {
        router.set_servers({});
        c->close();
    };
    send_prompts(1);
    const auto crashes = router.prompt_guard().report(loop.now()).crashes;
    ASSERT_FALSE(crashes.empty());
    EXPECT_TRUE(crashes.front().confirmed);
}

// Failure: a process that a prompt has ended is back before the server is checked, with a new entry that
// arrives later.
TEST_F(broken_connection, is_confirmed_by_an_entry_that_is_renewed_later) {
    send_prompts(1);
    ASSERT_FALSE(router.prompt_guard().report(loop.now()).crashes.empty());
    EXPECT_FALSE(router.prompt_guard().report(loop.now()).crashes.front().confirmed);
    auto list = router.servers();
    for (auto& s : list) {
        ++s.incarnation;
    }
    router.set_servers(list);
    EXPECT_TRUE(router.prompt_guard().report(loop.now()).crashes.front().confirmed);
}

// Guards against a promise that a request has not run, if its time ends while it is checked whether its
// server has ended.
TEST_F(broken_connection, request_that_times_out_during_the_check_is_not_reported_as_not_run) {
    break_off = [this](const connection& c) { loop.after(2035ms, [c] { c->close(); }); };
    send_request("/draft/", "1", "k", "", "1,7,9");
    ASSERT_TRUE(wait_for_records());
    EXPECT_NE(records.back().run_state, base::run_state::not_run);
    EXPECT_NE(records.back().status, 503);
}

struct answer_without_length : request_router_test {
    static std::string head(const std::string& type) {
        return "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: " + type + "\r\nConnection: close\r\n\r\n";
    }
};

// Failure: a server ends in the middle of a stream that has neither length nor chunks.
TEST_F(answer_without_length, stream_that_ends_inside_an_event_is_resumed) {
    load_catalog();
    int attempts = 0;
    const auto script = [&](const connection& c, const std::string& r) {
        if (++attempts == 1) {
            c->write(head("text/event-stream") + event(1) + "id: 2\nda");
        } else {
            EXPECT_TRUE(contains(r, "Last: 1"));
            c->write(head("text/event-stream") + event(2) + event(3));
        }
        c->close_when_drained();
    };
    add_server(script);
    add_server(script);
    const auto c = send_request("/talk/", "1");
    ASSERT_TRUE(wait_for_records());
    for (int i = 1; i <= 3; ++i) {
        EXPECT_TRUE(contains(c->received, event(i)));
    }
    EXPECT_TRUE(contains(c->received, "0\r\n\r\n")) << "the caller sees a complete stream";
}

TEST_F(answer_without_length, stream_that_cannot_be_resumed_ends_visibly_incomplete) {
    load_catalog();
    add_server([](const connection& c, const std::string&) {
        c->write(head("text/event-stream") + event(1) + "id: 2\nda");
        c->close_when_drained();
    });
    const auto c = send_request("/draft/", "1");
    ASSERT_TRUE(wait_for_records());
    ASSERT_TRUE(run_until([&] { return c->closed; }));
    EXPECT_TRUE(contains(c->received, event(1)));
    EXPECT_FALSE(contains(c->received, "0\r\n\r\n"));
    EXPECT_FALSE(contains(c->received, "id: 2"));
}

TEST_F(answer_without_length, whole_answers_are_forwarded_and_their_connections_not_used_again) {
    load_catalog();
    add_server([](const connection& c, const std::string& r) {
        const bool stream = contains(r, "/talk/");
        c->write(head(stream ? "text/event-stream" : "text/plain") + (stream ? event(1) : "hello"));
        c->close_when_drained();
    });
    const auto plain = send_request("/read/", "1");
    ASSERT_TRUE(wait_for_records(1));
    EXPECT_TRUE(contains(plain->received, "hello"));
    const auto stream = send_request("/talk/", "1");
    ASSERT_TRUE(wait_for_records(2));
    EXPECT_TRUE(contains(stream->received, event(1)));
    EXPECT_EQ(servers[0]->connection_count(), 2);
    EXPECT_EQ(records[1].code, base::result_code::ok);
}

}  // namespace
}  // namespace chicorygap::proxy
