#include "options.h"

#include <array>
#include <getopt.h>
#include <iostream>
#include <sstream>
#include <string_view>

namespace chicorygap::load_client {

namespace {

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> out;
    std::istringstream in{text};
    for (std::string part; std::getline(in, part, ',');) {
        out.push_back(part);
    }
    return out;
}

constexpr const char* usage =
    "Usage: load_client --daemons A,B --backends A,B [--deployments booking,dispatch]\n"
    "  [--requests N] [--callers N] [--pause-ms N] [--seed N]\n"
    "  [--mix all|orders] [--seconds N (replaces --requests)]\n"
    "Sends a mix of requests, prints outcomes by class and checks the users' promises.\n"
    "Exit code 1 if a promise was broken.\n";

}  // namespace

std::optional<options> parse_options(int argc, char** argv) {
    const std::array<option, 10> known{{{"daemons", required_argument, nullptr, 'd'},
                                        {"backends", required_argument, nullptr, 'b'},
                                        {"deployments", required_argument, nullptr, 'p'},
                                        {"requests", required_argument, nullptr, 'n'},
                                        {"callers", required_argument, nullptr, 'c'},
                                        {"pause-ms", required_argument, nullptr, 'w'},
                                        {"seed", required_argument, nullptr, 's'},
                                        {"mix", required_argument, nullptr, 'm'},
                                        {"seconds", required_argument, nullptr, 't'},
                                        {nullptr, 0, nullptr, 0}}};
    options o;
    o.deployments = {"booking", "dispatch"};
    int c = 0;
    while ((c = getopt_long(argc, argv, "", known.data(), nullptr)) != -1) {
        switch (c) {
            case 'd':
                o.daemons = split(optarg);
                break;
            case 'b':
                o.backends = split(optarg);
                break;
            case 'p':
                o.deployments = split(optarg);
                break;
            case 'n':
                o.requests = std::stoi(optarg);
                break;
            case 'c':
                o.callers = std::stoi(optarg);
                break;
            case 'w':
                o.pause = std::chrono::milliseconds{std::stoi(optarg)};
                break;
            case 's':
                o.seed = std::stoull(optarg);
                break;
            case 'm':
                if (std::string_view{optarg} != "all" && std::string_view{optarg} != "orders") {
                    std::cerr << usage;
                    return std::nullopt;
                }
                o.orders_only = std::string_view{optarg} == "orders";
                break;
            case 't':
                o.length = std::chrono::seconds{std::stoi(optarg)};
                break;
            default:
                std::cerr << usage;
                return std::nullopt;
        }
    }
    if (o.daemons.empty() || o.deployments.empty()) {
        std::cerr << usage;
        return std::nullopt;
    }
    return o;
}

}  // namespace chicorygap::load_client
