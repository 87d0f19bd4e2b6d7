#include "front/refusal.h"
#include "front_fixture.h"
#include "stream_text.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <gtest/gtest.h>

namespace chicorygap::front {
namespace {

using base::result_code;
using standin_backend::expected_bytes;
using standin_backend::expected_text;
using standin_backend::fault_kind;

constexpr std::chrono::seconds patience{20};

class server_test : public front_fixture {};

// Guards against streams that chat client libraries cannot read.
TEST_F(server_test, streams_a_chat_in_the_usual_form) {
    start();
    raw_client c{front->port()};
    c.send(chat_text(good_key, 20, true));
    const auto answer = c.read_until("data: [DONE]\n\n");
    EXPECT_NE(answer.find("Content-Type: text/event-stream"), std::string::npos);
    const auto chunks = chunks_of(answer);
    ASSERT_EQ(chunks.size(), 23);  // role, 20 tokens, finish reason, usage
    EXPECT_EQ(text_of(chunks), expected_text(20));
    for (const auto& chunk : chunks) {
        EXPECT_EQ(chunk->getValue<std::string>("id"), "chatcmpl-q1");
        EXPECT_EQ(chunk->getValue<std::string>("object"), "chat.completion.chunk");
        EXPECT_EQ(chunk->getValue<std::string>("model"), "standin");
        EXPECT_GT(chunk->getValue<long>("created"), 0);
    }
    const auto finish = chunks[21]->getArray("choices")->getObject(0);
    EXPECT_EQ(finish->getValue<std::string>("finish_reason"), "length");
    EXPECT_EQ(chunks[22]->getObject("usage")->getValue<int>("completion_tokens"), 20);
}

// Guards against unstreamed answers without the fields that client libraries read.
TEST_F(server_test, answers_an_unstreamed_chat) {
    start();
    const auto answer = json_of(ask(chat_text(good_key, 5, false)));
    EXPECT_EQ(answer->getValue<std::string>("object"), "chat.completion");
    const auto choice = answer->getArray("choices")->getObject(0);
    EXPECT_EQ(choice->getObject("message")->getValue<std::string>("content"), expected_text(5));
    EXPECT_EQ(choice->getValue<std::string>("finish_reason"), "length");
    EXPECT_EQ(answer->getObject("usage")->getValue<int>("completion_tokens"), 5);
}

// Guards against a model list that client libraries cannot read.
TEST_F(server_test, lists_models_to_known_keys_only) {
    start();
    const auto list = json_of(ask(request_text("GET /v1/models", good_key)));
    EXPECT_EQ(list->getArray("data")->getObject(0)->getValue<std::string>("id"), "standin");
    expect_refusal(ask(request_text("GET /v1/models", "sk-other")), result_code::key_unknown);
}

// Guards against plain services that see or return changed bodies.
TEST_F(server_test, passes_plain_calls_through) {
    start();
    const auto echo = ask(request_text("PUT /deposits/7?x=1", good_key, "a b c", "Idempotency-Key: d7\r\n"));
    EXPECT_EQ(body_of(echo), "a b c");
    EXPECT_EQ(engine.received().at(0).target, "/deposits/7?x=1");
    EXPECT_EQ(engine.runs("d7"), 1);
    raw_client c{front->port()};
    c.send(request_text("GET /data?bytes=3000", good_key, "", "Connection: close\r\n"));
    const auto streamed = c.read_all();
    EXPECT_NE(streamed.find(expected_bytes(1000)), std::string::npos);
    EXPECT_TRUE(streamed.ends_with("0\r\n\r\n"));
}

// P4. Guards against a key that reaches a server by header, query, trailer, path or body.
TEST_F(server_test, keeps_the_key_from_backend_servers) {
    start();
    const auto fields =
        "X-Api-Key: " + good_key + "\r\nCookie: k=" + good_key + "\r\nAccept: " + good_key + "\r\n";
    ask(request_text("POST /plain?token=" + good_key + "&a=1&k=sk%2Dnorth%2D0123456789", good_key, "{}",
                     fields));
    raw_client c{front->port()};
    c.send("POST /plain HTTP/1.1\r\nHost: x\r\nauthorization: bearer " + good_key +
           "\r\nTransfer-Encoding: chunked\r\nTrailer: X-Key\r\n\r\n2\r\n{}\r\n0\r\nX-Key: " + good_key +
           "\r\nX-Other: 1\r\n\r\n");
    c.read_answer();
    ASSERT_EQ(engine.received().size(), 2);
    for (const auto& r : engine.received()) {
        EXPECT_EQ(r.text().find("north"), std::string::npos) << r.text();
    }
    EXPECT_EQ(engine.received().at(0).target, "/plain?a=1");
    expect_refusal(ask(request_text("POST /plain/" + good_key, good_key)), result_code::body_malformed);
    expect_refusal(ask(request_text("POST /plain", good_key, "{\"k\":\"" + good_key + "\"}")),
                   result_code::body_malformed);
    EXPECT_EQ(engine.received().size(), 2);
}

// Guards against a key that is passed on instead of its digest.
TEST_F(server_test, passes_only_the_digest_to_the_hooks) {
    start();
    ask(chat_text(good_key, 1, false));
    EXPECT_EQ(digests.at(0).str(), good_digest);
}

// P5. Guards against an open connection on which a revoked key still works.
TEST_F(server_test, checks_the_key_on_each_request_of_a_connection) {
    start();
    raw_client c{front->port()};
    c.send(chat_text(good_key, 1, false));
    EXPECT_EQ(c.read_answer().substr(9, 3), "200");
    revoked = true;
    c.send(chat_text(good_key, 1, false));
    expect_refusal(c.read_answer(), result_code::key_withdrawn);
    EXPECT_EQ(engine.received().size(), 1);
}

// P8. Guards against a broken stream that looks complete.
TEST_F(server_test, ends_a_broken_stream_with_an_error_event) {
    start();
    engine.inject({fault_kind::crash, "/v1", 1, {}, 3});
    raw_client c{front->port()};
    c.send(chat_text(good_key, 9, true));
    const auto answer = c.read_until("0\r\n\r\n");
    EXPECT_EQ(text_of(chunks_of(answer)), expected_text(3));
    EXPECT_EQ(answer.find("[DONE]"), std::string::npos);
    ASSERT_NE(answer.find("event: error\ndata: {"), std::string::npos) << answer;
    const auto problem = chunks_of(answer).back();
    EXPECT_EQ(problem->getValue<int>("code"), static_cast<int>(result_code::answer_truncated));
    EXPECT_EQ(problem->getValue<std::string>("run_state"), "unknown");
    // Client libraries raise an exception when the data holds an error object.
    EXPECT_TRUE(problem->has("error"));
}

// P8. Guards against a cut body that looks complete.
TEST_F(server_test, resets_the_connection_within_a_broken_body) {
    start();
    engine.inject({fault_kind::truncate, "/data", 1, {}, 3000});
    raw_client c{front->port()};
    c.send(request_text("GET /data?bytes=9000", good_key));
    const auto answer = c.read_all();
    EXPECT_TRUE(answer.ends_with("<reset>")) << answer.size();
    EXPECT_EQ(answer.find("\r\n0\r\n\r\n"), std::string::npos);
}

// P9. Guards against a lost Retry-After or run state of a server's refusal.
TEST_F(server_test, passes_a_refusal_before_the_stream_on_as_problem_details) {
    start();
    engine.inject({fault_kind::refuse, "/v1", 1, {}, 0});
    const auto answer = ask(chat_text(good_key, 2, true));
    expect_refusal(answer, result_code::backend_refused);
    EXPECT_NE(answer.find("Retry-After: 1\r\n"), std::string::npos);
}

// Guards against engines that work for callers that have left.
TEST_F(server_test, stops_the_engine_when_the_caller_leaves) {
    start();
    engine.inject({fault_kind::gap, "/v1", 1, {}, 2});
    {
        raw_client c{front->port()};
        c.send(chat_text(good_key, 9, true));
        c.read_until("tok1 ");
    }
    EXPECT_EQ(first_outcome().code, result_code::caller_gone);
    EXPECT_TRUE(engine.wait_for_jobs(0, patience));
    EXPECT_EQ(engine.cancelled().size(), 1);
}

// Guards against an executor's failure that leaves the caller without an answer or claims "not run".
TEST_F(server_test, answers_when_the_executor_fails) {
    auto h = make_hooks();
    h.execute = [](const call& c, responder& out, const caller_monitor&) {
        if (c.path == "/throws") {
            throw std::runtime_error{"fault"};
        }
        if (c.path == "/half") {
            out.head({200, {}, 5});
            out.body("abc");
            out.finish();
        }
    };
    front = std::make_unique<server>(server_options{}, h);
    front->start();
    for (const char* line : {"GET /throws", "GET /forgets"}) {
        const auto problem = json_of(ask(request_text(line, good_key)));
        EXPECT_EQ(problem->getValue<int>("code"), static_cast<int>(result_code::internal));
        EXPECT_EQ(problem->getValue<std::string>("run_state"), "unknown");
    }
    raw_client c{front->port()};
    c.send(request_text("GET /half", good_key));
    EXPECT_TRUE(c.read_all().ends_with("<reset>"));
}

// Guards against text behind the checked body that the backend server would receive unchecked.
TEST_F(server_test, refuses_text_behind_the_body_of_a_chat) {
    start();
    for (const std::string tail : {"{}", "\xff{}", "\xfe"}) {
        const auto body = R"({"model":"small","messages":[{"role":"user","content":"a"}]})" + tail;
        expect_refusal(ask(request_text("POST /v1/chat/completions", good_key, body)),
                       result_code::body_malformed);
    }
    EXPECT_TRUE(engine.received().empty());
}

// Guards against problem details that no JSON reader accepts, when a malformed body is quoted in them.
TEST(refusal, detail_with_invalid_utf8_is_sent_as_valid_json) {
    const auto json =
        problem_json({result_code::body_malformed, base::run_state::not_run, "byte '\xff'", {}});
    Poco::JSON::Parser parser;
    const auto problem = parser.parse(json).extract<Poco::JSON::Object::Ptr>();
    EXPECT_EQ(problem->getValue<std::string>("detail"), "byte '?'");
}

}  // namespace
}  // namespace chicorygap::front
