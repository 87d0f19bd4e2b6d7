#include "base/error.h"
#include "base/log.h"
#include "daemon.h"
#include "edge_daemon.h"
#include "edge_options.h"
#include "entry_point.h"
#include "options.h"
#include "settings/daemon_settings.h"
#include "settings/edge_settings.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <malloc.h>
#include <string_view>

namespace {

using namespace chicorygap;
using daemon_app::exit_code;

/// @return the signals that the executable has blocked.
sigset_t platform_signals() {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

/// Waits for SIGTERM or SIGINT, which all threads of the process block. SIGHUP is logged and changes nothing:
/// these settings are fixed for the life of a process.
void wait_for_stop() {
    const auto set = platform_signals();
    int received = 0;
    while (sigwait(&set, &received) == 0 && received == SIGHUP) {
        base::log_line{base::log_level::info, "daemon", "Reload requested; settings need a restart."};
    }
}

exit_code serve(settings::daemon_settings s) {
    std::signal(SIGPIPE, SIG_IGN);
    daemon_app::daemon d{std::move(s)};
    d.start();
    wait_for_stop();
    d.drain();
    return exit_code::ok;
}

/// Calls `f` and prints the message of an exception to standard error.
/// @return the result of `f`, or the exit code for the exception.
template <typename F>
exit_code call_and_report_errors(F f) {
    try {
        return f();
    } catch (const base::error& e) {
        std::cerr << e.what() << '\n';
        return e.code() == base::result_code::settings_invalid ? exit_code::settings : exit_code::failure;
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
        return exit_code::failure;
    }
}

exit_code run(const daemon_app::options& o) {
    return call_and_report_errors([&o] {
        auto s = settings::load(o.settings_path);
        base::configure_log(o.log_level ? base::parse_log_level(*o.log_level) : s.log_level);
        if (o.check) {
            std::cout << o.settings_path << ": valid\n";
            return exit_code::ok;
        }
        return serve(std::move(s));
    });
}

/// Returns freed buffers to the system at once. By itself the allocator raises the threshold with each large
/// buffer that is freed, and keeps those below it.
void bound_kept_memory() {
    constexpr int threshold_bytes = 128 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, threshold_bytes);
    ::mallopt(M_TRIM_THRESHOLD, threshold_bytes);
}

/// Installs the handlers of the edge daemon. Signals that arrived since the start of the process are
/// delivered before this returns.
void handle_platform_signals() {
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, [](int) { daemon_app::edge_daemon::request_stop(); });
    std::signal(SIGINT, [](int) { daemon_app::edge_daemon::request_stop(); });
    std::signal(SIGHUP, [](int) { daemon_app::edge_daemon::request_reload(); });
    const auto set = platform_signals();
    pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

exit_code serve_edge(const daemon_app::edge_options& o) {
    return call_and_report_errors([&o] {
        auto s = settings::load_edge(o.settings_path);
        base::configure_log(s.log_level);
        if (o.check) {
            std::cout << o.settings_path << ": valid\n";
            return exit_code::ok;
        }
        bound_kept_memory();
        handle_platform_signals();
        daemon_app::edge_daemon d{std::move(s), o.settings_path};
        d.run();
        return exit_code::ok;
    });
}

exit_code run_edge(int argc, char** argv) {
    const auto o = daemon_app::parse_edge_options(argc, argv);
    if (!o) {
        std::cerr << daemon_app::edge_usage_text();
        return exit_code::usage;
    }
    if (o->help) {
        std::cout << daemon_app::edge_usage_text();
        return exit_code::ok;
    }
    return serve_edge(*o);
}

}  // namespace

extern "C" __attribute__((visibility("default"))) int chicorygap_daemon_main(int argc, char** argv) {
    if (argc > 1 && std::string_view{argv[1]} == "edge") {
        return static_cast<int>(run_edge(argc - 1, argv + 1));
    }
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
