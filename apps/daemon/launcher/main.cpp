/// @file
/// Executable of the daemon. It blocks the signals that the platform sends, and then loads the daemon's code.
///
/// Until a process has blocked or handled SIGHUP and SIGTERM, each of them ends it. The dynamic linker needs
/// milliseconds for the daemon's libraries, so this executable links the C library only, and the daemon is a
/// shared object of its own. A signal that arrives while it is loaded stays pending until the daemon has
/// installed its handlers.

#include "entry_point.h"

#include <csignal>
#include <cstdio>
#include <dlfcn.h>

namespace {

/// Path of the daemon's shared object; the dynamic linker replaces $ORIGIN by the folder of this executable.
constexpr const char* library_path = "$ORIGIN/../lib/chicorygap/libchicorygapd.so";
/// The daemon's exit code for a failure at run time.
constexpr int exit_failure = 3;

/// Blocks SIGHUP, SIGTERM and SIGINT in this thread and in all threads that it starts.
/// @return false if the system refuses it.
bool block_platform_signals() {
    sigset_t set;
    return sigemptyset(&set) == 0 && sigaddset(&set, SIGHUP) == 0 && sigaddset(&set, SIGTERM) == 0 &&
           sigaddset(&set, SIGINT) == 0 && sigprocmask(SIG_BLOCK, &set, nullptr) == 0;
}

}  // namespace

int main(int argc, char** argv) {
    if (!block_platform_signals()) {
        std::perror("cannot block signals");
        return exit_failure;
    }
    void* const library = dlopen(library_path, RTLD_LAZY | RTLD_LOCAL);
    void* const symbol =
        library != nullptr ? dlsym(library, chicorygap::daemon_app::entry_point_name) : nullptr;
    if (symbol == nullptr) {
        std::fprintf(stderr, "cannot load the daemon: %s\n", dlerror());
        return exit_failure;
    }
    return reinterpret_cast<chicorygap::daemon_app::entry_point*>(symbol)(argc, argv);
}
