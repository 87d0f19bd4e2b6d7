#include "../src/event_splitter.h"

#include <gtest/gtest.h>

#include <string>

namespace chicorygap::proxy {
namespace {

TEST(event_splitter, events_are_complete_however_the_bytes_are_cut) {
    const std::string stream = "id: 1\ndata: a\n\n: comment\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        event_splitter s;
        std::string out;
        for (std::size_t at = 0; at < stream.size(); at += size) {
            out += s.feed(std::string_view{stream}.substr(at, size));
        }
        EXPECT_EQ(out, stream) << size;
        EXPECT_EQ(s.event_count(), 3U) << size;
        EXPECT_EQ(s.last_id(), "2") << size;
        EXPECT_FALSE(s.has_partial()) << size;
    }
}

// Guards against a stalled stream that counts as alive because of its comments.
TEST(event_splitter, comments_are_no_events_and_are_kept_for_the_next_one) {
    event_splitter s;
    EXPECT_EQ(s.feed(": a\n\n\n\n: b\n\n"), "");
    EXPECT_EQ(s.event_count(), 0U);
    EXPECT_FALSE(s.has_partial());
    EXPECT_EQ(s.feed("data: x\n\n: end\n\n"), ": a\n\n\n\n: b\n\ndata: x\n\n");
    EXPECT_EQ(s.take_comments(), ": end\n\n");
}

TEST(event_splitter, id_of_an_incomplete_event_is_not_the_last_id) {
    event_splitter s;
    s.feed("id: 1\ndata: x\n\nid: 2\ndata");
    EXPECT_EQ(s.last_id(), "1");
    EXPECT_TRUE(s.has_partial());
    EXPECT_EQ(s.take_comments(), "");
    s.discard_partial();
    EXPECT_FALSE(s.has_partial());
    EXPECT_EQ(s.feed("id: 3\n\n"), "id: 3\n\n");
    EXPECT_EQ(s.last_id(), "3");
}

// Failure: a server sends lines without end and never an empty one. Guards against memory that grows with
// them, and against a scan of all of them for each piece, which took 34 s for 16 MB.
TEST(event_splitter, lines_that_never_end_an_event_are_bounded) {
    constexpr std::size_t total = std::size_t{16} * 1024 * 1024;
    event_splitter s;
    const std::string piece(std::size_t{16} * 1024, 'a');
    std::size_t fed = 0;
    for (; fed < total && s.fault() == event_fault::none; fed += piece.size()) {
        EXPECT_EQ(s.feed(piece), "");
    }
    EXPECT_EQ(s.fault(), event_fault::too_long);
    EXPECT_LE(fed, std::size_t{512} * 1024);
    EXPECT_EQ(s.feed("data: x\n\n"), "");
}

// Failure: 256 KiB of comments were read before a stream without events counted as broken.
TEST(event_splitter, comments_that_no_event_follows_are_bounded) {
    for (const std::string piece : {": wait\n\n", ":\n", "\n", "::::::::"}) {
        for (const std::string start : {"", "id: 1\n"}) {
            event_splitter s;
            s.feed(start);
            std::size_t fed = 0;
            for (; fed < std::size_t{64} * 1024 && s.fault() == event_fault::none; fed += piece.size()) {
                s.feed(piece);
            }
            EXPECT_EQ(s.fault(), event_fault::too_long) << start << piece;
        }
    }
}

// Comments between events, now and then, are none of a broken stream.
TEST(event_splitter, comments_before_each_event_are_not_summed) {
    event_splitter s;
    for (int i = 0; i < 1000; ++i) {
        s.feed(":" + std::string(200, 'c') + "\n\n");
        EXPECT_NE(s.feed("data: x\n\n"), "");
    }
    EXPECT_EQ(s.fault(), event_fault::none);
    EXPECT_EQ(s.event_count(), 1000U);
}

}  // namespace
}  // namespace chicorygap::proxy
