#include "standin_platform/server.h"

#include <Poco/Exception.h>

#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <getopt.h>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using namespace chicorygap;

constexpr const char* usage_text =
    "Usage: standin_platform [options]\n"
    "Stand-in for the platform, for tests and demos.\n"
    "  --host IP                  address to listen on (127.0.0.1)\n"
    "  --port N                   port to listen on; 0 takes a free one (0)\n"
    "  --list-lag MS              age of the VM and server lists in milliseconds (0)\n"
    "  --ignore-fencing-tokens    accept orders with a stale fencing token\n"
    "  --vm ID,ZONE,ADDRESS       entry VM; may be repeated\n"
    "  --server ID,ZONE,SERVICE,KIND,ADDRESS,SLOTS[,reclaimable]\n"
    "                             backend server; may be repeated\n"
    "  --spare ...                as --server, listed only when ordered\n"
    "  --help                     print this text\n"
    "Prints 'listening PORT' when ready and runs until SIGTERM or SIGINT.\n";

enum option_id : int { host = 1, port, list_lag, ignore_tokens, vm, server, spare, help };

struct configuration {
    standin_platform::options options;
    std::vector<ports::vm> vms;
    std::vector<ports::backend_server> servers;
    std::vector<ports::backend_server> spares;
    bool help = false;
};

template <typename T>
T number(const std::string& text) {
    T n{};
    const auto* const end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc{} || rest != end) {
        throw std::invalid_argument("not a number in range: " + text);
    }
    return n;
}

std::vector<std::string> fields(const std::string& text) {
    std::vector<std::string> out;
    std::size_t start = 0;
    while (start <= text.size()) {
        const auto end = std::min(text.find(',', start), text.size());
        out.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return out;
}

ports::vm parse_vm(const std::string& text) {
    const auto f = fields(text);
    if (f.size() != 3) {
        throw std::invalid_argument("--vm needs ID,ZONE,ADDRESS");
    }
    return {base::vm_id{f[0]}, base::zone_id{f[1]}, f[2], ports::vm_state::live};
}

ports::backend_server parse_server(const std::string& text) {
    const auto f = fields(text);
    const bool reclaimable = f.size() == 7 && f[6] == "reclaimable";
    if (f.size() != 6 && !reclaimable) {
        throw std::invalid_argument("--server needs ID,ZONE,SERVICE,KIND,ADDRESS,SLOTS[,reclaimable]");
    }
    return {
        base::backend_server_id{f[0]}, base::zone_id{f[1]},  base::service_id{f[2]}, f[3], f[4], reclaimable,
        number<std::uint32_t>(f[5]),   ports::vm_state::live};
}

configuration parse_arguments(int argc, char** argv) {
    static const option known[] = {
        {"host", required_argument, nullptr, option_id::host},
        {"port", required_argument, nullptr, option_id::port},
        {"list-lag", required_argument, nullptr, option_id::list_lag},
        {"ignore-fencing-tokens", no_argument, nullptr, option_id::ignore_tokens},
        {"vm", required_argument, nullptr, option_id::vm},
        {"server", required_argument, nullptr, option_id::server},
        {"spare", required_argument, nullptr, option_id::spare},
        {"help", no_argument, nullptr, option_id::help},
        {nullptr, 0, nullptr, 0},
    };
    configuration c;
    int id = 0;
    while ((id = getopt_long(argc, argv, "", known, nullptr)) != -1) {
        switch (id) {
            case option_id::host:
                c.options.host = optarg;
                break;
            case option_id::port:
                c.options.port = number<std::uint16_t>(optarg);
                break;
            case option_id::list_lag:
                c.options.list_lag = std::chrono::milliseconds{number<std::uint32_t>(optarg)};
                break;
            case option_id::ignore_tokens:
                c.options.ignore_fencing_tokens = true;
                break;
            case option_id::vm:
                c.vms.push_back(parse_vm(optarg));
                break;
            case option_id::server:
                c.servers.push_back(parse_server(optarg));
                break;
            case option_id::spare:
                c.spares.push_back(parse_server(optarg));
                break;
            case option_id::help:
                c.help = true;
                break;
            default:
                throw std::invalid_argument("see --help");
        }
    }
    return c;
}

void run(const configuration& c) {
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Blocked before the server starts its threads, so that only sigwait receives them.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    standin_platform::server s{c.options};
    for (const auto& it : c.vms) {
        s.fleet().set(it);
    }
    for (const auto& it : c.servers) {
        s.fleet().set(it);
    }
    for (const auto& it : c.spares) {
        s.fleet().add_spare(it);
    }
    std::cout << "listening " << s.port() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
}

}  // namespace

int main(int argc, char** argv) {
    try {
        const auto c = parse_arguments(argc, argv);
        if (c.help) {
            std::cout << usage_text;
            return 0;
        }
        run(c);
        return 0;
    } catch (const std::invalid_argument& e) {
        std::cerr << "standin_platform: " << e.what() << '\n';
        return 2;
    } catch (const Poco::Exception& e) {
        std::cerr << "standin_platform: " << e.displayText() << '\n';
        return 1;
    }
}
