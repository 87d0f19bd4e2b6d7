#include "base/error.h"
#include "commands.h"
#include "ports/http_platform.h"

#include <Poco/JSON/Array.h>

#include <charconv>
#include <filesystem>
#include <string_view>
#include <utility>

namespace chicorygap::tool {

namespace {

using base::result_code;
using document::change;
using document::service_document;
using ports::object;

constexpr std::string_view base_header_prefix = "; version ";

/// Stored document that a file is based on. `FILE.base` holds it, with the version in its first line.
struct base_document {
    std::uint64_t version = 0;
    std::string text;
};

std::string base_path(const std::string& file) {
    return file + ".base";
}

void write_base_document(const std::string& file, const base_document& b) {
    write_file(base_path(file), std::string{base_header_prefix} + std::to_string(b.version) + "\n" + b.text);
}

/// @return nothing when there is no `FILE.base`.
/// @throws usage_error when its first line does not start with `base_header_prefix`.
std::optional<base_document> read_base_document(const std::string& file) {
    if (!std::filesystem::exists(base_path(file))) {
        return std::nullopt;
    }
    const auto text = read_file(base_path(file));
    const auto end = text.find('\n');
    base_document b;
    if (!text.starts_with(base_header_prefix) || end == std::string::npos) {
        throw usage_error(base_path(file) + ": first line is not '" + std::string{base_header_prefix} + "N'");
    }
    std::from_chars(text.data() + base_header_prefix.size(), text.data() + end, b.version);
    b.text = text.substr(end + 1);
    return b;
}

/// @return key of the platform's object that holds the document of a service.
std::string object_key(const std::string& service) {
    return std::string{document::object_prefix} + service;
}

ports::http_platform connect(const command_line& c) {
    return ports::http_platform{{c.platform.host, c.platform.port, 1}};
}

/// @return differences between two documents. If one of them is invalid and the texts differ, a single change
/// that covers the whole document.
std::vector<change> compare(const std::string& before, const std::string& after) {
    const auto a = document::parse(before, "before");
    const auto b = document::parse(after, "after");
    if (a.document && b.document) {
        return document::diff(*a.document, *b.document);
    }
    if (before == after) {
        return {};
    }
    return {{"whole document", "", a.document ? "valid" : "not valid", b.document ? "valid" : "not valid"}};
}

/// @return faults that the new document would cause in combination with the stored documents of other
/// services.
std::vector<document::fault> find_cross_document_faults(ports::http_platform& p, const command_line& c,
                                                        const std::string& file, const service_document& d) {
    const auto objects = p.objects().list(std::string{document::object_prefix}, c.timeout);
    std::vector<document::parse_result> stored_documents;
    stored_documents.reserve(objects.size());
    std::vector<document::named_document> active_documents;
    for (const auto& o : objects) {
        stored_documents.push_back(document::parse(o.value, o.key));
        if (stored_documents.back().document && o.key != object_key(d.name.str())) {
            active_documents.push_back({o.key, &*stored_documents.back().document});
        }
    }
    active_documents.push_back({file, &d});
    auto faults = document::check_together(active_documents);
    std::erase_if(faults, [&](const auto& f) { return f.file != file; });
    return faults;
}

/// One run of `apply`: checks a document and stores it by compare-and-swap on the version.
class document_update {
public:
    document_update(const command_line& c, const streams& s, std::string file)
        : c_{c}, s_{s}, file_{std::move(file)}, text_{read_file(file_)}, platform_{connect(c)} {}

    exit_code run() {
        const auto d = parse_document(c_, s_, file_, text_);
        if (!d) {
            return exit_code::invalid;
        }
        key_ = object_key(d->name.str());
        const auto faults = find_cross_document_faults(platform_, c_, file_, *d);
        if (!faults.empty()) {
            print_faults(c_, s_, faults);
            return exit_code::invalid;
        }
        base_ = read_base_document(file_);
        const auto expected = c_.base_version.value_or(base_ ? base_->version : 0);
        const auto current = platform_.objects().get(key_, c_.timeout);
        if (current && current->value == text_) {
            return report_success("unchanged", current->version, {});
        }
        if ((current ? current->version : 0) != expected) {
            return report_conflict(expected, current);
        }
        return store(expected, current);
    }

private:
    exit_code store(std::uint64_t expected, const std::optional<object>& before) {
        const auto changes = before ? compare(before->value, text_) : std::vector<change>{};
        try {
            const auto r = platform_.objects().put(key_, text_, expected, c_.timeout);
            return r.applied ? report_success("applied", r.version, changes)
                             : report_conflict(expected, r.current);
        } catch (const base::error& e) {
            if (e.code() != result_code::platform_reply_lost) {
                throw;
            }
            return confirm_write(expected, changes);
        }
    }

