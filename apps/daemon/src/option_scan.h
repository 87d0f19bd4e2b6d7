/// @file
/// Scan of command-line options.
#pragma once

#include <functional>
#include <getopt.h>
#include <vector>

namespace chicorygap::daemon_app {

/// Scans the arguments with `getopt_long`. Prints a message to standard error if they are invalid.
/// @param known long options. The value of each is also its short form.
/// @param apply called with the value of each option found, while `optarg` points to its argument.
/// @return false if an option is unknown or lacks its argument, or if there is a non-option argument.
bool scan_options(int argc, char** argv, const std::vector<option>& known,
                  const std::function<void(int)>& apply);

}  // namespace chicorygap::daemon_app
