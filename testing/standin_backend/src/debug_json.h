/// @file
/// JSON of the stand-in's reports.
#pragma once

#include "engine.h"
#include "journal.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicorygap::standin_backend {

[[nodiscard]] std::string received_json(const std::vector<received_request>& requests);
[[nodiscard]] std::string runs_json(const std::map<std::string, std::uint64_t>& runs);
[[nodiscard]] std::string orders_json(const std::vector<order_entry>& orders);
[[nodiscard]] std::string cancelled_json(const std::vector<std::string>& ids);
[[nodiscard]] std::string events_json(const std::vector<cache_event>& events);

}  // namespace chicorygap::standin_backend
