#include "catalog/configuration_check.h"
#include "commands.h"
#include "platform/object_codec.h"

#include <Poco/JSON/Array.h>

#include <algorithm>
#include <cstddef>

namespace chicorygap::tool {

namespace {

constexpr std::size_t bytes_per_mib = std::size_t{1024} * 1024;
/// Upper limit of `--memory`: 1 TiB.
constexpr std::uint64_t max_memory_mib = 1'048'576;

/// Decoded file with what was found in it.
struct checked_file {
    catalog::configuration_listing listing;
    std::vector<catalog::configuration_finding> findings;
    bool decoded = false;
};

checked_file check_file(const std::string& path, const catalog::check_options& options) {
    checked_file out;
    out.decoded = platform::decode_configuration(read_file(path), &out.listing) != nullptr;
    out.findings = out.decoded ? catalog::configuration_check{options}.run(out.listing) : out.listing.skipped;
    return out;
}

catalog::check_options options_of(const command_line& c) {
    catalog::check_options o;
    if (c.memory_mib) {
        if (*c.memory_mib == 0 || *c.memory_mib > max_memory_mib) {
            throw usage_error("--memory requires 1 to " + std::to_string(max_memory_mib) + " MiB");
        }
        o.memory_bytes = *c.memory_mib * bytes_per_mib;
    }
    return o;
}

std::size_t count(const std::vector<catalog::configuration_finding>& findings, catalog::finding_severity s) {
    return static_cast<std::size_t>(
        std::count_if(findings.begin(), findings.end(), [s](const auto& f) { return f.severity == s; }));
}

void print_text(const std::string& file, const catalog::configuration_finding& f, std::ostream& out) {
    out << file;
    if (f.place.line > 0) {
        out << ':' << f.place.line;
    }
    out << ": " << catalog::to_string(f.severity) << ": ";
    if (!f.place.path.empty()) {
        out << f.place.path << (f.place.name.empty() ? "" : " (" + f.place.name + ")") << ": ";
    }
    out << f.text << '\n';
}

void print_text(const catalog::configuration_difference& d, std::ostream& out) {
    out << "  " << d.entry << (d.field.empty() ? "" : ": " + d.field);
    if (!d.field.empty()) {
        out << ": " << d.before << " -> " << d.after << '\n';
    } else {
        out << (d.before.empty() ? ": added" : ": removed") << '\n';
    }
}

Poco::JSON::Array::Ptr to_json(const std::vector<catalog::configuration_finding>& findings) {
    Poco::JSON::Array::Ptr out = new Poco::JSON::Array;
    for (const auto& f : findings) {
        auto j = make_json();
        j->set("severity", catalog::to_string(f.severity));
        j->set("kind", catalog::to_string(f.kind));
        j->set("path", f.place.path);
        j->set("line", f.place.line);
        j->set("name", f.place.name);
        j->set("text", f.text);
        out->add(j);
    }
    return out;
}

Poco::JSON::Array::Ptr to_json(const std::vector<catalog::configuration_difference>& differences) {
    Poco::JSON::Array::Ptr out = new Poco::JSON::Array;
    for (const auto& d : differences) {
        auto j = make_json();
        j->set("entry", d.entry);
        j->set("field", d.field);
        j->set("before", d.before);
        j->set("after", d.after);
        out->add(j);
    }
    return out;
}

}  // namespace

exit_code check_configuration(const command_line& c, const streams& s) {
    expect_operands(c, 1, "one FILE");
    const auto options = options_of(c);
    auto file = check_file(c.operands.front(), options);
    std::vector<catalog::configuration_difference> differences;
    if (c.against) {
        const auto in_force = check_file(*c.against, options);
        if (!in_force.decoded) {
            throw usage_error(*c.against + ": no configuration: " + in_force.findings.front().text);
        }
        if (file.decoded) {
            differences = catalog::compare(in_force.listing, file.listing);
            const auto order =
                catalog::check_version_order(in_force.listing, file.listing, !differences.empty());
            file.findings.insert(file.findings.end(), order.begin(), order.end());
        }
    }
    const auto errors = count(file.findings, catalog::finding_severity::error);
    const auto warnings = count(file.findings, catalog::finding_severity::warning);
    if (c.json) {
        auto j = make_json();
        j->set("valid", errors == 0);
        j->set("version", file.listing.version);
        j->set("findings", to_json(file.findings));
        if (c.against) {
            j->set("differences", to_json(differences));
        }
        print(*j, s.out);
    } else {
        for (const auto& f : file.findings) {
            print_text(c.operands.front(), f, s.out);
        }
        if (c.against) {
            s.out << differences.size() << " differences from the version in force\n";
        }
        for (const auto& d : differences) {
            print_text(d, s.out);
        }
        s.out << errors << " errors, " << warnings << " warnings\n";
    }
    return errors == 0 ? exit_code::success : exit_code::invalid;
}

}  // namespace chicorygap::tool
