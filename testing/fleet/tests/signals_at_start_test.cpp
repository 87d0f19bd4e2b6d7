#include "base/time.h"
#include "net/address.h"
#include "standin/daemon_process.h"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <csignal>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

namespace chicorygap::testing_fleet {
namespace {

using namespace std::chrono_literals;

/// Processor time between two starts of a sweep, and the processor time at which its first and its last
/// signal are sent.
constexpr base::duration step = 1ms;
#if defined(__SANITIZE_THREAD__)
// The sanitizer's runtime is loaded before the program's first instruction: at most 19 ms were measured.
constexpr base::duration first_offset = 25ms;
#elif defined(__SANITIZE_ADDRESS__)
// The same; at most 12 ms were measured.
constexpr base::duration first_offset = 15ms;
#else
constexpr base::duration first_offset = 1ms;
#endif
constexpr base::duration last_offset = first_offset + 29ms;
/// A daemon that has used less processor time than the offset after this time is idle, and is signalled.
constexpr base::duration longest_start = 200ms;

/// @return processor time that the process has used; the longest possible time once it has ended.
base::duration processor_time(pid_t pid) {
    clockid_t clock{};
    timespec t{};
    if (clock_getcpuclockid(pid, &clock) != 0 || clock_gettime(clock, &t) != 0) {
        return base::duration::max();
    }
    return std::chrono::seconds{t.tv_sec} + std::chrono::nanoseconds{t.tv_nsec};
}

/// Waits until the process has used `offset` of processor time, or is idle.
void wait_for_processor_time(pid_t pid, base::duration offset) {
    const auto end = base::boot_clock::now() + longest_start;
    while (processor_time(pid) < offset && base::boot_clock::now() < end) {
        std::this_thread::sleep_for(20us);
    }
}

/// Daemons whose processes get signals while they are loaded. Offsets are processor time of the process, so
/// that the load of the machine doesn't move them. Neither store nor peers answer.
struct signals_at_start : testing::Test {
    struct attempt {
        base::duration offset{};
        std::unique_ptr<standin::daemon_process> process;
    };

    void SetUp() override {
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
    }

    /// Starts a daemon and sends it the signals once it has used `offset` of processor time.
    void start_and_signal(base::duration offset, const std::vector<int>& signals) {
        const auto number = std::to_string(attempts.size() + 1);
        attempt a{offset, std::make_unique<standin::daemon_process>(
                              standin::daemon_options{.program = CHICORYGAPD,
                                                      .directory = folder_,
                                                      .vm = "vm-" + number,
                                                      .zone = "a",
                                                      .host = "127.0.62." + number,
                                                      .store = {"127.0.62.200", 1},
                                                      .cloud_api = {"127.0.62.200", 1},
                                                      .seeds = {},
                                                      .stop_timeout = 1s})};
        a.process->start();
        wait_for_processor_time(a.process->pid(), offset);
        for (const int s : signals) {
            a.process->signal(s);
        }
        attempts.push_back(std::move(a));
    }

    void sweep(const std::vector<int>& signals) {
        for (auto offset = first_offset; offset <= last_offset; offset += step) {
            start_and_signal(offset, signals);
        }
    }

    static std::string log_of(const attempt& a) {
        std::ostringstream out;
        out << std::ifstream{a.process->log_path()}.rdbuf();
        return out.str();
    }

    static std::string name_of(const attempt& a) {
        return "signalled after " +
               std::to_string(std::chrono::duration<double, std::milli>{a.offset}.count()) +
               " ms of processor time, status " + std::to_string(a.process->last_wait_status()) + ", log:\n" +
               log_of(a);
    }

    static bool wait_until(const std::function<bool()>& done) {
        const auto end = base::boot_clock::now() + 10s;
        while (!done()) {
            if (base::boot_clock::now() >= end) {
                return false;
            }
            std::this_thread::sleep_for(10ms);
        }
        return true;
    }

    /// Each daemon runs on and has taken note of the reload.
    void expect_reloads() {
        for (const auto& a : attempts) {
            EXPECT_TRUE(wait_until([&] {
                return !a.process->running() || log_of(a).find("Reload requested.") != std::string::npos;
            })) << name_of(a);
            EXPECT_TRUE(a.process->running()) << name_of(a);
        }
    }

