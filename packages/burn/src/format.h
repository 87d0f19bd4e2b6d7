/// @file
/// Text forms of figures.
#pragma once

#include "base/time.h"
#include "burn/report.h"

#include <string>

namespace chicorygap::burn {

std::string fixed(double value, int digits);
std::string percent(double share);
/// @return for example "45m", "3.5h" or "2.0d".
std::string readable(base::duration d);
/// @return names of the missing daemons, separated by spaces.
std::string missing_list(const report& r);

}  // namespace chicorygap::burn
