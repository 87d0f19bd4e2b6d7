#include "fault_plan.h"
#include "net/loop.h"
#include "promises.h"
#include "site.h"
#include "traffic.h"

#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <getopt.h>
#include <iostream>
#include <random>
#include <string>

namespace {

using namespace chicorygap;
using namespace std::chrono_literals;

struct options {
    std::string program = "build/release/apps/daemon/chicorygapd";
    std::string folder = "build/soak";
    std::uint64_t seed = 1;
    std::chrono::seconds length = 20s;
    std::size_t daemons = 6;
    std::size_t servers = 8;
    std::size_t callers = 24;
    std::uint8_t subnet = 71;
};

/// Time for the daemons to start before the first request.
constexpr base::duration start_time = 1500ms;
/// Time after the last fault until the service must be whole again: leases, leaving servers, ejected servers.
constexpr base::duration recovery_time = 8s;
constexpr base::duration steady_time = 3s;
/// Share of the requests that are served when nothing is disturbed.
constexpr double steady_share = 0.95;

constexpr const char* usage =
    "Usage: soak [--seed N] [--seconds N] [--daemons N] [--servers N] [--callers N] [--subnet N]\n"
    "            [--program FILE] [--folder DIR]\n"
    "Runs daemons as processes against stand-ins, injects faults drawn from the seed, and checks the "
    "promises.\n"
    "Returns 1 if one was broken. Logs of the daemons stay in the folder.\n";

bool parse(int argc, char** argv, options& o) {
    const std::array<option, 9> known{{{"seed", required_argument, nullptr, 's'},
                                       {"seconds", required_argument, nullptr, 't'},
                                       {"daemons", required_argument, nullptr, 'd'},
                                       {"servers", required_argument, nullptr, 'v'},
                                       {"callers", required_argument, nullptr, 'c'},
                                       {"subnet", required_argument, nullptr, 'n'},
                                       {"program", required_argument, nullptr, 'p'},
                                       {"folder", required_argument, nullptr, 'f'},
                                       {nullptr, 0, nullptr, 0}}};
    int value = 0;
    while ((value = getopt_long(argc, argv, "", known.data(), nullptr)) != -1) {
        const std::string text = optarg == nullptr ? "" : optarg;
        switch (value) {
            case 's':
                o.seed = std::stoull(text);
                break;
            case 't':
                o.length = std::chrono::seconds{std::stoi(text)};
                break;
            case 'd':
                o.daemons = std::stoul(text);
                break;
            case 'v':
                o.servers = std::stoul(text);
                break;
            case 'c':
                o.callers = std::stoul(text);
                break;
            case 'n':
                o.subnet = static_cast<std::uint8_t>(std::stoul(text));
                break;
            case 'p':
                o.program = text;
                break;
            case 'f':
                o.folder = text;
                break;
            default:
                return false;
        }
    }
    return optind == argc;
}

void run_for(net::loop& l, base::duration d) {
    const auto end = base::boot_clock::now() + d;
    while (base::boot_clock::now() < end) {
        l.run_once(20ms);
    }
}

int run(const options& o) {
    std::filesystem::create_directories(o.folder);
    net::loop loop;
    std::mt19937_64 faults_generator{o.seed};
    std::mt19937_64 traffic_generator{o.seed + 1};
    soak::site site{loop,
                    {.program = o.program,
                     .folder = o.folder,
                     .daemons = o.daemons,
                     .servers = o.servers,
                     .subnet = o.subnet}};
    soak::promises promises{site.runs()};
    soak::traffic traffic{loop, site, promises, [&] { return traffic_generator(); }, o.callers};
    std::mt19937_64 signals_generator{o.seed + 2};
    std::mt19937_64 restores_generator{o.seed + 3};
    std::mt19937_64 ends_generator{o.seed + 4};
    soak::fault_plan faults{loop,
                            site,
                            promises,
                            [&] { return faults_generator(); },
                            [&] { return signals_generator(); },
                            [&] { return restores_generator(); },
                            [&] { return ends_generator(); }};
    run_for(loop, start_time);
    traffic.start();
    faults.start();
    run_for(loop, o.length);
    faults.stop();
    run_for(loop, recovery_time);
    traffic.take_share();
    run_for(loop, steady_time);
    const auto steady = traffic.take_share();
    traffic.stop();
    run_for(loop, 4s);
    if (static_cast<double>(steady.served) < steady_share * static_cast<double>(steady.sent)) {
        promises.report("after the last fault " + std::to_string(steady.served) + " of " +
                        std::to_string(steady.sent) + " requests were served");
    }
    if (!traffic.idle()) {
        promises.report("requests without an end");
    }
    promises.check_runs();
    std::cout << "seed " << o.seed << ": requests " << site.runs().request_count() << " run; outcomes";
    for (const auto& [status, n] : promises.outcomes()) {
        std::cout << ' ' << status << ':' << n;
    }
    std::cout << "; usage windows " << site.duties().reported_windows().size() << "; faults";
    for (const auto& [name, n] : faults.applied()) {
        std::cout << ' ' << name << ':' << n;
    }
    std::cout << '\n';
    auto broken = promises.broken();
    broken.insert(broken.end(), site.duties().violations().begin(), site.duties().violations().end());
    for (const auto& text : broken) {
        std::cout << "broken: " << text << '\n';
    }
    std::cout << (broken.empty() ? "ok" : "FAILED") << " seed " << o.seed << '\n';
    return broken.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    options o;
    if (!parse(argc, argv, o)) {
        std::cerr << usage;
        return 2;
    }
    try {
        return run(o);
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
        return 2;
    }
}
