/// @file
/// Parts of prompts in log lines.
#pragma once

#include "crash_guard/part_ids.h"
#include "crash_guard/prompt_guard.h"

#include <string>
#include <vector>

namespace chicorygap::proxy {

/// @return the ids of the parts that other prompts may share, in hexadecimal, separated by commas.
[[nodiscard]] std::string shared_parts_text(const crash_guard::part_ids& parts);
/// @return the id of the part that belongs to one request; empty if there is none.
[[nodiscard]] std::string own_part_text(const crash_guard::part_ids& parts);
/// @return for each part "id:ends/servers/chance/reason against a decision".
[[nodiscard]] std::string evidence_text(const std::vector<crash_guard::part_status>& parts);

}  // namespace chicorygap::proxy
