#include "router_fixture.h"

namespace chicorygap::proxy {
namespace {

struct evacuation_test : request_router_test {
    void evacuate(const std::set<base::zone_id>& zones) { router.set_evacuations({zones, {}}); }
};

// Failure: all zones are evacuated. Guards against a refusal that does not say that the request was not run
// and when to come back.
TEST_F(evacuation_test, request_is_refused_as_not_run_when_all_zones_are_evacuated) {
    load_catalog();
    evacuate({base::zone_id{"z"}});
    add_server([](const connection& c, const std::string&) { c->write(make_response("1", "ran")); });
    const auto c = send_request("/order/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(c->received, "503"));
    EXPECT_TRUE(contains(c->received, "Retry-After"));
    EXPECT_EQ(records[0].run_state, base::run_state::not_run);
    EXPECT_EQ(servers[0]->request_count(), 0);
    EXPECT_TRUE(router.servers().at(0).evacuated);
}

// Failure: the zone is evacuated while a request runs there. Guards against aborting the request, and against
// later requests on its connection.
TEST_F(evacuation_test, running_request_ends_undisturbed_and_no_other_follows) {
    load_catalog();
    connection pending;
    add_server([&](const connection& c, const std::string&) { pending = c; });
    const auto first = send_request("/order/", "1");
    ASSERT_TRUE(run_until([&] { return pending != nullptr; }));
    evacuate({base::zone_id{"z"}});
    pending->write(make_response("1", "done"));
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(first->received, "done"));
    send_request("/read/", "2");
    ASSERT_TRUE(wait_for_records(2));
    EXPECT_EQ(servers[0]->request_count(), 1);
}

// Failure: the attempt breaks after its zone was evacuated. Guards against a retry in that zone.
TEST_F(evacuation_test, retry_does_not_return_to_an_evacuated_zone) {
    load_catalog();
    connection pending;
    add_server([&](const connection& c, const std::string&) { pending = c; });
    send_request("/read/", "1");
    ASSERT_TRUE(run_until([&] { return pending != nullptr; }));
    evacuate({base::zone_id{"z"}});
    pending->write(make_response("1", "bad", 500));
    ASSERT_TRUE(wait_for_records());
    EXPECT_EQ(servers[0]->request_count(), 1);
}

// Guards against a zone that stays without requests after the evacuation was withdrawn, and against a new
// server list that drops the state of its zone.
TEST_F(evacuation_test, zone_serves_again_after_the_evacuation_is_withdrawn) {
    load_catalog();
    evacuate({base::zone_id{"z"}});
    add_server([](const connection& c, const std::string&) { c->write(make_response("1", "ran")); });
    router.set_evacuations({{}, {{base::zone_id{"z"}, loop.now()}}});
    EXPECT_EQ(router.servers().at(0).returned_at.has_value(), true);
    const auto c = send_request("/read/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(c->received, "ran"));
}

}  // namespace
}  // namespace chicorygap::proxy
