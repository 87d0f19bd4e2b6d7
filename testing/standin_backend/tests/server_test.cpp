#include "standin_backend/server.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>

namespace chicorygap::standin_backend {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds patience{20};

struct reply {
    int status = 0;
    std::string body;
};

using fields = std::vector<std::pair<std::string, std::string>>;

reply ask(const server& s, const std::string& method, const std::string& target, const std::string& body = "",
          const fields& f = {}) {
    Poco::Net::HTTPClientSession session{"127.0.0.1", s.port()};
    Poco::Net::HTTPRequest request{method, target, "HTTP/1.1"};
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    for (const auto& [name, value] : f) {
        request.set(name, value);
    }
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    reply r;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), r.body);
    r.status = response.getStatus();
    return r;
}

reply ask_chat(const server& s, const std::string& id, const std::string& priority = "0",
               const std::string& text = "hi") {
    return ask(s, "POST", "/v1/chat/completions",
               R"({"model":"m","max_tokens":2,"messages":[{"role":"user","content":")" + text + "\"}]}",
               {{"X-Request-Id", id}, {"X-Priority", priority}});
}

// Guards against tests of fencing that pass because the stand-in accepts everything.
TEST(standin_backend, rejects_stale_fencing_tokens_only_when_it_checks_them) {
    for (const bool check : {true, false}) {
        options o;
        o.check_fencing = check;
        const server s{o};
        EXPECT_EQ(ask(s, "POST", "/orders", R"({"id":"a"})", {{"X-Fencing-Token", "5"}}).status, 200);
        EXPECT_EQ(ask(s, "POST", "/orders", R"({"id":"b"})", {{"X-Fencing-Token", "4"}}).status,
                  check ? 409 : 200);
        EXPECT_EQ(ask(s, "POST", "/orders", R"({"id":"a"})", {{"X-Fencing-Token", "5"}}).status, 200);
        const auto orders = ask(s, "GET", "/debug/orders").body;
        EXPECT_EQ(orders.find(R"("id":"a")"), orders.rfind(R"("id":"a")"));
    }
}

// Guards against tests of lagging and incomplete reports that see exact ones.
TEST(standin_backend, reports_late_and_with_gaps) {
    options o;
    o.cache_event_gap = 2;
    const server exact{o};
    for (const char* text : {"a", "b", "c"}) {
        ask_chat(exact, "r", "0", text);
    }
    const auto events = ask(exact, "GET", "/cache-events?after=0").body;
    EXPECT_NE(events.find("\"sequence\":1"), std::string::npos) << events;
    EXPECT_EQ(events.find("\"sequence\":2"), std::string::npos);
    EXPECT_NE(events.find("\"sequence\":3"), std::string::npos);
    EXPECT_EQ(ask(exact, "GET", "/cache-events?after=3").body, R"({"events":[]})");
    o.report_lag = std::chrono::hours{1};
    const server late{o};
    ask_chat(late, "r");
    EXPECT_EQ(ask(late, "GET", "/cache-events?after=0").body, R"({"events":[]})");
}

// Guards against an engine that ignores priorities, cancellation or its slots.
TEST(standin_backend, starts_waiting_requests_by_priority_and_cancels) {
    options o;
    o.slots = 1;
    server s{o};
    s.inject({fault_kind::silent, "/v1", 1, {}, 0});
    const auto start = [&](const std::string& id, const std::string& priority) {
        return std::async(std::launch::async, [&s, id, priority] {
            try {
                return ask_chat(s, id, priority).status;
            } catch (const Poco::Exception&) {
                return 0;
            }
        });
    };
    auto blocking = start("blocking", "0");
    ASSERT_TRUE(s.wait_for_jobs(1, patience));
    s.inject({fault_kind::drop_reply, "/v1", 1, {}, 0});
    auto low = start("low", "3");
    ASSERT_TRUE(s.wait_for_jobs(2, patience));
    s.inject({fault_kind::silent, "/v1", 1, {}, 0});
    auto high = start("high", "1");
    ASSERT_TRUE(s.wait_for_jobs(3, patience));
    EXPECT_EQ(ask(s, "POST", "/cancel/blocking").body, R"({"cancelled":true})");
    EXPECT_EQ(blocking.get(), 0);
    // The silent fault of "high" holds the slot, so "low" can only have finished if it was started first.
    EXPECT_EQ(low.wait_for(milliseconds{0}), std::future_status::timeout);
    ASSERT_TRUE(s.wait_for_jobs(2, patience));
    ask(s, "POST", "/cancel/high");
    EXPECT_EQ(high.get(), 0);
    EXPECT_EQ(low.get(), 0);
    EXPECT_EQ(s.cancelled(), (std::vector<std::string>{"blocking", "high"}));
}

// Guards against a refusal of a full queue that does not say "not run".
TEST(standin_backend, refuses_when_its_queue_is_full) {
    options o;
    o.slots = 1;
    o.queue = 0;
    server s{o};
    s.inject({fault_kind::silent, "/v1", 1, {}, 0});
    auto blocking = std::async(std::launch::async, [&] {
        try {
            ask_chat(s, "blocking");
        } catch (const Poco::Exception&) {
        }
    });
    ASSERT_TRUE(s.wait_for_jobs(1, patience));
    EXPECT_EQ(ask_chat(s, "second").status, 503);
    ask(s, "POST", "/cancel/blocking");
}

// Guards against wrong counts of executions in tests of at-most-once calls.
TEST(standin_backend, counts_executions_also_when_the_reply_is_lost) {
    server s{options{}};
    EXPECT_EQ(ask(s, "POST", "/fault", R"({"kind":"drop_reply","path":"/deposits"})").status, 200);
    EXPECT_THROW(ask(s, "POST", "/deposits", "{}", {{"Idempotency-Key", "d1"}}), Poco::Exception);
    EXPECT_EQ(ask(s, "POST", "/deposits", "{}", {{"Idempotency-Key", "d1"}}).status, 200);
    EXPECT_EQ(ask(s, "GET", "/debug/runs").body, R"({"runs":{"d1":2}})");
    EXPECT_EQ(ask(s, "POST", "/fault", R"({"kind":"unknown"})").status, 400);
}

}  // namespace
}  // namespace chicorygap::standin_backend
