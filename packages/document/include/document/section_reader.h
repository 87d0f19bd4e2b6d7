/// @file
/// Typed access to the entries of one INI section.
#pragma once

#include "base/time.h"
#include "document/ini.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chicorygap::document {

/// Accepted values of a number or a duration, both ends included.
template <typename T>
struct range {
    T minimum;
    T maximum;
};

/// Reads the keys of one section by type and collects a fault for each entry that it cannot accept.
///
/// Usage: construct, read each known key once, then call `finish`, which reports every other key as unknown:
/// @code
/// section_reader r{section, file, faults};
/// c.deadline = r.time("deadline", {1ms, 1h}, 30s);
/// r.finish();
/// @endcode
/// A getter without default reports a missing key. A key may appear once, except in `list` and `lines`.
class section_reader {
public:
    /// @param section entries to read; must outlive the reader.
    /// @param file name used in faults.
    /// @param faults receives the faults; must outlive the reader.
    section_reader(const ini_section& section, std::string file, std::vector<fault>& faults);

    /// @return the value; the default, or "" with a fault, when the key is absent.
    std::string text(const std::string& key, const std::optional<std::string>& fallback = std::nullopt);
    /// Reads a name made of letters, digits, `.`, `_` and `-`, at most `name_limit` long.
    std::string name(const std::string& key, const std::optional<std::string>& fallback = std::nullopt);
    std::uint64_t number(const std::string& key, range<std::uint64_t> allowed,
                         std::optional<std::uint64_t> fallback = std::nullopt);
    double real(const std::string& key, range<double> allowed, std::optional<double> fallback = std::nullopt);
    /// Reads `yes` or `no`.
    bool flag(const std::string& key, std::optional<bool> fallback = std::nullopt);
    /// Reads a duration such as `250ms`, `5s`, `1h`; units us, ms, s, min, h, d.
    base::duration time(const std::string& key, range<base::duration> allowed,
                        std::optional<base::duration> fallback = std::nullopt);
    /// @return the index of the value in `choices`.
    std::size_t choice(const std::string& key, const std::vector<std::string>& choices,
                       std::optional<std::size_t> fallback = std::nullopt);
    /// Reads a list separated by commas; the key may appear on several lines, whose items are joined.
    std::vector<std::string> list(const std::string& key);
    /// @return the entries of a key that may appear on several lines, in file order.
    std::vector<ini_entry> lines(const std::string& key);

    /// @return true when the key is present.
    [[nodiscard]] bool has(const std::string& key) const;
    /// Reports a fault at the entry of `key`, or at the section when the key is absent.
    void report(const std::string& key, const std::string& reason, const std::string& allowed = "");
    /// Reports a fault at a line.
    void report_line(int line, const std::string& key, const std::string& reason,
                     const std::string& allowed = "");
    /// Reports every entry whose key has not been read.
    void finish();

private:
    const ini_entry* single(const std::string& key, bool required);
    [[nodiscard]] const ini_entry* find(const std::string& key) const;

    const ini_section& section_;
    std::string file_;
    std::vector<fault>& faults_;
    std::set<std::string> known_;
};

/// Longest accepted name. With the longest section prefix it stays below inih's section limit of 49
/// characters.
inline constexpr std::size_t name_limit = 36;

/// @return true for 1 to `name_limit` letters, digits, `.`, `_` and `-`, beginning with a letter or digit.
bool is_name(std::string_view text);

/// @return the duration, or nothing for malformed text or an overflow.
std::optional<base::duration> parse_duration(std::string_view text);

/// @return the duration in its largest exact unit, for example `250ms`.
std::string format_duration(base::duration d);

/// @return the number in the shortest form that reads back as the same value.
std::string format_real(double value);

/// @return the UTC time of `2027-01-31T00:00:00Z`, or nothing for malformed text.
std::optional<base::wall_time> parse_wall_time(const std::string& text);

/// @return the time as UTC with whole seconds.
std::string format_wall_time(base::wall_time t);

}  // namespace chicorygap::document
