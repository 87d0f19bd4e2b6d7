#include "base/error.h"
#include "standin_backend/server.h"

#include <charconv>
#include <chrono>
#include <csignal>
#include <getopt.h>
#include <iostream>
#include <string>

namespace {

using chicorygap::base::error;
using chicorygap::base::result_code;

constexpr int port_option = 256;

enum class argument {
    port = port_option,
    host,
    threads,
    model,
    slots,
    queue,
    first_token_us,
    prefill_us,
    token_us,
    load_percent,
    default_tokens,
    prefixes,
    event_gap,
    report_lag_ms,
    ignore_fencing,
    plain_ms,
    help
};

constexpr const char* usage =
    "standin_backend [--host IP] [--port N] [--threads N] [--model NAME] [--slots N] [--queue N]\n"
    "  [--first-token-us N] [--prefill-us N] [--token-us N] [--load-percent N] [--default-tokens N]\n"
    "  [--prefixes N] [--event-gap N] [--report-lag-ms N] [--ignore-fencing] [--plain-ms N]\n"
    "Stand-in backend server for tests. Prints its port on the first line.\n";

long number(const char* text) {
    const std::string value{text};
    long n = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), n);
    if (ec != std::errc{} || end != value.data() + value.size() || n < 0) {
        throw error{result_code::settings_invalid, "not a number: " + value};
    }
    return n;
}

option entry(const char* name, argument a, int has_argument = required_argument) {
    return {name, has_argument, nullptr, static_cast<int>(a)};
}

void set(chicorygap::standin_backend::options& o, argument a) {
    using std::chrono::microseconds;
    using std::chrono::milliseconds;
    constexpr double percent = 100;
    switch (a) {
        case argument::port:
            o.port = static_cast<std::uint16_t>(number(optarg));
            break;
        case argument::host:
            o.host = optarg;
            break;
        case argument::threads:
            o.threads = static_cast<int>(number(optarg));
            break;
        case argument::model:
            o.model = optarg;
            break;
        case argument::slots:
            o.slots = static_cast<std::size_t>(number(optarg));
            break;
        case argument::queue:
            o.queue = static_cast<std::size_t>(number(optarg));
            break;
        case argument::first_token_us:
            o.first_token = microseconds{number(optarg)};
            break;
        case argument::prefill_us:
            o.prefill_per_token = microseconds{number(optarg)};
            break;
        case argument::token_us:
            o.token_time = microseconds{number(optarg)};
            break;
        case argument::load_percent:
            o.load_factor = static_cast<double>(number(optarg)) / percent;
            break;
        case argument::default_tokens:
            o.default_tokens = static_cast<std::uint64_t>(number(optarg));
            break;
        case argument::prefixes:
            o.cached_prefixes = static_cast<std::size_t>(number(optarg));
            break;
        case argument::event_gap:
            o.cache_event_gap = static_cast<std::uint64_t>(number(optarg));
            break;
        case argument::report_lag_ms:
            o.report_lag = milliseconds{number(optarg)};
            break;
        case argument::ignore_fencing:
            o.check_fencing = false;
            break;
        case argument::plain_ms:
            o.plain_time = milliseconds{number(optarg)};
            break;
        case argument::help:
            throw error{result_code::settings_invalid, usage};
    }
}

chicorygap::standin_backend::options parse(int argc, char** argv) {
    const option table[] = {
        entry("port", argument::port),
        entry("host", argument::host),
        entry("threads", argument::threads),
        entry("model", argument::model),
        entry("slots", argument::slots),
        entry("queue", argument::queue),
        entry("first-token-us", argument::first_token_us),
        entry("prefill-us", argument::prefill_us),
        entry("token-us", argument::token_us),
        entry("load-percent", argument::load_percent),
        entry("default-tokens", argument::default_tokens),
        entry("prefixes", argument::prefixes),
        entry("event-gap", argument::event_gap),
        entry("report-lag-ms", argument::report_lag_ms),
        entry("ignore-fencing", argument::ignore_fencing, no_argument),
        entry("plain-ms", argument::plain_ms),
        entry("help", argument::help, no_argument),
        {nullptr, 0, nullptr, 0},
    };
    chicorygap::standin_backend::options o;
    for (int c = getopt_long(argc, argv, "", table, nullptr); c != -1;
         c = getopt_long(argc, argv, "", table, nullptr)) {
        if (c < port_option) {
            throw error{result_code::settings_invalid, usage};
        }
        set(o, static_cast<argument>(c));
    }
    return o;
}

}  // namespace

int main(int argc, char** argv) {
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const chicorygap::standin_backend::server server{parse(argc, argv)};
        std::cout << server.port() << std::endl;
        int received = 0;
        sigwait(&signals, &received);
        return 0;
    } catch (const std::exception& e) {
        std::cerr << e.what() << "\n";
        return 1;
    }
}
