// Servers that send bytes in a stream which are not the event that is due.
#include "../src/event_splitter.h"
#include "router_fixture.h"

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace chicorygap::proxy {
namespace {

constexpr int event_count = 9;

enum class framing { chunked, connection_end };

/// Bytes that a server sends once behind some event.
struct spoiled_bytes {
    const char* name;
    const char* text;
};

std::string numbered_event(int id) {
    return "id: " + std::to_string(id) + "\ndata: token-" + std::to_string(id) + ";\n\n";
}

std::string head_of(framing f, const std::string& id) {
    return f == framing::chunked
               ? stream_head(id)
               : "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Type: text/event-stream\r\n\r\n";
}

std::string framed(framing f, const std::string& text) {
    return f == framing::chunked ? chunk(text) : text;
}

/// @return the number behind which the request wants to go on; 0 for a new stream.
int resume_position(const std::string& request) {
    const auto at = request.find("\r\nLast: ");
    return at == std::string::npos ? 0 : std::stoi(request.substr(at + 8));
}

std::string all_events() {
    std::string out;
    for (int i = 1; i <= event_count; ++i) {
        out += "token-" + std::to_string(i) + ";";
    }
    return out;
}

/// @return the data of all events that the caller has received, in their order.
std::string received_data(const std::string& received) {
    std::string out;
    for (auto at = received.find("data: "); at != std::string::npos; at = received.find("data: ", at + 1)) {
        out += received.substr(at + 6, received.find('\n', at) - at - 6);
    }
    return out;
}

struct spoiled_stream : request_router_test,
                        testing::WithParamInterface<std::tuple<framing, spoiled_bytes, int>> {
    void SetUp() override { load_catalog(); }

    /// Adds two servers, of which only the first that gets a request spoils its stream.
    void add_servers() {
        const auto [f, spoiled, place] = GetParam();
        const auto serve = [this, f = f, text = std::string{spoiled.text}, place = place](
                               const connection& c, const std::string& request) {
            const int last = resume_position(request);
            positions.push_back(last);
            if (last == event_count) {
                c->write(stream_head("1") + "0\r\n\r\n");  // nothing is left, and only framing shows that
                return;
            }
            std::string out = head_of(f, "1");
            const bool spoil = positions.size() == 1;
            for (int i = last; i <= event_count; ++i) {
                if (i > last) {
                    out += framed(f, numbered_event(i));
                }
                if (spoil && i == place) {
                    out += framed(f, text);
                }
            }
            c->write(out + (f == framing::chunked ? "0\r\n\r\n" : ""));
            if (f == framing::connection_end) {
                c->close_when_drained();
            }
        };
        add_server(serve);
        add_server(serve);
    }

    std::vector<int> positions;  ///< of the attempts
};

// Failure: a server sends bytes in a stream that are no event, or another one than the one that is due, and
// the caller gets them in an answer that looks complete.
TEST_P(spoiled_stream, goes_on_elsewhere_behind_the_last_sound_event) {
    add_servers();
    const int place = std::get<int>(GetParam());
    const auto c = send_request("/talk/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_EQ(received_data(c->received), all_events());
    EXPECT_EQ(records[0].status, 200);
    EXPECT_TRUE(contains(c->received, "\r\n0\r\n\r\n"));
    EXPECT_FALSE(contains(c->received, "garbage"));
    EXPECT_FALSE(contains(c->received, "HTTP/1.1 200 Second"));
    EXPECT_EQ(positions, (std::vector{0, place}));
}

TEST_P(spoiled_stream, that_cannot_be_resumed_is_visibly_incomplete) {
    add_servers();
    const int place = std::get<int>(GetParam());
    const auto c = send_request("/draft/", "1");
    ASSERT_TRUE(wait_for_records());
    ASSERT_TRUE(run_until([&] { return place == 0 || c->closed; }));
    EXPECT_EQ(received_data(c->received), all_events().substr(0, static_cast<std::size_t>(place) * 8));
    EXPECT_FALSE(contains(c->received, "garbage"));
    EXPECT_FALSE(contains(c->received, "HTTP/1.1 200 Second"));
    EXPECT_FALSE(contains(c->received, "\r\n0\r\n\r\n"));
    EXPECT_TRUE(place > 0 || contains(c->received, "502"));
    EXPECT_EQ(positions.size(), 1U);
    EXPECT_EQ(records[0].run_state, place > 0 ? base::run_state::run : base::run_state::unknown);
}

std::string parameter_name(const testing::TestParamInfo<std::tuple<framing, spoiled_bytes, int>>& info) {
    const auto& [f, spoiled, place] = info.param;
    return std::string{f == framing::chunked ? "chunked_" : "unframed_"} + spoiled.name + "_behind_" +
           std::to_string(place);
}

constexpr spoiled_bytes shapes[] = {
    {"garbage", "garbage\n\n"},
    {"event_without_id", "data: garbage\n\n"},
    {"event_without_data", "id: 5\n\n"},
    {"event_before_the_first", "id: 0\ndata: garbage\n\n"},
    {"later_event", "id: 77\ndata: garbage\n\n"},
    {"id_that_is_no_number", "id: garbage\ndata: garbage\n\n"},
    {"empty_id", "id:\ndata: garbage\n\n"},
    {"joined_to_the_next_event", "garbage\n"},
    {"joined_to_the_next_line", "garbage"},
    {"second_response", "HTTP/1.1 200 Second\r\nId: 1\r\nContent-Length: 7\r\n\r\ngarbage\n\n"},
};

INSTANTIATE_TEST_SUITE_P(server, spoiled_stream,
                         testing::Combine(testing::Values(framing::chunked, framing::connection_end),
                                          testing::ValuesIn(shapes), testing::Values(0, 2, event_count)),
                         parameter_name);

// Behind no event, the first of these would be the event that is due.
INSTANTIATE_TEST_SUITE_P(
    repeated, spoiled_stream,
    testing::Combine(testing::Values(framing::chunked, framing::connection_end),
                     testing::Values(spoiled_bytes{"first_event", "id: 1\ndata: garbage\n\n"},
                                     spoiled_bytes{"second_event", "id: 2\ndata: garbage\n\n"}),
                     testing::Values(2, event_count)),
    parameter_name);

struct spoiled_end : request_router_test, testing::WithParamInterface<framing> {
    void SetUp() override { load_catalog(); }
};

// Failure: the second server, at which a stream goes on, spoils the rest.
TEST_P(spoiled_end, second_server_that_spoils_the_rest_is_not_believed) {
    for (const std::string rest : {"garbage\n\n", "id: 2\ndata: garbage\n\n", "id: 9\ndata: garbage\n\n"}) {
        remove_servers();
        int attempts = 0;
        const auto serve = [&, f = GetParam()](const connection& c, const std::string&) {
            if (++attempts == 1) {
                c->write(stream_head("1") + chunk(numbered_event(1) + numbered_event(2)));
                loop.after(10ms, [c] { c->close(); });
                return;
            }
            c->write(head_of(f, "1") + framed(f, numbered_event(3) + rest + numbered_event(4)) +
                     (f == framing::chunked ? "0\r\n\r\n" : ""));
            c->close_when_drained();
        };
        add_server(serve);
        add_server(serve);
        const auto before = records.size();
        const auto c = send_request("/talk/", "1");
        ASSERT_TRUE(wait_for_records(before + 1));
        ASSERT_TRUE(run_until([&] { return c->closed; }));
        EXPECT_EQ(received_data(c->received), "token-1;token-2;token-3;") << rest;
        EXPECT_FALSE(contains(c->received, "garbage")) << rest;
        EXPECT_FALSE(contains(c->received, "\r\n0\r\n\r\n")) << rest;
        EXPECT_EQ(records.back().status, 0) << rest;
    }
}

// Failure: a server that shall go on with a stream sends nothing of it and closes, or only a comment; the
// caller gets an answer without the rest that looks complete.
TEST_P(spoiled_end, second_server_without_an_event_proves_no_end) {
    for (const std::string rest : {"", ": wait\n\n"}) {
        remove_servers();
        int attempts = 0;
        const auto serve = [&, f = GetParam()](const connection& c, const std::string&) {
            if (++attempts == 1) {
                c->write(stream_head("1") + chunk(numbered_event(1)));
                loop.after(10ms, [c] { c->close(); });
                return;
            }
            c->write(head_of(f, "1") + (rest.empty() ? rest : framed(f, rest)));
            c->close_when_drained();
        };
        add_server(serve);
        add_server(serve);
        const auto before = records.size();
        const auto c = send_request("/talk/", "1");
        ASSERT_TRUE(wait_for_records(before + 1));
        ASSERT_TRUE(run_until([&] { return c->closed; }));
        EXPECT_FALSE(contains(c->received, "\r\n0\r\n\r\n")) << rest;
        EXPECT_EQ(attempts, 2);
    }
}

struct whole_stream : request_router_test {
    void SetUp() override { load_catalog(); }
};

// Guards against a stream that is broken off although only its end was missing.
TEST_F(whole_stream, is_complete_when_the_next_server_has_nothing_left_to_send) {
    int attempts = 0;
    const auto serve = [&](const connection& c, const std::string&) {
        if (++attempts == 1) {
            c->write(stream_head("1") + chunk(numbered_event(1)));
            loop.after(10ms, [c] { c->close(); });
            return;
        }
        c->write(stream_head("1") + "0\r\n\r\n");
    };
    add_server(serve);
    add_server(serve);
    const auto c = send_request("/talk/", "1");
    ASSERT_TRUE(wait_for_records());
    EXPECT_TRUE(contains(c->received, "\r\n0\r\n\r\n"));
    EXPECT_EQ(records[0].status, 200);
}

// Guards against a stream that its caller resumes and that is cut at its first event.
TEST_F(whole_stream, that_its_caller_resumes_goes_on_behind_the_event_that_it_names) {
    add_server([](const connection& c, const std::string& request) {
        const int last = resume_position(request);
        c->write(stream_head("1") + chunk(numbered_event(last + 1) + numbered_event(last + 2)) + "0\r\n\r\n");
    });
    const auto c = send_request("/talk/", "1\r\nLast: 7");
    ASSERT_TRUE(wait_for_records());
    EXPECT_EQ(received_data(c->received), "token-8;token-9;");
    EXPECT_TRUE(contains(c->received, "\r\n0\r\n\r\n"));
}

// Failure: the text behind the last event holds line ends that only some readers take for such, and an event
// between them.
TEST_F(whole_stream, comments_behind_the_last_event_hold_no_event_for_any_reader) {
    add_server([](const connection& c, const std::string&) {
        c->write(stream_head("1") + chunk(numbered_event(1)) + chunk(": x\r\rid: 77\rdata: garbage\r\r\n\n") +
                 "0\r\n\r\n");
    });
    const auto c = send_request("/draft/", "1");
    ASSERT_TRUE(wait_for_records());
    ASSERT_TRUE(run_until([&] { return c->closed; }));
    EXPECT_FALSE(contains(c->received, "garbage"));
    EXPECT_FALSE(contains(c->received, "\r\n0\r\n\r\n"));
}

// Failure: as above in pieces of any size, so that a fault lies across reads.
TEST_F(whole_stream, fault_is_found_however_the_bytes_are_cut) {
    const std::string text = numbered_event(1) + numbered_event(2) + "garbage\n\n" + numbered_event(3);
    for (std::size_t size = 1; size < text.size(); size += 3) {
        event_splitter s{check_test_event};
        std::string out;
        for (std::size_t at = 0; at < text.size(); at += size) {
            out += s.feed(std::string_view{text}.substr(at, size));
        }
        EXPECT_EQ(out, numbered_event(1) + numbered_event(2)) << size;
        EXPECT_EQ(s.fault(), event_fault::unknown_field) << size;
        EXPECT_EQ(s.last_id(), "2") << size;
    }
}

struct old_caller : request_router_test {};

// Failure: a caller that cannot read chunks sees the end of a spoiled stream as an orderly one.
TEST_F(old_caller, sees_that_a_spoiled_stream_is_not_complete) {
    load_catalog();
    add_server([](const connection& c, const std::string&) {
        c->write(stream_head("1") + chunk(numbered_event(1)) + chunk("garbage\n\n"));
    });
    std::string received;
    std::optional<net::stream_end> end;
    const auto caller = net::stream::connect(loop, listener.local(), 1s,
                                             {.connected = nullptr,
                                              .received = [&](std::string_view b) { received.append(b); },
                                              .drained = nullptr,
                                              .ended = [&](net::stream_end how) { end = how; }});
    caller->write("POST /draft/ HTTP/1.0\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(run_until([&] { return end.has_value(); }));
    EXPECT_EQ(end, net::stream_end::reset) << received;
}

// Failure: as above, where the caller's own input ends the connection.
TEST_F(old_caller, sees_that_a_stream_behind_too_much_input_is_not_complete) {
    load_catalog();
    add_server([](const connection& c, const std::string&) {
        c->write(stream_head("1") + chunk(numbered_event(1)));
    });
    std::string received;
    std::optional<net::stream_end> end;
    const auto caller = net::stream::connect(loop, listener.local(), 1s,
                                             {.connected = nullptr,
                                              .received = [&](std::string_view b) { received.append(b); },
                                              .drained = nullptr,
                                              .ended = [&](net::stream_end how) { end = how; }});
    caller->write("POST /draft/ HTTP/1.0\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(run_until([&] { return contains(received, "token-1;"); }));
    caller->write(std::string(std::size_t{5} * 1024 * 1024, 'x'));
    ASSERT_TRUE(run_until([&] { return end.has_value(); }));
    EXPECT_EQ(end, net::stream_end::reset);
}

INSTANTIATE_TEST_SUITE_P(server, spoiled_end, testing::Values(framing::chunked, framing::connection_end),
                         [](const auto& x) {
                             return std::string{x.param == framing::chunked ? "chunked" : "unframed"};
                         });

}  // namespace
}  // namespace chicorygap::proxy
