#include "proxy/request_router.h"

#include "http/server_session.h"
#include "net/listener.h"
#include "net/loop.h"
#include "net/stream.h"
#include "scripted_server.h"
#include "test_header_codec.h"

#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>

namespace chicorygap::proxy {
namespace {

using namespace std::chrono_literals;
using connection = scripted_server::connection;

std::string answer(const std::string& id, const std::string& body, int status = 200,
                   const std::string& extra = "") {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nId: " + id + "\r\n" + extra +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string stream_head(const std::string& id) {
    return "HTTP/1.1 200 OK\r\nId: " + id +
           "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string& text) {
    std::ostringstream os;
    os << std::hex << text.size() << "\r\n" << text << "\r\n";
    return os.str();
}

std::string event(int id) {
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

/// A caller that keeps what it received.
struct caller {
    std::shared_ptr<net::stream> stream;
    std::string received;
    bool closed = false;
};

struct router_test : testing::Test {
    net::loop loop;
    test_header_codec codec;
    std::uint64_t random_state = 0;
    std::vector<request_record> records;
    std::vector<std::string> runs;
    request_router router{loop,
                          codec,
                          {.self = base::vm_id{"vm"},
                           .zone = base::zone_id{"z"},
                           .retries = {.ratio = 1, .extra_retries = 100, .window = 10s}},
                          [this] { return ++random_state << 40; },
                          {.run_started = [this](const base::workspace_id& w) { runs.push_back(w.str()); },
                           .request_ended = [this](const request_record& r) { records.push_back(r); }}};
    std::set<std::shared_ptr<http::server_session>> sessions;
    net::listener front{loop, {"127.0.0.1", 0}, [this](const Poco::Net::StreamSocket& s) { accept(s); }};
    std::vector<std::unique_ptr<scripted_server>> servers;

    void accept(const Poco::Net::StreamSocket& socket) {
        sessions.insert(http::server_session::start(
            loop, socket, {},
            {.received = [this](http::server_session& s,
                                http::request&& r) { router.handle(s, std::move(r)); },
             .caller_gone = [this](http::server_session& s) { router.caller_disconnected(s); },
             .drained = [this](http::server_session& s) { router.drained(s); },
             .closed = [this](http::server_session& s) { sessions.erase(s.shared_from_this()); }}));
    }

    static catalog::route make_route(const std::string& prefix, catalog::request_kind kind,
                                     std::uint32_t attempts) {
        catalog::route r;
        r.name = prefix;
        r.host = "h";
        r.path_prefix = prefix;
        r.kind = kind;
        r.timeout = 2s;
        r.target_latency = 100ms;
        r.target_gap = 100ms;
        r.services = {{base::service_id{"s"}, 1}};
        r.max_attempts = attempts;
        return r;
    }

    void configure() {
        auto c = std::make_shared<catalog::snapshot>();
        c->version = 1;
        c->api_keys_required = true;
        c->add_api_key("k", {base::workspace_id{"north"}, {}});
        c->add(make_route("/read/", catalog::request_kind::idempotent, 2));
        c->add(make_route("/order/", catalog::request_kind::non_idempotent, 1));
        auto once = make_route("/draft/", catalog::request_kind::streaming, 1);
        c->add(once);
        auto resumed = make_route("/talk/", catalog::request_kind::streaming, 2);
        resumed.resumable = true;
        c->add(resumed);
        c->add(catalog::service{.id = base::service_id{"s"}});
        router.set_catalog(c);
    }

    void add_server(scripted_server::script s) {
        servers.push_back(std::make_unique<scripted_server>(loop, std::move(s)));
        std::vector<catalog::backend_server> list;
        for (std::size_t i = 0; i < servers.size(); ++i) {
            catalog::backend_server b;
            b.id = base::backend_server_id{"server" + std::to_string(i)};
            b.service = base::service_id{"s"};
            b.address = servers[i]->address();
            b.zone = base::zone_id{"z"};
            b.slots = 4;
            list.push_back(b);
        }
        router.set_servers(list);
    }

    std::shared_ptr<caller> call(const std::string& path, const std::string& id, const std::string& key = "k",
                                 const std::string& body = "") {
        auto c = std::make_shared<caller>();
        c->stream = net::stream::connect(loop, front.local(), 1s,
                                         {.connected = nullptr,
                                          .received = [c](std::string_view b) { c->received.append(b); },
                                          .drained = nullptr,
                                          .ended = [c](net::stream_end) { c->closed = true; }});
        c->stream->write("POST " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nKey: " + key +
                         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        return c;
    }

    /// Runs the loop until `done` or for two and a half seconds.
    bool run_until(const std::function<bool()>& done) {
        const auto end = base::boot_clock::now() + 2500ms;
        while (!done() && base::boot_clock::now() < end) {
            loop.run_once(20ms);
        }
        return done();
    }

    bool ended(std::size_t n = 1) {
        const bool result = run_until([&] { return records.size() >= n; });
        for (int i = 0; i < 5; ++i) {
            loop.run_once(5ms);  // the last bytes reach the caller
        }
        return result;
    }
};

TEST_F(router_test, answer_reaches_the_caller_unchanged) {
    configure();
    add_server([](const connection& c, const std::string& r) {
        EXPECT_TRUE(contains(r, "POST /read/a?b=c HTTP/1.1"));
        EXPECT_TRUE(contains(r, "Workspace: north"));
        EXPECT_FALSE(contains(r, "Key:"));
        EXPECT_TRUE(contains(r, "\r\n\r\nthe body"));
        c->write(answer("1", "hello", 200, "X-Stamp: s1\r\n"));
    });
    const auto c = call("/read/a?b=c", "1", "k", "the body");
    ASSERT_TRUE(ended());
    EXPECT_TRUE(contains(c->received, "200"));
    EXPECT_TRUE(contains(c->received, "X-Stamp: s1"));
    EXPECT_TRUE(contains(c->received, "hello"));
    EXPECT_EQ(runs, std::vector<std::string>{"north"});
}

// Guards against false statements about keys and routes while this daemon knows no configuration.
TEST_F(router_test, without_configuration_callers_are_told_to_come_back) {
    const auto c = call("/nowhere/", "1", "unknown");
    ASSERT_TRUE(ended());
    EXPECT_TRUE(contains(c->received, "503"));
    EXPECT_TRUE(contains(c->received, "Retry-After"));
}

TEST_F(router_test, unknown_routes_and_keys) {
    configure();
    const auto no_route = call("/nowhere/", "1");
    const auto no_key = call("/read/", "2", "other");
    ASSERT_TRUE(ended(2));
    EXPECT_TRUE(contains(no_route->received, "404"));
    EXPECT_TRUE(contains(no_key->received, "401"));
}

TEST_F(router_test, idempotent_request_is_repeated_after_a_failure) {
    configure();
    int n = 0;
    const auto script = [&n](const connection& c, const std::string&) {
        c->write(++n == 1 ? answer("1", "bad", 500) : answer("1", "good"));
    };
    add_server(script);
    add_server(script);
    const auto c = call("/read/", "1");
    ASSERT_TRUE(ended());
    EXPECT_TRUE(contains(c->received, "good"));
    EXPECT_FALSE(contains(c->received, "bad"));
    EXPECT_EQ(records[0].attempts, 2U);
}

// Guards against an order that is carried out twice.
TEST_F(router_test, non_idempotent_request_is_sent_once_when_its_outcome_is_unknown) {
    configure();
    const auto script = [](const connection& c, const std::string&) { c->close(); };
    add_server(script);
    add_server(script);
    const auto c = call("/order/", "1");
    ASSERT_TRUE(ended());
    EXPECT_EQ(servers[0]->requests() + servers[1]->requests(), 1);
    EXPECT_TRUE(contains(c->received, "502"));
    EXPECT_FALSE(contains(c->received, "Retry-After"));
    EXPECT_EQ(records[0].run_state, base::run_state::unknown);
}

// Guards against a refusal of an order that another server could still take.
TEST_F(router_test, non_idempotent_request_moves_on_after_a_server_refused_it) {
    configure();
    int n = 0;
    const auto script = [&n](const connection& c, const std::string&) {
        c->write(++n == 1 ? answer("1", "", 503, "Not-Run: 1\r\n") : answer("1", "done"));
    };
    add_server(script);
    add_server(script);
    const auto c = call("/order/", "1");
    ASSERT_TRUE(ended());
    EXPECT_TRUE(contains(c->received, "done"));
}

TEST_F(router_test, refusal_by_all_servers_is_told_as_not_run) {
    configure();
    add_server(
        [](const connection& c, const std::string&) { c->write(answer("1", "", 503, "Not-Run: 1\r\n")); });
    const auto c = call("/order/", "1");
    ASSERT_TRUE(ended());
    EXPECT_TRUE(contains(c->received, "503"));
    EXPECT_TRUE(contains(c->received, "Retry-After"));
    EXPECT_EQ(records[0].run_state, base::run_state::not_run);
}

// Guards against a late second answer being taken for that of the next request on its connection.
TEST_F(router_test, answer_to_another_request_is_dropped) {
    configure();
    int n = 0;
    add_server([&n](const connection& c, const std::string&) {
        c->write(++n == 1 ? answer("1", "first") : answer("1", "late copy") + answer("2", "second"));
    });
    const auto a = call("/read/", "1");
    ASSERT_TRUE(ended(1));
    const auto b = call("/read/", "2");
    ASSERT_TRUE(ended(2));
    EXPECT_TRUE(contains(b->received, "second"));
    EXPECT_FALSE(contains(b->received, "late copy"));
    EXPECT_EQ(servers[0]->connections(), 1) << "the connection was used again";
}

// Guards against bytes behind an answer being read as the next one.
TEST_F(router_test, connection_with_extra_bytes_is_not_used_again) {
    configure();
    int n = 0;
    add_server([&n](const connection& c, const std::string&) {
        ++n;
        c->write(answer(std::to_string(n), "body" + std::to_string(n)) +
                 (n == 1 ? "HTTP/1.1 200 OK\r\n" : ""));
    });
    call("/read/", "1");
    ASSERT_TRUE(ended(1));
    const auto b = call("/read/", "2");
    ASSERT_TRUE(ended(2));
    EXPECT_TRUE(contains(b->received, "body2"));
    EXPECT_EQ(servers[0]->connections(), 2);
}

TEST_F(router_test, truncated_answer_is_replaced_by_a_repetition) {
    configure();
    int n = 0;
    const auto script = [&n](const connection& c, const std::string&) {
        if (++n == 1) {
            c->write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nhalf");
            c->close_when_drained();
        } else {
            c->write(answer("1", "whole"));
        }
    };
    add_server(script);
    add_server(script);
    const auto c = call("/read/", "1");
    ASSERT_TRUE(ended());
    EXPECT_TRUE(contains(c->received, "whole"));
    EXPECT_FALSE(contains(c->received, "half"));
}

TEST_F(router_test, stream_is_passed_on_in_whole_events) {
    configure();
    connection held;
    add_server([&held](const connection& c, const std::string&) {
        c->write(stream_head("1") + chunk(event(1) + "id: 2\nda"));
        held = c;
    });
    const auto c = call("/draft/", "1");
    ASSERT_TRUE(run_until([&] { return contains(c->received, "id: 1\n"); }));
    EXPECT_FALSE(contains(c->received, "id: 2"));
    held->write(chunk("ta: x\n\n") + "0\r\n\r\n");
    ASSERT_TRUE(ended());
    EXPECT_TRUE(contains(c->received, "id: 2\ndata: x\n\n"));
    EXPECT_TRUE(contains(c->received, "0\r\n\r\n"));
    EXPECT_EQ(records[0].event_count, 2U);
}

TEST_F(router_test, resumable_stream_goes_on_behind_its_last_whole_event) {
    configure();
    int n = 0;
    std::string second;
    const auto script = [&](const connection& c, const std::string& r) {
        if (++n == 1) {
            c->write(stream_head("1") + chunk(event(1) + event(2) + "id: 3\nda"));
            c->close_when_drained();
        } else {
            second = r;
            c->write(stream_head("1") + chunk(event(3)) + "0\r\n\r\n");
        }
    };
    add_server(script);
    add_server(script);
    const auto c = call("/talk/", "1");
    ASSERT_TRUE(ended());
    EXPECT_TRUE(contains(second, "Last: 2"));
    const auto body = c->received.substr(c->received.find("\r\n\r\n"));
    EXPECT_EQ(body.find("id: 3"), body.rfind("id: 3"));
    EXPECT_TRUE(contains(body, "0\r\n\r\n"));
    EXPECT_EQ(records[0].code, base::result_code::ok);
}

// Guards against a failure's body inside a stream and an end that looks whole (utkp-router hunt-6861-3 and
// two others).
TEST_F(router_test, failure_of_the_second_server_does_not_end_a_stream_as_complete) {
    configure();
    int n = 0;
    const auto script = [&](const connection& c, const std::string&) {
        if (++n == 1) {
            c->write(stream_head("1") + chunk(event(1)));
            c->close_when_drained();
        } else {
            c->write(answer("1", "some failure", 500));
        }
    };
    add_server(script);
    add_server(script);
    const auto c = call("/talk/", "1");
    ASSERT_TRUE(ended());
    EXPECT_TRUE(contains(c->received, "id: 1"));
    EXPECT_FALSE(contains(c->received, "some failure"));
    EXPECT_FALSE(contains(c->received, "0\r\n\r\n"));
    EXPECT_TRUE(run_until([&] { return c->closed; }));
}

TEST_F(router_test, stream_that_cannot_be_resumed_ends_visibly_unfinished) {
    configure();
    const auto script = [](const connection& c, const std::string&) {
        c->write(stream_head("1") + chunk(event(1)));
        c->close_when_drained();
    };
    add_server(script);
    add_server(script);
    const auto c = call("/draft/", "1");
    ASSERT_TRUE(ended());
    EXPECT_EQ(servers[0]->requests() + servers[1]->requests(), 1);
    EXPECT_FALSE(contains(c->received, "0\r\n\r\n"));
    EXPECT_TRUE(run_until([&] { return c->closed; }));
}

// Guards against servers that work on for callers that have left.
TEST_F(router_test, work_is_cancelled_when_the_caller_leaves) {
    configure();
    add_server([](const connection& c, const std::string&) { c->write(stream_head("1") + chunk(event(1))); });
    const auto c = call("/draft/", "1");
    ASSERT_TRUE(run_until([&] { return contains(c->received, "id: 1"); }));
    c->stream->close();
    EXPECT_TRUE(run_until([&] { return servers[0]->closed() == 1; }));
    ASSERT_TRUE(ended());
    EXPECT_EQ(records[0].code, base::result_code::caller_gone);
}

TEST_F(router_test, order_in_flight_is_not_broken_off_when_the_caller_leaves) {
    configure();
    connection held;
    add_server([&held](const connection& c, const std::string&) { held = c; });
    const auto c = call("/order/", "1");
    ASSERT_TRUE(run_until([&] { return held != nullptr; }));
    c->stream->close();
    run_until([&] { return sessions.empty(); });
    EXPECT_EQ(servers[0]->closed(), 0);
    held->write(answer("1", "done"));
    ASSERT_TRUE(ended());
    EXPECT_EQ(records[0].status, 0);
}

TEST_F(router_test, silent_server_is_left_for_another_one) {
    configure();
    int n = 0;
    const auto script = [&n](const connection& c, const std::string&) {
        if (++n > 1) {
            c->write(answer("1", "good"));
        }
    };
    add_server(script);
    add_server(script);
    const auto c = call("/read/", "1");
    ASSERT_TRUE(ended());
    EXPECT_TRUE(contains(c->received, "good"));
    EXPECT_LT(records[0].total_time, 1s);
}

TEST_F(router_test, request_ends_at_the_time_limit_of_its_route) {
    configure();
    add_server([](const connection&, const std::string&) {});
    const auto c = call("/order/", "1");
    ASSERT_TRUE(ended());
    EXPECT_TRUE(contains(c->received, "504"));
    EXPECT_GE(records[0].total_time, 2s);
    EXPECT_LT(records[0].total_time, 2300ms);
}

// Guards against a request that is begun and then cut when the process ends.
TEST_F(router_test, stopping_daemon_refuses_what_may_not_end_in_time) {
    configure();
    add_server([](const connection& c, const std::string&) { c->write(answer("1", "x")); });
    router.set_shutdown_deadline(base::boot_clock::now() + 1s);
    const auto c = call("/order/", "1");
    ASSERT_TRUE(ended());
    EXPECT_TRUE(contains(c->received, "503"));
    EXPECT_EQ(servers[0]->requests(), 0);
}

// Guards against use of a released connection: a write to a caller that has gone failed inside the write and
// ended seven daemons.
TEST_F(router_test, caller_that_resets_in_the_middle_of_a_stream) {
    configure();
    connection held;
    add_server([&held](const connection& c, const std::string&) {
        c->write(stream_head("1") + chunk(event(1)));
        held = c;
    });
    Poco::Net::StreamSocket raw;
    raw.connect(Poco::Net::SocketAddress{"127.0.0.1", front.local().port});
    const std::string text =
        "POST /draft/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n";
    raw.sendBytes(text.data(), static_cast<int>(text.size()));
    ASSERT_TRUE(run_until([&] { return held != nullptr; }));
    raw.setLinger(true, 0);
    raw.close();
    for (int i = 2; i < 40 && records.empty(); ++i) {
        held->write(chunk(event(i)));
        loop.run_once(5ms);
    }
    ASSERT_TRUE(ended());
    EXPECT_EQ(records[0].status, 0);
}

}  // namespace
}  // namespace chicorygap::proxy
