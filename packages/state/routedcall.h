#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Apricot {

struct RoutedCallFields
{
    RequestId attempt; ///< the caller's attempt
    std::string host;
    std::string path; ///< without the query
    std::optional<absl::Duration> timeLeft; ///< what the caller is willing to wait, from arrival
    std::int64_t promptTokens = 0; ///< model services only
    std::int64_t mostOutputTokens = 0; ///< model services only
    std::int64_t likelyOutputTokens = 0; ///< the caller's estimate, right at the median and often far off; 0: none
    std::string lastEvent; ///< event after which a stream is to go on; empty: from its start

    friend auto operator<=>(const RoutedCallFields &, const RoutedCallFields &) = default;
};

/// One call of a caller, as far as decisions need to know it.
using RoutedCall = Immutable<RoutedCallFields>;

}
