/// @file
/// Reads INI text into sections and entries with their line numbers.
#pragma once

#include "document/fault.h"

#include <string>
#include <vector>

namespace chicorygap::document {

/// One `key = value` line.
struct ini_entry {
    std::string key;
    std::string value;
    int line = 0;

    bool operator==(const ini_entry&) const = default;
};

/// One section with its entries in the order of the file.
struct ini_section {
    std::string name;
    int line = 0;
    std::vector<ini_entry> entries;

    bool operator==(const ini_section&) const = default;
};

/// Sections of a file and the faults of its syntax.
struct ini_file {
    std::vector<ini_section> sections;
    std::vector<fault> faults;
};

/// Splits INI text into sections. Reports overlong lines, malformed lines, repeated sections and entries
/// outside of sections; never throws for faults of the text.
/// @param text content of the file.
/// @param file name used in faults.
ini_file read_ini(const std::string& text, const std::string& file);

/// @return the sections as INI text.
std::string write_ini(const std::vector<ini_section>& sections);

}  // namespace chicorygap::document
