#pragma once

#include "state/configset.h"
#include "state/rawobject.h"

#include <variant>
#include <vector>

namespace Apricot {

/// Validates a complete set of objects. Returns the typed configuration, or all faults, sorted.
std::variant<ConfigSet, std::vector<ConfigFault>> validateConfig(const std::vector<RawObject> &objects);

}
