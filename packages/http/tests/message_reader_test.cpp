#include "http/message_reader.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace chicorygap::http {
namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t head_limit = kib;

struct reading {
    std::vector<request_head> requests;
    std::vector<response_head> responses;
    std::string body;
    message_reader reader;

    explicit reading(message_reader::kind k)
        : reader{k,
                 {.request = [this](request_head&& h) { requests.push_back(std::move(h)); },
                  .response = [this](response_head&& h) { responses.push_back(std::move(h)); },
                  .body = [this](std::string_view part) { body.append(part); }},
                 head_limit} {}

    /// Feeds the text in pieces of `size` until the first message ends or fails.
    read_result feed(std::string_view text, std::size_t size) {
        std::size_t total = 0;
        while (total < text.size()) {
            const auto r = reader.read(text.substr(total, size));
            total += r.consumed;
            if (r.state != read_state::more) {
                return {r.state, total};
            }
        }
        return {read_state::more, total};
    }
};

// Guards against heads that depend on how the bytes were cut.
TEST(message_reader, request_in_pieces_of_any_size) {
    const std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nContent-Length: 5\r\n\r\nhello";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        reading r{message_reader::kind::request};
        const auto x = r.feed(text + "GET / HTTP/1.1\r\n\r\n", size);
        ASSERT_EQ(x.state, read_state::complete) << size;
        EXPECT_EQ(x.consumed, text.size()) << size;
        ASSERT_EQ(r.requests.size(), 1U);
        EXPECT_EQ(r.requests[0].method, "POST");
        EXPECT_EQ(r.requests[0].target, "/a/b?c=d");
        EXPECT_EQ(*r.requests[0].headers.find("x-a"), "1");
        EXPECT_EQ(r.body, "hello");
        EXPECT_TRUE(r.requests[0].keep_alive);
    }
}

TEST(message_reader, chunked_body_is_decoded) {
    reading r{message_reader::kind::request};
    const std::string text =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n";
    const auto x = r.feed(text, 4);
    EXPECT_EQ(x.state, read_state::complete);
    EXPECT_EQ(x.consumed, text.size());
    EXPECT_EQ(r.body, "abcde");
}

// Guards against a request hidden in the body of another one.
TEST(message_reader, ambiguous_framing_is_invalid) {
    const std::vector<std::string> heads{
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Content-Length: 5x\r\n",
        "Content-Length: -1\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: gzip\r\n",
    };
    for (const auto& h : heads) {
        reading r{message_reader::kind::request};
        EXPECT_EQ(r.feed("POST / HTTP/1.1\r\n" + h + "\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n", 7).state,
                  read_state::invalid)
            << h;
    }
}

TEST(message_reader, requests_that_are_none) {
    for (const std::string text : {"hello\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/1.1\r\nA B: c\r\n\r\n",
                                   "CONNECT h:1 HTTP/1.1\r\n\r\n"}) {
        reading r{message_reader::kind::request};
        EXPECT_EQ(r.feed(text, 64).state, read_state::invalid) << text;
        EXPECT_EQ(r.feed("GET / HTTP/1.1\r\n\r\n", 64).state, read_state::invalid);
    }
}

TEST(message_reader, head_is_bounded) {
    reading r{message_reader::kind::request};
    const auto x = r.feed("GET / HTTP/1.1\r\nA: " + std::string(2 * head_limit, 'x') + "\r\n\r\n", 100);
    EXPECT_EQ(x.state, read_state::invalid);
    EXPECT_TRUE(r.reader.head_too_long());
}

/// @return request whose head has this size on the wire, in lines of 5 bytes and one that fills the rest.
std::string request_of_short_lines(std::size_t bytes) {
    std::string out = "GET / HTTP/1.1\r\n";
    while (out.size() + 12 < bytes) {
        out += "a:b\r\n";
    }
    return out + "c:" + std::string(bytes - out.size() - 6, 'd') + "\r\n\r\n";
}

