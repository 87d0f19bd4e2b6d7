#include "base/result_code.h"

#include "base/run_state.h"

#include <gtest/gtest.h>

namespace chicorygap::base {
namespace {

// Guards against a code that callers see without a name or with a success status.
TEST(result_code, every_refusal_has_a_name_and_an_error_status) {
    for (const auto code :
         {result_code::key_missing, result_code::queue_full, result_code::no_backend_server,
          result_code::document_invalid, result_code::outcome_unknown, result_code::internal}) {
        EXPECT_NE(to_string(code), "undefined");
        EXPECT_GE(http_status(code), 400);
    }
}

// Guards against a "not run" claim for a request with one attempt of unknown outcome.
TEST(run_state, one_unknown_attempt_makes_the_request_unknown) {
    EXPECT_EQ(combine(run_state::not_run, run_state::unknown), run_state::unknown);
    EXPECT_EQ(combine(run_state::unknown, run_state::not_run), run_state::unknown);
    EXPECT_EQ(combine(run_state::not_run, run_state::run), run_state::run);
    EXPECT_EQ(combine(run_state::not_run, run_state::not_run), run_state::not_run);
}

}  // namespace
}  // namespace chicorygap::base
