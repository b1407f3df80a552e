#pragma once

#include "state/configobjects.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace Apricot {

/// What an engine is wanted to be. The version of the object that holds it is the fencing number of its orders.
struct WantedRoleFields
{
    std::string endpoint;
    PoolRole role = PoolRole::Prefill;
    std::string model; ///< name of the service
    std::string modelVersion;
    std::uint64_t fence = 0; ///< 0: the intent is not written yet

    friend auto operator<=>(const WantedRoleFields &, const WantedRoleFields &) = default;
};

using WantedRole = Immutable<WantedRoleFields>;

/// What an engine says that it is.
struct ReportedRole
{
    std::string role; ///< empty if it was never given an order
    std::string model;
    std::string modelVersion;
    std::uint64_t fence = 0; ///< of the order that it follows

    friend auto operator<=>(const ReportedRole &, const ReportedRole &) = default;
};

/// What to do about one engine.
enum class OrderStep {
    InForce, ///< the engine is what is wanted
    WriteIntent, ///< the wanted role has to be written before any order is sent
    Send, ///< send the order now
    Wait, ///< not now: the lease is too short, another holder's orders may be on their way, or the weight store is busy
};

/// Name of a role in orders and reports.
std::string roleName(PoolRole role);

/**
 * \class OrderKeeper
 * \brief Decides on orders to engines, some of which ignore fencing numbers.
 *
 * As a late order of an earlier holder may overwrite a newer one on such an engine, a send has a short deadline inside the
 * lease, a new holder waits that deadline out, and orders are repeated until the engine reports what is wanted.
 */
class OrderKeeper
{
public:
    /// An order is given up if it was not taken within this time.
    static constexpr absl::Duration sendDeadline = absl::Milliseconds(500);

    /// An order that has no effect is repeated after this long.
    static constexpr absl::Duration repeatAfter = absl::Seconds(2);

    /// Orders make engines load weights; this many may start in a second, as the weight store is shared.
    static constexpr double loadsPerSecond = 0.5;

    /// Notes that this node took the lease at \a now.
    void leaseTaken(absl::Time now);

    /// Decides on one engine; \a leaseUntil is when this node stops being the holder.
    OrderStep decide(const WantedRole &wanted, const ReportedRole &reported, absl::Time leaseUntil, absl::Time now);

private:
    bool mayLoad(absl::Time now);

    absl::Time m_takenAt = absl::InfiniteFuture();
    std::map<std::string, absl::Time> m_sent; ///< by endpoint
    absl::Time m_lastLoad = absl::InfinitePast();
};

}
