/// @file
/// Translates a service document into the settings of the decision core.
#pragma once

#include "admission/policy.h"
#include "dispatch/dispatcher.h"
#include "document/service_document.h"

namespace chicorygap::gateway {

/// @return admission rules of the document.
admission::policy make_policy(const document::service_document& d);

/// @return settings of a new core.
dispatch::options make_core_options(const document::service_document& d, const base::vm_id& vm,
                                    const base::zone_id& zone);

}  // namespace chicorygap::gateway
