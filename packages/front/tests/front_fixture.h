/// @file
/// Front server wired to a backend client and a stand-in backend server.
#pragma once

#include "backend/http_backend_client.h"
#include "front/server.h"
#include "raw_client.h"
#include "standin_backend/server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::front {

inline const std::string good_key = "sk-north-0123456789";
/// SHA-256 of `good_key`.
inline const std::string good_digest = "64a4c5c8900e41b910d2919be54d0b63cbd75c49243d34cde977804086471f32";

class front_fixture : public ::testing::Test {
protected:
    void start(const server_options& o = {}) {
        front = std::make_unique<server>(o, make_hooks());
        front->start();
    }
    void TearDown() override {
        if (front) {
            front->stop();
        }
    }

    hooks make_hooks() {
        hooks h;
        h.check_key = [this](const base::key_digest& d) -> std::optional<refusal> {
            remember(d);
            if (revoked) {
                return refusal{base::result_code::key_withdrawn, base::run_state::not_run, "withdrawn", {}};
            }
            return d == known_digest()
                       ? std::nullopt
                       : std::optional{refusal{
                             base::result_code::key_unknown, base::run_state::not_run, "unknown key", {}}};
        };
        h.authorize = [](const access_query& q) -> access_decision {
            if (q.path == "/v1/chat/completions" && q.model != "standin") {
                return refusal{
                    base::result_code::model_unknown, base::run_state::not_run, "unknown model", {}};
            }
            grant g;
            g.workspace = base::workspace_id{"north"};
            return g;
        };
        h.next_id = [this] { return base::request_id{"q" + std::to_string(++ids)}; };
        h.models = [](const base::key_digest&) { return std::vector<std::string>{"standin"}; };
        h.refused = [this](base::result_code c) { last_refused = c; };
        h.execute = [this](const call& c, responder& out, const caller_monitor& m) { execute(c, out, m); };
        return h;
    }

    virtual void execute(const call& c, responder& out, const caller_monitor& monitor) {
        backend::backend_request r;
        r.id = c.id;
        r.server = {"127.0.0.1", engine.port()};
        r.method = c.method;
        r.target = c.target;
        r.fields = c.fields;
        r.body = c.body;
        const auto chat_kind =
            c.chat && c.chat->stream ? backend::call_kind::chat_stream : backend::call_kind::chat;
        r.kind = c.chat ? chat_kind : backend::call_kind::plain;
        const bool stream = c.chat && c.chat->stream;
        backend::answer_sink sink;
        sink.on_head = [&](const backend::answer_head& h) {
            if (!stream || h.status != 200) {
                out.head(h);
            }
        };
        sink.on_body = [&](std::string_view b) { out.body(b); };
        sink.on_token = [&](const backend::token_delta& t) { out.token(t); };
        backend::stream_end end;
        sink.on_end = [&](const backend::stream_end& e) { end = e; };
        backend::cancel_token cancel;
        cancel.interval = std::chrono::milliseconds{1};
        cancel.poll = [&]() -> std::optional<base::result_code> {
            return monitor.gone() ? std::optional{base::result_code::caller_gone} : std::nullopt;
        };
        const auto o = client.call(r, sink, cancel);
        record(o);
        if (!o.complete) {
            out.fail({o.code, o.state, o.detail, o.retry_after});
        } else if (stream && o.status == 200) {
            out.end(end);
        } else {
            out.finish();
        }
    }

    /// @return the answer to one request on a new connection.
    std::string ask(const std::string& text) {
        raw_client c{front->port()};
        c.send(text);
        return c.read_answer();
    }
    /// Expects a refusal as problem details that states "not run".
    static void expect_refusal(const std::string& answer, base::result_code code,
                               const std::string& state = "not_run") {
        ASSERT_NE(answer.find("application/problem+json"), std::string::npos) << answer;
        const auto problem = json_of(answer);
        EXPECT_EQ(problem->getValue<int>("code"), static_cast<int>(code)) << answer;
        EXPECT_EQ(problem->getValue<std::string>("name"), base::to_string(code));
        EXPECT_EQ(problem->getValue<std::string>("run_state"), state);
        EXPECT_FALSE(problem->getValue<std::string>("detail").empty());
        EXPECT_EQ(answer.substr(9, 3), std::to_string(base::http_status(code)));
    }

    base::key_digest known_digest() {
        const std::scoped_lock lock{mutex};
        return known;
    }
    void remember(const base::key_digest& d) {
        const std::scoped_lock lock{mutex};
        digests.push_back(d);
    }
    void record(const backend::attempt_outcome& o) {
        {
            const std::scoped_lock lock{mutex};
            outcomes.push_back(o);
        }
        changed.notify_all();
    }
    /// @return the first outcome, waiting for it.
    backend::attempt_outcome first_outcome() {
        std::unique_lock lock{mutex};
        changed.wait_for(lock, std::chrono::seconds{20}, [&] { return !outcomes.empty(); });
        return outcomes.at(0);
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<base::key_digest> digests;
    std::vector<backend::attempt_outcome> outcomes;
    base::key_digest known{good_digest};
    std::atomic<bool> revoked{false};
    std::atomic<int> ids{0};
    std::atomic<base::result_code> last_refused{base::result_code::ok};
    standin_backend::server engine{standin_backend::options{}};
    backend::http_backend_client client;
    std::unique_ptr<server> front;
};

}  // namespace chicorygap::front
