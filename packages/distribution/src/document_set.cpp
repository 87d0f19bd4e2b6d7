#include "distribution/document_set.h"

#include "distribution/rendezvous.h"
#include "document/parser.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

namespace chicorygap::distribution {

namespace {

using document::object_prefix;

std::string service_name(const std::string& key) {
    return key.starts_with(object_prefix) ? key.substr(object_prefix.size()) : key;
}

document::parse_result parse_named(const document_version& i) {
    auto result = document::parse(i.text, i.key);
    const auto name = service_name(i.key);
    if (result.document && result.document->name.str() != name) {
        result.document.reset();
        result.faults.push_back({i.key, 0, "service", "name", "differs from the object's key", name});
    }
    return result;
}

std::vector<base::key_digest> accepted_keys(const document::service_document& d) {
    std::vector<base::key_digest> out;
    for (const auto& w : d.workspaces) {
        for (const auto& k : w.keys) {
            out.push_back(k.digest);
        }
    }
    std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.str() < b.str(); });
    return out;
}

/// @return keys that `before` accepts and `after` does not.
std::vector<base::key_digest> removed_keys(const document::lookup* before,
                                           const document::service_document& after) {
    std::vector<base::key_digest> out;
    if (before == nullptr) {
        return out;
    }
    const auto kept = accepted_keys(after);
    for (const auto& k : accepted_keys(before->document())) {
        const bool found = std::binary_search(kept.begin(), kept.end(), k,
                                              [](const auto& a, const auto& b) { return a.str() < b.str(); });
        if (!found) {
            out.push_back(k);
        }
    }
    return out;
}

}  // namespace

offer_result document_set::offer(const document_version& i, std::vector<action>& out) {
    if (i.version == 0) {
        return offer_result::ignored;
    }
    auto& s = documents_[i.key];
    keys_[key_hash(i.key)] = i.key;
    // A version older than the newest is still used if it is newer than the active one, since the newest
    // version may be invalid.
    if (i.version <= s.active.version || i.version == s.newest.version || s.invalid.contains(i.version)) {
        return offer_result::ignored;
    }
    document_version full = i;
    if (!expand(s, full)) {
        return offer_result::base_missing;
    }
    accept(s, full, out);
    return offer_result::accepted;
}

bool document_set::expand(const stored& s, document_version& i) {
    if (!i.delta) {
        return true;
    }
    for (const auto* const base : {&s.newest, &s.active}) {
        if (base->version != i.delta->base_version) {
            continue;
        }
        auto text = apply_delta(base->text, *i.delta);
        if (text) {
            i.text = std::move(*text);
            i.delta.reset();
            return true;
        }
    }
    return false;
}

void document_set::accept(stored& s, const document_version& i, std::vector<action>& out) {
    if (i.version > s.newest.version) {
        s.previous = std::exchange(s.newest, i);
    }
    if (i.deleted) {
        activate_version(s, i);
        s.document.reset();
        out.emplace_back(deactivate{base::service_id{service_name(i.key)}, i.version});
        return;
    }
    auto parsed = parse_named(i);
    if (!parsed.document) {
        s.invalid.insert(i.version);
        out.emplace_back(report_invalid{i.key, i.version, to_string(parsed.faults)});
        return;
    }
    auto keys = removed_keys(s.document.get(), *parsed.document);
    auto d = std::make_shared<const document::service_document>(std::move(*parsed.document));
    s.document = std::make_shared<const document::lookup>(std::move(d));
    activate_version(s, i);
    out.emplace_back(activate{s.document, i.version, std::move(keys)});
}

void document_set::activate_version(stored& s, const document_version& i) {
    s.active = i;
    s.invalid.erase(s.invalid.begin(), s.invalid.upper_bound(i.version));
}

std::uint64_t document_set::newest_version(const std::string& key) const {
    const auto it = documents_.find(key);
    return it == documents_.end() ? 0 : it->second.newest.version;
}

digest_entry document_set::entry(std::uint64_t hash) const {
    const auto key = keys_.find(hash);
    if (key == keys_.end()) {
        return {hash, 0, 0};
    }
    const auto& s = documents_.at(key->second);
    return {hash, s.newest.version, s.active.version};
}

std::vector<digest_entry> document_set::entries() const {
    std::vector<digest_entry> out;
    for (const auto& [hash, key] : keys_) {
        out.push_back(entry(hash));
    }
    return out;
}

bool document_set::lacks(const digest_entry& e) const {
    const auto own = entry(e.key_hash);
    if (own.newest_version < e.newest_version) {
        return true;
    }
    // A peer of another release may accept a version that this daemon rejected as invalid; fetching that
    // version again would not change the result.
    const auto key = keys_.find(e.key_hash);
    return own.active_version < e.active_version &&
           !documents_.at(key->second).invalid.contains(e.active_version);
}

std::vector<document_version> document_set::full_versions(std::uint64_t hash) const {
    const auto key = keys_.find(hash);
    if (key == keys_.end()) {
        return {};
    }
    const auto& s = documents_.at(key->second);
    std::vector<document_version> out;
    if (s.active.version > 0) {
        out.push_back(s.active);
    }
    if (s.newest.version > s.active.version) {
        out.push_back(s.newest);
    }
    return out;
}

document_version document_set::latest_change(const std::string& key) const {
    const auto& s = documents_.at(key);
    document_version out = s.newest;
    if (s.previous.version == 0 || s.previous.deleted || s.newest.deleted) {
        return out;
    }
    auto d = make_delta(s.previous.version, s.previous.text, s.newest.text);
    if (d.replacement.size() < s.newest.text.size() / 2) {
        out.text.clear();
        out.delta = std::move(d);
    }
    return out;
}

std::vector<document_version> document_set::update_for(const digest_entry& e) const {
    const auto own = entry(e.key_hash);
    // The active versions are not compared: a peer of another release may have rejected this daemon's active
    // version as invalid and would receive it again after every digest. A peer fetches an active version that
    // it lacks.
    if (own.newest_version <= e.newest_version) {
        return {};
    }
    const auto& key = keys_.at(e.key_hash);
    const bool has_delta_base =
        documents_.at(key).previous.version == e.newest_version && own.active_version == own.newest_version;
    return has_delta_base ? std::vector<document_version>{latest_change(key)} : full_versions(e.key_hash);
}

std::vector<std::shared_ptr<const document::lookup>> document_set::active() const {
    std::vector<std::shared_ptr<const document::lookup>> out;
    for (const auto& [key, s] : documents_) {
        if (s.document != nullptr) {
            out.push_back(s.document);
        }
    }
    return out;
}

}  // namespace chicorygap::distribution
