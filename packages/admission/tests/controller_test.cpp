#include "admission/controller.h"

#include <gtest/gtest.h>

namespace chicorygap::admission {
namespace {

using namespace std::chrono_literals;

const base::class_id urgent{"urgent"};
const base::class_id batch{"batch"};
const base::time_point t0{1000s};

policy two_tiers() {
    policy p;
    p.classes.push_back({urgent, base::tier{0}});
    p.classes.push_back({batch, base::tier{3}});
    return p;
}

arrival request_of(const std::string& id, const base::class_id& c, const std::string& workspace = "north") {
    arrival a;
    a.id = base::request_id{id};
    a.service_class = c;
    a.workspace = base::workspace_id{workspace};
    a.prompt_tokens = 100;
    return a;
}

template <typename T>
std::vector<std::string> ids(const std::vector<action>& actions) {
    std::vector<std::string> out;
    for (const auto& a : actions) {
        if (const auto* v = std::get_if<T>(&a)) {
            out.push_back(v->id.str());
        }
    }
    return out;
}

using names = std::vector<std::string>;

// Guards against a lower tier overtaking a waiting higher one (P1).
TEST(controller, free_slot_goes_to_the_highest_tier) {
    controller c{two_tiers()};
    c.handle(capacity_changed{1}, t0);
    EXPECT_EQ(ids<start>(c.handle(request_of("b1", batch), t0)), names{"b1"});
    c.handle(request_of("b2", batch), t0);
    c.handle(request_of("u1", urgent), t0);
    EXPECT_EQ(ids<start>(c.handle(finished{base::request_id{"b1"}, 10, 1s}, t0 + 1s)), names{"u1"});
}

// Guards against accepting work that cannot start in time, and against a refusal without a retry time.
TEST(controller, refuses_early_when_the_predicted_start_is_after_the_deadline) {
    controller c{two_tiers()};
    c.handle(capacity_changed{1}, t0);
    c.handle(request_of("b1", batch), t0);
    auto late = request_of("b2", batch);
    late.deadline = t0 + 100ms;
    const auto actions = c.handle(late, t0);
    ASSERT_EQ(actions.size(), 1U);
    const auto& r = std::get<refuse>(actions.front());
    EXPECT_EQ(r.code, base::result_code::deadline_unreachable);
    EXPECT_GT(r.retry_after, 0s);
}

// Guards against shedding a higher tier while lower work is queued.
TEST(controller, full_queue_sheds_the_lowest_tier) {
    auto p = two_tiers();
    p.queue_limit = 2;
    controller c{p};
    c.handle(capacity_changed{1}, t0);
    c.handle(request_of("u0", urgent), t0);
    c.handle(request_of("b1", batch), t0);
    c.handle(request_of("b2", batch), t0);
    const auto actions = c.handle(request_of("u1", urgent), t0);
    EXPECT_EQ(ids<refuse>(actions), names{"b2"});
}

}  // namespace
}  // namespace chicorygap::admission
