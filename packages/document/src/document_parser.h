/// @file
/// Builds a service document from the sections of an INI file.
#pragma once

#include "document/ini.h"
#include "document/parser.h"
#include "document/section_reader.h"

#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace chicorygap::document {

/// Reads one file. Sections are read kind by kind, so that references between them do not depend on the order
/// of the file.
class document_parser {
public:
    /// @param ini sections of the file; must outlive the parser.
    document_parser(const ini_file& ini, const std::string& file);

    /// Call once.
    parse_result run();

private:
    void read_service(section_reader& r);
    void read_retry(section_reader& r);
    void read_timeouts(section_reader& r);
    void read_model(section_reader& r, const std::string& name);
    void read_class(section_reader& r, const std::string& name);
    void read_workspace(section_reader& r, const std::string& name);
    void read_keys(section_reader& r, workspace& w);
    void add_key(section_reader& r, const ini_entry& e, const std::string& digest);
    void read_route(section_reader& r, const std::string& name);
    void read_route_admission(section_reader& r, route& out);
    void check_route(section_reader& r, const route& added);
    void read_server_kind(section_reader& r, const std::string& name);
    void read_zone(section_reader& r, const ini_entry& e, server_kind& k);

    void read_single_sections();
    void read_named_sections();
    void report_unknown_sections();
    void check_whole();
    void report(const std::string& section, const std::string& reason, const std::string& allowed = "");

    const ini_file& ini_;
    const std::string& file_;
    std::vector<fault> faults_;
    service_document document_;
    std::unordered_set<std::string> workspace_names_;
    std::map<std::string, std::string> key_places_;  // digest to its first place in the file
};

}  // namespace chicorygap::document
