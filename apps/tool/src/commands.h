/// @file
/// Commands of the operator tool, and the functions that they share.
///
/// Each command throws usage_error for wrong operands and for files that it cannot read or write. Commands
/// that send requests throw base::error when a request fails.
#pragma once

#include "command_line.h"
#include "document/fault.h"
#include "document/parser.h"
#include "tool/tool.h"

#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

namespace chicorygap::tool {

/// Prints the faults of the files. Service documents are also checked against each other.
/// @return `success` when there are none, otherwise `invalid`.
exit_code validate(const command_line& c, const streams& s);

/// Writes the stored document of a service to a new file, and its version and text to `FILE.base`.
/// @throws usage_error when the file exists or the service has no stored document.
exit_code show(const command_line& c, const streams& s);

/// Prints the differences from the stored document of a service to a file.
/// @return `success`, `documents_differ`, or `invalid` when the file has faults.
exit_code diff(const command_line& c, const streams& s);

/// Stores a document if the stored version is the one that the file is based on.
/// @return `success`, `invalid`, `conflict`, or `outcome_unknown` when the response was lost and reading the
/// document does not tell whether it was stored.
exit_code apply(const command_line& c, const streams& s);

/// Prints the status of a daemon.
exit_code status(const command_line& c, const streams& s);

/// Prints the burn rates that a daemon reports.
exit_code burn(const command_line& c, const streams& s);

/// Prints the evacuations of zones that a daemon of the users' platform knows.
exit_code evacuations(const command_line& c, const streams& s);

/// Checks the configuration of the users' platform in a file, and prints the findings and, with `--against`,
/// the differences from the version in force.
/// @return `success` if there are no errors, otherwise `invalid`.
exit_code check_configuration(const command_line& c, const streams& s);

/// Reads an API key from the first line of standard input and prints its digest.
exit_code hash_key(const command_line& c, const streams& s);

/// @return content of the file.
/// @throws usage_error when the file cannot be read.
std::string read_file(const std::string& path);

/// Creates or overwrites a file.
/// @throws usage_error when the file cannot be written.
void write_file(const std::string& path, const std::string& text);

/// Checks the number of operands.
/// @param what description of the operands for the error message.
/// @throws usage_error unless there are exactly `n`.
void expect_operands(const command_line& c, std::size_t n, const std::string& what);

/// Parses and validates a service document; prints the faults when there are any.
/// @param path file name that the faults state.
/// @return the document, or nothing when it is invalid.
std::optional<document::service_document> parse_document(const command_line& c, const streams& s,
                                                         const std::string& path, const std::string& text);

/// @return an empty object that preserves the order in which members are added.
Poco::JSON::Object::Ptr make_json();
Poco::JSON::Array::Ptr to_json(const std::vector<document::fault>& faults);
Poco::JSON::Array::Ptr to_json(const std::vector<document::change>& changes);

void print(const Poco::JSON::Object& j, std::ostream& out);
void print(const std::vector<document::change>& changes, std::ostream& out);

/// Prints faults as text to `s.err`. With `--json` prints them to `s.out`, also when there are none.
void print_faults(const command_line& c, const streams& s, const std::vector<document::fault>& faults);

}  // namespace chicorygap::tool
