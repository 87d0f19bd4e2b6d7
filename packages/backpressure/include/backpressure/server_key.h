/// @file
/// Key of a server.
#pragma once

#include "backpressure/signal_report.h"
#include "catalog/backend_server.h"

namespace chicorygap::backpressure {

/// @return key of a server.
[[nodiscard]] server_key key_of(const catalog::backend_server& s);

}  // namespace chicorygap::backpressure
