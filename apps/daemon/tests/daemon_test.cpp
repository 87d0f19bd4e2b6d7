#include "deployment.h"
#include "raw_client.h"
#include "stream_text.h"

#include <future>

namespace chicorygap::daemon_app {
namespace {

using namespace std::chrono_literals;
using front::chat_body;
using front::chat_text;
using front::chunks_of;
using front::raw_client;
using front::text_of;
using standin_backend::expected_text;

const std::string chat_path = "/v1/chat/completions";
const std::string order_path = "/dispatch/orders";
const std::string last_chunk = "0\r\n\r\n";

std::string read_stream(std::uint16_t port, int tokens) {
    raw_client c{port};
    c.send(chat_text(north_key, tokens, true));
    return c.read_until(last_chunk);
}

/// Repeats an order until its run state is not `not_run`: idempotency shards reject orders until a daemon has
/// acquired their leases.
http_response post_order(std::uint16_t port, const std::string& id) {
    http_response a;
    wait_until([&] {
        a = send_request(port, "POST", order_path, north_key, R"({"order":1})", {{"Idempotency-Key", id}});
        return a.problem_member("run_state") != "not_run";
    });
    return a;
}

standin_backend::options slow_tokens() {
    standin_backend::options o;
    o.token_time = 50ms;
    return o;
}

// Guards against a response that is lost, truncated or modified between backend server and caller.
TEST_F(deployment, responses_are_complete_with_and_without_streaming) {
    start(1, 1);
    const auto streamed = read_stream(daemons[0]->caller_port(), 20);
    EXPECT_EQ(text_of(chunks_of(streamed)), expected_text(20)) << streamed;
    EXPECT_NE(streamed.find("data: [DONE]"), std::string::npos);

    const auto unstreamed =
        send_request(daemons[0]->caller_port(), "POST", chat_path, north_key, chat_body(20, false));
    EXPECT_EQ(unstreamed.status, 200) << unstreamed.body;
    EXPECT_NE(unstreamed.body.find(expected_text(20)), std::string::npos) << unstreamed.body;
}

// Guards against forwarding a caller's API key to a backend server or storing it on the platform (P4).
TEST_F(deployment, api_key_reaches_neither_backend_server_nor_platform) {
    start(1, 1);
    const std::vector<std::pair<std::string, std::string>> fields{
        {"X-Api-Key", north_key}, {"Cookie", "key=" + north_key}, {"Proxy-Authorization", north_key}};
    EXPECT_EQ(
        send_request(daemons[0]->caller_port(), "POST", chat_path, north_key, chat_body(5, false), fields)
            .status,
        200);
    EXPECT_EQ(post_order(daemons[0]->caller_port(), "p4").status, 200);
    ASSERT_GE(received_request_count(*assistant_servers[0]), 1U);
    ASSERT_GE(received_request_count(*dispatch_servers[0]), 1U);
    for (const auto* s : {assistant_servers[0].get(), dispatch_servers[0].get()}) {
        for (const auto& r : s->received()) {
            EXPECT_EQ(r.text().find(north_key), std::string::npos) << r.text();
        }
    }
    for (const auto& o : platform->objects().list("")) {
        EXPECT_EQ(o.value.find(north_key), std::string::npos) << o.key;
    }
}

// Guards against a workspace that is read from other request fields than the API key, which would give access
// to routes of another workspace (P3).
TEST_F(deployment, workspace_is_determined_by_the_api_key) {
    start(1, 1);
    const auto port = daemons[0]->caller_port();
    const std::string path = "/reports/v1/chat/completions";
    const std::vector<std::pair<std::string, std::string>> workspace_fields{{"X-Workspace", "north"},
                                                                            {"X-Workspace-Id", "north"}};
    const auto other_workspace =
        send_request(port, "POST", path, south_key, chat_body(3, false), workspace_fields);
    EXPECT_EQ(other_workspace.problem_member("code"), "1005") << other_workspace.body;
    EXPECT_EQ(other_workspace.problem_member("run_state"), "not_run");
    EXPECT_EQ(received_request_count(*assistant_servers[0]), 0U);
    EXPECT_EQ(send_request(port, "POST", path, north_key, chat_body(3, false)).status, 200);
    EXPECT_EQ(send_request(port, "POST", chat_path, south_key, chat_body(3, false)).status, 200);
}

// Guards against a withdrawn API key that is still accepted in running streams or for new requests (P5).
TEST_F(deployment, withdrawn_key_ends_its_stream_and_is_rejected) {
    start(2, 1, slow_tokens());
    raw_client c{daemons[1]->caller_port()};
    c.send(chat_text(south_key, 600, true));
    ASSERT_NE(c.read_until("tok2 ").find("tok2 "), std::string::npos);

    const auto begin = base::boot_clock::now();
    store_document("assistant", assistant_document("key = " + std::string(64, 'a') + "\n"));
    const auto rest = c.read_until(last_chunk);
    EXPECT_LT(base::boot_clock::now() - begin, 2s);
    EXPECT_NE(rest.find("event: error"), std::string::npos) << rest;
    EXPECT_NE(rest.find("\"code\":1003"), std::string::npos) << rest;
    EXPECT_EQ(rest.find("[DONE]"), std::string::npos);

    const auto next =
        send_request(daemons[1]->caller_port(), "POST", chat_path, south_key, chat_body(1, false));
    EXPECT_EQ(next.status, 401) << next.body;
    EXPECT_EQ(next.problem_member("run_state"), "not_run");
}

// Guards against new requests to a server that is about to be removed (P11).
TEST_F(deployment, draining_server_receives_no_new_requests_after_two_seconds) {
    start(1, 2);
    const auto port = daemons[0]->caller_port();
    const auto send_chat = [&] {
        return send_request(port, "POST", chat_path, north_key, chat_body(1, false)).status;
    };
    ASSERT_TRUE(
        wait_until([&] { return send_chat() == 200 && received_request_count(*assistant_servers[0]) > 0; }));
    set_listed_server("assistant", 1, assistant_servers[0]->port(), ports::vm_state::leaving);
    const auto end = base::boot_clock::now() + 2s;
    while (base::boot_clock::now() < end) {
        EXPECT_EQ(send_chat(), 200);
    }
    const auto before = received_request_count(*assistant_servers[0]);
    for (int n = 0; n < 100; n++) {
        EXPECT_EQ(send_chat(), 200);
    }
    EXPECT_EQ(received_request_count(*assistant_servers[0]), before);
}

// Guards against a planned shutdown that aborts a running request (P12).
TEST_F(deployment, drain_lets_a_running_stream_complete) {
    start(1, 1, slow_tokens());
    raw_client c{daemons[0]->caller_port()};
    c.send(chat_text(north_key, 40, true));
    auto text = c.read_until("tok2 ");
    auto drain_result = std::async(std::launch::async, [&] { daemons[0]->drain(); });
    EXPECT_TRUE(wait_until(
        [&] { return send_request(daemons[0]->operator_port(), "GET", "/readyz").status == 503; }));
    text += c.read_until(last_chunk);
    EXPECT_EQ(text_of(chunks_of(text)), expected_text(40)) << text;
    EXPECT_NE(text.find("data: [DONE]"), std::string::npos);
    EXPECT_EQ(drain_result.wait_for(10s), std::future_status::ready);
    drain_result.get();
    daemons[0].reset();
}

// Guards against an invalid document that interrupts the service or is not shown to operators (P13).
TEST_F(deployment, invalid_document_leaves_the_last_valid_one_active) {
    start(1, 1);
    store_document("assistant", "[service]\nname = assistant\nkind = model\n[class broken]\ntier = 9\n");
    EXPECT_TRUE(
        wait_until([&] { return fetch_status(*daemons[0]).find("\"fault\"") != std::string::npos; }, 8s));
    EXPECT_NE(fetch_status(*daemons[0]).find("tier"), std::string::npos) << fetch_status(*daemons[0]);
    EXPECT_EQ(
        send_request(daemons[0]->caller_port(), "POST", chat_path, north_key, chat_body(3, false)).status,
        200);
}

// Guards against missing or repeated text in a stream when its backend server fails (P8).
TEST_F(deployment, interrupted_stream_is_resumed_on_another_server) {
    start(1, 2);
    for (const auto& s : assistant_servers) {
        s->inject({standin_backend::fault_kind::crash, "/v1", 1, {}, 5});
    }
    // Each server crashes once, so that both the first attempt and the next one are interrupted.
    const auto text = read_stream(daemons[0]->caller_port(), 30);
    EXPECT_EQ(text_of(chunks_of(text)), expected_text(30)) << text;
    EXPECT_NE(text.find("data: [DONE]"), std::string::npos);
    EXPECT_GE(received_request_count(*assistant_servers[0]), 1U);
    EXPECT_GE(received_request_count(*assistant_servers[1]), 1U);
}

// Guards against an order that is executed twice because its response was lost (P10).
TEST_F(deployment, order_with_lost_response_has_unknown_run_state_and_is_not_repeated) {
    start(2, 1);
    dispatch_servers[0]->inject({standin_backend::fault_kind::drop_reply, order_path, 1, {}, 0});
    const auto first = post_order(daemons[0]->caller_port(), "lost-reply");
    EXPECT_EQ(first.problem_member("run_state"), "unknown") << first.body;
    EXPECT_EQ(dispatch_servers[0]->runs("lost-reply"), 1U);
    const auto second = post_order(daemons[1]->caller_port(), "lost-reply");
    EXPECT_EQ(second.problem_member("run_state"), "unknown") << second.status << second.body;
    EXPECT_EQ(dispatch_servers[0]->runs("lost-reply"), 1U);
}

// Guards against a platform outage that interrupts chat, and against a rejection with the wrong run state
// `not_run` (P9): without the platform a daemon cannot know whether an earlier request with the same
// idempotency key was executed.
TEST_F(deployment, platform_outage_keeps_chat_running_and_rejects_orders_with_unknown_run_state) {
    start(2, 1);
    EXPECT_EQ(post_order(daemons[0]->caller_port(), "before").status, 200);
    platform.reset();
    for (int n = 0; n < 5; n++) {
        const auto& d = *daemons[static_cast<std::size_t>(n) % daemons.size()];
        EXPECT_EQ(send_request(d.caller_port(), "POST", chat_path, north_key, chat_body(3, false)).status,
                  200);
        const auto id = "during-" + std::to_string(n);
        const auto a = send_request(d.caller_port(), "POST", order_path, north_key, R"({"order":1})",
                                    {{"Idempotency-Key", id}});
        EXPECT_EQ(a.problem_member("run_state"), "unknown") << a.status << a.body;
        EXPECT_EQ(dispatch_servers[0]->runs(id), 0U);
    }
    const auto repeated = post_order(daemons[1]->caller_port(), "before");
    EXPECT_NE(repeated.problem_member("run_state"), "not_run") << "the order was executed before the outage";
    EXPECT_EQ(dispatch_servers[0]->runs("before"), 1U);
}

}  // namespace
}  // namespace chicorygap::daemon_app
