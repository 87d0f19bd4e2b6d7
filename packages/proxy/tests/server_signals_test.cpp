// What servers say of themselves, in any kind of response.
#include "router_fixture.h"

#include <string>
#include <vector>

namespace chicorygap::proxy {
namespace {

constexpr const char* limit_field = "Limit: 1\r\n";

struct server_signals_test : request_router_test {
    void SetUp() override { load_catalog(); }

    [[nodiscard]] static catalog::backend_server entry(const std::string& id, const net::address& address) {
        catalog::backend_server b;
        b.id = base::backend_server_id{id};
        b.service = base::service_id{"s"};
        b.address = address;
        b.zone = base::zone_id{"z"};
        b.slots = 4;
        return b;
    }

    [[nodiscard]] std::optional<double> limit_of(const std::string& id) {
        return router.server_signals().limit(backpressure::key_of(entry(id, {})));
    }
};

// Failure: a server in need answers with anything but a success. Guards against reading its limit from
// successes only.
TEST_F(server_signals_test, limit_is_read_from_every_kind_of_response) {
    const std::string field = limit_field;
    struct kind {
        const char* path;
        std::string text;
        bool close;
    };
    const std::vector<kind> kinds{
        {"/read/", make_response("1", "ok", 200, field), false},
        {"/read/", make_response("1", "", 500, field), false},
        {"/order/", make_response("1", "", 404, field), false},
        {"/order/", make_response("1", "", 503, "Not-Run: 1\r\n" + field), false},
        {"/order/", make_response("1", "", 429, "Not-Run: 1\r\n" + field), false},
        {"/talk/", "HTTP/1.1 200 OK\r\nId: 1\r\n" + field + "Content-Type: text/event-stream\r\n\r\n", true},
        {"/order/", "HTTP/1.1 200 OK\r\nId: 1\r\n" + field + "Content-Length: 90\r\n\r\nbreaks off", true},
    };
    for (const auto& k : kinds) {
        remove_servers();
        router.server_signals().expire(loop.now() + 1h);
        add_server([k](const connection& c, const std::string&) {
            c->write(k.text);
            if (k.close) {
                c->close_when_drained();
            }
        });
        ASSERT_EQ(limit_of("server0"), std::nullopt);
        const auto before = records.size();
        send_request(k.path, "1");
        ASSERT_TRUE(run_until([&] { return limit_of("server0").has_value(); })) << k.text;
        EXPECT_EQ(limit_of("server0"), 1.0);
        ASSERT_TRUE(wait_for_records(before + 1)) << k.text;
    }
}

// Failure: another server answers at the address. Guards against a limit for the one that was addressed.
TEST_F(server_signals_test, limit_in_a_response_of_another_server_is_that_servers) {
    add_server(
        [](const connection& c, const std::string&) { c->write(make_response("1", "", 421, limit_field)); });
    const auto address = servers[0]->address();
    auto other = entry("other", address);
    other.draining = true;
    router.set_servers({entry("server0", address), other});
    send_request("/order/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_EQ(limit_of("server0"), std::nullopt);
    EXPECT_EQ(limit_of("other"), 1.0);
}

// Failure: a server ends, and its successor starts cold under the same entry. Guards against daemons that
// only notice it when a request of theirs fails, and against a retry that does not keep to the limit.
TEST_F(server_signals_test, server_that_ends_counts_as_cold_for_all_that_were_connected) {
    router.server_signals().set_warmups(backpressure::warmup_bounds{1.5, 5},
                                        {{base::service_id{"s"}, {3s, 10}}}, loop.now());
    add_server([](const connection& c, const std::string&) { c->write(make_response("1", "ok")); });
    send_request("/read/", "1");
    ASSERT_TRUE(wait_for_records());
    const auto key = backpressure::key_of(entry("server0", {}));
    EXPECT_FALSE(router.server_signals().cold(key, loop.now()));
    servers[0]->end_process();
    EXPECT_TRUE(run_until([&] { return router.server_signals().cold(key, loop.now()); }));
}

TEST_F(server_signals_test, cold_server_gets_no_more_by_retries) {
    router.server_signals().set_warmups(backpressure::warmup_bounds{1.5, 5},
                                        {{base::service_id{"s"}, {3s, 10}}}, loop.now());
    std::vector<base::time_point> arrivals;
    add_server([&arrivals](const connection& c, const std::string&) {
        arrivals.push_back(base::boot_clock::now());
        c->write(make_response("1", "", 500, "Cold: 3000\r\n"));
    });
    send_request("/read/", "1");
    ASSERT_TRUE(wait_for_records());
    for (std::size_t i = 1; i < arrivals.size(); ++i) {
        EXPECT_GE(arrivals[i] - arrivals[i - 1], 100ms) << "alone in its fleet, one start in 125 ms";
    }
}

// Guards against a limit read from a late copy of a response to another request.
TEST_F(server_signals_test, responses_to_other_requests_say_nothing) {
    int requests = 0;
    add_server([&requests](const connection& c, const std::string&) {
        c->write(++requests == 1
                     ? make_response("1", "first")
                     : make_response("1", "first", 200, limit_field) + make_response("2", "second"));
    });
    send_request("/read/", "1");
    ASSERT_TRUE(wait_for_records(1));
    send_request("/read/", "2");
    ASSERT_TRUE(wait_for_records(2));
    EXPECT_EQ(limit_of("server0"), std::nullopt);
}

// Load: a server takes one request a second and refuses nothing. Guards against repeats beyond its limit.
TEST_F(server_signals_test, repeats_count_against_the_limit_of_a_server) {
    const auto fail = [](const connection& c, const std::string& r) {
        const auto at = r.find("\r\nId: ") + 6;
        c->write(make_response(r.substr(at, r.find("\r\n", at) - at), "", 500, limit_field));
    };
    add_server(fail);
    add_server(fail);
    for (int i = 1; i <= 12; ++i) {
        send_request("/read/", std::to_string(i));
        ASSERT_TRUE(run_until([&] { return records.size() >= static_cast<std::size_t>(i); }));
    }
    for (const auto& s : servers) {
        EXPECT_LE(s->request_count(), 11);
    }
}

// Failure: a server says in a response that it stops, before the list tells that it drains.
TEST_F(server_signals_test, server_that_says_that_it_stops_is_draining) {
    const auto serve = [](const connection& c, const std::string& r) {
        const auto at = r.find("\r\nId: ") + 6;
        c->write(make_response(r.substr(at, r.find("\r\n", at) - at), "ok", 200, "Leaving: 1\r\n"));
    };
    add_server(serve);
    send_request("/read/", "1");
    ASSERT_TRUE(wait_for_records(1));
    ASSERT_TRUE(run_until([&] { return router.servers().at(0).draining; }));
    const auto c = send_request("/read/", "2");
    ASSERT_TRUE(wait_for_records(2));
    EXPECT_TRUE(contains(c->received, "503"));
    EXPECT_EQ(servers[0]->request_count(), 1);
    // A list that does not know it yet does not bring the server back.
    router.set_servers({entry("server0", servers[0]->address())});
    EXPECT_TRUE(router.servers().at(0).draining);
}

// Failure: a daemon has sent to a server that names a wait; the request goes elsewhere.
TEST_F(server_signals_test, refused_request_is_sent_to_a_server_without_a_wait) {
    int refusals = 0;
    const auto serve = [&refusals](const connection& c, const std::string& r) {
        const auto at = r.find("\r\nId: ") + 6;
        const auto id = r.substr(at, r.find("\r\n", at) - at);
        c->write(refusals++ == 0 ? make_response(id, "", 503, "Not-Run: 1\r\nWait: 30\r\n")
                                 : make_response(id, "done"));
    };
    add_server(serve);
    add_server(serve);
    for (int i = 1; i <= 6; ++i) {
        const auto c = send_request("/order/", std::to_string(i));
        ASSERT_TRUE(run_until([&] { return records.size() >= static_cast<std::size_t>(i); }));
        run_until([&] { return !c->received.empty(); });
        EXPECT_TRUE(contains(c->received, "done"));
    }
    EXPECT_EQ(std::min(servers[0]->request_count(), servers[1]->request_count()), 1);
}

}  // namespace
}  // namespace chicorygap::proxy
