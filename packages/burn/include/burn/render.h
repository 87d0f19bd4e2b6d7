/// @file
/// Output formats of a report.
#pragma once

#include "base/time.h"
#include "burn/report.h"

#include <ostream>

namespace chicorygap::burn {

/// Writes a table for terminals with the worst workspace and the most frequent causes of each class.
void write_text(std::ostream& out, const report& r);

/// Writes the complete report, including all workspaces, as one JSON object.
void write_json(std::ostream& out, const report& r, base::wall_time at);

/// Writes one HTML page with inline SVG plots that refers to no other resource.
void write_html(std::ostream& out, const report& r, base::wall_time at);

}  // namespace chicorygap::burn
