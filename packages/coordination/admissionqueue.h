#pragma once

#include "coordination/decayingrate.h"
#include "coordination/fairqueue.h"
#include "coordination/policy.h"
#include "coordination/rankshares.h"
#include "state/ranklimit.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace Apricot {

/**
 * \class AdmissionQueue
 * \brief All waiting work of a slice: one fair queue per rank, their shares, their limits.
 */
class AdmissionQueue
{
public:
    AdmissionQueue(std::vector<Rank> ranks, const Policy &policy);

    std::size_t rankCount() const
    {
        return m_shares.count();
    }

    std::size_t rankOf(const Work &work) const
    {
        return m_shares.indexOf(work->rank);
    }

    const Rank &rank(std::size_t index) const
    {
        return m_shares.rank(index);
    }

    /// Target for the first token of a rank.
    absl::Duration target(std::size_t rank) const;

    void noteArrival(std::size_t rank, absl::Time now);
    void noteRefusal(std::size_t rank, absl::Time now);

    /// Whether the queue ahead of a new request of \a rank is as long as can be served within \a serviceTime of its target.
    bool isFull(std::size_t rank, double capacityPerSecond, absl::Duration serviceTime, absl::Time now) const;

    void push(std::size_t rank, FairQueue::Entry entry);
    std::optional<FairQueue::Entry> remove(const RequestId &id);
    const FairQueue::Entry *find(const RequestId &id) const;

    /// Notes that a request removed from the queue was given \a engineMs of engine time.
    void noteStart(std::size_t rank, const FairQueue::Entry &entry, double engineMs, absl::Time now);

    /// Ranks in the order in which they are served.
    RankOrder order(absl::Time now) const;

    /// Runs \a visit on requests of one rank in the order in which they should start, until it returns true; see FairQueue.
    /// \a capacityPerSecond says whether the rank is overloaded.
    template<class Visit>
    bool anyCandidate(std::size_t rank, double capacityPerSecond, absl::Time now, std::size_t most, Visit &&visit) const
    {
        return m_queues[rank].anyCandidate(orderOf(rank, capacityPerSecond, now), most, std::forward<Visit>(visit));
    }

    /// Requests of all ranks that can no longer meet their target.
    std::vector<RequestId> overdue(absl::Time now) const;

    /// Whether more of the rank waits than can be served well within its target.
    bool isOverloaded(std::size_t rank, double capacityPerSecond, absl::Time now) const;

    /// Whether a more urgent rank than \a rank has had arrivals lately.
    bool hasUrgentDemand(std::size_t rank, absl::Time now) const;

    std::vector<RankLimit> limits(absl::Time now) const;

    /// When a refused request of \a rank has a fair chance.
    absl::Duration retryAfter(std::size_t rank, double capacityPerSecond, absl::Time now) const;

    std::size_t size() const;

    bool isEmpty() const
    {
        return size() == 0;
    }

private:
    FairQueue::Order orderOf(std::size_t rank, double capacityPerSecond, absl::Time now) const;
    double availableShare(std::size_t rank, absl::Time now) const;
    double placesWithin(std::size_t rank, double capacityPerSecond, absl::Duration time, absl::Time now) const;

    RankShares m_shares;
    bool m_byUrgency;
    bool m_fair;
    std::vector<FairQueue> m_queues;
    std::vector<DecayingRate> m_starts;
    std::vector<DecayingRate> m_arrivals;
    std::vector<DecayingRate> m_refusals;
};

}
