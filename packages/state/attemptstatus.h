#pragma once

#include <cstdint>

namespace Apricot {

/// State of an attempt as reported by the node that created its run record.
enum class AttemptStatus : std::uint8_t { InProgress, NeverDispatched, Unknown };

}
