#pragma once

#include "state/name.h"

namespace Apricot {

/// How many requests of one rank the owner can take now; coordinators refuse the rest without asking.
struct RankLimit
{
    RankName rank;
    bool flooded = false; ///< the owner refuses requests of this rank
    double requestsPerSecond = 0; ///< what it starts of them

    friend bool operator==(const RankLimit &, const RankLimit &) = default;
};

}
