// Servers that send what answers no request: late copies of responses, and bytes without end.
#include "router_fixture.h"

namespace chicorygap::proxy {
namespace {

struct invalid_responses_test : request_router_test {
    std::set<std::shared_ptr<std::function<void()>>> writers;

    /// Writes `piece` to the connection again and again until it is closed.
    void write_without_end(const connection& c, const std::string& piece) {
        // One write for many short pieces: a call for each byte would take longer than what is measured.
        constexpr std::size_t block_bytes = std::size_t{16} * 1024;
        std::string block;
        while (block.size() < block_bytes) {
            block += piece;
        }
        auto writer = std::make_shared<std::function<void()>>();
        writers.insert(writer);
        *writer = [this, c, block = std::move(block), weak = std::weak_ptr<std::function<void()>>{writer}] {
            if (const auto self = weak.lock(); self && c->open()) {
                constexpr std::size_t bytes_per_round = std::size_t{64} * 1024;
                for (std::size_t n = c->buffered(); n < bytes_per_round; n += block.size()) {
                    c->write(block);
                }
                loop.after(1ms, [self] { (*self)(); });
            }
        };
        (*writer)();
    }

    /// @return time until the server's connection was closed by the router.
    base::duration time_until_closed(const scripted_server& s) {
        const auto begin = base::boot_clock::now();
        EXPECT_TRUE(run_until([&] { return s.closed_connection_count() > 0; }));
        return base::boot_clock::now() - begin;
    }

