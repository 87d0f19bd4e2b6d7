#include "front/operator_server.h"
#include "front_fixture.h"

#include <gtest/gtest.h>

#include <future>

namespace chicorygap::front {
namespace {

using base::result_code;
using standin_backend::fault_kind;
using std::chrono::milliseconds;

class limits_test : public front_fixture {
protected:
    std::string ask_chat(const std::string& body) {
        return ask(request_text("POST /v1/chat/completions", good_key, body));
    }
};

// Guards against requests that run without a valid key.
TEST_F(limits_test, refuses_missing_and_unknown_keys) {
    start();
    expect_refusal(ask(request_text("GET /x", "")), result_code::key_missing);
    expect_refusal(ask(request_text("GET /x", "", "", "Authorization: Basic abc\r\n")),
                   result_code::key_missing);
    expect_refusal(ask(request_text("GET /x", "", "", "Authorization: Bearer \r\n")),
                   result_code::key_missing);
    expect_refusal(ask(request_text("GET /x", "a, Bearer b")), result_code::key_missing);
    expect_refusal(ask(request_text("GET /x", "sk-other")), result_code::key_unknown);
    EXPECT_EQ(last_refused, result_code::key_unknown);
    EXPECT_TRUE(engine.received().empty());
}

// Guards against chat requests that fail only at the engine.
TEST_F(limits_test, refuses_malformed_chat_requests) {
    start();
    expect_refusal(ask_chat(chat_body(1, false, "other")), result_code::model_unknown);
    const std::string messages = R"("messages":[{"role":"user","content":"x"}])";
    for (const std::string& body :
         {std::string{}, std::string{"{"}, std::string{"[]"}, std::string{"{}"},
          R"({"model":"standin"})" + std::string{}, R"({"model":"standin","messages":[]})" + std::string{},
          R"({"model":5,)" + messages + "}", R"({"model":"standin","model":"other",)" + messages + "}",
          R"({"model":"standin","n":2,)" + messages + "}",
          R"({"model":"standin","stream":"yes",)" + messages + "}",
          R"({"model":"standin","max_tokens":0,)" + messages + "}",
          R"({"model":"standin",)" + messages + "} {}",
          R"({"model":"standin","x":)" + std::string(100'000, '[')}) {
        expect_refusal(ask_chat(body), result_code::body_malformed);
    }
    expect_refusal(ask(request_text("GET /v1/chat/completions", good_key)), result_code::method_not_allowed);
    EXPECT_TRUE(engine.received().empty());
}

// Guards against unbounded bodies, with and without a stated length.
TEST_F(limits_test, refuses_bodies_beyond_the_limit) {
    server_options o;
    o.body_bytes = 10'000;
    start(o);
    expect_refusal(ask(request_text("POST /x", good_key, std::string(10'001, 'a'))),
                   result_code::body_too_large);
    raw_client c{front->port()};
    c.send("POST /x HTTP/1.1\r\nAuthorization: Bearer " + good_key +
           "\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 3; ++i) {
        c.send("1000\r\n" + std::string(4096, 'a') + "\r\n");
    }
    expect_refusal(c.read_answer(), result_code::body_too_large);
    EXPECT_EQ(ask(request_text("POST /x", good_key, std::string(10'000, 'a'))).substr(9, 3), "200");
}

// Guards against many large bodies that together exceed the memory of the VM.
TEST_F(limits_test, bounds_all_bodies_together) {
    server_options o;
    o.total_body_bytes = 200'000;
    start(o);
    // The server returns the memory of a refused request before it closes the connection, but after the
    // refusal.
    raw_client refused{front->port()};
    refused.send(request_text("POST /x", good_key, std::string(300'000, 'a')));
    expect_refusal(refused.read_all(), result_code::queue_full);
    // One connection, because its next request is read only after the memory of the previous one was
    // returned.
    raw_client c{front->port()};
    for (int i = 0; i < 3; ++i) {
        c.send(request_text("POST /x", good_key, std::string(100'000, 'a')));
        EXPECT_EQ(c.read_answer().substr(9, 3), "200");
    }
}

// Guards against callers that hold a thread by sending slowly.
TEST_F(limits_test, refuses_slow_senders) {
    server_options o;
    o.head_limit = milliseconds{50};
    o.body_limit = milliseconds{50};
    start(o);
    raw_client head{front->port()};
    head.send("GET /x HTTP/1.1\r\nAuthor");
    expect_refusal(head.read_answer(), result_code::caller_too_slow);
    raw_client body{front->port()};
    body.send("POST /x HTTP/1.1\r\nAuthorization: Bearer " + good_key + "\r\nContent-Length: 9\r\n\r\nabc");
    expect_refusal(body.read_answer(), result_code::caller_too_slow);
    EXPECT_EQ(body.read_all(), "");
}

// Guards against unbounded heads: many bytes, many fields, one long field, a long target.
TEST_F(limits_test, refuses_header_floods) {
    start();
    std::string many;
    for (int i = 0; i < 200; ++i) {
        many += "F" + std::to_string(i) + ": a\r\n";
    }
    std::string flood;
    for (int i = 0; i < 50; ++i) {
        flood += "Field: " + std::string(1000, 'a') + "\r\n";
    }
    expect_refusal(ask(request_text("GET /x", good_key, "", many)), result_code::header_too_large);
    expect_refusal(ask(request_text("GET /x", good_key, "", flood)), result_code::header_too_large);
    expect_refusal(ask(request_text("GET /x", good_key, "", "A: " + std::string(9000, 'a') + "\r\n")),
                   result_code::header_too_large);
    expect_refusal(ask(request_text("GET /" + std::string(17'000, 'a'), good_key)),
                   result_code::header_too_large);
}

// Guards against request smuggling and against paths that hide their target from the route match.
TEST_F(limits_test, refuses_ambiguous_requests) {
    start();
    const auto both = "POST /x HTTP/1.1\r\nAuthorization: Bearer " + good_key +
                      "\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n";
    expect_refusal(ask(both), result_code::body_malformed);
    expect_refusal(ask(request_text("POST /x", good_key, "abc", "Content-Length: 1\r\n")),
                   result_code::body_malformed);
    expect_refusal(ask(request_text("GET /a/%2e%2e/b", good_key)), result_code::route_unknown);
    expect_refusal(ask(request_text("GET http://other/x", good_key)), result_code::body_malformed);
    expect_refusal(ask(request_text("TRACE /x", good_key)), result_code::method_not_allowed);
    expect_refusal(ask("nonsense\r\n\r\n"), result_code::body_malformed);
    raw_client smuggle{front->port()};
    smuggle.send(
        "POST /x HTTP/1.1\r\nAuthorization: Bearer " + good_key +
        "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\nGET /hidden HTTP/1.1\r\nAuthorization: Bearer " +
        good_key + "\r\n\r\n");
    smuggle.read_all();
    EXPECT_EQ(engine.received().size(), 1);
}

// P9. Guards against a silent wait or close when all connections are in use.
TEST_F(limits_test, refuses_connections_beyond_the_pool_and_queue) {
    server_options o;
    o.threads = 2;
    o.queue = 1;
    start(o);
    engine.inject({fault_kind::gap, "/v1", 2, {}, 1});
    raw_client first{front->port()};
    raw_client second{front->port()};
    for (auto* c : {&first, &second}) {
        c->send(chat_text(good_key, 3, true));
        c->read_until("tok0 ");
    }
    raw_client waiting{front->port()};
    waiting.send(chat_text(good_key, 3, false));
    for (int i = 0; i < 3; ++i) {
        const auto answer = ask(chat_text(good_key, 3, false));
        // The request is not read, so that it may repeat one with an idempotency key that has run.
        expect_refusal(answer, result_code::connections_exhausted, "unknown");
        EXPECT_NE(answer.find("Retry-After: 1\r\n"), std::string::npos);
    }
    EXPECT_EQ(front->refused_connections(), 3);
    first.close();
    EXPECT_EQ(waiting.read_answer().substr(9, 3), "200");
}

// Guards against a connection that waits silently because connections without a request hold all threads.
TEST_F(limits_test, gives_threads_of_waiting_connections_to_new_ones) {
    server_options o;
    o.threads = 1;
    o.queue = 1;
    start(o);
    raw_client kept{front->port()};
    kept.send(chat_text(good_key, 1, false));
    kept.read_answer();
    EXPECT_EQ(ask(chat_text(good_key, 1, false)).substr(9, 3), "200");
    EXPECT_EQ(kept.read_all(), "");
}

// Guards against callers that wait for permission to send their body, and bodies read for an unknown key.
TEST_F(limits_test, permits_a_body_only_after_the_key_was_checked) {
    start();
    const auto head = [](const std::string& key) {
        return "PUT /x HTTP/1.1\r\nAuthorization: Bearer " + key +
               "\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n";
    };
    raw_client c{front->port()};
    c.send(head(good_key));
    EXPECT_EQ(c.read_until("\r\n\r\n").substr(9, 3), "100");
    c.send("abc");
    EXPECT_EQ(body_of(c.read_answer()), "abc");
    raw_client other{front->port()};
    other.send(head("sk-other"));
    expect_refusal(other.read_answer(), result_code::key_unknown);
}

// P12. Guards against a drain that interrupts a running request or waits for idle connections.
TEST_F(limits_test, drains_without_interrupting_a_stream) {
    start();
    raw_client idle{front->port()};
    idle.send(chat_text(good_key, 1, false));
    idle.read_answer();
    engine.inject({fault_kind::gap, "/v1", 1, milliseconds{100}, 1});
    raw_client running{front->port()};
    running.send(chat_text(good_key, 3, true));
    running.read_until("tok0 ");
    front->drain();
    EXPECT_EQ(idle.read_all(), "");
    const auto rest = running.read_all();
    EXPECT_NE(rest.find("tok2 "), std::string::npos);
    EXPECT_NE(rest.find("[DONE]"), std::string::npos);
}

// Guards against a caller that does not read and so holds a thread and an engine slot.
TEST_F(limits_test, gives_up_on_callers_that_do_not_read) {
    server_options o;
    o.write_limit = milliseconds{50};
    start(o);
    raw_client c{front->port()};
    c.send(request_text("GET /data?bytes=60000000", good_key));
    EXPECT_EQ(first_outcome().code, result_code::caller_too_slow);
}

// Guards against a load balancer that cannot see readiness, and operators that see a wrong page.
TEST(operator_server, serves_the_pages_of_its_hooks) {
    std::atomic<bool> ready{false};
    operator_hooks h;
    h.ready = [&] { return ready.load(); };
    h.metrics_text = [] { return std::string{"up 1\n"}; };
    h.status_json = []() -> std::string { throw std::runtime_error{"fault"}; };
    operator_server s{"127.0.0.1", 0, h};
    s.start();
    const auto get = [&](const std::string& path) {
        raw_client c{s.port()};
        c.send("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        return c.read_all();
    };
    EXPECT_EQ(get("/healthz").substr(9, 3), "200");
    EXPECT_EQ(get("/readyz").substr(9, 3), "503");
    ready = true;
    EXPECT_EQ(get("/readyz").substr(9, 3), "200");
    EXPECT_TRUE(get("/metrics").ends_with("up 1\n"));
    EXPECT_EQ(get("/status").substr(9, 3), "500");
    EXPECT_EQ(get("/v1/models").substr(9, 3), "404");
}

}  // namespace
}  // namespace chicorygap::front
