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

base::backend_server_id server_id(int n) {
    return base::backend_server_id{"s" + std::to_string(n)};
}

dispatcher make_dispatcher(int servers, int slots, std::uint64_t seed = 1) {
    options o;
    o.routing.self = base::vm_id{"vm1"};
    o.routing.zone = base::zone_id{"z1"};
    o.policy.classes.push_back({.id = urgent, .tier = {0}});
    o.policy.classes.push_back({.id = batch, .tier = {3}});
    dispatcher d{o,
                 [seed]() mutable { return seed = seed * 6364136223846793005ULL + 1442695040888963407ULL; }};
    routing::servers_changed list;
    for (int n = 0; n < servers; n++) {
        list.servers.push_back({.id = server_id(n), .zone = o.routing.zone, .slots = slots});
    }
    d.handle(routing::event{list}, base::time_point{1s});
    return d;
}

submit_request make_request(const std::string& id, const base::class_id& cls, bool idempotent = true) {
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
std::vector<T> actions_of_type(const std::vector<action>& all) {
    std::vector<T> out;
    for (const auto& a : all) {
        if (const auto* v = std::get_if<T>(&a)) {
            out.push_back(*v);
        }
    }
    return out;
}

constexpr base::time_point t0{2s};

// Guards against a request that a server completes but that is never reported as complete.
TEST(dispatcher, request_completes_after_its_attempt) {
    auto d = make_dispatcher(2, 2);
    const auto starts = actions_of_type<start_attempt>(d.handle(make_request("a", urgent), t0));
    ASSERT_EQ(starts.size(), 1U);
    const auto ends =
        d.handle(attempt_result{starts[0].request, starts[0].attempt, result_code::ok}, t0 + 1s);
    EXPECT_EQ(actions_of_type<complete>(ends).size(), 1U);
    EXPECT_EQ(d.open_requests(), 0U);
}

// Guards against an urgent request that preempts an attempt on one server but is sent to another, full
// server.
TEST(dispatcher, preempting_request_starts_on_the_server_of_the_preempted_attempt) {
    auto d = make_dispatcher(4, 1);
    std::map<std::string, base::backend_server_id> servers;
    for (int n = 0; n < 4; n++) {
        const auto id = "b" + std::to_string(n);
        servers[id] = actions_of_type<start_attempt>(d.handle(make_request(id, batch), t0)).at(0).server;
    }
    auto s = make_request("u", urgent);
    s.start_deadline = t0 + 200ms;
    const auto actions = d.handle(s, t0 + 100ms);
    const auto cancelled = actions_of_type<cancel_attempt>(actions);
    const auto started = actions_of_type<start_attempt>(actions);
    ASSERT_EQ(cancelled.size(), 1U);
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started[0].server, servers.at(cancelled[0].request.str()));
}

// Guards against a stream that restarts from its first token, or on the server that has just failed.
TEST(dispatcher, interrupted_stream_resumes_on_another_server_after_the_delivered_tokens) {
    auto d = make_dispatcher(2, 2);
    const auto first = actions_of_type<start_attempt>(d.handle(make_request("a", urgent), t0)).at(0);
    d.handle(attempt_progress{first.request, first.attempt, 17}, t0 + 1s);
    const auto next = actions_of_type<start_attempt>(
        d.handle(attempt_result{first.request, first.attempt, result_code::answer_truncated}, t0 + 2s));
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].resume_tokens, 17U);
    EXPECT_NE(next[0].server, first.server);
}

// Guards against executing a non-idempotent request twice after a timeout, and against reporting it as not
// run although the server may have run it.
TEST(dispatcher, non_idempotent_request_is_not_retried_once_sent) {
    auto d = make_dispatcher(2, 2);
    const auto first = actions_of_type<start_attempt>(d.handle(make_request("a", urgent, false), t0)).at(0);
    const auto out = d.handle(
        attempt_result{first.request, first.attempt, result_code::first_byte_timeout, true}, t0 + 1s);
    EXPECT_TRUE(actions_of_type<start_attempt>(out).empty());
    ASSERT_EQ(actions_of_type<reject>(out).size(), 1U);
    EXPECT_EQ(actions_of_type<reject>(out)[0].state, run_state::unknown);
}

// Guards against rejecting a non-idempotent request of which nothing was sent, so that a retry is safe.
TEST(dispatcher, non_idempotent_request_is_retried_when_nothing_was_sent) {
    auto d = make_dispatcher(2, 2);
    const auto first = actions_of_type<start_attempt>(d.handle(make_request("a", urgent, false), t0)).at(0);
    const auto out =
        d.handle(attempt_result{first.request, first.attempt, result_code::connect_failed, false}, t0 + 1s);
    EXPECT_EQ(actions_of_type<start_attempt>(out).size(), 1U);
}

