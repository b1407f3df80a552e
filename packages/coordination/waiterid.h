#pragma once

#include <cstdint>

namespace Apricot {

/// Identifies a call that waits for capacity in a ServicePool.
using WaiterId = std::uint64_t;

}
