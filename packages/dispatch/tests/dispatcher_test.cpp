#include "dispatch/dispatcher.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>

namespace chicorygap::dispatch {
namespace {

using namespace std::chrono_literals;
using base::result_code;
using base::run_state;

const base::class_id urgent{"urgent"};
const base::class_id batch{"batch"};

base::backend_server_id server(int n) {
    return base::backend_server_id{"s" + std::to_string(n)};
}

dispatcher make_dispatcher(int servers, int slots, std::uint64_t seed = 1) {
    options o;
    o.routing.self = base::vm_id{"vm1"};
    o.routing.zone = base::zone_id{"z1"};
    o.policy.classes.push_back({.id = urgent, .tier = {0}});
    o.policy.classes.push_back({.id = batch, .tier = {3}});
    dispatcher c{o,
                 [seed]() mutable { return seed = seed * 6364136223846793005ULL + 1442695040888963407ULL; }};
    routing::servers_changed list;
    for (int n = 0; n < servers; n++) {
        list.servers.push_back({.id = server(n), .zone = o.routing.zone, .slots = slots});
    }
    c.handle(routing::event{list}, base::time_point{1s});
    return c;
}

submit_request make_submit(const std::string& id, const base::class_id& cls, bool idempotent = true) {
    submit_request s;
    s.id = base::request_id{id};
    s.service_class = cls;
    s.workspace = base::workspace_id{"w"};
    s.prompt_tokens = 100;
    s.idempotent = idempotent;
    s.resumable = idempotent;
    return s;
}

template <typename T>
std::vector<T> only(const std::vector<action>& all) {
    std::vector<T> out;
    for (const auto& a : all) {
        if (const auto* v = std::get_if<T>(&a)) {
            out.push_back(*v);
        }
    }
    return out;
}

constexpr base::time_point t0{2s};

// Guards against a request that is run but never reported as complete.
TEST(dispatcher, request_completes_after_its_attempt) {
    auto c = make_dispatcher(2, 2);
    const auto starts = only<start_attempt>(c.handle(make_submit("a", urgent), t0));
    ASSERT_EQ(starts.size(), 1U);
    const auto ends =
        c.handle(attempt_result{starts[0].request, starts[0].attempt, result_code::ok}, t0 + 1s);
    EXPECT_EQ(only<complete>(ends).size(), 1U);
    EXPECT_EQ(c.open_requests(), 0U);
}

// Guards against an urgent request that preempts on one server and then waits on another, full one.
TEST(dispatcher, preempting_request_takes_the_slot_of_its_victim) {
    auto c = make_dispatcher(4, 1);
    std::map<std::string, base::backend_server_id> servers;
    for (int n = 0; n < 4; n++) {
        const auto id = "b" + std::to_string(n);
        servers[id] = only<start_attempt>(c.handle(make_submit(id, batch), t0)).at(0).server;
    }
    auto s = make_submit("u", urgent);
    s.start_deadline = t0 + 200ms;
    const auto actions = c.handle(s, t0 + 100ms);
    const auto cancelled = only<cancel_attempt>(actions);
    const auto started = only<start_attempt>(actions);
    ASSERT_EQ(cancelled.size(), 1U);
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started[0].server, servers.at(cancelled[0].request.str()));
}

// Guards against a stream that restarts from the beginning, or on the server that just failed.
TEST(dispatcher, broken_stream_continues_on_another_server_behind_the_delivered_tokens) {
    auto c = make_dispatcher(2, 2);
    const auto first = only<start_attempt>(c.handle(make_submit("a", urgent), t0)).at(0);
    c.handle(attempt_progress{first.request, first.attempt, 17}, t0 + 1s);
    const auto next = only<start_attempt>(
        c.handle(attempt_result{first.request, first.attempt, result_code::answer_truncated}, t0 + 2s));
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].resume_tokens, 17U);
    EXPECT_NE(next[0].server, first.server);
}

// Guards against a deposit that is executed twice after a timeout (P10) and against a false "not run" (P9).
TEST(dispatcher, non_idempotent_request_is_not_retried_once_sent) {
    auto c = make_dispatcher(2, 2);
    const auto first = only<start_attempt>(c.handle(make_submit("a", urgent, false), t0)).at(0);
    const auto out = c.handle(
        attempt_result{first.request, first.attempt, result_code::first_byte_timeout, true}, t0 + 1s);
    EXPECT_TRUE(only<start_attempt>(out).empty());
    ASSERT_EQ(only<reject>(out).size(), 1U);
    EXPECT_EQ(only<reject>(out)[0].state, run_state::unknown);
}

// Guards against giving up on an order that provably never left this daemon.
TEST(dispatcher, non_idempotent_request_is_retried_when_nothing_was_sent) {
    auto c = make_dispatcher(2, 2);
    const auto first = only<start_attempt>(c.handle(make_submit("a", urgent, false), t0)).at(0);
    const auto out =
        c.handle(attempt_result{first.request, first.attempt, result_code::connect_failed, false}, t0 + 1s);
    EXPECT_EQ(only<start_attempt>(out).size(), 1U);
}

