/// @file
/// One function per command.
#pragma once

#include "command_line.h"
#include "document/fault.h"
#include "document/parser.h"
#include "tool/tool.h"

#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

namespace chicorygap::tool {

exit_code validate(const command_line& c, const streams& s);
exit_code show(const command_line& c, const streams& s);
exit_code diff(const command_line& c, const streams& s);
exit_code apply(const command_line& c, const streams& s);
exit_code status(const command_line& c, const streams& s);
exit_code burn(const command_line& c, const streams& s);
exit_code hash_key(const command_line& c, const streams& s);

/// @throws usage_error when the file cannot be read or written.
std::string read_file(const std::string& path);
void write_file(const std::string& path, const std::string& text);

/// Throws usage_error unless there are exactly `n` operands.
void expect_operands(const command_line& c, std::size_t n, const std::string& what);

/// Reads and validates a service document; prints the faults when there are any.
std::optional<document::service_document> parse_document(const command_line& c, const streams& s,
                                                         const std::string& path, const std::string& text);

Poco::JSON::Object::Ptr make_json();
Poco::JSON::Array::Ptr to_json(const std::vector<document::fault>& faults);
Poco::JSON::Array::Ptr to_json(const std::vector<document::change>& changes);
void print(const Poco::JSON::Object& j, std::ostream& out);
void print(const std::vector<document::change>& changes, std::ostream& out);
void print_faults(const command_line& c, const streams& s, const std::vector<document::fault>& faults);

}  // namespace chicorygap::tool
