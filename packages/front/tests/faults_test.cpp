#include "front_fixture.h"
#include "stream_text.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chicorygap::front {
namespace {

using standin_backend::expected_text;
using standin_backend::fault;
using standin_backend::fault_kind;

class faults_test : public front_fixture {
protected:
    std::string ask_closing(int tokens, bool stream) {
        raw_client c{front->port()};
        c.send(request_text("POST /v1/chat/completions", good_key, chat_body(tokens, stream),
                            "Connection: close\r\n"));
        return c.read_all();
    }
    static void check_stream(const std::string& answer, const std::string& expected) {
        const auto text = text_of(chunks_of(answer));
        if (answer.find("data: [DONE]") != std::string::npos) {
            RC_ASSERT(text == expected);
            RC_ASSERT(answer.find("run_state") == std::string::npos);
        } else {
            RC_ASSERT(expected.starts_with(text));
            RC_ASSERT(answer.find("\"run_state\":\"") != std::string::npos);
        }
    }
    static void check_whole(const std::string& answer, const std::string& expected) {
        if (answer.substr(9, 3) == "200") {
            const auto choice = json_of(answer)->getArray("choices")->getObject(0);
            RC_ASSERT(choice->getObject("message")->getValue<std::string>("content") == expected);
        } else {
            RC_ASSERT(json_of(answer)->has("run_state"));
        }
    }
};

// P8, P9. Guards against any fault of an engine that makes an incomplete answer look complete, or a request
// that may have run look as if it had not.
TEST_F(faults_test, every_answer_is_complete_or_says_truthfully_that_it_is_not) {
    start();
    EXPECT_TRUE(rc::check([this] {
        using enum fault_kind;
        const auto kind =
            *rc::gen::element(refuse, fail, drop_reply, crash, truncate, wrong_id, no_done, slow, delay);
        const auto tokens = *rc::gen::inRange(1, 12);
        const auto after = *rc::gen::inRange<std::uint64_t>(0, 14);
        const bool stream = *rc::gen::arbitrary<bool>();
        engine.inject({kind, "/v1", 1, {}, after});
        const auto answer = ask_closing(tokens, stream);
        RC_LOG() << answer;
        if (stream) {
            check_stream(answer, expected_text(static_cast<std::uint64_t>(tokens)));
        } else {
            check_whole(answer, expected_text(static_cast<std::uint64_t>(tokens)));
        }
        if (answer.find("\"run_state\":\"not_run\"") != std::string::npos) {
            RC_ASSERT(kind == refuse);
        }
    }));
}

}  // namespace
}  // namespace chicorygap::front