    // Called after the response to the write was lost. If the stored text equals the text of the file, the
    // write took effect.
    exit_code confirm_write(std::uint64_t expected, const std::vector<change>& changes) {
        try {
            const auto current = platform_.objects().get(key_, c_.timeout);
            if (current && current->value == text_) {
                return report_success("applied", current->version, changes);
            }
            // While the stored version is still the expected one, the write can take effect later.
            if ((current ? current->version : 0) == expected) {
                return report_unknown_outcome();
            }
            return report_conflict(expected, current);
        } catch (const base::error&) {
            return report_unknown_outcome();
        }
    }

    exit_code report_unknown_outcome() {
        if (c_.json) {
            auto j = make_json();
            j->set("result", std::string{"unknown"});
            print(*j, s_.out);
        } else {
            s_.err << "the platform's response was lost; run the same command again to find out whether the "
                      "file was stored\n";
        }
        return exit_code::outcome_unknown;
    }

    exit_code report_success(const std::string& result, std::uint64_t version,
                             const std::vector<change>& changes) {
        save_base_document(version);
        if (c_.json) {
            auto j = make_json();
            j->set("result", result);
            j->set("version", Poco::UInt64{version});
            j->set("changes", to_json(changes));
            print(*j, s_.out);
        } else {
            s_.out << key_ << ": " << result << ", version " << version << '\n';
            print(changes, s_.out);
        }
        return exit_code::success;
    }

    // The platform has stored the document at this point, so that an error when FILE.base is written, for
    // example because the disk is full, is only a warning.
    void save_base_document(std::uint64_t version) {
        try {
            write_base_document(file_, {version, text_});
        } catch (const usage_error& e) {
            s_.err << "warning: " << e.what() << "; pass --base " << version
                   << " to the next apply of this file\n";
        }
    }

    exit_code report_conflict(std::uint64_t expected, const std::optional<object>& current) {
        const auto stored = current ? current->value : std::string{};
        const bool has_base = base_ && base_->version == expected;
        const auto stored_changes = has_base ? compare(base_->text, stored) : compare(text_, stored);
        const auto local_changes = has_base ? compare(base_->text, text_) : std::vector<change>{};
        if (c_.json) {
            auto j = make_json();
            j->set("result", std::string{"conflict"});
            j->set("base_version", Poco::UInt64{expected});
            j->set("stored_version", Poco::UInt64{current ? current->version : 0});
            j->set(has_base ? "other_changes" : "differences", to_json(stored_changes));
            j->set("own_changes", to_json(local_changes));
            print(*j, s_.out);
            return exit_code::conflict;
        }
        s_.err << key_ << ": conflict, edited from version " << expected << ", stored version is "
               << (current ? current->version : 0) << "; nothing was stored\n"
               << (has_base ? "changed by others since:\n"
                            : "differences from this file to the stored document:\n");
        print(stored_changes, s_.err);
        if (has_base) {
            s_.err << "changed in this file:\n";
            print(local_changes, s_.err);
        }
        s_.err << "merge the changes into the file, then apply it with --base "
               << (current ? current->version : 0) << '\n';
        return exit_code::conflict;
    }

    const command_line& c_;
    const streams& s_;
    std::string file_;
    std::string text_;
    ports::http_platform platform_;
    std::string key_;
    std::optional<base_document> base_;
};

/// @return the object that holds the document of a service.
/// @throws usage_error when there is none.
object stored_document(const command_line& c, const std::string& service) {
    auto p = connect(c);
    auto stored = p.objects().get(object_key(service), c.timeout);
    if (!stored) {
        throw usage_error("service '" + service + "' has no stored document");
    }
    return std::move(*stored);
}

}  // namespace

exit_code show(const command_line& c, const streams& s) {
    expect_operands(c, 2, "SERVICE and FILE");
    const auto& file = c.operands[1];
    if (std::filesystem::exists(file)) {
        throw usage_error(file + ": file already exists");
    }
    const auto o = stored_document(c, c.operands[0]);
    write_file(file, o.value);
    write_base_document(file, {o.version, o.value});
    if (c.json) {
        auto j = make_json();
        j->set("file", file);
        j->set("version", Poco::UInt64{o.version});
        print(*j, s.out);
    } else {
        s.out << o.key << ": version " << o.version << " written to " << file << '\n';
    }
    return exit_code::success;
}

exit_code diff(const command_line& c, const streams& s) {
    expect_operands(c, 2, "SERVICE and FILE");
    const auto text = read_file(c.operands[1]);
    if (!parse_document(c, s, c.operands[1], text)) {
        return exit_code::invalid;
    }
    const auto o = stored_document(c, c.operands[0]);
    const auto changes = compare(o.value, text);
    if (c.json) {
        auto j = make_json();
        j->set("stored_version", Poco::UInt64{o.version});
        j->set("changes", to_json(changes));
        print(*j, s.out);
    } else {
        s.out << o.key << ": " << changes.size() << " changes from version " << o.version << '\n';
        print(changes, s.out);
    }
    return changes.empty() ? exit_code::success : exit_code::documents_differ;
}

exit_code apply(const command_line& c, const streams& s) {
    expect_operands(c, 1, "one FILE");
    return document_update{c, s, c.operands[0]}.run();
}

}  // namespace chicorygap::tool
