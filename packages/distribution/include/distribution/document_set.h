/// @file
/// Versions of all documents known to one daemon.
#pragma once

#include "distribution/actions.h"
#include "distribution/messages.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chicorygap::distribution {

/// Result of `document_set::offer`.
enum class offer_result {
    ignored,       ///< not newer than the known versions, or known to be invalid.
    accepted,      ///< stored; the version may still be invalid.
    base_missing,  ///< newer, but the base of its delta is missing or does not match.
};

/// Keeps two versions of each document: the newest version seen and the newest valid version, which is
/// active. The active version never decreases, regardless of the order in which versions arrive.
class document_set {
public:
    /// Adds a version received from the platform or a peer.
    /// @param out receives `activate`, `deactivate` or `report_invalid`.
    offer_result offer(const document_version& i, std::vector<action>& out);

    /// @return newest version seen of a document; 0 when the key is unknown.
    [[nodiscard]] std::uint64_t newest_version(const std::string& key) const;
    /// @return versions of the document with this key hash; versions 0 when the hash is unknown.
    [[nodiscard]] digest_entry entry(std::uint64_t key_hash) const;
    [[nodiscard]] std::vector<digest_entry> entries() const;
    /// @return whether a peer with these versions has one that this daemon neither has nor has rejected as
    /// invalid.
    [[nodiscard]] bool lacks(const digest_entry& e) const;
    /// @return the active and the newest version, as full texts; empty when the hash is unknown.
    [[nodiscard]] std::vector<document_version> full_versions(std::uint64_t key_hash) const;
    /// @param key key of a known document.
    /// @return the newest version, as a delta to the previous one if its replacement text is less than half
    /// as long as the full text.
    [[nodiscard]] document_version latest_change(const std::string& key) const;
    /// @return versions to send to a peer with the given versions: the latest change if the peer has its
    /// base, full texts otherwise; empty when the peer has seen the newest version.
    [[nodiscard]] std::vector<document_version> update_for(const digest_entry& e) const;
    /// @return active versions of all documents.
    [[nodiscard]] std::vector<std::shared_ptr<const document::lookup>> active() const;

private:
    struct stored {
        document_version newest;
        document_version previous;  // version that `newest` replaced
        document_version active;
        std::shared_ptr<const document::lookup> document;
        std::set<std::uint64_t> invalid;  // rejected versions newer than the active one
    };

    static bool expand(const stored& s, document_version& i);
    static void activate_version(stored& s, const document_version& i);
    static void accept(stored& s, const document_version& i, std::vector<action>& out);

    std::map<std::string, stored> documents_;    // by key
    std::map<std::uint64_t, std::string> keys_;  // by key hash
};

}  // namespace chicorygap::distribution
