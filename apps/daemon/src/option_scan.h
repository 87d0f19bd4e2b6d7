/// @file
/// Scan of a command line.
#pragma once

#include <functional>
#include <getopt.h>
#include <vector>

namespace chicorygap::daemon_app {

/// Scans the arguments with `getopt_long`.
/// @param known long options; the short form of each is its value.
/// @param apply called with the value of each option found; `optarg` holds its argument.
/// @return false, after a message on standard error, if an option is unknown, lacks its argument, or an
/// operand is left.
bool scan_options(int argc, char** argv, const std::vector<option>& known,
                  const std::function<void(int)>& apply);

}  // namespace chicorygap::daemon_app
