/// @file
/// Text form of JSON received from a daemon.
#pragma once

#include <Poco/Dynamic/Var.h>

#include <ostream>

namespace chicorygap::tool {

/// Prints an array of objects as a table with one column per member; numbers are aligned to the right. An
/// object is searched for its first such array; its other members are printed as `name: value` before the
/// table.
void print_table(const Poco::Dynamic::Var& v, std::ostream& out);

/// Prints members as indented `name: value` lines.
void print_lines(const Poco::Dynamic::Var& v, std::ostream& out);

}  // namespace chicorygap::tool
