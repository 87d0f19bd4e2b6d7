/// @file
/// Input events and output actions of the distributor.
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

/// A daemon that the membership protocol reports as alive.
struct member {
    base::vm_id vm;
    base::zone_id zone;

    bool operator==(const member&) const = default;
};

/// The set of reachable peers changed: all live daemons of this zone and the contacts in other zones, without
/// this daemon.
struct members_changed {
    std::vector<member> members;
};

/// Successful result of `watch_platform`; `objects` is empty when the watch ended without a change.
struct platform_replied {
    std::uint64_t after_version = 0;  ///< value of `watch_platform::after_version`; 0 for a complete list.
    std::vector<document_version> objects;
};

/// The call for `watch_platform` failed.
struct platform_failed {};

/// A message arrived from a peer.
struct message_received {
    member from;
    message content;
};

/// A message of a `send` action was not delivered: the connection was refused or the acknowledgement timed
/// out.
struct send_failed {
    base::vm_id to;
    message content;
};

/// Timer event; the caller sends it at least every 500 ms.
struct tick {};

using event =
    std::variant<members_changed, platform_replied, platform_failed, message_received, send_failed, tick>;

/// Send a message to a peer. Delivery is best effort; the caller reports a failure that it detects with
/// `send_failed`.
struct send {
    base::vm_id to;
    message content;
};

/// Watch the platform for objects under `document/`, including deleted ones, that changed after a version. At
/// most one call is outstanding; it ends with `platform_replied` or `platform_failed`.
struct watch_platform {
    std::uint64_t after_version = 0;  ///< 0 lists all objects.
    base::duration max_wait{};        ///< time after which the call returns without a change.
};

/// Replace the active version of a document.
struct activate {
    std::shared_ptr<const document::lookup> document;
    std::uint64_t version = 0;
    /// Keys that the previous version accepted and this one does not. Their queued and running requests must
    /// be ended.
    std::vector<base::key_digest> removed_keys;
};

/// Stop serving a service because its document was deleted.
struct deactivate {
    base::service_id service;
    std::uint64_t version = 0;
};

/// Report an invalid version to operators with the code `document_invalid`. The last valid version stays
/// active.
struct report_invalid {
    std::string key;
    std::uint64_t version = 0;
    std::string faults;
};

/// Report to operators, with the code `document_stale`, that the platform stores an older version than this
/// daemon knows, for example after a restore from a backup. The older version is not used.
struct report_stale {
    std::string key;
    std::uint64_t stored_version = 0;
    std::uint64_t known_version = 0;
};

/// The daemon may serve callers. Emitted at most once.
struct became_ready {};

/// Accept or reject the API keys of a service. The keys are rejected after `isolated_key_lifetime` without
/// contact with the platform or other zones.
struct keys_usable_changed {
    base::service_id service;
    bool usable = true;
};

using action = std::variant<send, watch_platform, activate, deactivate, report_invalid, report_stale,
                            became_ready, keys_usable_changed>;

}  // namespace chicorygap::distribution
