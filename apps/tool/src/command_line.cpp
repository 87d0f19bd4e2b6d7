#include "command_line.h"

#include "document/section_reader.h"

#include <charconv>
#include <getopt.h>
#include <utility>

namespace chicorygap::tool {

namespace {

enum option_id : int {
    platform = 1,
    daemon,
    timeout,
    base_version,
    json,
    daemon_settings,
    against,
    memory_mib,
    help
};

net::address parse_address(const std::string& name, const std::string& text) {
    const auto a = net::parse_address(text);
    if (!a) {
        throw usage_error("--" + name + " requires an IP address and port, for example 127.0.0.1:9100");
    }
    return *a;
}

base::duration parse_timeout(const std::string& text) {
    const auto d = document::parse_duration(text);
    if (!d || *d <= base::duration::zero()) {
        throw usage_error("--timeout requires a positive duration, for example 500ms or 5s");
    }
    return *d;
}

std::uint64_t parse_number(const std::string& name, const std::string& text) {
    std::uint64_t n = 0;
    const auto* const end = text.data() + text.size();
    const auto [parsed_end, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc{} || parsed_end != end) {
        throw usage_error("--" + name + " requires a whole number");
    }
    return n;
}

void set_option(command_line& c, int id) {
    switch (id) {
        case option_id::platform:
            c.platform = parse_address("platform", optarg);
            break;
        case option_id::daemon:
            c.daemon = parse_address("daemon", optarg);
            break;
        case option_id::timeout:
            c.timeout = parse_timeout(optarg);
            break;
        case option_id::base_version:
            c.base_version = parse_number("base", optarg);
            break;
        case option_id::json:
            c.json = true;
            break;
        case option_id::daemon_settings:
            c.daemon_settings = true;
            break;
        case option_id::against:
            c.against = optarg;
            break;
        case option_id::memory_mib:
            c.memory_mib = parse_number("memory", optarg);
            break;
        case option_id::help:
            c.help = true;
            break;
        default:
            throw usage_error("unknown option, missing option value, or value for an option that takes none");
    }
}

}  // namespace

command_line parse_command_line(const std::vector<std::string>& arguments) {
    static const option long_options[] = {
        {"platform", required_argument, nullptr, option_id::platform},
        {"daemon", required_argument, nullptr, option_id::daemon},
        {"timeout", required_argument, nullptr, option_id::timeout},
        {"base", required_argument, nullptr, option_id::base_version},
        {"json", no_argument, nullptr, option_id::json},
        {"settings", no_argument, nullptr, option_id::daemon_settings},
        {"against", required_argument, nullptr, option_id::against},
        {"memory", required_argument, nullptr, option_id::memory_mib},
        {"help", no_argument, nullptr, option_id::help},
        {nullptr, 0, nullptr, 0},
    };
    std::string program = "chicorygap";
    auto argument_copies = arguments;
    std::vector<char*> argv{program.data()};
    for (auto& argument : argument_copies) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const int argc = static_cast<int>(argv.size()) - 1;
    command_line c;
    optind = 0;  // glibc reinitializes getopt_long when optind is 0
    opterr = 0;
    int id = 0;
    while ((id = getopt_long(argc, argv.data(), "", long_options, nullptr)) != -1) {
        set_option(c, id);
    }
    c.operands.assign(argv.begin() + optind, argv.end() - 1);
    if (!c.operands.empty()) {
        c.command = c.operands.front();
        c.operands.erase(c.operands.begin());
    }
    return c;
}

const char* usage_text() {
    return "Usage: chicorygap COMMAND [options]\n"
           "  validate FILE...     check service documents, each alone and against each other\n"
           "  show SERVICE FILE    write the stored document to a new FILE for editing\n"
           "  diff SERVICE FILE    compare the stored document with FILE\n"
           "  apply FILE           store FILE unless the stored document changed since its base version\n"
           "  status               show the status of a daemon\n"
           "  burn                 show the burn rates that a daemon reports\n"
           "  evacuations          show the evacuations of zones that a daemon knows\n"
           "  check-configuration FILE\n"
           "                       check the configuration of the users' platform\n"
           "  hash-key             read an API key from standard input and print its digest\n"
           "Options:\n"
           "  --platform IP:PORT   address of the platform (default 127.0.0.1:9100)\n"
           "  --daemon IP:PORT     operator address of a daemon (default 127.0.0.1:8081)\n"
           "  --timeout DURATION   timeout of each request (default 5s)\n"
           "  --base VERSION       version that FILE is based on, instead of the one in FILE.base\n"
           "  --settings           validate daemon settings instead of service documents\n"
           "  --against FILE       configuration in force, for check-configuration\n"
           "  --memory MIB         memory of the smallest VM, for check-configuration (default 110)\n"
           "  --json               print JSON\n"
           "Exit codes: 0 success, 1 invalid, 2 usage, 3 conflict, 4 unavailable, 5 unknown outcome, 6 "
           "different\n";
}

}  // namespace chicorygap::tool
