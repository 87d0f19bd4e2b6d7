#include "tool/tool.h"

#include "base/error.h"
#include "commands.h"

#include <algorithm>
#include <array>
#include <exception>
#include <string_view>

namespace chicorygap::tool {

namespace {

struct command {
    std::string_view name;
    exit_code (*handler)(const command_line&, const streams&);
};

constexpr std::array commands{
    command{"validate", validate},
    command{"show", show},
    command{"diff", diff},
    command{"apply", apply},
    command{"status", status},
    command{"burn", burn},
    command{"hash-key", hash_key},
    command{"evacuations", evacuations},
    command{"check-configuration", check_configuration},
};

exit_code dispatch(const std::vector<std::string>& arguments, const streams& s) {
    const auto c = parse_command_line(arguments);
    if (c.help) {
        s.out << usage_text();
        return exit_code::success;
    }
    const auto* const it = std::find_if(commands.begin(), commands.end(), [&](const command& candidate) {
        return candidate.name == c.command;
    });
    if (it == commands.end()) {
        throw usage_error(c.command.empty() ? "no command given" : "unknown command '" + c.command + "'");
    }
    return it->handler(c, s);
}

}  // namespace

exit_code run(const std::vector<std::string>& arguments, const streams& s) {
    try {
        return dispatch(arguments, s);
    } catch (const usage_error& e) {
        s.err << "chicorygap: " << e.what() << "; see chicorygap --help\n";
        return exit_code::usage;
    } catch (const base::error& e) {
        s.err << "chicorygap: " << e.what() << " (code " << static_cast<int>(e.code()) << ")\n";
        return e.code() == base::result_code::platform_reply_lost ? exit_code::outcome_unknown
                                                                  : exit_code::unavailable;
    } catch (const std::exception& e) {
        s.err << "chicorygap: " << e.what() << '\n';
        return exit_code::unavailable;
    }
}

}  // namespace chicorygap::tool