    /// Each daemon ends by itself, in order.
    void expect_orderly_ends() {
        for (const auto& a : attempts) {
            EXPECT_TRUE(wait_until([&] { return !a.process->running(); })) << name_of(a);
            EXPECT_EQ(a.process->last_wait_status(), 0) << name_of(a);
            EXPECT_NE(log_of(a).find("Stopped."), std::string::npos) << name_of(a);
        }
    }

    std::vector<attempt> attempts;

private:
    std::string folder_ = testing::TempDir() + "chicorygap-signals-at-start";
};

// Failure: a SIGHUP while the dynamic linker loaded the daemon's libraries ended the process.
TEST_F(signals_at_start, reload_while_the_daemon_loads_does_not_end_it) {
    sweep({SIGHUP});
    expect_reloads();
    for (const auto& a : attempts) {
        a.process->signal(SIGTERM);
    }
    expect_orderly_ends();
}

// Failure: a SIGTERM while the daemon's libraries were loaded ended the process by the signal, without a log.
TEST_F(signals_at_start, stop_while_the_daemon_loads_is_orderly) {
    sweep({SIGTERM});
    expect_orderly_ends();
}

// Failure: of both signals in a row, as in a change of settings before a restart, either ended the process.
TEST_F(signals_at_start, reload_and_stop_while_the_daemon_loads_are_both_handled) {
    sweep({SIGHUP, SIGTERM});
    expect_orderly_ends();
    for (const auto& a : attempts) {
        EXPECT_NE(log_of(a).find("Reload requested."), std::string::npos) << name_of(a);
    }
}

// Failure: a SIGHUP right after the process was started ends it: the kernel's exec and the C library's loader
// run before the program's first instruction.
TEST_F(signals_at_start, reload_right_after_exec_does_not_end_the_daemon) {
    for (int i = 0; i < 20; ++i) {
        start_and_signal(base::duration::zero(), {SIGHUP});
    }
    expect_reloads();
}

/// Daemon of the product's own interface in a child process. Its platform does not answer.
class own_interface_process {
public:
    explicit own_interface_process(const std::string& folder) {
        std::filesystem::create_directories(folder);
        auto settings = folder + "/daemon.ini";
        std::ofstream{settings} << "[daemon]\nvm = vm-1\nzone = a\n[listen]\ncallers = 127.0.63.1:0\n"
                                   "operators = 127.0.63.1:0\npeers = 127.0.63.1:0\n"
                                   "[platform]\naddress = 127.0.63.200:1\n[drain]\ndelay = 0s\n";
        std::string program = CHICORYGAPD;
        std::string option = "--config";
        std::array<char*, 4> arguments{program.data(), option.data(), settings.data(), nullptr};
        std::array<char*, 1> environment{nullptr};
        const int error =
            posix_spawn(&pid_, program.c_str(), nullptr, nullptr, arguments.data(), environment.data());
        if (error != 0) {
            throw std::system_error{error, std::generic_category(), "cannot start " + program};
        }
    }
    ~own_interface_process() {
        signal(SIGKILL);
        status();
    }
    own_interface_process(const own_interface_process&) = delete;
    own_interface_process& operator=(const own_interface_process&) = delete;

    [[nodiscard]] pid_t pid() const noexcept { return pid_; }

    void signal(int signal_number) const {
        if (pid_ > 0) {
            ::kill(pid_, signal_number);
        }
    }

    /// Waits for the end of the process.
    /// @return its status as `waitpid` gives it.
    int status() {
        if (pid_ > 0) {
            waitpid(std::exchange(pid_, 0), &status_, 0);
        }
        return status_;
    }

private:
    pid_t pid_ = 0;
    int status_ = 0;
};

// Failure: the daemon of the product's own interface was ended by every SIGHUP, also after its start.
TEST_F(signals_at_start, reload_does_not_end_a_daemon_of_the_own_interface) {
    for (auto offset = first_offset; offset <= last_offset; offset += 5 * step) {
        own_interface_process p{testing::TempDir() + "chicorygap-signals-own-interface"};
        wait_for_processor_time(p.pid(), offset);
        p.signal(SIGHUP);
        std::this_thread::sleep_for(50ms);
        p.signal(SIGTERM);
        EXPECT_EQ(p.status(), 0) << "signalled after " << offset / 1ms << " ms of processor time";
    }
}

}  // namespace
}  // namespace chicorygap::testing_fleet
