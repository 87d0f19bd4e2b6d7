/// @file
/// Brings service documents into force.
#pragma once

#include "gateway/registry.h"
#include "platform/object_store.h"
#include "settings/daemon_settings.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace chicorygap::daemon_app {

/// Prefix of the objects that hold service documents.
inline constexpr const char* document_prefix = "document/";

/// Reads documents from files and from the platform. Older versions are ignored, and an invalid document
/// leaves the last valid one in force.
class document_sync {
public:
    /// @param store platform's objects; null if the settings name no platform.
    document_sync(gateway::registry& r, const settings::daemon_settings& s, platform::object_store* store);

    /// Reads the documents of the settings.
    /// @throws base::error with `document_invalid` or `settings_invalid`.
    void load_files();

    /// Reads all documents of the platform once.
    /// @throws base::error with `platform_unavailable`.
    void refresh();

    /// Waits for a change and applies it.
    /// @throws base::error with `platform_unavailable`.
    void watch();

    /// Applies one version of a document.
    /// @return false if it was ignored as old or refused as invalid.
    bool apply(const std::string& key, const std::string& text, std::uint64_t version);

    /// @return true once documents were read.
    [[nodiscard]] bool ready() const { return ready_; }
    /// @return versions in force by object key.
    [[nodiscard]] std::map<std::string, std::uint64_t> versions() const;
    /// @return faults of refused newer versions by object key.
    [[nodiscard]] std::map<std::string, std::string> faults() const;

private:
    void apply_all(const std::vector<platform::object>& objects);

    gateway::registry& registry_;
    const settings::daemon_settings& settings_;
    platform::object_store* store_;
    std::atomic<bool> ready_{false};
    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t> versions_;
    std::map<std::string, std::string> faults_;
    std::uint64_t seen_ = 0;
};

}  // namespace chicorygap::daemon_app
