#include "commands.h"
#include "document/key_digest.h"
#include "settings/daemon_settings.h"

#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

namespace chicorygap::tool {

std::string read_file(const std::string& path) {
    std::ifstream in{path, std::ios::binary};
    std::ostringstream out;
    if (!in || (in.peek() != std::ifstream::traits_type::eof() && !(out << in.rdbuf()))) {
        throw usage_error(path + ": file cannot be read");
    }
    return out.str();
}

void write_file(const std::string& path, const std::string& text) {
    std::ofstream out{path, std::ios::binary | std::ios::trunc};
    out << text;
    out.close();
    if (!out) {
        throw usage_error(path + ": file cannot be written");
    }
}

void expect_operands(const command_line& c, std::size_t n, const std::string& what) {
    if (c.operands.size() != n) {
        throw usage_error(c.command + " expects " + what);
    }
}

std::optional<document::service_document> parse_document(const command_line& c, const streams& s,
                                                         const std::string& path, const std::string& text) {
    auto result = document::parse(text, path);
    if (!result.document) {
        print_faults(c, s, result.faults);
    }
    return std::move(result.document);
}

namespace {

std::vector<document::fault> check_settings_files(const command_line& c) {
    std::vector<document::fault> out;
    for (const auto& path : c.operands) {
        const auto result = settings::parse(read_file(path), path);
        out.insert(out.end(), result.faults.begin(), result.faults.end());
    }
    return out;
}

std::vector<document::fault> check_document_files(const command_line& c) {
    std::vector<document::fault> out;
    std::vector<document::parse_result> results;
    results.reserve(c.operands.size());
    std::vector<document::named_document> valid;
    for (const auto& path : c.operands) {
        results.push_back(document::parse(read_file(path), path));
        const auto& r = results.back();
        out.insert(out.end(), r.faults.begin(), r.faults.end());
        if (r.document) {
            valid.push_back({path, &*r.document});
        }
    }
    const auto cross_document_faults = document::check_together(valid);
    out.insert(out.end(), cross_document_faults.begin(), cross_document_faults.end());
    return out;
}

}  // namespace

exit_code validate(const command_line& c, const streams& s) {
    if (c.operands.empty()) {
        throw usage_error("validate expects at least one FILE");
    }
    const auto faults = c.daemon_settings ? check_settings_files(c) : check_document_files(c);
    print_faults(c, s, faults);
    if (faults.empty() && !c.json) {
        s.out << c.operands.size() << " valid\n";
    }
    return faults.empty() ? exit_code::success : exit_code::invalid;
}

exit_code hash_key(const command_line& c, const streams& s) {
    expect_operands(c, 0, "no operands; the API key is read from standard input");
    std::string api_key;
    std::getline(s.in, api_key);
    if (!api_key.empty() && api_key.back() == '\r') {
        api_key.pop_back();
    }
    if (api_key.empty()) {
        throw usage_error("standard input contains no API key");
    }
    const auto digest = document::hash_key(api_key);
    if (c.json) {
        auto j = make_json();
        j->set("digest", digest.str());
        print(*j, s.out);
    } else {
        s.out << digest.str() << '\n';
    }
    return exit_code::success;
}

}  // namespace chicorygap::tool