// Failure: separators were not counted, so that a head of short lines passed with twice the limit. A caller
// that stays within the limit must not be refused.
TEST(message_reader, head_of_a_request_is_counted_as_it_is_on_the_wire) {
    for (const std::size_t size : {std::size_t{1}, std::size_t{100}, 2 * head_limit}) {
        reading legal{message_reader::kind::request};
        EXPECT_EQ(legal.feed(request_of_short_lines(head_limit), size).state, read_state::complete);
        reading longer{message_reader::kind::request};
        EXPECT_EQ(longer.feed(request_of_short_lines(head_limit + head_limit / 8), size).state,
                  read_state::invalid);
        EXPECT_TRUE(longer.reader.head_too_long());
        EXPECT_EQ(longer.reader.memory_bytes(), 0U);
    }
}

// Failure: an unfinished head of 16 KiB in lines of 4 bytes took 256 KiB.
TEST(message_reader, unfinished_head_takes_little_more_than_its_bytes) {
    reading r{message_reader::kind::request};
    auto text = request_of_short_lines(head_limit);
    text.resize(text.size() - 4);
    EXPECT_EQ(r.feed(text, 16).state, read_state::more);
    EXPECT_GT(r.reader.memory_bytes(), 0U);
    EXPECT_LT(r.reader.memory_bytes(), 6 * head_limit);
    EXPECT_EQ(r.feed("\r\n\r\n", 16).state, read_state::complete);
    EXPECT_EQ(r.reader.memory_bytes(), 0U);
}

// Failure: the fields of a trailer, which are passed on to nobody, were kept until the next request.
TEST(message_reader, trailer_of_a_request_may_be_as_long_as_its_head_and_is_not_kept) {
    const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    reading r{message_reader::kind::request};
    EXPECT_EQ(r.feed(head + "A: " + std::string(kib, 'x') + "\r\n", 100).state, read_state::more);
    EXPECT_EQ(r.reader.memory_bytes(), 0U);
    EXPECT_EQ(r.feed("\r\n", 100).state, read_state::complete);
}

TEST(message_reader, response_that_ends_with_its_connection) {
    reading r{message_reader::kind::response};
    EXPECT_EQ(r.feed("HTTP/1.1 200 OK\r\n\r\nabc", 5).state, read_state::more);
    EXPECT_FALSE(r.responses[0].keep_alive);
    EXPECT_EQ(r.reader.end_of_input(), read_state::complete);
    EXPECT_EQ(r.body, "abc");
}

// Guards against a truncated answer that looks whole.
TEST(message_reader, truncated_response_is_invalid) {
    for (const std::string text : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
                                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                                   "HTTP/1.1 200 OK\r\nContent-Le"}) {
        reading r{message_reader::kind::response};
        EXPECT_EQ(r.feed(text, 64).state, read_state::more);
        EXPECT_EQ(r.reader.end_of_input(), read_state::invalid) << text;
    }
}

TEST(message_reader, interim_responses_are_passed_over) {
    reading r{message_reader::kind::response};
    const auto x = r.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", 3);
    EXPECT_EQ(x.state, read_state::complete);
    ASSERT_EQ(r.responses.size(), 1U);
    EXPECT_EQ(r.responses[0].status, 200);
}

struct endless_framing {
    const char* name;
    std::string start;
    std::string piece;
    std::size_t limit;  ///< bytes of pieces after which the message is invalid at the latest
};

struct endless_framing_test : testing::TestWithParam<endless_framing> {};

// Failure: bytes that are no part of a response were read without end, or up to 80 KB in each chunk.
TEST_P(endless_framing_test, is_invalid_at_its_limit) {
    const auto& p = GetParam();
    for (const std::size_t size : {1, 7, 4096}) {
        reading r{message_reader::kind::response};
        ASSERT_EQ(r.feed(p.start, size).state, read_state::more);
        std::string text;
        while (text.size() < p.limit) {
            text += p.piece;
        }
        EXPECT_EQ(r.feed(text, size).state, read_state::invalid) << size;
    }
}

const std::string chunked_start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string short_extension = "1;" + std::string(200, 'x') + "\r\ny\r\n";

