#include "router_fixture.h"

#include <algorithm>
#include <map>

namespace chicorygap::proxy {
namespace {

TEST_F(request_router_test, response_is_forwarded_unchanged) {
    load_catalog();
    add_server([](const connection& c, const std::string& r) {
        EXPECT_TRUE(contains(r, "POST /read/a?b=c HTTP/1.1"));
        EXPECT_TRUE(contains(r, "Workspace: north"));
        EXPECT_FALSE(contains(r, "Key:"));
        EXPECT_TRUE(contains(r, "\r\n\r\nthe body"));
        c->write(make_response("1", "hello", 200, "X-Stamp: s1\r\n"));
    });
    const auto c = send_request("/read/a?b=c", "1", "k", "the body");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(c->received, "200"));
    EXPECT_TRUE(contains(c->received, "X-Stamp: s1"));
    EXPECT_TRUE(contains(c->received, "hello"));
    EXPECT_EQ(started_runs, std::vector<std::string>{"north"});
}

// Guards against rejecting keys and routes as unknown while no configuration is loaded.
TEST_F(request_router_test, missing_configuration_returns_503_with_retry_after) {
    const auto c = send_request("/nowhere/", "1", "unknown");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(c->received, "503"));
    EXPECT_TRUE(contains(c->received, "Retry-After"));
}

TEST_F(request_router_test, unknown_route_returns_404_and_unknown_key_401) {
    load_catalog();
    const auto unknown_route = send_request("/nowhere/", "1");
    const auto unknown_key = send_request("/read/", "2", "other");
    ASSERT_TRUE(wait_for_records(2));
    EXPECT_TRUE(contains(unknown_route->received, "404"));
    EXPECT_TRUE(contains(unknown_key->received, "401"));
}

