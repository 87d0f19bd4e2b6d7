#include "base/error.h"
#include "base/log.h"
#include "daemon.h"
#include "options.h"
#include "settings/daemon_settings.h"

#include <csignal>
#include <exception>
#include <iostream>

namespace {

using namespace chicorygap;
using daemon_app::exit_code;

/// Blocks the signals in this and all later threads, so that only `wait_for_stop` receives them.
sigset_t block_stop_signals() {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return set;
}

void wait_for_stop(const sigset_t& set) {
    int received = 0;
    sigwait(&set, &received);
}

exit_code serve(settings::daemon_settings s) {
    const auto set = block_stop_signals();
    daemon_app::daemon d{std::move(s)};
    d.start();
    wait_for_stop(set);
    d.drain();
    return exit_code::ok;
}

exit_code run(const daemon_app::options& o) {
    try {
        auto s = settings::load(o.config);
        base::configure_log(o.log_level ? base::parse_log_level(*o.log_level) : s.log_level);
        if (o.check) {
            std::cout << o.config << ": valid\n";
            return exit_code::ok;
        }
        return serve(std::move(s));
    } catch (const base::error& e) {
        std::cerr << e.what() << '\n';
        return e.code() == base::result_code::settings_invalid ? exit_code::settings : exit_code::failure;
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
        return exit_code::failure;
    }
}

}  // namespace

int main(int argc, char** argv) {
    const auto o = daemon_app::parse_options(argc, argv);
    if (!o) {
        std::cerr << daemon_app::usage_text();
        return static_cast<int>(exit_code::usage);
    }
    if (o->help) {
        std::cout << daemon_app::usage_text();
        return static_cast<int>(exit_code::ok);
    }
    if (o->version) {
        std::cout << "chicorygapd " << CHICORYGAP_VERSION << '\n';
        return static_cast<int>(exit_code::ok);
    }
    return static_cast<int>(run(*o));
}
