#include "idempotency/claim_client.h"

#include "idempotency/ticket_book.h"

#include <gtest/gtest.h>

namespace chicorygap::idempotency {
namespace {

using namespace std::chrono_literals;

const claim request{7, make_record_id("north", "booking", "k"), make_digest("body")};

struct claim_client_test : testing::Test {
    claim_client machine;
    base::time_point now{1h};

    client_action only(const client_event& e) {
        const auto actions = machine.handle(e, now);
        EXPECT_EQ(actions.size(), 1U);
        return actions.at(0);
    }
    void know_owner() { machine.handle(owner_changed{shard_of(request.id), "d2"}, now); }
};

// Guards against a hanging or executed request when no owner is known (platform down, zone partitioned).
TEST_F(claim_client_test, without_an_owner_the_request_is_refused_as_not_run) {
    const auto r = std::get<refuse>(only(permit_wanted{request}));
    EXPECT_EQ(r.state, base::run_state::not_run);
    EXPECT_EQ(r.code, base::result_code::record_unavailable);
}

// Guards against an execution after the caller was told "not run" (P9).
TEST_F(claim_client_test, permit_that_arrives_after_the_refusal_is_discarded) {
    know_owner();
    EXPECT_EQ(std::get<send_claim>(only(permit_wanted{request})).daemon, "d2");
    now += 2s;
    EXPECT_EQ(std::get<refuse>(only(client_tick{})).state, base::run_state::not_run);
    EXPECT_TRUE(machine.handle(claim_decided{{7, verdict::granted, {}}}, now).empty());
}

// Guards against an execution by a daemon that was paused while it waited for the permit.
TEST_F(claim_client_test, permit_processed_after_a_pause_is_not_used) {
    know_owner();
    machine.handle(permit_wanted{request}, now);
    now += 1min;
    EXPECT_EQ(std::get<refuse>(only(claim_decided{{7, verdict::granted, {}}})).state,
              base::run_state::not_run);
}

// Guards against two executions from a duplicated decision.
TEST_F(claim_client_test, duplicated_permit_runs_once) {
    know_owner();
    machine.handle(permit_wanted{request}, now);
    EXPECT_TRUE(std::holds_alternative<permit>(only(claim_decided{{7, verdict::granted, {}}})));
    EXPECT_TRUE(machine.handle(claim_decided{{7, verdict::granted, {}}}, now).empty());
}

// Guards against "not run" for a request that another daemon may have run.
TEST_F(claim_client_test, unknown_outcome_is_reported_as_unknown) {
    know_owner();
    machine.handle(permit_wanted{request}, now);
    const auto r = std::get<refuse>(only(claim_decided{{7, verdict::unknown, {}}}));
    EXPECT_EQ(r.state, base::run_state::unknown);
    EXPECT_EQ(r.code, base::result_code::outcome_unknown);
}

// Guards against an outcome lost to an owner that is replaced at that moment.
TEST_F(claim_client_test, outcome_is_repeated_until_an_owner_accepts_it) {
    know_owner();
    machine.handle(request_finished{request.id, {200, "booked", true}}, now);
    machine.handle(owner_changed{shard_of(request.id), "d3"}, now);
    now += 1s;
    EXPECT_EQ(std::get<send_outcome>(only(client_tick{})).daemon, "d3");
    machine.handle(outcome_accepted{request.id}, now);
    now += 1s;
    EXPECT_TRUE(machine.handle(client_tick{}, now).empty());
}

ticket_options book_options(std::uint64_t incarnation) {
    ticket_options o;
    o.daemon = "entry-1.a";
    o.incarnation = incarnation;
    return o;
}

struct ticket_book_test : testing::Test {
    base::time_point now{1h};
    std::uint64_t state = 0;
    base::random_function random = [this] { return ++state * 0x9e3779b97f4a7c15U; };
    ticket_book book{book_options(1), random};
    const base::workspace_id north{"north"};
    const digest body = make_digest("pay 5");
};

// Guards against a second execution in a partitioned zone (P10).
TEST_F(ticket_book_test, ticket_is_granted_once_and_then_answers_with_the_outcome) {
    const auto t = *ticket::parse(book.issue(north, now)->str());
    EXPECT_EQ(book.redeem(t, north, body, now).result, verdict::granted);
    EXPECT_EQ(book.redeem(t, north, body, now).result, verdict::unknown);
    EXPECT_EQ(book.redeem(t, north, make_digest("pay 50"), now).result, verdict::reused);
    book.finish(t, {200, "booked", true});
    const auto again = book.redeem(t, north, body, now);
    EXPECT_EQ(again.result, verdict::known);
    EXPECT_EQ(again.recorded->body, "booked");
}

// Guards against a second execution by the daemon's next incarnation (zone partitioned and daemon killed).
TEST_F(ticket_book_test, ticket_of_a_dead_incarnation_is_unknown) {
    const auto t = *book.issue(north, now);
    book.redeem(t, north, body, now);
    ticket_book next{book_options(2), random};
    next.issue(north, now);
    EXPECT_EQ(next.redeem(t, north, body, now).result, verdict::unknown);
}

// Guards against a second execution after the ticket has been forgotten, and against unbounded memory.
TEST_F(ticket_book_test, expired_ticket_is_unknown_and_uses_no_memory) {
    const auto t = *book.issue(north, now);
    book.redeem(t, north, body, now);
    now += 1h;
    EXPECT_EQ(book.redeem(t, north, body, now).result, verdict::unknown);
    EXPECT_EQ(book.size(), 0U);
}

// Guards against one workspace using another's ticket, and against malformed text from callers.
TEST_F(ticket_book_test, foreign_and_malformed_tickets_run_nothing) {
    const auto t = *book.issue(north, now);
    EXPECT_EQ(book.redeem(t, base::workspace_id{"south"}, body, now).result, verdict::refused);
    auto guessed = t;
    ++guessed.nonce;
    EXPECT_EQ(book.redeem(guessed, north, body, now).result, verdict::unknown);
    for (const auto* text : {"", ".", "a.1.2", "a.1.2.", "a.1.2.x", ".1.2.3", "a.1.2.99999999999999999999"}) {
        EXPECT_FALSE(ticket::parse(text)) << text;
    }
}

}  // namespace
}  // namespace chicorygap::idempotency
