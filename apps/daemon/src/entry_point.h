/// @file
/// Function through which the executable starts the daemon's shared object.
#pragma once

namespace chicorygap::daemon_app {

/// Runs the daemon until it is told to stop.
///
/// Called with SIGHUP, SIGTERM and SIGINT blocked in the calling thread, the only one of the process.
/// @param argc, argv arguments of the process.
/// @return exit code of the process.
using entry_point = int(int argc, char** argv);

/// Name of the function in the shared object.
inline constexpr const char* entry_point_name = "chicorygap_daemon_main";

}  // namespace chicorygap::daemon_app
