#include "../src/event_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chicorygap::backend {
namespace {

// P8. Guards against text that is lost or joined wrongly when the network splits a stream anywhere.
TEST(event_parser, finds_the_same_events_however_the_bytes_are_split) {
    EXPECT_TRUE(rc::check([] {
        const auto texts = *rc::gen::container<std::vector<std::string>>(
            rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~')));
        std::string stream;
        for (const auto& t : texts) {
            stream += *rc::gen::element<std::string>("", ": comment\n\n", "event: x\r\n");
            stream += "data: " + t + *rc::gen::element<std::string>("\n\n", "\r\n\r\n");
        }
        event_parser parser{1000};
        std::vector<std::string> found;
        while (!stream.empty()) {
            const auto n = *rc::gen::inRange<std::size_t>(1, stream.size() + 1);
            RC_ASSERT(parser.feed(stream.substr(0, n), [&](const std::string& data) {
                found.push_back(data);
                return true;
            }));
            stream.erase(0, n);
        }
        RC_ASSERT(found == texts);
    }));
}

// Guards against unbounded memory for a server that never ends a line or an event.
TEST(event_parser, limits_lines_and_events) {
    const auto accept = [](const std::string&) { return true; };
    EXPECT_FALSE(event_parser{100}.feed(std::string(101, 'a'), accept));
    event_parser lines{100};
    bool valid = true;
    for (int i = 0; i < 50 && valid; ++i) {
        valid = lines.feed("data: abc\n", accept);
    }
    EXPECT_FALSE(valid);
}

// Failure: bytes between the events of a server that are no line of an event. Guards against a token that is
// lost in them from a stream that ends as complete.
TEST(event_parser, lines_that_no_event_has_are_invalid) {
    const auto accept = [](const std::string&) { return true; };
    for (const auto* text : {"garbagedata: x\n", "HTTP/1.1 200 OK\r\n", " data: x\n", "\x01\n"}) {
        EXPECT_FALSE(event_parser{100}.feed(text, accept)) << text;
    }
    EXPECT_TRUE(event_parser{100}.feed(": c\nevent: e\nid: 1\nretry: 5\ndata\ndata: x\n\n", accept));
}

}  // namespace
}  // namespace chicorygap::backend
