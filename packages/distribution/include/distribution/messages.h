/// @file
/// Messages that daemons exchange about documents.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "distribution/delta.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chicorygap::distribution {

/// One version of a stored document.
struct document_version {
    std::string key;            ///< object key, for example "document/booking".
    std::uint64_t version = 0;  ///< the object's version on the platform.
    bool deleted = false;
    std::string text;  ///< empty when `delta` is present.
    std::optional<text_delta> delta;

    bool operator==(const document_version&) const = default;
};

/// Versions of documents, sent down the push tree or as reply to a fetch.
struct push {
    base::vm_id root;  ///< root of the push tree; empty in a reply to a fetch.
    std::vector<document_version> versions;

    bool operator==(const push&) const = default;
};

/// Asks for documents.
struct fetch {
    std::vector<std::uint64_t> key_hashes;

    bool operator==(const fetch&) const = default;
};

/// Versions that a daemon has of one document.
struct digest_entry {
    std::uint64_t key_hash = 0;
    std::uint64_t newest_version = 0;  ///< newest version seen, valid or not.
    std::uint64_t active_version = 0;  ///< newest valid version.

    bool operator==(const digest_entry&) const = default;
};

/// What a daemon has, carried by gossip. Ages are those of the sender's evidence when it sent the digest;
/// absent when it has none.
struct digest {
    bool complete = false;  ///< lists every document.
    std::vector<digest_entry> entries;
    std::optional<base::duration>
        platform_contact_age;  ///< since a reply of the platform to a daemon of the zone.
    std::optional<base::duration> external_contact_age;  ///< since contact with the platform or another zone.

    bool operator==(const digest&) const = default;
};

/// Asks a peer for a complete digest.
struct digest_request {
    bool operator==(const digest_request&) const = default;
};

using message = std::variant<push, fetch, digest, digest_request>;

}  // namespace chicorygap::distribution