    std::shared_ptr<test_caller> send_head_request(const std::string& id) {
        auto c = std::make_shared<test_caller>();
        c->stream = net::stream::connect(loop, listener.local(), 1s,
                                         {.connected = nullptr,
                                          .received = [c](std::string_view b) { c->received.append(b); },
                                          .drained = nullptr,
                                          .ended = [c](net::stream_end) { c->closed = true; }});
        c->stream->write("HEAD /read/ HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nKey: k\r\n\r\n");
        return c;
    }
};

std::string response_without_id(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Failure: a server sends a second copy of a response, late, on a connection that is in use again.
TEST_F(invalid_responses_test, late_copy_without_an_id_answers_no_other_request) {
    load_catalog();
    int requests = 0;
    add_server([&](const connection& c, const std::string&) {
        if (++requests == 1) {
            c->write(make_response("1", "first"));
        } else {
            c->write(response_without_id("first") + make_response("2", "second"));
        }
    });
    send_request("/read/", "1");
    ASSERT_TRUE(wait_for_records());
    const auto c = send_request("/read/", "2");
    ASSERT_TRUE(wait_for_records(2));
    EXPECT_EQ(servers[0]->connection_count(), 1);
    EXPECT_TRUE(contains(c->received, "second"));
    EXPECT_FALSE(contains(c->received, "first"));
}

TEST_F(invalid_responses_test, late_copies_in_pieces_answer_no_other_request) {
    load_catalog();
    int requests = 0;
    const std::string copy = make_response("1", "first");
    // The cut lies in the status line, a header, the blank line and the body.
    std::size_t cut = 3;
    add_server([&](const connection& c, const std::string&) {
        if (++requests % 2 == 1) {
            c->write(copy);
            return;
        }
        c->write(copy.substr(0, cut));
        loop.after(5ms, [c, cut, &copy] { c->write(copy.substr(cut) + make_response("2", "second")); });
    });
    for (cut = 3; cut < copy.size(); cut += 7) {
        send_request("/read/", "1");
        ASSERT_TRUE(run_until([&] { return requests % 2 == 1 && records.size() % 2 == 1; }));
        const auto c = send_request("/read/", "2");
        ASSERT_TRUE(run_until([&] { return records.size() % 2 == 0; }));
        run_until([&] { return contains(c->received, "second"); });
        EXPECT_TRUE(contains(c->received, "second")) << cut;
        EXPECT_FALSE(contains(c->received, "first")) << cut;
    }
}

TEST_F(invalid_responses_test, connection_with_a_late_copy_serves_nobody_again) {
    load_catalog();
    int requests = 0;
    add_server([&](const connection& c, const std::string&) {
        ++requests;
        const auto id = std::to_string(requests);
        c->write((requests == 2 ? make_response("1", "first") : "") + make_response(id, "answer " + id));
    });
    for (int i = 1; i <= 3; ++i) {
        const auto c = send_request("/read/", std::to_string(i));
        ASSERT_TRUE(wait_for_records(static_cast<std::size_t>(i)));
        EXPECT_TRUE(contains(c->received, "answer " + std::to_string(i)));
    }
    EXPECT_EQ(servers[0]->connection_count(), 2);
}

TEST_F(invalid_responses_test, copy_on_an_idle_connection_answers_no_later_request) {
    load_catalog();
    int requests = 0;
    add_server([&](const connection& c, const std::string&) {
        const auto id = std::to_string(++requests);
        c->write(make_response(id, "answer " + id));
        if (requests == 1) {
            loop.after(30ms, [c] { c->write(make_response("1", "answer 1")); });
        }
    });
    send_request("/read/", "1");
    ASSERT_TRUE(wait_for_records());
    ASSERT_TRUE(run_until([&] { return servers[0]->closed_connection_count() == 1; }));
    const auto c = send_request("/read/", "2");
    ASSERT_TRUE(wait_for_records(2));
    EXPECT_TRUE(contains(c->received, "answer 2"));
}

// A copy of a response to HEAD has a length and no body: it would take the bytes of the next response for its
// body.
TEST_F(invalid_responses_test, connection_is_not_reused_after_a_response_without_a_body) {
    load_catalog();
    add_server([&](const connection& c, const std::string& r) {
        c->write(r.starts_with("HEAD") ? "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 30\r\n\r\n"
                                       : make_response("2", "second"));
    });
    send_head_request("1");
    ASSERT_TRUE(wait_for_records());
    const auto c = send_request("/read/", "2");
    ASSERT_TRUE(wait_for_records(2));
    EXPECT_TRUE(contains(c->received, "second"));
    EXPECT_EQ(servers[0]->connection_count(), 2);
}

// Failure: lines without an empty line, without end.
TEST_F(invalid_responses_test, event_without_end_ends_the_attempt) {
    load_catalog();
    add_server([&](const connection& c, const std::string&) {
        c->write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\n");
        write_without_end(c, "data: " + std::string(1000, 'x') + "\n");
    });
    send_request("/draft/", "1");
    EXPECT_LT(time_until_closed(*servers[0]), 1s);
    ASSERT_TRUE(wait_for_records());
    EXPECT_EQ(records[0].status, 502);
    EXPECT_EQ(records[0].failure_cause, "event_too_long");
    EXPECT_NE(records[0].run_state, base::run_state::not_run);
}

// Failure: a stream that has stalled and sends comments. Guards against a stream that never ends.
TEST_F(invalid_responses_test, comments_are_no_progress_of_a_stream) {
    load_catalog();
    int requests = 0;
    const auto serve = [&](const connection& c, const std::string&) {
        if (++requests == 1) {
            c->write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\n" + event(1));
            for (int i = 1; i < 100; ++i) {
                loop.after(i * 20ms, [c] { c->write(": wait\n\n"); });
            }
            return;
        }
        c->write(stream_head("1") + chunk(event(2)) + "0\r\n\r\n");
    };
    add_server(serve);
    add_server(serve);
    const auto c = send_request("/talk/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_EQ(records[0].attempts, 2U);
    EXPECT_TRUE(contains(c->received, "id: 2"));
    EXPECT_LT(records[0].total_time, 1500ms);
}

TEST_F(invalid_responses_test, stalled_stream_that_cannot_be_resumed_ends_at_the_limit_of_the_route) {
    load_catalog();
    add_server([&](const connection& c, const std::string&) {
        c->write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\n" + event(1));
        for (int i = 1; i < 200; ++i) {
            loop.after(i * 20ms, [c] { c->write("d"); });
        }
    });
    const auto c = send_request("/draft/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_GE(records[0].total_time, 2s);
    EXPECT_LT(records[0].total_time, 2300ms);
    ASSERT_TRUE(run_until([&] { return c->closed; }));
    EXPECT_FALSE(contains(c->received, "\r\n0\r\n\r\n")) << "an unfinished stream must not look complete";
}

TEST_F(invalid_responses_test, slow_stream_with_regular_events_is_not_cut) {
    load_catalog();
    const auto serve = [&](const connection& c, const std::string&) {
        c->write(stream_head("1"));
        for (int i = 1; i <= 5; ++i) {
            loop.after(i * 300ms, [c, i] { c->write(chunk(event(i)) + (i == 5 ? "0\r\n\r\n" : "")); });
        }
    };
    add_server(serve);
    add_server(serve);
    const auto c = send_request("/talk/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_EQ(records[0].status, 200);
    EXPECT_EQ(records[0].attempts, 1U);
    EXPECT_TRUE(contains(c->received, "id: 5"));
}

/// Start of a response and the piece that follows it without end.
struct endless_head {
    const char* name;
    const char* start;
    const char* piece;
};

struct endless_head_test : invalid_responses_test, testing::WithParamInterface<endless_head> {};

TEST_P(endless_head_test, ends_the_attempt) {
    load_catalog();
    add_server([&](const connection& c, const std::string&) {
        c->write(GetParam().start);
        write_without_end(c, GetParam().piece);
    });
    send_request("/order/", "1");
    EXPECT_LT(time_until_closed(*servers[0]), 1s);
    ASSERT_TRUE(wait_for_records());
    EXPECT_NE(records[0].run_state, base::run_state::not_run);
    EXPECT_EQ(records[0].status, 502);
}

constexpr const char* chunked_head = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    server, endless_head_test,
    testing::Values(
        endless_head{"headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        endless_head{"header_value", "HTTP/1.1 200 OK\r\nA: ", "bbbbbbbb"},
        endless_head{"header_name", "HTTP/1.1 200 OK\r\n", "aaaaaaaa"},
        endless_head{"reason_phrase", "HTTP/1.1 200 ", "OKOKOKOK"},
        endless_head{"interim_responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        endless_head{"interim_responses_with_headers", "", "HTTP/1.1 102 Processing\r\nA: b\r\n\r\n"},
        endless_head{"chunk_extension", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;",
                     "extension"},
        endless_head{"chunk_size", chunked_head, "0"},
        endless_head{"trailer", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                     "A: b\r\n"},
        endless_head{"body_of_a_dropped_response",
                     "HTTP/1.1 500 X\r\nId: other\r\nContent-Length: 999999999\r\n\r\n", "dropped"}),
    [](const auto& x) { return x.param.name; });

/// Route of a request whose server sends no progress of an answer.
struct garbage_case {
    const char* name;
    const char* path;
    bool retries;  ///< the budget allows retries
};

struct garbage_without_end_test : invalid_responses_test, testing::WithParamInterface<garbage_case> {
    /// Writes `piece` every 10 ms, repeated to 500 bytes, until the connection is closed.
    void write_steadily(const connection& c, const std::string& piece) {
        std::string block;
        while (block.size() < 500) {
            block += piece;
        }
        auto writer = std::make_shared<std::function<void()>>();
        writers.insert(writer);
        *writer = [this, c, block = std::move(block), weak = std::weak_ptr<std::function<void()>>{writer}] {
            if (const auto self = weak.lock(); self && c->open()) {
                c->write(block);
                loop.after(10ms, [self] { (*self)(); });
            }
        };
        (*writer)();
    }
};

// Failure: on the last attempt no timer runs, and without retry budget it changes nothing: a server that
// sends 50 KB/s of what is no answer kept its request until the deadline, 2 s.
TEST_P(garbage_without_end_test, ends_the_last_attempt) {
    const bool stream = GetParam().path == std::string{"/draft/"} || GetParam().path == std::string{"/talk/"};
    const std::string chunked = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n";
    const std::string type = stream ? "Content-Type: text/event-stream\r\n" : "";
    std::vector<std::pair<std::string, std::string>> shapes{
        {"HTTP/1.1 200 OK\r\nA: ", "b"},
        {chunked + type + "\r\n5;", "extension"},
        {chunked + type + "\r\n0\r\n", "A: b\r\n"},
        {"", "HTTP/1.1 102 Processing\r\nA: " + std::string(400, 'x') + "\r\n\r\n"}};
    if (stream) {
        shapes.emplace_back("HTTP/1.1 200 OK\r\nId: 1\r\n" + type + "\r\n", ": wait\n\n");
        shapes.emplace_back("HTTP/1.1 200 OK\r\nId: 1\r\n" + type + "\r\n" + event(1), ":");
        shapes.emplace_back(chunked + type + "\r\n", "1;" + std::string(500, 'x') + "\r\n:\r\n");
    } else {
        shapes.emplace_back(chunked + "\r\n", "1;" + std::string(500, 'x') + "\r\ny\r\n");
    }
    load_catalog();
    if (!GetParam().retries) {
        router.set_retry_budget_share({.ratio = 0, .extra_retries = 0, .window = 10s});
    }
    for (const auto& s : shapes) {
        remove_servers();
        records.clear();
        for (int i = 0; i < 2; ++i) {
            add_server([this, s](const connection& c, const std::string&) {
                c->write(s.first);
                write_steadily(c, s.second);
            });
        }
        send_request(GetParam().path, "1");
        ASSERT_TRUE(wait_for_records()) << s.first << s.second;
        EXPECT_LT(records[0].total_time, 1900ms) << s.first << s.second;
        EXPECT_NE(records[0].code, base::result_code::deadline_unreachable) << s.first << s.second;
        EXPECT_NE(records[0].run_state, base::run_state::not_run) << s.first << s.second;
    }
}

INSTANTIATE_TEST_SUITE_P(request, garbage_without_end_test,
                         testing::Values(garbage_case{"order", "/order/", true},
                                         garbage_case{"read_with_a_retry", "/read/", true},
                                         garbage_case{"read_without_budget", "/read/", false},
                                         garbage_case{"stream", "/draft/", true},
                                         garbage_case{"resumable_stream", "/talk/", true},
                                         garbage_case{"resumable_stream_without_budget", "/talk/", false}),
                         [](const auto& x) { return x.param.name; });

// A sound server that says now and then that it is at work must not be cut.
TEST_F(invalid_responses_test, interim_responses_and_comments_now_and_then_do_not_end_an_attempt) {
    load_catalog();
    add_server([&](const connection& c, const std::string& r) {
        const bool stream = contains(r.substr(0, r.find("\r\n")), "/draft/");
        c->write(stream ? stream_head("1") : "");
        for (int i = 1; i < 25; ++i) {
            loop.after(i * 60ms, [c, stream] {
                c->write(stream ? chunk(": at work\n\n") : "HTTP/1.1 102 Processing\r\n\r\n");
            });
        }
        loop.after(1550ms, [c, stream] {
            c->write(stream ? chunk(event(1)) + "0\r\n\r\n" : make_response("1", "done"));
        });
    });
    for (const auto* path : {"/order/", "/draft/"}) {
        records.clear();
        const auto c = send_request(path, "1");
        ASSERT_TRUE(wait_for_records());
        EXPECT_EQ(records[0].status, 200) << path << " " << records[0].failure_cause;
        EXPECT_TRUE(contains(c->received, "done") || contains(c->received, "id: 1")) << path;
    }
}

// A server's silence is no reason to end the only attempt, also behind half of a head or of a chunk.
TEST_F(invalid_responses_test, silence_does_not_end_the_only_attempt) {
    load_catalog();
    add_server([&](const connection& c, const std::string&) {
        c->write("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Enco");
        loop.after(700ms, [c] { c->write("ding: chunked\r\n\r\n4;a"); });
        loop.after(1400ms, [c] { c->write("=b\r\ndone\r\n0\r\n\r\n"); });
    });
    const auto c = send_request("/order/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_EQ(records[0].status, 200);
    EXPECT_TRUE(contains(c->received, "done"));
}

// Failure: the caller of a request that may not be repeated leaves, and the server sends a large response.
TEST_F(invalid_responses_test, large_response_without_a_caller_is_read_up_to_a_limit) {
    load_catalog();
    connection server_side;
    add_server([&](const connection& c, const std::string&) { server_side = c; });
    const auto c = send_request("/order/", "1");
    ASSERT_TRUE(run_until([&] { return server_side != nullptr; }));
    c->stream->close();
    run_until([&] { return sessions.empty(); });
    server_side->write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n");
    write_without_end(server_side, std::string(1000, 'x'));
    EXPECT_LT(time_until_closed(*servers[0]), 1s);
    ASSERT_TRUE(wait_for_records());
}

// Failure: the server that should resume a stream sends an error without end.
TEST_F(invalid_responses_test, error_without_end_instead_of_the_rest_of_a_stream_ends_the_attempt) {
    load_catalog();
    int requests = 0;
    const auto serve = [&](const connection& c, const std::string&) {
        if (++requests == 1) {
            c->write(stream_head("1") + chunk(event(1)));
            loop.after(10ms, [c] { c->close(); });
            return;
        }
        c->write("HTTP/1.1 500 X\r\nId: 1\r\n\r\n");
        write_without_end(c, std::string(1000, 'x'));
    };
    add_server(serve);
    add_server(serve);
    const auto c = send_request("/talk/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_LT(records[0].total_time, 1s);
    EXPECT_FALSE(contains(c->received, "xxx"));
}

// Guards against a response without end that is held in memory because its caller reads slowly.
TEST_F(invalid_responses_test, server_is_read_only_as_fast_as_the_caller_reads) {
    constexpr std::size_t response_bytes = std::size_t{32} * 1024 * 1024;
    load_catalog();
    connection server_side;
    add_server([&](const connection& c, const std::string&) {
        server_side = c;
        c->write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: " + std::to_string(response_bytes) +
                 "\r\n\r\n");
        c->write(std::string(response_bytes, 'x'));
    });
    const auto c = send_request("/order/", "1");
    ASSERT_TRUE(run_until([&] { return !c->received.empty(); }));
    c->stream->pause_reading(true);
    const auto end = base::boot_clock::now() + 500ms;
    run_until([&] { return base::boot_clock::now() >= end; });
    ASSERT_TRUE(records.empty()) << records[0].failure_cause << " " << records[0].total_time.count() << " "
                                 << records[0].status;
    // The kernel buffers a few megabytes for each of the two connections.
    EXPECT_GT(server_side->buffered(), response_bytes / 2);
}

}  // namespace
}  // namespace chicorygap::proxy