INSTANTIATE_TEST_SUITE_P(
    message_reader, endless_framing_test,
    testing::Values(endless_framing{"chunk_extension", chunked_start + "5;", "extension", 2 * kib},
                    endless_framing{"zeros_of_a_chunk_size", chunked_start, "0", 2 * kib},
                    endless_framing{"extensions_of_many_chunks", chunked_start, short_extension, 32 * kib},
                    endless_framing{"trailer_with_short_fields", chunked_start + "0\r\n", "A:\r\n", 10 * kib},
                    endless_framing{"name_of_a_trailer", chunked_start + "0\r\n", "a", 10 * kib},
                    endless_framing{"reason_phrase", "HTTP/1.1 200 ", "OK", 2 * kib},
                    endless_framing{"interim_responses", "", "HTTP/1.1 100 Continue\r\n\r\n", 20 * kib},
                    endless_framing{"interim_responses_with_large_heads", "",
                                    "HTTP/1.1 102 Processing\r\nA: " + std::string(900, 'x') + "\r\n\r\n",
                                    20 * kib}),
    [](const auto& x) { return x.param.name; });

// A sound server's framing must not be cut: an interim response each second for five minutes, a large body in
// chunks of one byte, extensions of the size of a signature, and a trailer.
TEST(message_reader, sound_framing_is_below_the_limits) {
    std::string small_chunks;
    for (int i = 0; i < 300; ++i) {
        small_chunks += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    small_chunks += chunked_start;
    for (int i = 0; i < 100'000; ++i) {
        small_chunks += "1\r\nx\r\n";
    }
    std::string signed_chunks = chunked_start;
    for (int i = 0; i < 10'000; ++i) {
        signed_chunks +=
            "14;chunk-signature=" + std::string(64, 'a') + "\r\n" + std::string(20, 'x') + "\r\n";
    }
    const std::string end = "0\r\nA: " + std::string(500, 'x') + "\r\n\r\n";
    for (auto* text : {&small_chunks, &signed_chunks}) {
        text->append(end);
        for (const std::size_t size : {1, 1460, 65536}) {
            reading r{message_reader::kind::response};
            EXPECT_EQ(r.feed(*text, size).state, read_state::complete) << size;
            EXPECT_GE(r.body.size(), 100'000U);
        }
    }
}

// Guards against a limit that depends on how the bytes were cut.
TEST(message_reader, limit_of_a_chunk_line_holds_for_pieces_of_any_size) {
    for (std::size_t length = 900; length < 1100; ++length) {
        const auto text = chunked_start + "1\r\nx\r\n1;" + std::string(length, 'e') + "\r\ny\r\n0\r\n\r\n";
        reading whole{message_reader::kind::response};
        reading pieces{message_reader::kind::response};
        EXPECT_EQ(whole.feed(text, text.size()).state, pieces.feed(text, 1).state) << length;
    }
}

// Failure: the limits of responses hold for callers, too.
TEST(message_reader, chunk_extension_of_a_request_is_bounded) {
    reading r{message_reader::kind::request};
    EXPECT_EQ(
        r.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(2000, 'x'), 100).state,
        read_state::invalid);
}

TEST(message_reader, answer_to_head_has_no_body) {
    reading r{message_reader::kind::response};
    r.reader.expect_no_body(true);
    const auto x = r.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", 64);
    EXPECT_EQ(x.state, read_state::complete);
}

TEST(message, fields_of_one_connection_are_dropped) {
    header_list h;
    h.add("Host", "h");
    h.add("Connection", "close, X-Private");
    h.add("X-Private", "1");
    h.add("Keep-Alive", "timeout=5");
    h.add("Transfer-Encoding", "chunked");
    h.add("Content-Length", "3");
    h.add("X-Public", "2");
    const auto out = end_to_end(h);
    ASSERT_EQ(out.fields().size(), 2U);
    EXPECT_EQ(out.fields()[0].name, "Host");
    EXPECT_EQ(out.fields()[1].name, "X-Public");
}

}  // namespace
}  // namespace chicorygap::http
