#include "router_fixture.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <thread>

namespace chicorygap::proxy {
namespace {

/// Time after a caller has left in which its request may still reach a server, or keep it at work.
constexpr base::duration caller_left_limit = 500ms;

struct caller_left_test : request_router_test {
    /// @return a blocking connection to the router, whose bytes and end the loop sees when it runs next.
    Poco::Net::StreamSocket connect_caller() {
        const auto a = listener.local();
        return Poco::Net::StreamSocket{Poco::Net::SocketAddress{a.host, a.port}};
    }

    static std::string request_text(const std::string& path, const std::string& id,
                                    const std::string& body = "") {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id +
               "\r\nKey: k\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static void send_all(Poco::Net::StreamSocket& s, const std::string& bytes) {
        for (std::size_t sent = 0; sent < bytes.size();) {
            sent += static_cast<std::size_t>(
                s.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
        }
    }

    /// Lists the one server with a number of slots.
    void set_slots(std::uint32_t slots) {
        catalog::backend_server b;
        b.id = base::backend_server_id{"server0"};
        b.service = base::service_id{"s"};
        b.address = servers.at(0)->address();
        b.zone = base::zone_id{"z"};
        b.slots = slots;
        router.set_servers({b});
    }

    /// Adds a server that answers at once, or never once `held` is set.
    void add_holding_server() {
        add_server([this](const connection& c, const std::string& r) {
            const auto at = r.find("Id: ") + 4;
            if (!held) {
                c->write(make_response(r.substr(at, r.find("\r\n", at) - at), "answer"));
            }
        });
    }

    /// Opens connections to the server that are idle afterwards, so that later requests are sent at once.
    void open_connections(int n) {
        set_slots(static_cast<std::uint32_t>(n));
        held = false;
        std::vector<std::shared_ptr<test_caller>> callers;
        callers.reserve(static_cast<std::size_t>(n));
        const auto before = records.size();
        for (int i = 0; i < n; ++i) {
            callers.push_back(send_request("/read/", "warm" + std::to_string(i)));
        }
        ASSERT_TRUE(wait_for_records(before + static_cast<std::size_t>(n)));
    }

    bool held = false;
};

// Failure: the daemon came late to a caller that had given up; its request was sent to a server.
TEST_F(caller_left_test, request_is_not_sent_if_its_caller_left_before_it_was_read) {
    load_catalog();
    add_holding_server();
    open_connections(2);
    const auto before = servers[0]->request_count();
    for (const auto* path : {"/read/", "/order/", "/draft/", "/talk/"}) {
        auto c = connect_caller();
        send_all(c, request_text(path, path));
        c.close();
        run_until([&] { return records.size() >= 3 && records.back().route == path; });
    }
    EXPECT_EQ(servers[0]->request_count(), before);
    EXPECT_EQ(records.back().run_state, base::run_state::not_run);
}

// Failure: the same for a request without an idle connection to its server.
TEST_F(caller_left_test, request_is_not_sent_if_its_caller_leaves_while_the_connection_is_established) {
    load_catalog();
    add_holding_server();
    auto c = connect_caller();
    send_all(c, request_text("/order/", "1"));
    ASSERT_TRUE(run_until([&] { return router.open_requests() == 1; }));
    c.close();
    std::this_thread::sleep_for(50ms);  // the loop is late: connection and end of the caller come together
    ASSERT_TRUE(wait_for_records());
    EXPECT_EQ(servers[0]->request_count(), 0);
    EXPECT_EQ(records[0].run_state, base::run_state::not_run);
}

// Failure: a waiting request was started in a late round of the loop, before the end of its caller was read.
TEST_F(caller_left_test, waiting_request_is_not_sent_if_its_caller_has_left) {
    load_catalog();
    add_holding_server();
    open_connections(3);
    set_slots(2);
    held = true;
    const auto first = send_request("/read/", "1");
    const auto second = send_request("/read/", "2");
    ASSERT_TRUE(run_until([&] { return servers[0]->request_count() == 5; }));
    auto c = connect_caller();
    send_all(c, request_text("/read/", "3"));
    ASSERT_TRUE(run_until([&] { return router.open_requests() == 3; }));
    c.close();
    set_slots(3);
    run_until([&] { return router.open_requests() == 2; });
    EXPECT_EQ(servers[0]->request_count(), 5);
}

// Failure: nobody looked at a caller's connection while more input than is kept lay behind its request.
TEST_F(caller_left_test, attempt_ends_if_the_caller_leaves_behind_more_input) {
    load_catalog();
    add_holding_server();
    for (const bool resets : {false, true}) {
        held = true;
        auto c = connect_caller();
        send_all(c, request_text("/draft/", "1"));
        const auto requests = servers[0]->request_count() + 1;
        ASSERT_TRUE(run_until([&] { return servers[0]->request_count() == requests; }));
        const auto closed = servers[0]->closed_connection_count();
        send_all(c, std::string(200'000, 'x'));
        run_until([] { return false; }, 50ms);
        if (resets) {
            c.setLinger(true, 0);
        }
        c.close();
        EXPECT_TRUE(
            run_until([&] { return servers[0]->closed_connection_count() > closed; }, caller_left_limit))
            << (resets ? "reset" : "closed");
        run_until([&] { return router.open_requests() == 0; });
    }
}

// Failure: a request that must not be repeated went on to its server after its caller had left, although the
// server could not have run it yet.
TEST_F(caller_left_test, order_is_given_up_if_its_caller_leaves_before_all_of_it_was_sent) {
    load_catalog();
    Poco::Net::ServerSocket server{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    catalog::backend_server b;
    b.id = base::backend_server_id{"slow"};
    b.service = base::service_id{"s"};
    b.address = {"127.0.0.1", server.address().port()};
    b.zone = base::zone_id{"z"};
    b.slots = 4;
    router.set_servers({b});
    auto c = send_request("/order/", "1", "k", std::string(std::size_t{4} * 1024 * 1024 - 1, 'x'));
    ASSERT_TRUE(run_until([&] { return router.open_requests() == 1; }));
    auto accepted = server.acceptConnection();
    run_until([] { return false; }, 100ms);
    c->stream->close();
    EXPECT_TRUE(run_until([&] { return router.open_requests() == 0; }, caller_left_limit));
    ASSERT_FALSE(records.empty());
    EXPECT_EQ(records[0].run_state, base::run_state::unknown) << "a server may begin with a part";
    EXPECT_GT(records[0].unacknowledged_bytes.value_or(0), 0U);
    // The server gets no more than what the kernel had taken, and a reset instead of the rest.
    std::string received(std::size_t{1} << 16, '\0');
    std::size_t total = 0;
    EXPECT_THROW(
        for (int n = 1; n > 0; total += static_cast<std::size_t>(n)) {
            n = accepted.receiveBytes(received.data(), static_cast<int>(received.size()));
        },
        Poco::Exception);
    EXPECT_LT(total, std::size_t{4} * 1024 * 1024 - 1);
}

// An order that was sent runs at its server, whatever its caller does.
TEST_F(caller_left_test, order_that_was_sent_is_not_given_up) {
    load_catalog();
    add_holding_server();
    held = true;
    const auto c = send_request("/order/", "1");
    ASSERT_TRUE(run_until([&] { return servers[0]->request_count() == 1; }));
    c->stream->close();
    run_until([] { return false; }, caller_left_limit);
    EXPECT_EQ(servers[0]->closed_connection_count(), 0);
}

}  // namespace
}  // namespace chicorygap::proxy
