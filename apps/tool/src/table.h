/// @file
/// Prints JSON that a daemon returned as text.
#pragma once

#include <Poco/Dynamic/Var.h>

#include <ostream>

namespace chicorygap::tool {

/// Prints an array of objects as a table with one column per member; numbers are right-aligned. For an
/// object, prints its first member that is such an array as a table, after its other members as `name: value`
/// lines. Prints any other value like print_lines.
void print_table(const Poco::Dynamic::Var& v, std::ostream& out);

/// Prints one `name: value` line per member. Elements of arrays are named by their position, starting at 1;
/// nested values are indented.
void print_lines(const Poco::Dynamic::Var& v, std::ostream& out);

}  // namespace chicorygap::tool
