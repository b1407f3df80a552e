#pragma once

#include "state/configset.h"
#include "state/rawobject.h"

#include <variant>
#include <vector>

namespace Apricot {

/// Checks a complete set of objects. Returns the typed set, or every fault of it at once, sorted.
std::variant<ConfigSet, std::vector<Fault>> validateConfig(const std::vector<RawObject> &objects);

}
