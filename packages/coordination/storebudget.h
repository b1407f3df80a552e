#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace Apricot {

/// Rates of the platform's store that the whole fleet shares, calls per second.
struct StoreRates
{
    static constexpr double writesPerSecond = 300;
    static constexpr double readsPerSecond = 1500;
};

/**
 * \class StoreBudget
 * \brief This node's part of the store's rates. Nodes divide them by the number that they see, without asking each other.
 */
class StoreBudget
{
public:
    /// \a nodes share the rates from \a now on.
    void setNodes(std::size_t nodes);

    /// Spends one call if there is one; returns how long to wait if there is none, zero if the call may go.
    absl::Duration spendRead(absl::Time now);
    absl::Duration spendWrite(absl::Time now);

private:
    struct Bucket
    {
        double tokens = 0;
        absl::Time updated = absl::InfinitePast();
    };

    static absl::Duration spend(Bucket *bucket, double perSecond, absl::Time now);

    double m_nodes = 1;
    Bucket m_reads;
    Bucket m_writes;
};

}
