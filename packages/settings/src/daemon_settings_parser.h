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

/// Reads one file. Call `run` once.
class daemon_settings_parser {
public:
    /// @param ini sections of the file; must outlive the parser.
    daemon_settings_parser(const document::ini_file& ini, const std::string& file);

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
    void check_document_source();
    net::address read_address(document::section_reader& r, const std::string& key, bool port_zero_allowed);
    void check_listen_conflicts(document::section_reader& r);

    const document::ini_file& ini_;
    const std::string& file_;
    std::vector<document::fault> faults_;
    daemon_settings settings_;
};

}  // namespace chicorygap::settings
