/// @file
/// Versions of all documents that one daemon has.
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

/// Result of offering an item.
enum class offer_result {
    ignored,       ///< not newer than what is known.
    accepted,      ///< newer; it may still be invalid.
    base_missing,  ///< newer, but its delta needs a version that is not here.
};

/// Keeps two versions per document: the newest seen, and the newest valid one, which is active. The active
/// version never decreases, whatever the order of offers.
class document_set {
public:
    /// @param out receives `activate`, `withdraw` or `report_invalid`.
    offer_result offer(const document_version& i, std::vector<action>& out);

    /// @return newest version seen of a key; 0 for none.
    [[nodiscard]] std::uint64_t newest_version(const std::string& key) const;
    /// @return versions of the document with this hash; zeros for none.
    [[nodiscard]] digest_entry entry(std::uint64_t key_hash) const;
    [[nodiscard]] std::vector<digest_entry> entries() const;
    /// @return true when a peer with these versions has one that this daemon lacks and has not found invalid.
    [[nodiscard]] bool lacks(const digest_entry& e) const;
    /// @return the active version and the newest one, as full texts; empty for an unknown hash.
    [[nodiscard]] std::vector<document_version> full_versions(std::uint64_t key_hash) const;
    /// @return the newest version, as a delta to the one before when that is smaller.
    [[nodiscard]] document_version latest_change(const std::string& key) const;
    /// @return what to offer to a peer with these versions: the latest change if that suffices, else full
    /// texts; empty when the peer has seen the newest version.
    [[nodiscard]] std::vector<document_version> update_for(const digest_entry& e) const;
    /// @return documents in use.
    [[nodiscard]] std::vector<std::shared_ptr<const document::lookup>> active() const;

private:
    struct stored {
        document_version newest;
        document_version previous;  // newest one before `newest`
        document_version active;
        std::shared_ptr<const document::lookup> document;
        std::set<std::uint64_t> invalid;  // versions above the active one
    };

    static bool expand(const stored& s, document_version& i);
    static void activate_version(stored& s, const document_version& i);
    static void accept(stored& s, const document_version& i, std::vector<action>& out);

    std::map<std::string, stored> documents_;
    std::map<std::uint64_t, std::string> keys_;
};

}  // namespace chicorygap::distribution
