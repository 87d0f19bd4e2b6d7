#include "document/ini.h"

#include <ini.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <string_view>
#include <utility>

namespace chicorygap::document {

namespace {

// inih copies a section name into a buffer of 50 bytes and truncates longer ones silently.
constexpr std::size_t section_limit = 49;
constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
constexpr std::string_view blanks = " \t\r\n\v\f";

std::string_view trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// Feeds inih line by line. inih reports neither line numbers nor section starts nor truncation, so the
/// reader callback checks these before inih sees the line; a faulty line is passed on as an empty one.
class line_feed {
public:
    line_feed(std::string_view text, const std::string& file) : rest_{text}, file_{file} {
        if (rest_.starts_with(byte_order_mark)) {
            rest_.remove_prefix(byte_order_mark.size());
        }
    }

    /// Reader callback of inih, with the semantics of fgets.
    static char* read(char* buf, int size, void* self) {
        return static_cast<line_feed*>(self)->next(buf, static_cast<std::size_t>(size));
    }

    /// Handler callback of inih.
    static int accept(void* self, const char*, const char* name, const char* value) {
        static_cast<line_feed*>(self)->add(name, value);
        return 1;
    }

    ini_file take() { return std::move(result_); }

private:
    char* next(char* buf, std::size_t size) {
        if (rest_.empty()) {
            return nullptr;
        }
        ++line_;
        const auto end = std::min(rest_.find('\n'), rest_.size());
        auto content = rest_.substr(0, end);
        rest_.remove_prefix(std::min(end + 1, rest_.size()));
        if (!check(content, size)) {
            content = {};
        }
        content.copy(buf, content.size());
        buf[content.size()] = '\n';
        buf[content.size() + 1] = '\0';
        return buf;
    }

    bool check(std::string_view content, std::size_t size) {
        if (content.size() + 2 > size) {
            report("", "line is longer than " + std::to_string(size - 2) + " bytes");
            return false;
        }
        if (content.find('\0') != std::string_view::npos) {
            report("", "line contains a NUL byte");
            return false;
        }
        const auto text = trimmed(content);
        return !text.starts_with('[') || check_header(text);
    }

    bool check_header(std::string_view text) {
        current_ = nullptr;
        header_seen_ = true;
        const auto end = text.find(']');
        if (end == std::string_view::npos) {
            report("", "section header has no closing bracket");
            return false;
        }
        const auto after = trimmed(text.substr(end + 1));
        if (!after.empty() && after.front() != ';' && after.front() != '#') {
            report("", "text after a section header");
            return false;
        }
        return open_section(text.substr(1, end - 1));
    }

    bool open_section(std::string_view name) {
        if (name.empty() || name.size() > section_limit) {
            report("", "section name is empty or longer than " + std::to_string(section_limit) + " bytes");
            return false;
        }
        const auto [it, is_new] = first_lines_.emplace(name, line_);
        if (!is_new) {
            report(std::string{name}, "section repeated; first at line " + std::to_string(it->second));
            return false;
        }
        result_.sections.push_back({std::string{name}, line_, {}});
        current_ = &result_.sections.back();
        return true;
    }

    void add(const char* name, const char* value) {
        const std::string section = current_ == nullptr ? "" : current_->name;
        if (value == nullptr || *name == '\0') {
            report(section, "line is no section header, key = value pair or comment");
        } else if (current_ != nullptr) {
            current_->entries.push_back({name, value, line_});
        } else if (!header_seen_) {
            report("", "key outside of any section");
        }
    }

    void report(const std::string& section, const std::string& reason) {
        result_.faults.push_back({file_, line_, section, "", reason, ""});
    }

    std::string_view rest_;
    const std::string& file_;
    int line_ = 0;
    bool header_seen_ = false;
    ini_file result_;
    ini_section* current_ = nullptr;  // null while the entries of a faulty section are skipped
    std::map<std::string, int, std::less<>> first_lines_;
};

/// inih keeps its options in global variables. They are set once and never changed again.
void configure_inih() {
    static std::once_flag once;
    std::call_once(once, [] {
        ini_allow_multiline = false;  // an indented line is not a continuation
        ini_allow_no_value = true;    // report each such line instead of only the first
    });
}

}  // namespace

ini_file read_ini(const std::string& text, const std::string& file) {
    configure_inih();
    line_feed feed{text, file};
    ini_parse_stream(line_feed::read, &feed, line_feed::accept, &feed);
    return feed.take();
}

std::string write_ini(const std::vector<ini_section>& sections) {
    std::string out;
    for (const auto& s : sections) {
        out += (out.empty() ? "[" : "\n[") + s.name + "]\n";
        for (const auto& e : s.entries) {
            out += e.key + " = " + e.value + "\n";
        }
    }
    return out;
}

}  // namespace chicorygap::document
