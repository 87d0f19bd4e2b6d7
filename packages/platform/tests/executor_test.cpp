#include "platform/executor.h"

#include "base/error.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <future>

namespace chicorygap::platform {
namespace {

using namespace std::chrono_literals;
using testing::_;

class mock_store : public object_store {
public:
    MOCK_METHOD(std::optional<object>, get, (const std::string&, base::duration), (override));
    MOCK_METHOD(put_result, put, (const std::string&, const std::string&, std::uint64_t, base::duration),
                (override));
    MOCK_METHOD(put_result, remove, (const std::string&, std::uint64_t, base::duration), (override));
    MOCK_METHOD(std::vector<object>, list, (const std::string&, base::duration), (override));
    MOCK_METHOD(std::vector<object>, watch, (const std::string&, std::uint64_t, base::duration), (override));
};

class mock_orders : public order_service {
public:
    MOCK_METHOD(order_reply, submit, (const order&, base::duration), (override));
};

class mock_billing : public billing_service {
public:
    MOCK_METHOD(usage_reply, report, (const usage_report&, base::duration), (override));
};

class executor_test : public testing::Test {
protected:
    call_result result_of(executor& e, const call& c) {
        std::promise<call_result> done;
        e.submit(7, c, [&](std::uint64_t correlation, const call_result& r) {
            EXPECT_EQ(correlation, 7U);
            done.set_value(r);
        });
        return done.get_future().get();
    }

    testing::StrictMock<mock_store> store_;
    testing::StrictMock<mock_orders> orders_;
    testing::StrictMock<mock_billing> billing_;
};

TEST_F(executor_test, results_and_failures_reach_the_caller) {
    // Guards against a lost reply arriving as "no effect" at the decision code.
    executor e{store_, orders_, billing_, {1, 10, 1s}};
    EXPECT_CALL(store_, put("k", "v", 3, base::duration{1s}))
        .WillOnce(testing::Return(put_result{true, 4, {}}))
        .WillOnce(testing::Throw(base::error{base::result_code::platform_reply_lost, "lost"}));
    EXPECT_EQ(std::get<put_result>(result_of(e, put_call{"k", "v", 3})).version, 4U);
    EXPECT_EQ(std::get<call_failure>(result_of(e, put_call{"k", "v", 3})).code,
              base::result_code::platform_reply_lost);
}

TEST_F(executor_test, order_without_lease_is_not_submitted) {
    // Guards P6 also for order services that do not check the guard themselves.
    executor e{store_, orders_, billing_, {1, 10, 1s}};
    EXPECT_CALL(orders_, submit(_, _)).Times(0);
    EXPECT_EQ(std::get<call_failure>(result_of(e, order_call{{}, [] { return false; }})).code,
              base::result_code::lease_not_held);
}

TEST_F(executor_test, full_queue_fails_at_once) {
    // Guards against unbounded memory while the platform is silent.
    std::promise<void> release;
    std::promise<void> started;
    EXPECT_CALL(store_, get("slow", _)).WillOnce([&](const std::string&, base::duration) {
        started.set_value();
        release.get_future().wait();
        return std::optional<object>{};
    });
    EXPECT_CALL(store_, get("queued", _)).Times(testing::AtMost(1));
    executor e{store_, orders_, billing_, {1, 1, 1s}};
    e.submit(1, read_call{"slow"}, [](std::uint64_t, const call_result&) {});
    started.get_future().wait();
    e.submit(2, read_call{"queued"}, [](std::uint64_t, const call_result&) {});
    EXPECT_TRUE(std::holds_alternative<call_failure>(result_of(e, read_call{"refused"})));
    release.set_value();
}

}  // namespace
}  // namespace chicorygap::platform
