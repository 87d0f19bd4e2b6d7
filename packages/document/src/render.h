/// @file
/// Turns a service document into INI sections.
#pragma once

#include "document/ini.h"
#include "document/service_document.h"

#include <vector>

namespace chicorygap::document {

/// @return every section with every key.
std::vector<ini_section> sections_of(const service_document& d);

}  // namespace chicorygap::document
