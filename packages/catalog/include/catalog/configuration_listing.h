/// @file
/// The entries of an operator's configuration as they stand in the document.
#pragma once

#include "catalog/route.h"
#include "catalog/service.h"
#include "catalog/snapshot.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorygap::catalog {

/// Where an entry stands in the document.
struct configuration_place {
    std::string path;      ///< list and index, for example `routes[3]`; empty for the document as a whole
    std::size_t line = 0;  ///< line of the entry, from 1; 0 if unknown
    std::string name;      ///< name of the entry, if it has one

    bool operator==(const configuration_place&) const = default;
};

/// How serious a finding is.
enum class finding_severity {
    error,    ///< requests are refused, or something that the operator wrote has no effect
    warning,  ///< allowed, but probably not meant
};

/// What is wrong with an entry.
enum class finding_kind {
    invalid_entry,  ///< the entry is skipped
    ignored_field,  ///< a field has the wrong type or range, and its default is used
    never_matches,  ///< the entry can have no effect
    contradiction,  ///< two limits, or a limit and its purpose, exclude each other
    version_order,  ///< the daemons keep the version in force
};

/// @return name of the severity for text and JSON.
const char* to_string(finding_severity s);
/// @return name of the kind for text and JSON.
const char* to_string(finding_kind k);

/// One finding about a configuration. Holds no API key.
struct configuration_finding {
    finding_severity severity = finding_severity::error;
    finding_kind kind = finding_kind::invalid_entry;
    configuration_place place;
    std::string text;
};

/// An entry with its place.
template <typename T>
struct listed {
    T entry;
    configuration_place place;
};

/// A workspace with its API keys.
struct listed_workspace {
    workspace of;
    std::vector<std::string> api_keys;

    bool operator==(const listed_workspace& other) const {
        return of.id == other.of.id && of.tier == other.of.tier && api_keys == other.api_keys;
    }
};

/// All entries in the order of the document, also those that others replace in the `snapshot`.
struct configuration_listing {
    std::uint64_t version = 0;
    std::vector<listed<route>> routes;
    std::vector<listed<service>> services;
    std::vector<listed<listed_workspace>> workspaces;
    /// Requests need an API key unless their route is anonymous.
    bool api_keys_required = false;
    listed<caller_limits> limits;
    /// What the decoder skipped.
    std::vector<configuration_finding> skipped;
};

}  // namespace chicorygap::catalog
