#include "net/line_output.h"

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace chicorygap::net {
namespace {

using namespace std::chrono_literals;

struct line_output_test : testing::Test {
    loop l;
    std::array<int, 2> ends{};

    void SetUp() override {
        ASSERT_EQ(::pipe(ends.data()), 0);
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    void TearDown() override {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::string read_all() const {
        std::string out;
        std::array<char, 4096> buf{};
        for (auto n = ::read(ends[0], buf.data(), buf.size()); n > 0;
             n = ::read(ends[0], buf.data(), buf.size())) {
            out.append(buf.data(), static_cast<std::size_t>(n));
        }
        return out;
    }
};

TEST_F(line_output_test, lines_are_written_at_once) {
    line_output o{l, ends[1], 1000};
    o.write("one\n");
    o.write("two\n");
    EXPECT_EQ(read_all(), "one\ntwo\n");
    EXPECT_EQ(o.dropped(), 0U);
}

// Guards against a daemon that stands still because nobody reads its log, and against lines that are cut.
TEST_F(line_output_test, full_pipe_drops_whole_lines_and_counts_them) {
    line_output o{l, ends[1], 4000};
    const std::string line(99, 'x');
    for (int i = 0; i < 2000; ++i) {
        o.write(line + '\n');
    }
    EXPECT_GT(o.dropped(), 0U);
    std::string got;
    for (int i = 0; i < 20; ++i) {
        got += read_all();
        l.run_once(60ms);
    }
    got += read_all();
    const auto told = got.find("[net] Log lines dropped. count=" + std::to_string(o.dropped()) + '\n');
    ASSERT_NE(told, std::string::npos);
    EXPECT_EQ(told % 100, 0U);
    EXPECT_EQ(told / 100, 2000 - o.dropped());
    o.write("after\n");
    EXPECT_EQ(read_all(), "after\n");
}

TEST_F(line_output_test, closed_reader_is_no_failure) {
    ::close(ends[0]);
    std::signal(SIGPIPE, SIG_IGN);
    line_output o{l, ends[1], 1000};
    o.write("one\n");
    o.write("two\n");
    ends[0] = ::dup(ends[1]);
}

}  // namespace
}  // namespace chicorygap::net
