// Measures what front and backend add to a stream, against the engine called directly in the same run.
#include "process_status.h"
#include "stream_client.h"

#include <Poco/Exception.h>
#include <Poco/Runnable.h>
#include <Poco/Thread.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>

namespace {

using namespace chicorygap;
using request_path::stream_client;
using request_path::stream_times;

constexpr int stack_bytes = 128 * 1024;
constexpr int half_load_streams = 1000;
constexpr int full_load_streams = 2000;
constexpr int probe_threads = 100;
constexpr std::uint64_t probe_tokens = 10;
constexpr std::uint64_t endless_tokens = 1'000'000;
constexpr std::uint64_t full_load_tokens = 250;
constexpr std::chrono::seconds half_load_time{30};
/// Not recorded: connecting 1,000 streams at once disturbs both ways.
constexpr std::chrono::seconds settle_time{5};

struct ports {
    std::uint16_t engine = 0;
    std::uint16_t router = 0;
};

/// Function on a thread with a small stack.
class worker : public Poco::Runnable {
public:
    explicit worker(std::function<void()> f) : run_{std::move(f)} {
        thread_.setStackSize(stack_bytes);
        thread_.start(*this);
    }
    ~worker() override { thread_.join(); }
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;
    void run() override {
        try {
            run_();
        } catch (const Poco::Exception& e) {
            std::cerr << "stream failed: " << e.displayText() << "\n";
        }
    }

private:
    std::function<void()> run_;
    Poco::Thread thread_;
};

using workers = std::vector<std::unique_ptr<worker>>;

/// Samples of one way to reach the engine.
struct samples {
    std::mutex mutex;
    std::vector<double> first_token_ms;
    std::vector<double> gap_ms;
    std::uint64_t broken = 0;

    void add(const stream_times& t) {
        constexpr double ns_per_ms = 1e6;
        const std::scoped_lock lock{mutex};
        if (!t.whole) {
            ++broken;
            return;
        }
        first_token_ms.push_back(static_cast<double>(t.first_token.count()) / ns_per_ms);
        for (const auto g : t.gaps) {
            gap_ms.push_back(static_cast<double>(g.count()) / ns_per_ms);
        }
    }
};

double percentile(std::vector<double>& v, double p) {
    if (v.empty()) {
        return 0;
    }
    const auto n = static_cast<std::size_t>(p * static_cast<double>(v.size() - 1));
    std::nth_element(v.begin(), v.begin() + static_cast<std::ptrdiff_t>(n), v.end());
    return v[n];
}

void print_added(const char* name, std::vector<double>& direct, std::vector<double>& routed) {
    for (const double p : {0.5, 0.9, 0.99}) {
        const double d = percentile(direct, p);
        const double r = percentile(routed, p);
        std::printf("%-12s p%02.0f direct_ms=%.3f routed_ms=%.3f added_ms=%.3f ratio=%.4f\n", name, p * 100,
                    d, r, r - d, d > 0 ? r / d : 0);
    }
}

void print_process(const char* phase, const request_path::process_status& s, double cores) {
    std::printf("%-12s router resident_mb=%.1f peak_resident_mb=%.1f threads=%ld cores=%.2f\n", phase,
                s.resident_mb, s.peak_resident_mb, s.threads, cores);
}

/// Probes alternate between the engine and the router, so that both see the same machine.
void probe(const ports& p, const std::atomic<bool>& recording, const std::atomic<bool>& stop, samples& direct,
           samples& routed) {
    std::atomic<std::uint64_t> tokens{0};
    const std::atomic<bool> never{false};
    stream_client to_engine{p.engine};
    stream_client to_router{p.router};
    while (!stop) {
        const bool kept = recording;
        const auto d = to_engine.run(probe_tokens, never, tokens);
        const auto r = to_router.run(probe_tokens, never, tokens);
        if (kept) {
            direct.add(d);
            routed.add(r);
        }
    }
}

void measure_added_latency(const ports& p, int router_pid) {
    std::atomic<bool> recording{false};
    std::atomic<bool> stop{false};
    std::atomic<std::uint64_t> tokens{0};
    samples direct;
    samples routed;
    const auto before = request_path::read_process(router_pid);
    const auto started = base::boot_clock::now();
    {
        workers all;
        for (int i = 0; i < half_load_streams; ++i) {
            all.push_back(
                std::make_unique<worker>([&] { stream_client{p.router}.run(endless_tokens, stop, tokens); }));
        }
        for (int i = 0; i < probe_threads; ++i) {
            all.push_back(std::make_unique<worker>([&] { probe(p, recording, stop, direct, routed); }));
        }
        std::this_thread::sleep_for(settle_time);
        recording = true;
        std::this_thread::sleep_for(half_load_time);
        stop = true;
    }
    const std::chrono::duration<double> elapsed = base::boot_clock::now() - started;
    const auto after = request_path::read_process(router_pid);
    std::printf("half_load    streams=%d tokens_per_s=%.0f probes_direct=%zu probes_routed=%zu broken=%llu\n",
                half_load_streams, static_cast<double>(tokens) / elapsed.count(),
                direct.first_token_ms.size(), routed.first_token_ms.size(),
                static_cast<unsigned long long>(direct.broken) + routed.broken);
    print_added("first_token", direct.first_token_ms, routed.first_token_ms);
    print_added("token_gap", direct.gap_ms, routed.gap_ms);
    print_process("half_load", after, (after.cpu_seconds - before.cpu_seconds) / elapsed.count());
}

void measure_capacity(const ports& p, int router_pid) {
    const std::atomic<bool> never{false};
    std::atomic<std::uint64_t> tokens{0};
    samples routed;
    const auto before = request_path::read_process(router_pid);
    const auto started = base::boot_clock::now();
    request_path::process_status during;
    double rate = 0;
    {
        workers all;
        for (int i = 0; i < full_load_streams; ++i) {
            all.push_back(std::make_unique<worker>(
                [&] { routed.add(stream_client{p.router}.run(full_load_tokens, never, tokens)); }));
        }
        constexpr std::chrono::seconds window{10};
        std::this_thread::sleep_for(settle_time);
        const std::uint64_t first = tokens;
        std::this_thread::sleep_for(window);
        rate = static_cast<double>(tokens - first) / std::chrono::duration<double>(window).count();
        during = request_path::read_process(router_pid);
    }
    const std::chrono::duration<double> elapsed = base::boot_clock::now() - started;
    const auto after = request_path::read_process(router_pid);
    std::printf(
        "full_load    streams=%d whole=%zu broken=%llu tokens_per_s=%.0f gap_p50_ms=%.3f gap_p99_ms=%.3f\n",
        full_load_streams, routed.first_token_ms.size(), static_cast<unsigned long long>(routed.broken), rate,
        percentile(routed.gap_ms, 0.5), percentile(routed.gap_ms, 0.99));
    print_process("full_load", during, (after.cpu_seconds - before.cpu_seconds) / elapsed.count());
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 4) {
        std::cerr << "usage: request_path_benchmark ENGINE_PORT ROUTER_PORT ROUTER_PID\n";
        return 1;
    }
    const ports p{static_cast<std::uint16_t>(std::stoi(argv[1])),
                  static_cast<std::uint16_t>(std::stoi(argv[2]))};
    const int pid = std::stoi(argv[3]);
    measure_added_latency(p, pid);
    measure_capacity(p, pid);
    return 0;
}
