#include "document_parser.h"

#include <algorithm>
#include <array>
#include <functional>
#include <string_view>
#include <utility>

namespace chicorygap::document {

namespace {

constexpr std::array single_sections{"service", "retry", "timeouts"};
constexpr std::array named_sections{"model", "class", "workspace", "route", "server_kind"};

std::string allowed_sections() {
    return "[service], [retry], [timeouts], [model NAME], [class NAME], [workspace NAME], [route NAME], "
           "[server_kind NAME]";
}

/// @return the two words of `class urgent`; the second is empty when there is none.
std::pair<std::string, std::string> split_header(const std::string& text) {
    const auto space = text.find(' ');
    if (space == std::string::npos) {
        return {text, ""};
    }
    return {text.substr(0, space), text.substr(space + 1)};
}

template <typename Names>
bool contains(const Names& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

document_parser::document_parser(const ini_file& ini, const std::string& file)
    : ini_{ini}, file_{file}, faults_{ini.faults} {}

parse_result document_parser::run() {
    read_single_sections();
    read_named_sections();
    report_unknown_sections();
    check_whole();
    std::stable_sort(faults_.begin(), faults_.end(),
                     [](const fault& a, const fault& b) { return a.line < b.line; });
    if (!faults_.empty()) {
        return {std::nullopt, std::move(faults_)};
    }
    return {std::move(document_), {}};
}

void document_parser::read_single_sections() {
    const std::array<std::function<void(section_reader&)>, 3> readers{
        [this](section_reader& r) { read_service(r); },
        [this](section_reader& r) { read_retry(r); },
        [this](section_reader& r) { read_timeouts(r); },
    };
    for (std::size_t i = 0; i < single_sections.size(); ++i) {
        const auto it = std::find_if(ini_.sections.begin(), ini_.sections.end(),
                                     [&](const auto& s) { return s.name == single_sections[i]; });
        const ini_section absent{single_sections[i], 0, {}};
        section_reader r{it == ini_.sections.end() ? absent : *it, file_, faults_};
        readers[i](r);
        r.finish();
    }
}

void document_parser::read_named_sections() {
    using reader = std::function<void(section_reader&, const std::string&)>;
    const std::array<reader, 5> readers{
        [this](section_reader& r, const std::string& name) { read_model(r, name); },
        [this](section_reader& r, const std::string& name) { read_class(r, name); },
        [this](section_reader& r, const std::string& name) { read_workspace(r, name); },
        [this](section_reader& r, const std::string& name) { read_route(r, name); },
        [this](section_reader& r, const std::string& name) { read_server_kind(r, name); },
    };
    for (std::size_t i = 0; i < named_sections.size(); ++i) {
        for (const auto& s : ini_.sections) {
            const auto [kind, name] = split_header(s.name);
            if (kind != named_sections[i]) {
                continue;
            }
            section_reader r{s, file_, faults_};
            if (!is_name(name)) {
                r.report("", "section needs one name", "[" + kind + " NAME]");
            }
            readers[i](r, name);
            r.finish();
        }
    }
}

void document_parser::report_unknown_sections() {
    for (const auto& s : ini_.sections) {
        if (!contains(single_sections, s.name) && !contains(named_sections, split_header(s.name).first)) {
            faults_.push_back({file_, s.line, s.name, "", "unknown section", allowed_sections()});
        }
    }
}

void document_parser::check_whole() {
    if (document_.classes.empty()) {
        report("", "document has no class", "at least one [class NAME]");
    }
    if (document_.workspaces.empty()) {
        report("", "document has no workspace", "at least one [workspace NAME]");
    }
    if (document_.routes.empty()) {
        report("", "document has no route", "at least one [route NAME]");
    }
    if (document_.kind == service_kind::model && document_.models.empty()) {
        report("", "model service has no model", "at least one [model NAME]");
    }
    double floors = 0;
    for (const auto& c : document_.classes) {
        floors += c.floor;
    }
    if (floors > 1) {
        report("", "floors of all classes add up to " + format_real(floors), "a sum of at most 1");
    }
}

void document_parser::report(const std::string& section, const std::string& reason,
                             const std::string& allowed) {
    faults_.push_back({file_, 0, section, "", reason, allowed});
}

}  // namespace chicorygap::document
