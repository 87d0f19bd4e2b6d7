/// @file
/// Objects of frozen windows.
#pragma once

#include "usage/counts.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::usage {

/// Cumulative numbers of each source that are already in a frozen window.
using mark_table = std::map<source, std::map<row_key, counts>>;

/// Content of the object `usage/<zone>/<window>`. Written once and never changed.
struct window_record {
    window_number window = 0;
    std::string token;  ///< unique per write
    std::vector<window_row> rows;
    mark_table marks;
    /// Sources with a smaller incarnation are retired: their marks have been dropped and their reports are
    /// ignored.
    std::map<std::string, std::uint64_t> oldest_incarnation;
};

/// Content of the object `usage/<zone>/head`, where a new holder starts to read. It may lag behind the
/// windows.
struct head_record {
    window_number origin = 0;    ///< the last window before the first one that is frozen
    window_number frozen = 0;    ///< all windows up to this one are frozen
    window_number reported = 0;  ///< all windows up to this one have been accepted by billing
    std::string token;           ///< unique per write
};

/// @return the record as JSON.
std::string encode(const window_record& r);
std::string encode(const head_record& r);

/// @return the record, or nothing if `text` is not one.
std::optional<window_record> decode_window(const std::string& text);
std::optional<head_record> decode_head(const std::string& text);

}  // namespace chicorygap::usage