// Guards against a request that stays queued after its start deadline because there is no backend server.
TEST(dispatcher, request_without_servers_is_rejected_as_not_run_by_its_start_deadline) {
    auto d = make_dispatcher(0, 0);
    auto s = make_request("a", urgent);
    s.start_deadline = t0 + 1s;
    auto out = d.handle(s, t0);
    for (int n = 1; n <= 20 && actions_of_type<reject>(out).empty(); n++) {
        out = d.handle(tick{}, t0 + n * 100ms);
    }
    ASSERT_EQ(actions_of_type<reject>(out).size(), 1U);
    EXPECT_EQ(actions_of_type<reject>(out)[0].state, run_state::not_run);
}

// Guards against a stream that continues after its API key was revoked.
TEST(dispatcher, cancelled_request_is_rejected_with_the_reason_after_its_attempt_ended) {
    auto d = make_dispatcher(1, 1);
    const auto first = actions_of_type<start_attempt>(d.handle(make_request("a", urgent), t0)).at(0);
    EXPECT_EQ(actions_of_type<cancel_attempt>(
                  d.handle(cancel_request{first.request, result_code::key_withdrawn}, t0 + 1s))
                  .size(),
              1U);
    const auto out =
        d.handle(attempt_result{first.request, first.attempt, result_code::key_withdrawn}, t0 + 2s);
    ASSERT_EQ(actions_of_type<reject>(out).size(), 1U);
    EXPECT_EQ(actions_of_type<reject>(out)[0].code, result_code::key_withdrawn);
}

// Guards against a slot that is not released after its caller disconnected, so that the next request never
// starts.
TEST(dispatcher, slot_of_a_disconnected_caller_is_reused) {
    auto d = make_dispatcher(1, 1);
    const auto first = actions_of_type<start_attempt>(d.handle(make_request("a", urgent), t0)).at(0);
    EXPECT_TRUE(actions_of_type<start_attempt>(d.handle(make_request("b", urgent), t0)).empty());
    d.handle(cancel_request{first.request, result_code::caller_gone}, t0 + 1s);
    const auto out =
        d.handle(attempt_result{first.request, first.attempt, result_code::caller_gone}, t0 + 1s);
    ASSERT_EQ(actions_of_type<start_attempt>(out).size(), 1U);
    EXPECT_EQ(actions_of_type<start_attempt>(out)[0].request.str(), "b");
}

// Passes events to a dispatcher and checks that each request ends at most once and has at most one attempt in
// flight.
class checked_dispatcher {
public:
    explicit checked_dispatcher(dispatcher d) : dispatcher_{std::move(d)} {}

    void apply(const event& e, base::time_point now) {
        for (const auto& a : dispatcher_.handle(e, now)) {
            if (const auto* s = std::get_if<start_attempt>(&a)) {
                RC_ASSERT(ended_.count(s->request) == 0U);
                RC_ASSERT(in_flight_.emplace(s->request, s->attempt).second);
            } else if (const auto* r = std::get_if<reject>(&a)) {
                RC_ASSERT(ended_.insert(r->request).second);
            } else if (const auto* c = std::get_if<complete>(&a)) {
                RC_ASSERT(ended_.insert(c->request).second);
            }
        }
    }

    void finish_attempt(std::size_t n, result_code code, base::time_point now) {
        if (in_flight_.empty()) {
            return;
        }
        const auto it = std::next(in_flight_.begin(), static_cast<std::ptrdiff_t>(n % in_flight_.size()));
        const attempt_result e{it->first, it->second, code, code != result_code::connect_failed, 100ms};
        in_flight_.erase(it);
        apply(e, now);
    }

    dispatcher dispatcher_;
    std::map<base::request_id, std::uint32_t> in_flight_;
    std::set<base::request_id> ended_;
};

// Guards against requests that are lost, never end or end twice when attempts fail at random.
RC_GTEST_PROP(dispatcher, every_request_ends_exactly_once, ()) {
    checked_dispatcher checked{make_dispatcher(3, 2, *rc::gen::arbitrary<std::uint64_t>())};
    auto now = t0;
    std::size_t submitted = 0;
    const auto steps = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 1000U));
    for (const unsigned step : steps) {
        now += 20ms;
        const unsigned event_kind = step % 5;
        if (event_kind <= 1) {
            auto s =
                make_request(std::to_string(submitted++), event_kind == 0 ? urgent : batch, step % 7 != 0);
            s.start_deadline = now + 2s;
            checked.apply(s, now);
        } else if (event_kind == 2) {
            checked.finish_attempt(step, result_code::ok, now);
        } else if (event_kind == 3) {
            checked.finish_attempt(
                step, step % 2 == 0 ? result_code::connect_failed : result_code::backend_failed, now);
        } else {
            checked.apply(tick{}, now);
        }
    }
    for (int n = 0; n < 2000 && checked.dispatcher_.open_requests() > 0; n++) {
        now += 100ms;
        checked.apply(tick{}, now);
        checked.finish_attempt(0, result_code::ok, now);
    }
    RC_ASSERT(checked.dispatcher_.open_requests() == 0U);
    RC_ASSERT(checked.ended_.size() == submitted);
}

}  // namespace
}  // namespace chicorygap::dispatch
