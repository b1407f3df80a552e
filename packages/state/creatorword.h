#pragma once

#include <cstdint>

namespace Apricot {

/// What a node that created a run record says of its attempt.
enum class CreatorWord : std::uint8_t { InProgress, NeverDispatched, Unknown };

}
