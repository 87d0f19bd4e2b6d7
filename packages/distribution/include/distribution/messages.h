/// @file
/// Messages between daemons that distribute documents.
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
    std::string text;  ///< full text; empty when `delta` is present or the object was deleted.
    std::optional<text_delta> delta;

    bool operator==(const document_version&) const = default;
};

/// Versions of documents, sent down a push tree, as reply to a fetch, or to a peer whose digest lacks them.
struct push {
    base::vm_id root;  ///< root of the push tree; empty outside of a push tree.
    std::vector<document_version> versions;

    bool operator==(const push&) const = default;
};

/// Requests documents from a peer.
struct fetch {
    std::vector<std::uint64_t> key_hashes;

    bool operator==(const fetch&) const = default;
};

/// Versions of one document that a daemon has.
struct digest_entry {
    std::uint64_t key_hash = 0;
    std::uint64_t newest_version = 0;  ///< newest version seen, valid or not.
    std::uint64_t active_version = 0;  ///< newest valid version.

    bool operator==(const digest_entry&) const = default;
};

/// Versions of documents that a daemon has, sent with gossip. The ages hold at the time of sending; an age is
/// absent when the sender knows of no contact.
struct digest {
    bool complete = false;  ///< whether `entries` lists every document of the sender.
    std::vector<digest_entry> entries;
    /// Time since the last reply of the platform to a daemon of the zone.
    std::optional<base::duration> platform_contact_age;
    /// Time since the last contact of the zone with the platform or another zone.
    std::optional<base::duration> external_contact_age;

    bool operator==(const digest&) const = default;
};

/// Requests a complete digest from a peer.
struct digest_request {
    bool operator==(const digest_request&) const = default;
};

using message = std::variant<push, fetch, digest, digest_request>;

}  // namespace chicorygap::distribution
