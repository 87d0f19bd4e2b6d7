/// @file
/// Builds daemon settings from the sections of an INI file.
#pragma once

#include "document/ini.h"
#include "document/section_reader.h"
#include "settings/daemon_settings.h"

#include <optional>
#include <string>
#include <vector>

namespace chicorygap::settings {

/// Builds and validates the settings of one file. `parse` may be called once.
class daemon_settings_parser {
public:
    /// @param ini sections of the file; must outlive the parser.
    /// @param file file name that faults report; must outlive the parser.
    daemon_settings_parser(const document::ini_file& ini, const std::string& file);

    /// @return the settings, or all faults found, sorted by line.
    parse_result parse();

private:
    void read_daemon(document::section_reader& r);
    void read_listen(document::section_reader& r);
    void read_peers(document::section_reader& r);
    void read_platform(document::section_reader& r);
    void read_limits(document::section_reader& r);
    void read_timeouts(document::section_reader& r);
    void read_drain(document::section_reader& r);
    void read_server(document::section_reader& r, const std::string& name);

    void read_single_sections();
    void read_servers();
    void report_unknown_sections();
    /// Reports a fault unless exactly one source of documents is set.
    void check_document_source();
    /// @return the address; empty if the key is missing or its value is not an address, which is reported.
    net::address read_address(document::section_reader& r, const std::string& key, bool port_zero_allowed);
    /// Reports listen addresses that cannot be bound at the same time.
    void check_listen_conflicts(document::section_reader& r);

    const document::ini_file& ini_;
    const std::string& file_;
    std::vector<document::fault> faults_;
    daemon_settings settings_;
};

}  // namespace chicorygap::settings
