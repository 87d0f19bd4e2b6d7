// Memory that many requests hold at once, with servers that answer without end.
#include "router_fixture.h"

#include <algorithm>
#include <malloc.h>

namespace chicorygap::proxy {
namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
constexpr int caller_count = 128;
/// Above the account's limit: the test's own callers and servers, and the overhead of the allocator.
constexpr std::size_t max_allocated_bytes = std::size_t{56} * mebibyte;

std::size_t allocated_bytes() {
    const auto m = ::mallinfo2();
    return m.uordblks + m.hblkhd;
}

struct memory_limits_test : request_router_test {
    std::size_t baseline = 0;
    std::size_t most = 0;
    std::vector<std::shared_ptr<net::stream>> callers;

    memory_limits_test() { server_slots = 1000; }

    void observe() { most = std::max(most, allocated_bytes() - std::min(baseline, allocated_bytes())); }

    /// Writes `block` as fast as the other side takes it until the connection is closed.
    void write_without_end(const connection& c, const std::shared_ptr<const std::string>& block) {
        for (int i = 0; i < 4 && c->open() && c->buffered() == 0; ++i) {
            c->write(*block);
        }
        if (c->open()) {
            loop.after(1ms, [this, c, block] { write_without_end(c, block); });
        }
    }

    /// A caller that keeps nothing of what it receives.
    /// @param slow it reads nothing.
    void add_caller(const std::string& path, int id, bool slow) {
        const auto c = net::stream::connect(loop, listener.local(), 1s, {});
        c->write("POST " + path + " HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: " + std::to_string(id) +
                 "\r\nContent-Length: 0\r\n\r\n");
        c->pause_reading(slow);
        callers.push_back(c);
    }

    /// Runs the loop for a time and observes the memory.
    void run_for(base::duration d) {
        const auto end = base::boot_clock::now() + d;
        while (base::boot_clock::now() < end) {
            loop.run_once(5ms);
            observe();
        }
    }
};

std::string id_of(const std::string& request) {
    const auto at = request.find("\r\nId: ") + 6;
    return request.substr(at, request.find("\r\n", at) - at);
}

struct endless_response {
    const char* name;
    const char* path;
    bool slow_callers;
    std::string head;  ///< after the status line and the id
    std::string piece;
    int status = 200;
};

struct endless_responses_test : memory_limits_test, testing::WithParamInterface<endless_response> {};

// Failure: many servers answer without end at once. Guards against a sum of buffers that exceeds the memory
// of the process although each of them is bounded.
TEST_P(endless_responses_test, many_at_once_stay_within_the_memory_limit) {
    load_catalog();
    auto block = std::make_shared<std::string>();
    while (block->size() < std::size_t{16} * 1024) {
        *block += GetParam().piece;
    }
    add_server([&](const connection& c, const std::string& r) {
        c->write("HTTP/1.1 " + std::to_string(GetParam().status) + " X\r\nId: " + id_of(r) + "\r\n" +
                 GetParam().head);
        write_without_end(c, block);
    });
    add_server([](const connection& c, const std::string& r) { c->write(make_response(id_of(r), "sound")); },
               "other");
    baseline = allocated_bytes();
    for (int i = 0; i < caller_count; ++i) {
        add_caller(GetParam().path, i, GetParam().slow_callers);
    }
    run_for(500ms);
    const auto sound = send_request("/other/", "beside");
    // The callers and servers of the load share this thread, so that the time tells only that it is answered.
    EXPECT_TRUE(run_until([&] {
        observe();
        return contains(sound->received, "\r\n\r\nsound");
    })) << "a sound request beside the load was not answered";
    EXPECT_LT(most, max_allocated_bytes);
    EXPECT_LE(account.peak(), memory_limit_bytes + memory_limit_bytes / 4);
    RecordProperty("most_mib", static_cast<int>(most / mebibyte));
    RecordProperty("account_peak_mib", static_cast<int>(account.peak() / mebibyte));
    for (const auto& c : callers) {
        c->close();
    }
}

// Failure: heads of responses that are never completed were on the account, but no attempt was ended for
// them.
TEST_F(memory_limits_test, attempts_with_unfinished_heads_end_when_the_limit_is_exceeded) {
    load_catalog();
    add_server([](const connection& c, const std::string&) {
        c->write("HTTP/1.1 200 OK\r\nA: " + std::string(30'000, 'x'));
    });
    account.set_change_hook([this](memory::pressure, memory::pressure to) {
        if (to == memory::pressure::exceeded) {
            router.check_memory();
        }
    });
    memory::charge others{&account, memory::owner::response};
    others.set(memory_limit_bytes - mebibyte / 4);
    for (int i = 0; i < 16; ++i) {
        add_caller("/order/", i, false);
    }
    ASSERT_TRUE(run_until([&] { return !records.empty(); }));
    EXPECT_EQ(records[0].failure_cause, "memory_limit");
    account.set_change_hook(nullptr);
    for (const auto& c : callers) {
        c->close();
    }
}

std::vector<endless_response> endless_responses() {
    const std::string text(1000, 'x');
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string stream = "Content-Type: text/event-stream\r\n";
    std::vector<endless_response> out;
    for (const char* path : {"/read/", "/order/", "/draft/", "/talk/"}) {
        out.push_back({"length", path, false, "Content-Length: 9999999999\r\n\r\n", text});
        out.push_back({"chunks", path, false, chunked, chunk(text)});
        out.push_back({"unframed", path, false, "\r\n", text});
        out.push_back({"error_unframed", path, false, "\r\n", text, 500});
        out.push_back({"error_length", path, false, "Content-Length: 9999999999\r\n\r\n", text, 500});
        out.push_back({"fields", path, false, "", "A: b\r\n"});
        out.push_back({"field_value", path, false, "A: ", text});
    }
    for (const char* path : {"/draft/", "/talk/"}) {
        out.push_back({"event_without_end", path, false, stream + "\r\n", "data: " + text + "\n"});
        out.push_back({"comments", path, false, stream + "\r\n", ": " + text + "\n\n"});
        out.push_back(
            {"events_to_slow_callers", path, true, stream + chunked, chunk("id: 1\ndata: " + text + "\n\n")});
    }
    for (const char* path : {"/read/", "/order/"}) {
        out.push_back({"length_to_slow_callers", path, true, "Content-Length: 9999999999\r\n\r\n", text});
        out.push_back({"unframed_to_slow_callers", path, true, "\r\n", text});
    }
    return out;
}

INSTANTIATE_TEST_SUITE_P(server, endless_responses_test, testing::ValuesIn(endless_responses()),
                         [](const auto& x) {
                             std::string route{x.param.path};
                             std::erase(route, '/');
                             return route + "_" + x.param.name;
                         });

}  // namespace
}  // namespace chicorygap::proxy
