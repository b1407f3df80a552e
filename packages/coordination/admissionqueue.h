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
 * \brief The waiting requests of a slice: one fair queue per rank, with rank shares and admission limits.
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

    /// Returns the first token target of a rank.
    absl::Duration target(std::size_t rank) const;

    void recordArrival(std::size_t rank, absl::Time now);
    void recordRefusal(std::size_t rank, absl::Time now);

    /// Whether so many requests of \a rank wait that a new one, which needs \a serviceTime itself, would miss its target.
    bool isFull(std::size_t rank, double capacityPerSecond, absl::Duration serviceTime, absl::Time now) const;

    void push(std::size_t rank, FairQueue::Entry entry);
    std::optional<FairQueue::Entry> remove(const RequestId &id);
    const FairQueue::Entry *find(const RequestId &id) const;

    /// Records that a request was removed from the queue and started, at an estimated cost of \a engineMs of engine time.
    void recordStart(std::size_t rank, const FairQueue::Entry &entry, double engineMs, absl::Time now);

    /// Returns the ranks with waiting requests, in the order in which they are served.
    RankOrder order(absl::Time now) const;

    /// Calls \a visit on requests of one rank in the order in which they should start, until it returns true. See FairQueue.
    /// \a capacityPerSecond, in requests per second, determines whether the rank is overloaded and shared fairly.
    template<class Visit>
    bool visitCandidates(std::size_t rank, double capacityPerSecond, absl::Time now, std::size_t maxCount, Visit &&visit) const
    {
        return m_queues[rank].visitCandidates(orderOf(rank, capacityPerSecond, now), maxCount, std::forward<Visit>(visit));
    }

    /// Returns the requests of all ranks that can no longer meet their target.
    std::vector<RequestId> overdue(absl::Time now) const;

    /// Whether the queue of the rank approaches the length that can be served within its target.
    bool isOverloaded(std::size_t rank, double capacityPerSecond, absl::Time now) const;

    /// Whether a more urgent rank than \a rank had recent arrivals.
    bool hasMoreUrgentDemand(std::size_t rank, absl::Time now) const;

    std::vector<RankLimit> limits(absl::Time now) const;

    /// Returns after which time a refused request of \a rank should be retried.
    absl::Duration retryAfter(std::size_t rank, double capacityPerSecond, absl::Time now) const;

    std::size_t size() const;

    bool isEmpty() const
    {
        return size() == 0;
    }

private:
    FairQueue::Order orderOf(std::size_t rank, double capacityPerSecond, absl::Time now) const;
    double availableFraction(std::size_t rank, absl::Time now) const;
    double maxQueueLengthFor(std::size_t rank, double capacityPerSecond, absl::Duration time, absl::Time now) const;

    RankShares m_shares;
    bool m_urgentFirst;
    bool m_fairness;
    std::vector<FairQueue> m_queues;
    std::vector<DecayingRate> m_starts;
    std::vector<DecayingRate> m_arrivals;
    std::vector<DecayingRate> m_refusals;
};

}
