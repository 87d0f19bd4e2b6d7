/// @file
/// Events and actions of the distributor.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "distribution/messages.h"
#include "document/lookup.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace chicorygap::distribution {

/// A daemon that membership reports as live.
struct member {
    base::vm_id vm;
    base::zone_id zone;

    bool operator==(const member&) const = default;
};

/// Live members of this zone and contacts in other zones, without this daemon.
struct members_changed {
    std::vector<member> members;
};

/// Reply to `watch_platform`; empty when nothing changed.
struct platform_replied {
    std::uint64_t after_version = 0;  ///< as in the action.
    std::vector<document_version> objects;
};

/// `watch_platform` failed.
struct platform_failed {};

/// A peer's message.
struct message_received {
    member from;
    message content;
};

/// A `send` action failed: the peer refused the connection or did not confirm in time.
struct send_failed {
    base::vm_id to;
    message content;
};

/// Time passed; expected at least every 500 ms.
struct tick {};

using event =
    std::variant<members_changed, platform_replied, platform_failed, message_received, send_failed, tick>;

/// Send a message to a peer. It may be lost; a known failure should come back as `send_failed`.
struct send {
    base::vm_id to;
    message content;
};

/// Ask the platform for objects under `document/` changed after a version, deleted ones included; `after` 0
/// asks for all. One call is outstanding at a time and ends in `platform_replied` or `platform_failed`.
struct watch_platform {
    std::uint64_t after_version = 0;
    base::duration max_wait{};
};

/// Use this document from now on.
struct activate {
    std::shared_ptr<const document::lookup> document;
    std::uint64_t version = 0;
    /// Keys that the previous version accepted and this one does not: end their queued and running requests.
    std::vector<base::key_digest> removed_keys;
};

/// The document was deleted: stop serving the service.
struct deactivate {
    base::service_id service;
    std::uint64_t version = 0;
};

/// A new version is invalid; the last valid one stays active. Shown to operators with `document_invalid`.
struct report_invalid {
    std::string key;
    std::uint64_t version = 0;
    std::string faults;
};

/// The platform stores an older version than the daemons have, for example after it was restored from a
/// backup. The older version is not used. Shown to operators with `document_stale`.
struct report_stale {
    std::string key;
    std::uint64_t stored_version = 0;
    std::uint64_t known_version = 0;
};

/// The daemon may serve callers. Emitted once.
struct became_ready {};

/// Whether the service's keys may be used; false after `isolated_key_lifetime` in isolation.
struct keys_usable_changed {
    base::service_id service;
    bool usable = true;
};

using action = std::variant<send, watch_platform, activate, deactivate, report_invalid, report_stale,
                            became_ready, keys_usable_changed>;

}  // namespace chicorygap::distribution
