#pragma once

#include "state/name.h"

namespace Apricot {

/// Rate of requests of one rank that the slice owner currently accepts. Coordinators refuse the excess without asking the owner.
struct RankLimit
{
    RankName rank;
    bool overloaded = false; ///< the owner currently refuses requests of this rank
    double requestsPerSecond = 0; ///< rate at which the owner starts requests of this rank

    friend bool operator==(const RankLimit &, const RankLimit &) = default;
};

}
