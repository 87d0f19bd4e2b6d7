// Measures what the daemon of the users' platform adds to a stream, against the server called directly in the
// same run, and its memory and processor time with many open streams.
#include "net/loop.h"
#include "process_status.h"
#include "standin/caller.h"
#include "standin/cloud_api.h"
#include "standin/configuration.h"
#include "standin/daemon_process.h"
#include "standin/execution_log.h"
#include "standin/object_store.h"
#include "standin/server.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace chicorygap;
using namespace std::chrono_literals;

constexpr std::uint32_t server_slots = 4'500;
/// An event each 80 ms, as in benchmarks/request_path, so that 2,000 streams make 25,000 events a second.
constexpr base::duration event_pause = 80ms;
constexpr base::duration first_event = 5ms;
constexpr std::uint32_t events = 250;
constexpr int half_load_streams = 1'000;
constexpr int full_load_streams = 2'000;
constexpr int probes = 300;
constexpr base::duration settle_time = 4s;
constexpr base::duration window = 10s;

/// One daemon between callers and one server.
struct bench_site {
    net::loop loop;
    standin::object_store store{loop, {"127.0.0.1", 0}};
    standin::cloud_api duties{loop, {"127.0.0.1", 0}};
    standin::execution_log runs;
    standin::server server{loop,
                           {.id = "server-1",
                            .service = standin::assistant_service,
                            .zone = "a",
                            .slots = server_slots,
                            .processing_time = first_event,
                            .event_count = events,
                            .event_interval = event_pause},
                           store,
                           runs};
    standin::daemon_process daemon;
    std::uint64_t next_id = 0;

    explicit bench_site(const std::string& program)
        : daemon{{.program = program,
                  .directory = "build/bench",
                  .vm = "vm-1",
                  .zone = "a",
                  .host = "127.0.70.1",
                  .store = store.address(),
                  .cloud_api = duties.address(),
                  .memory_limit_mib = 512}} {
        standin::configuration c;
        c.api_keys["north"] = {"key"};
        c.slots = server_slots;
        c.request_timeout = 60s;
        store.put("config", "main", c.to_json());
        server.register_self(server.address());
        daemon.start();
        run_for(1500ms);
    }

    void run_for(base::duration d) {
        const auto end = base::boot_clock::now() + d;
        while (base::boot_clock::now() < end) {
            loop.run_once(5ms);
        }
    }

    standin::call_options request() {
        return {.id = "q" + std::to_string(++next_id),
                .host = standin::site_host,
                .path = std::string{standin::draft_path} + "x",
                .api_key = "key",
                .deadline = 59s,
                .prompt_tokens = 200,
                .prompt_prefix = 1};
    }
};

double to_ms(base::duration d) {
    return std::chrono::duration<double, std::milli>{d}.count();
}

double percentile(std::vector<double> v, double p) {
    std::sort(v.begin(), v.end());
    return v.empty() ? 0 : v[static_cast<std::size_t>(p * static_cast<double>(v.size() - 1))];
}

/// Time to the first event of short calls, one after the other.
std::vector<double> probe(bench_site& s, const net::address& to) {
    std::vector<double> out;
    for (int i = 0; i < probes; ++i) {
        const auto c = std::make_shared<standin::caller>(s.loop, to);
        bool seen = false;
        const auto began = base::boot_clock::now();
        c->send(s.request(), [](const standin::call_outcome&) {});
        while (!seen && base::boot_clock::now() - began < 2s) {
            s.loop.run_once(1ms);
            seen = c->body_started();
        }
        out.push_back(to_ms(base::boot_clock::now() - began));
        c->disconnect();
        s.run_for(3ms);
    }
    return out;
}

std::vector<std::shared_ptr<standin::caller>> open_streams(bench_site& s, int n, int& whole) {
    std::vector<std::shared_ptr<standin::caller>> out;
    for (int i = 0; i < n; ++i) {
        out.push_back(std::make_shared<standin::caller>(s.loop, s.daemon.caller_address()));
        out.back()->send(s.request(), [&whole](const standin::call_outcome& o) {
            whole += o.complete && o.status == 200;
        });
        if (i % 20 == 0) {
            s.run_for(5ms);
        }
    }
    return out;
}

void measure(bench_site& s, int streams) {
    int whole = 0;
    const auto open = open_streams(s, streams, whole);
    s.run_for(settle_time);
    const auto before = request_path::read_process(s.daemon.pid());
    const auto direct = streams == half_load_streams ? probe(s, s.server.address()) : std::vector<double>{};
    const auto routed =
        streams == half_load_streams ? probe(s, s.daemon.caller_address()) : std::vector<double>{};
    const auto began = base::boot_clock::now();
    s.run_for(window);
    const std::chrono::duration<double> measured = base::boot_clock::now() - began;
    const auto after = request_path::read_process(s.daemon.pid());
    const double rate = streams / std::chrono::duration<double>(event_pause).count();
    std::printf("streams=%d events_per_s=%.0f resident_mb=%.1f cores=%.3f us_per_event=%.2f\n", streams, rate,
                after.resident_mb, (after.cpu_seconds - before.cpu_seconds) / measured.count(),
                streams == half_load_streams
                    ? 0.0
                    : (after.cpu_seconds - before.cpu_seconds) / measured.count() / rate * 1e6);
    for (const double p : {0.5, 0.9, 0.99}) {
        if (!direct.empty()) {
            std::printf("first_event p%02.0f direct_ms=%.3f routed_ms=%.3f added_ms=%.3f\n", p * 100,
                        percentile(direct, p), percentile(routed, p),
                        percentile(routed, p) - percentile(direct, p));
        }
    }
    s.run_for(event_pause * static_cast<int>(events) - settle_time);
    std::printf("streams=%d whole=%d\n", streams, whole);
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "usage: edge_path_benchmark DAEMON_PROGRAM\n";
        return 1;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::filesystem::create_directories("build/bench");
    for (const int streams : {half_load_streams, full_load_streams}) {
        bench_site s{argv[1]};
        measure(s, streams);
    }
    return 0;
}
