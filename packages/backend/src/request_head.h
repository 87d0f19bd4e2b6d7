/// @file
/// Head of a request to a backend server.
#pragma once

#include "backend/backend_request.h"

#include <Poco/Net/HTTPRequest.h>

namespace chicorygap::backend {

/// @return the head with allow-listed caller fields and the router's own fields only (P4).
[[nodiscard]] Poco::Net::HTTPRequest request_head(const backend_request& r);

}  // namespace chicorygap::backend