TEST_F(request_router_test, idempotent_request_is_retried_after_error_response) {
    load_catalog();
    int request_count = 0;
    const auto script = [&request_count](const connection& c, const std::string&) {
        c->write(++request_count == 1 ? make_response("1", "bad", 500) : make_response("1", "good"));
    };
    add_server(script);
    add_server(script);
    const auto c = send_request("/read/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(c->received, "good"));
    EXPECT_FALSE(contains(c->received, "bad"));
    EXPECT_EQ(records[0].attempts, 2U);
}

// Guards against executing a non-idempotent request twice.
TEST_F(request_router_test, non_idempotent_request_is_not_retried_when_its_outcome_is_unknown) {
    load_catalog();
    const auto script = [](const connection& c, const std::string&) { c->close(); };
    add_server(script);
    add_server(script);
    const auto c = send_request("/order/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_EQ(servers[0]->request_count() + servers[1]->request_count(), 1);
    EXPECT_TRUE(contains(c->received, "502"));
    EXPECT_FALSE(contains(c->received, "Retry-After"));
    EXPECT_EQ(records[0].run_state, base::run_state::unknown);
}

// Guards against rejecting a request that another server could still run.
TEST_F(request_router_test, non_idempotent_request_is_retried_after_rejection_by_a_server) {
    load_catalog();
    int request_count = 0;
    const auto script = [&request_count](const connection& c, const std::string&) {
        c->write(++request_count == 1 ? make_response("1", "", 503, "Not-Run: 1\r\n")
                                      : make_response("1", "done"));
    };
    add_server(script);
    add_server(script);
    const auto c = send_request("/order/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(c->received, "done"));
}

TEST_F(request_router_test, rejection_by_all_servers_is_reported_as_not_run) {
    load_catalog();
    add_server([](const connection& c, const std::string&) {
        c->write(make_response("1", "", 503, "Not-Run: 1\r\n"));
    });
    const auto c = send_request("/order/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(c->received, "503"));
    EXPECT_TRUE(contains(c->received, "Retry-After"));
    EXPECT_EQ(records[0].run_state, base::run_state::not_run);
}

// Guards against treating a late duplicate response as the response to the next request on the connection.
TEST_F(request_router_test, response_to_another_request_is_discarded) {
    load_catalog();
    int request_count = 0;
    add_server([&request_count](const connection& c, const std::string&) {
        c->write(++request_count == 1 ? make_response("1", "first")
                                      : make_response("1", "late copy") + make_response("2", "second"));
    });
    const auto a = send_request("/read/", "1");
    ASSERT_TRUE(wait_for_records(1));
    const auto b = send_request("/read/", "2");
    ASSERT_TRUE(wait_for_records(2));
    EXPECT_TRUE(contains(b->received, "second"));
    EXPECT_FALSE(contains(b->received, "late copy"));
    EXPECT_EQ(servers[0]->connection_count(), 1) << "the connection must be reused";
}

// Guards against reading bytes after a response as the next response.
TEST_F(request_router_test, connection_with_trailing_bytes_is_not_reused) {
    load_catalog();
    int request_count = 0;
    add_server([&request_count](const connection& c, const std::string&) {
        ++request_count;
        c->write(make_response(std::to_string(request_count), "body" + std::to_string(request_count)) +
                 (request_count == 1 ? "HTTP/1.1 200 OK\r\n" : ""));
    });
    send_request("/read/", "1");
    ASSERT_TRUE(wait_for_records(1));
    const auto b = send_request("/read/", "2");
    ASSERT_TRUE(wait_for_records(2));
    EXPECT_TRUE(contains(b->received, "body2"));
    EXPECT_EQ(servers[0]->connection_count(), 2);
}

TEST_F(request_router_test, truncated_response_is_replaced_by_that_of_a_retry) {
    load_catalog();
    int request_count = 0;
    const auto script = [&request_count](const connection& c, const std::string&) {
        if (++request_count == 1) {
            c->write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nhalf");
            c->close_when_drained();
        } else {
            c->write(make_response("1", "whole"));
        }
    };
    add_server(script);
    add_server(script);
    const auto c = send_request("/read/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(c->received, "whole"));
    EXPECT_FALSE(contains(c->received, "half"));
}

TEST_F(request_router_test, stream_is_forwarded_in_complete_events) {
    load_catalog();
    connection server_connection;
    add_server([&server_connection](const connection& c, const std::string&) {
        c->write(stream_head("1") + chunk(event(1) + "id: 2\nda"));
        server_connection = c;
    });
    const auto c = send_request("/draft/", "1");
    ASSERT_TRUE(run_until([&] { return contains(c->received, "id: 1\n"); }));
    EXPECT_FALSE(contains(c->received, "id: 2"));
    server_connection->write(chunk("ta: x\n\n") + "0\r\n\r\n");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(c->received, "id: 2\ndata: x\n\n"));
    EXPECT_TRUE(contains(c->received, "0\r\n\r\n"));
    EXPECT_EQ(records[0].event_count, 2U);
}

TEST_F(request_router_test, resumable_stream_continues_after_its_last_complete_event) {
    load_catalog();
    int request_count = 0;
    std::string second_request;
    const auto script = [&](const connection& c, const std::string& r) {
        if (++request_count == 1) {
            c->write(stream_head("1") + chunk(event(1) + event(2) + "id: 3\nda"));
            c->close_when_drained();
        } else {
            second_request = r;
            c->write(stream_head("1") + chunk(event(3)) + "0\r\n\r\n");
        }
    };
    add_server(script);
    add_server(script);
    const auto c = send_request("/talk/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(second_request, "Last: 2"));
    const auto body = c->received.substr(c->received.find("\r\n\r\n"));
    EXPECT_EQ(body.find("id: 3"), body.rfind("id: 3"));
    EXPECT_TRUE(contains(body, "0\r\n\r\n"));
    EXPECT_EQ(records[0].code, base::result_code::ok);
}

// Guards against forwarding the body of an error response within a stream and ending the stream as if it were
// complete. Seen in utkp-router hunt-6861-3 and two other runs.
TEST_F(request_router_test, error_response_to_a_resumed_stream_aborts_the_stream) {
    load_catalog();
    int request_count = 0;
    const auto script = [&](const connection& c, const std::string&) {
        if (++request_count == 1) {
            c->write(stream_head("1") + chunk(event(1)));
            c->close_when_drained();
        } else {
            c->write(make_response("1", "some failure", 500));
        }
    };
    add_server(script);
    add_server(script);
    const auto c = send_request("/talk/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(c->received, "id: 1"));
    EXPECT_FALSE(contains(c->received, "some failure"));
    EXPECT_FALSE(contains(c->received, "0\r\n\r\n"));
    EXPECT_TRUE(run_until([&] { return c->closed; }));
}

TEST_F(request_router_test, truncated_stream_that_is_not_resumable_is_aborted) {
    load_catalog();
    const auto script = [](const connection& c, const std::string&) {
        c->write(stream_head("1") + chunk(event(1)));
        c->close_when_drained();
    };
    add_server(script);
    add_server(script);
    const auto c = send_request("/draft/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_EQ(servers[0]->request_count() + servers[1]->request_count(), 1);
    EXPECT_FALSE(contains(c->received, "0\r\n\r\n"));
    EXPECT_TRUE(run_until([&] { return c->closed; }));
}

// Guards against servers that continue to run requests of disconnected callers.
TEST_F(request_router_test, stream_is_cancelled_when_the_caller_disconnects) {
    load_catalog();
    add_server([](const connection& c, const std::string&) { c->write(stream_head("1") + chunk(event(1))); });
    const auto c = send_request("/draft/", "1");
    ASSERT_TRUE(run_until([&] { return contains(c->received, "id: 1"); }));
    c->stream->close();
    EXPECT_TRUE(run_until([&] { return servers[0]->closed_connection_count() == 1; }));
    ASSERT_TRUE(wait_for_records());
    EXPECT_EQ(records[0].code, base::result_code::caller_gone);
}

TEST_F(request_router_test, non_idempotent_request_continues_when_the_caller_disconnects) {
    load_catalog();
    connection server_connection;
    add_server([&server_connection](const connection& c, const std::string&) { server_connection = c; });
    const auto c = send_request("/order/", "1");
    ASSERT_TRUE(run_until([&] { return server_connection != nullptr; }));
    c->stream->close();
    run_until([&] { return sessions.empty(); });
    EXPECT_EQ(servers[0]->closed_connection_count(), 0);
    server_connection->write(make_response("1", "done"));
    ASSERT_TRUE(wait_for_records());
    EXPECT_EQ(records[0].status, 0);
}

TEST_F(request_router_test, request_is_retried_on_another_server_after_a_timeout) {
    load_catalog();
    int request_count = 0;
    const auto script = [&request_count](const connection& c, const std::string&) {
        if (++request_count > 1) {
            c->write(make_response("1", "good"));
        }
    };
    add_server(script);
    add_server(script);
    const auto c = send_request("/read/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(c->received, "good"));
    EXPECT_LT(records[0].total_time, 1s);
}

TEST_F(request_router_test, request_ends_at_the_route_timeout) {
    load_catalog();
    add_server([](const connection&, const std::string&) {});
    const auto c = send_request("/order/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(c->received, "504"));
    EXPECT_GE(records[0].total_time, 2s);
    EXPECT_LT(records[0].total_time, 2300ms);
}

// Guards against starting a request that is then aborted when the process exits.
TEST_F(request_router_test, shutdown_rejects_requests_that_may_exceed_the_deadline) {
    load_catalog();
    add_server([](const connection& c, const std::string&) { c->write(make_response("1", "x")); });
    router.set_shutdown({.accept_all_until = {}, .deadline = base::boot_clock::now() + 1s});
    const auto c = send_request("/order/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(c->received, "503"));
    EXPECT_EQ(servers[0]->request_count(), 0);
}

// Guards against waiting requests that take the places of those that are ended, and are sent and cut in turn.
TEST_F(request_router_test, end_of_a_shutdown_sends_no_waiting_request) {
    load_catalog();
    add_server([](const connection&, const std::string&) {});  // four slots
    std::vector<std::shared_ptr<test_caller>> callers;
    callers.reserve(12);
    for (int i = 0; i < 12; ++i) {
        callers.push_back(send_request("/order/", std::to_string(i)));
    }
    ASSERT_TRUE(run_until([&] { return router.open_requests() == 12 && servers[0]->request_count() == 4; }));
    router.end_requests();
    ASSERT_TRUE(wait_for_records(12));
    EXPECT_EQ(servers[0]->request_count(), 4);
    const auto with_status = [&](int status) {
        return std::count_if(records.begin(), records.end(),
                             [&](const auto& r) { return r.status == status; });
    };
    EXPECT_EQ(with_status(503), 8);
    EXPECT_EQ(with_status(502), 4);
    for (const auto& r : records) {
        EXPECT_EQ(r.run_state, r.status == 503 ? base::run_state::not_run : base::run_state::unknown);
    }
}

// Guards against use after free of a connection: a write to a disconnected caller failed during the call and
// crashed seven daemons.
TEST_F(request_router_test, caller_resets_the_connection_during_a_stream) {
    load_catalog();
    connection server_connection;
    add_server([&server_connection](const connection& c, const std::string&) {
        c->write(stream_head("1") + chunk(event(1)));
        server_connection = c;
    });
    Poco::Net::StreamSocket raw;
    raw.connect(Poco::Net::SocketAddress{"127.0.0.1", listener.local().port});
    const std::string text =
        "POST /draft/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n";
    raw.sendBytes(text.data(), static_cast<int>(text.size()));
    ASSERT_TRUE(run_until([&] { return server_connection != nullptr; }));
    raw.setLinger(true, 0);
    raw.close();
    for (int i = 2; i < 40 && records.empty(); ++i) {
        server_connection->write(chunk(event(i)));
        loop.run_once(5ms);
    }
    ASSERT_TRUE(wait_for_records());
    EXPECT_EQ(records[0].status, 0);
}

}  // namespace
}  // namespace chicorygap::proxy
