#pragma once

#include "state/configobjects.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace Apricot {

/// Desired role of an engine. The version of the store object that holds it is the fencing number of the orders.
struct DesiredRoleFields
{
    std::string endpoint;
    PoolRole role = PoolRole::Prefill;
    std::string model; ///< name of the service
    std::string modelVersion;
    std::uint64_t fence = 0; ///< fencing number; 0 if the desired role is not written to the store yet

    friend auto operator<=>(const DesiredRoleFields &, const DesiredRoleFields &) = default;
};

using DesiredRole = Immutable<DesiredRoleFields>;

/// Role as reported by the engine.
struct ReportedRole
{
    std::string role; ///< empty if the engine has never received an order
    std::string model;
    std::string modelVersion;
    std::uint64_t fence = 0; ///< fencing number of the order that it follows

    friend auto operator<=>(const ReportedRole &, const ReportedRole &) = default;
};

/// Next operation for one engine.
enum class OrderStep {
    UpToDate, ///< the engine has the desired role
    WriteIntent, ///< write the desired role to the store before any order is sent
    Send, ///< send the order
    Wait, ///< decide again later: the lease expires too soon, orders of an earlier holder may be in transit, or the load rate is exceeded
};

/// Returns the name of a role in orders and reports.
std::string roleName(PoolRole role);

/**
 * \class RoleOrderReconciler
 * \brief Decides when to send role orders to engines, some of which ignore fencing numbers.
 *
 * On such an engine, a delayed order of an earlier lease holder may overwrite a newer order. Therefore each send has a short
 * timeout that ends within the lease, a new holder waits for that timeout before its first order, and orders are repeated
 * until the engine reports the desired role.
 */
class RoleOrderReconciler
{
public:
    /// Timeout for sending an order.
    static constexpr absl::Duration sendTimeout = absl::Milliseconds(500);

    /// Interval after which an order without effect is repeated.
    static constexpr absl::Duration resendInterval = absl::Seconds(2);

    /// Maximum rate of orders. Each order makes an engine load weights from the weight store, which all engines share.
    static constexpr double maxLoadsPerSecond = 0.5;

    /// Records that this node acquired the lease at \a now.
    void recordLeaseAcquired(absl::Time now);

    /// Decides on the next operation for one engine. The lease of this node expires at \a leaseUntil.
    OrderStep decide(const DesiredRole &desired, const ReportedRole &reported, absl::Time leaseUntil, absl::Time now);

private:
    bool tryAcquireLoad(absl::Time now);

    absl::Time m_leaseAcquiredAt = absl::InfiniteFuture();
    std::map<std::string, absl::Time> m_sent; ///< time of the last order, by endpoint
    absl::Time m_lastLoad = absl::InfinitePast();
};

}
