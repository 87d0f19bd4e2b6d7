/// @file
/// Reads, writes and compares service documents.
#pragma once

#include "document/fault.h"
#include "document/service_document.h"

#include <optional>
#include <string>
#include <vector>

namespace chicorygap::document {

/// Largest accepted document; the Object API stores values up to 1 MB.
inline constexpr std::size_t document_size_limit = 1'000'000;

/// Result of `parse`: a document exactly when there are no faults.
struct parse_result {
    std::optional<service_document> document;
    std::vector<fault> faults;
};

/// Reads and validates a service document.
/// @param text INI text.
/// @param file name used in faults.
/// @return the document, or all faults found.
parse_result parse(const std::string& text, const std::string& file);

/// As `parse`, for callers that need a document.
/// @throws base::error with `document_invalid` and all faults as text.
service_document parse_or_throw(const std::string& text, const std::string& file);

/// A valid document and the name used in faults.
struct named_document {
    std::string file;
    const service_document* document = nullptr;
};

/// Checks documents that are active at the same time: each service once, no method and path in two services,
/// and a key digest only for workspaces of one name, since the key alone selects the workspace.
std::vector<fault> check_together(const std::vector<named_document>& documents);

/// @return INI text with every key; `parse` reads it back as an equal document.
std::string render(const service_document& d);

/// One difference between two documents.
struct change {
    std::string section;
    std::string key;     ///< empty when the whole section was added or removed.
    std::string before;  ///< empty when added.
    std::string after;   ///< empty when removed.

    bool operator==(const change&) const = default;
};

/// @return the changed sections and keys, in the order of `before`, then of `after`.
std::vector<change> diff(const service_document& before, const service_document& after);

/// @return one line for display, for example `[class urgent] deadline: 5s -> 8s`.
std::string to_string(const change& c);

}  // namespace chicorygap::document
