/// @file
/// Executable of the daemon. It blocks the signals that the platform sends, and then loads the daemon's code.
///
/// Until a process has blocked or handled SIGHUP and SIGTERM, each of them ends it. The dynamic linker needs
/// milliseconds for the daemon's libraries, so this executable links the C library only, and the daemon is a
/// shared object of its own. A signal that arrives while it is loaded stays pending until the daemon has
/// installed its handlers.

#include "entry_point.h"

#include <array>
#include <climits>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <string>
#include <sys/auxv.h>

namespace {

/// Path of the daemon's shared object from the folder of this executable.
constexpr const char* library_path = "/../lib/chicorygap/libchicorygapd.so";
/// The daemon's exit code for a failure at run time.
constexpr int exit_failure = 3;

/// Blocks SIGHUP, SIGTERM and SIGINT in this thread and in all threads that it starts.
/// @return false if the system refuses it.
bool block_platform_signals() {
    sigset_t set;
    return sigemptyset(&set) == 0 && sigaddset(&set, SIGHUP) == 0 && sigaddset(&set, SIGTERM) == 0 &&
           sigaddset(&set, SIGINT) == 0 && sigprocmask(SIG_BLOCK, &set, nullptr) == 0;
}

/// Loads the daemon's shared object. The path is not left to $ORIGIN, which the dynamic linker takes from the
/// library that calls `dlopen`: a sanitizer's, where one intercepts the call.
/// @return handle, or nullptr with a message on standard error.
void* load_daemon() {
    // The kernel passes the path of the program's file as an integer.
    // NOLINTNEXTLINE(performance-no-int-to-ptr)
    const auto* const program = reinterpret_cast<const char*>(getauxval(AT_EXECFN));
    std::array<char, PATH_MAX + std::char_traits<char>::length(library_path)> path{};
    if (realpath(program, path.data()) == nullptr) {
        std::perror("cannot find the program's folder");
        return nullptr;
    }
    std::strcpy(std::strrchr(path.data(), '/'), library_path);
    void* const library = dlopen(path.data(), RTLD_LAZY | RTLD_LOCAL);
    if (library == nullptr) {
        std::fprintf(stderr, "cannot load the daemon: %s\n", dlerror());
    }
    return library;
}

}  // namespace

int main(int argc, char** argv) {
    if (!block_platform_signals()) {
        std::perror("cannot block signals");
        return exit_failure;
    }
    void* const library = load_daemon();
    if (library == nullptr) {
        return exit_failure;
    }
    void* const symbol = dlsym(library, chicorygap::daemon_app::entry_point_name);
    if (symbol == nullptr) {
        std::fprintf(stderr, "cannot start the daemon: %s\n", dlerror());
        return exit_failure;
    }
    return reinterpret_cast<chicorygap::daemon_app::entry_point*>(symbol)(argc, argv);
}