// Guards against a request that hangs when no backend server exists.
TEST(dispatcher, request_without_servers_is_refused_as_not_run_by_its_deadline) {
    auto c = make_dispatcher(0, 0);
    auto s = make_submit("a", urgent);
    s.start_deadline = t0 + 1s;
    auto out = c.handle(s, t0);
    for (int n = 1; n <= 20 && only<reject>(out).empty(); n++) {
        out = c.handle(tick{}, t0 + n * 100ms);
    }
    ASSERT_EQ(only<reject>(out).size(), 1U);
    EXPECT_EQ(only<reject>(out)[0].state, run_state::not_run);
}

// Guards against a stream that goes on after its key was revoked (P5).
TEST(dispatcher, stopped_request_is_cancelled_and_then_rejected_with_the_reason) {
    auto c = make_dispatcher(1, 1);
    const auto first = only<start_attempt>(c.handle(make_submit("a", urgent), t0)).at(0);
    EXPECT_EQ(
        only<cancel_attempt>(c.handle(cancel_request{first.request, result_code::key_withdrawn}, t0 + 1s))
            .size(),
        1U);
    const auto out =
        c.handle(attempt_result{first.request, first.attempt, result_code::key_withdrawn}, t0 + 2s);
    ASSERT_EQ(only<reject>(out).size(), 1U);
    EXPECT_EQ(only<reject>(out)[0].code, result_code::key_withdrawn);
}

// Guards against a slot that stays taken after its caller left, which would block the next request forever.
TEST(dispatcher, slot_of_a_departed_caller_is_reused) {
    auto c = make_dispatcher(1, 1);
    const auto first = only<start_attempt>(c.handle(make_submit("a", urgent), t0)).at(0);
    EXPECT_TRUE(only<start_attempt>(c.handle(make_submit("b", urgent), t0)).empty());
    c.handle(cancel_request{first.request, result_code::caller_gone}, t0 + 1s);
    const auto out =
        c.handle(attempt_result{first.request, first.attempt, result_code::caller_gone}, t0 + 1s);
    ASSERT_EQ(only<start_attempt>(out).size(), 1U);
    EXPECT_EQ(only<start_attempt>(out)[0].request.str(), "b");
}

// Follows the actions of a core and checks that each request has one end and one attempt at a time.
class history {
public:
    explicit history(dispatcher c) : dispatcher_{std::move(c)} {}

    void apply(const event& e, base::time_point now) {
        for (const auto& a : dispatcher_.handle(e, now)) {
            if (const auto* s = std::get_if<start_attempt>(&a)) {
                RC_ASSERT(ended_.count(s->request) == 0U);
                RC_ASSERT(running_.emplace(s->request, s->attempt).second);
            } else if (const auto* r = std::get_if<reject>(&a)) {
                RC_ASSERT(ended_.insert(r->request).second);
            } else if (const auto* c = std::get_if<complete>(&a)) {
                RC_ASSERT(ended_.insert(c->request).second);
            }
        }
    }

    void finish_one(std::size_t n, result_code code, base::time_point now) {
        if (running_.empty()) {
            return;
        }
        const auto it = std::next(running_.begin(), static_cast<std::ptrdiff_t>(n % running_.size()));
        const attempt_result e{it->first, it->second, code, code != result_code::connect_failed, 100ms};
        running_.erase(it);
        apply(e, now);
    }

    dispatcher dispatcher_;
    std::map<base::request_id, std::uint32_t> running_;
    std::set<base::request_id> ended_;
};

// Guards against requests that are lost, stuck or answered twice under random failures.
RC_GTEST_PROP(dispatcher, every_request_ends_exactly_once, ()) {
    history h{make_dispatcher(3, 2, *rc::gen::arbitrary<std::uint64_t>())};
    auto now = t0;
    std::size_t submitted = 0;
    const auto steps = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 1000U));
    for (const unsigned step : steps) {
        now += 20ms;
        const unsigned kind = step % 5;
        if (kind <= 1) {
            auto s = make_submit(std::to_string(submitted++), kind == 0 ? urgent : batch, step % 7 != 0);
            s.start_deadline = now + 2s;
            h.apply(s, now);
        } else if (kind == 2) {
            h.finish_one(step, result_code::ok, now);
        } else if (kind == 3) {
            h.finish_one(step, step % 2 == 0 ? result_code::connect_failed : result_code::backend_failed,
                         now);
        } else {
            h.apply(tick{}, now);
        }
    }
    for (int n = 0; n < 2000 && h.dispatcher_.open_requests() > 0; n++) {
        now += 100ms;
        h.apply(tick{}, now);
        h.finish_one(0, result_code::ok, now);
    }
    RC_ASSERT(h.dispatcher_.open_requests() == 0U);
    RC_ASSERT(h.ended_.size() == submitted);
}

}  // namespace
}  // namespace chicorygap::dispatch
