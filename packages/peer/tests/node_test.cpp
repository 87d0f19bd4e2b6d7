#include "peer/node.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <string>
#include <thread>

namespace chicorygap::peer {
namespace {

using namespace std::chrono_literals;
using gossip = std::optional<membership::message>;

std::string address_of(const node& n) {
    return "127.0.0.1:" + std::to_string(n.port());
}

template <typename T>
base::result_code code_of(const std::function<void(completion<T>)>& start) {
    try {
        await<T>(start);
        return base::result_code::ok;
    } catch (const base::error& e) {
        return e.code();
    }
}

membership::message full_message(std::size_t updates, std::size_t loads, const std::string& name) {
    using namespace membership;
    const member m{
        base::vm_id{"vm" + name}, "10.0.0.1:7400" + name, base::zone_id{"zone" + name}, 12345678901234ULL, 7,
        member_state::suspect};
    message out{.kind = message_kind::probe_indirect,
                .number = 42,
                .sender = m,
                .member_list_hash = 9,
                .target = name};
    out.updates.assign(updates, m);
    out.zones.push_back({m.zone, 90, 1500ms});
    out.services.push_back({base::service_id{name}, 77, 3, 250ms});
    for (std::size_t i = 0; i < loads; i++) {
        out.loads.push_back({0xFFFFFFFFFFFFFF00ULL + i, static_cast<std::uint16_t>(i)});
    }
    return out;
}

gossip exchange(node& n, const std::string& to, const membership::message& m) {
    return await<gossip>([&](auto done) { n.probe(to, m, done); });
}

// Guards against fields lost or exchanged on the wire, and against a message that membership holds for small
// enough and the node refuses: membership::encoded_size must be an upper bound.
RC_GTEST_PROP(node, every_gossip_message_within_the_limit_arrives_unchanged, ()) {
    node server{{}, {.probe = [](const auto& m) { return gossip{m}; }}};
    node client{{}, {}};
    const std::string name(*rc::gen::inRange<std::size_t>(0, 30), 'x');
    const auto m =
        full_message(*rc::gen::inRange<std::size_t>(0, 10), *rc::gen::inRange<std::size_t>(0, 64), name);
    if (membership::encoded_size(m) > membership::max_message_bytes) {
        return;
    }
    exchange(client, address_of(server), m);
    const auto before = client.statistics();
    const auto reply = exchange(client, address_of(server), m);
    const auto after = client.statistics();
    RC_ASSERT(reply.has_value());
    RC_ASSERT(reply->kind == m.kind);
    RC_ASSERT(reply->number == m.number);
    RC_ASSERT(reply->sender == m.sender);
    RC_ASSERT(reply->member_list_hash == m.member_list_hash);
    RC_ASSERT(reply->target == m.target);
    RC_ASSERT(reply->updates == m.updates);
    RC_ASSERT(reply->loads == m.loads);
    RC_ASSERT(reply->zones.at(0).age == 1500ms);
    RC_ASSERT(reply->services.at(0).version == 77U);
    RC_ASSERT(reply->services.at(0).lowest_admitted_tier == 3);
    // Besides the call itself, the end of the previous one is sent.
    constexpr std::size_t finish_bytes = 64;
    RC_ASSERT(after.bytes_sent - before.bytes_sent <= membership::encoded_size(m) + finish_bytes);
}

// Guards against a call whose arguments or result are lost on the way.
TEST(node, all_calls_reach_their_handlers) {
    const distribution::member sender{base::vm_id{"vm"}, base::zone_id{"z"}};
    const distribution::message documents =
        distribution::push{base::vm_id{"vm"}, {{"document/s", 8, false, std::string(1000000, 'd'), {}}}};
    distribution::member from;
    distribution::message distributed;
    usage::usage_report reported;
    outcome_report outcome;
    node server{{},
                {.probe_indirect = [](const auto&) { return gossip{}; },
                 .report_usage =
                     [&](const usage::usage_report& r, const auto& reply) {
                         reported = r;
                         reply(usage_reply{true, 3});
                     },
                 .record_outcome = [&](const outcome_report& r) { outcome = r; },
                 .distribute =
                     [&](const distribution::member& f, const distribution::message& m) {
                         from = f;
                         distributed = m;
                     },
                 .status = [] { return std::string{"{}"}; }}};
    node client{{}, {}};
    const auto to = address_of(server);
    EXPECT_FALSE(await<gossip>([&](auto d) { client.probe_indirect(to, full_message(1, 1, "n"), d); }));
    await<done>([&](auto d) { client.distribute(to, sender, documents, d); });
    EXPECT_EQ(from, sender);
    EXPECT_EQ(distributed, documents);
    await<done>([&](auto d) { client.record_outcome(to, {"r", 201, "body", true}, d); });
    EXPECT_EQ(outcome.record, "r");
    EXPECT_EQ(outcome.status, 201);
    EXPECT_EQ(outcome.body, "body");
    const usage::usage_report report{
        {"vm", 5},
        6,
        7,
        {{{base::service_id{"s"}, base::workspace_id{"w"}, base::class_id{"c"}}, {1, 2, 3}, {1, 1, 1}}}};
    const auto reply = await<usage_reply>([&](auto d) { client.report_usage(to, report, d); });
    EXPECT_TRUE(reply.accepted);
    EXPECT_EQ(reply.term, 3U);
    EXPECT_EQ(reported.from, report.from);
    EXPECT_EQ(reported.sequence, 6U);
    EXPECT_EQ(reported.window, 7);
    ASSERT_EQ(reported.rows.size(), 1U);
    EXPECT_EQ(reported.rows[0].key, report.rows[0].key);
    EXPECT_EQ(reported.rows[0].total, report.rows[0].total);
    EXPECT_EQ(reported.rows[0].opening, report.rows[0].opening);
    EXPECT_EQ(await<std::string>([&](auto d) { client.status(to, d); }), "{}");
    EXPECT_GT(client.statistics().bytes_sent, 1000000U);
    EXPECT_GT(server.statistics().messages_received, 6U);
}

// Guards against a recorded body that a peer receives only up to its first null byte.
TEST(node, text_with_null_bytes_arrives_whole) {
    const std::string text{"a\0b", 3};
    const distribution::message documents =
        distribution::push{base::vm_id{"vm"}, {{"document/s", 8, false, text, {}}}};
    distribution::message distributed;
    outcome_report recorded;
    node server{{},
                {.record_outcome = [&](const outcome_report& r) { recorded = r; },
                 .distribute = [&](const auto&, const distribution::message& m) { distributed = m; }}};
    node client{{}, {}};
    await<done>([&](auto d) { client.distribute(address_of(server), {}, documents, d); });
    EXPECT_EQ(distributed, documents);
    await<done>([&](auto d) { client.record_outcome(address_of(server), {"r", 200, text, true}, d); });
    EXPECT_EQ(recorded.body, text);
}

// Guards against a permit that cannot be given once the platform write has returned on another thread, and
// against a late reply that reaches a node which is gone.
TEST(node, claim_is_answered_later_from_another_thread) {
    std::function<void(claim_reply)> late;
    {
        std::thread writer;
        node server{{}, {.claim = [&](const claim_request& r, const std::function<void(claim_reply)>& reply) {
                        if (r.record == "late") {
                            late = reply;
                            return;
                        }
                        writer = std::thread{[reply, body = r.record + r.digest] {
                            reply({claim_reply::verdict::recorded, base::run_state::run, 201, body});
                        }};
                    }}};
        node client{{.claim_timeout = 100ms}, {}};
        const auto claim = [&](const std::string& key) {
            return await<claim_reply>([&](auto d) { client.claim(address_of(server), {key, "d"}, d); });
        };
        const auto r = claim("k");
        writer.join();
        EXPECT_EQ(r.result, claim_reply::verdict::recorded);
        EXPECT_EQ(r.state, base::run_state::run);
        EXPECT_EQ(r.status, 201);
        EXPECT_EQ(r.body, "kd");
        EXPECT_THROW(claim("late"), base::error);
    }
    late({});
}

// Guards against calls that hang when the peer refuses, fails or cannot take the message.
TEST(node, failures_are_reported) {
    node server{{}, {.distribute = [](const auto&, const auto&) {
                    throw base::error{base::result_code::document_stale, "old"};
                }}};
    node verbose{{}, {.status = [] { return std::string(5000000, 'x'); }}};
    node client{{}, {}};
    const auto to = address_of(server);
    const auto status = [&](const std::string& a) {
        return code_of<std::string>([&](auto d) { client.status(a, d); });
    };
    EXPECT_EQ(status(to), base::result_code::backend_refused) << "no handler";
    EXPECT_EQ(code_of<done>([&](auto d) { client.distribute(to, {}, distribution::fetch{}, d); }),
              base::result_code::backend_refused);
    EXPECT_EQ(status("127.0.0.1:1"), base::result_code::connect_failed);
    EXPECT_EQ(code_of<gossip>([&](auto d) { client.probe(to, full_message(40, 0, "n"), d); }),
              base::result_code::body_too_large);
    EXPECT_EQ(
        code_of<done>([&](auto d) {
            const distribution::document_version large{"document/s", 1, false, std::string(2000000, 'x'), {}};
            client.distribute(to, {}, distribution::push{{}, {large}}, d);
        }),
        base::result_code::body_too_large);
    EXPECT_NE(status(address_of(verbose)), base::result_code::ok) << "a reply over the limit";
    EXPECT_EQ(status(to), base::result_code::backend_refused) << "the node still works";
    EXPECT_THROW((node{{.listen = address_of(server)}, {}}), base::error);
}

// Guards against completions that never come because the node was closed.
TEST(node, closing_completes_open_calls) {
    std::promise<base::result_code> result;
    node server{{}, {.claim = [](const auto&, const auto&) {}}};
    {
        node client{{.claim_timeout = 1h}, {}};
        client.claim(address_of(server), {}, [&](auto o) { result.set_value(o.code); });
    }
    EXPECT_NE(result.get_future().get(), base::result_code::ok);
}

}  // namespace
}  // namespace chicorygap::peer
