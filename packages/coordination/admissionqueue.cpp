#include "coordination/admissionqueue.h"

#include "state/action.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Time window of the arrival, start and refusal rates.
constexpr absl::Duration rateWindow = absl::Seconds(2);

/// A queue with fewer requests is never full, so that small bursts are not refused.
constexpr double minQueueLimit = 4;

/// A rank whose queue exceeds this fraction of the limit is overloaded and shared fairly between workspaces.
constexpr double overloadFraction = 0.7;

/// Above this rate of refusals, coordinators are instructed to limit the rank.
constexpr double overloadRefusalsPerSecond = 2;

/// The limit sent to coordinators exceeds the start rate by this factor, so that the queue does not run empty.
constexpr double limitMarginFactor = 1.25;

/// Bounds of the retry delay that is sent with a refusal.
constexpr absl::Duration minRetryAfter = absl::Milliseconds(200);
constexpr absl::Duration maxRetryAfter = absl::Seconds(5);

/// A rank with a lower arrival rate has no demand.
constexpr double minDemandPerSecond = 0.05;

bool usesFloors(const Policy &policy)
{
    return std::visit(Overloaded{[](const LadderPolicy &it) { return it.floors; },
                                 [](const auto &) {
                                     return false;
                                 }},
                      policy);
}

bool servesByUrgency(const Policy &policy)
{
    return std::visit(Overloaded{[](const LadderPolicy &it) { return it.urgentFirst; },
                                 [](const auto &) {
                                     return false;
                                 }},
                      policy);
}

bool sharesFairly(const Policy &policy)
{
    return std::visit(Overloaded{[](const LadderPolicy &it) { return it.fairness; },
                                 [](const auto &) {
                                     return false;
                                 }},
                      policy);
}

}

AdmissionQueue::AdmissionQueue(std::vector<Rank> ranks, const Policy &policy)
    : m_shares(std::move(ranks), usesFloors(policy))
    , m_urgentFirst(servesByUrgency(policy))
    , m_fairness(sharesFairly(policy))
    , m_queues(m_shares.count())
    , m_starts(m_shares.count(), DecayingRate(rateWindow))
    , m_arrivals(m_shares.count(), DecayingRate(rateWindow))
    , m_refusals(m_shares.count(), DecayingRate(rateWindow))
{
}

absl::Duration AdmissionQueue::target(std::size_t rank) const
{
    return absl::Milliseconds(m_shares.rank(rank)->firstTokenMs);
}

void AdmissionQueue::recordArrival(std::size_t rank, absl::Time now)
{
    m_arrivals[rank].add(1, now);
}

void AdmissionQueue::recordRefusal(std::size_t rank, absl::Time now)
{
    m_refusals[rank].add(1, now);
}

bool AdmissionQueue::isFull(std::size_t rank, double capacityPerSecond, absl::Duration serviceTime, absl::Time now) const
{
    const absl::Duration budget = target(rank) - serviceTime;
    return static_cast<double>(m_queues[rank].size()) >= maxQueueLengthFor(rank, capacityPerSecond, budget, now);
}

void AdmissionQueue::push(std::size_t rank, FairQueue::Entry entry)
{
    m_queues[rank].push(std::move(entry));
}

std::optional<FairQueue::Entry> AdmissionQueue::remove(const RequestId &id)
{
    for (FairQueue &queue : m_queues) {
        if (std::optional<FairQueue::Entry> entry = queue.remove(id)) {
            return entry;
        }
    }
    return std::nullopt;
}

const FairQueue::Entry *AdmissionQueue::find(const RequestId &id) const
{
    for (const FairQueue &queue : m_queues) {
        if (const FairQueue::Entry *entry = queue.find(id)) {
            return entry;
        }
    }
    return nullptr;
}

void AdmissionQueue::recordStart(std::size_t rank, const FairQueue::Entry &entry, double engineMs, absl::Time now)
{
    m_shares.charge(rank, engineMs, now);
    m_starts[rank].add(1, now);
    m_queues[rank].charge(entry.work, entry.weight, engineMs);
}

RankOrder AdmissionQueue::order(absl::Time now) const
{
    RankOrder ranks = m_shares.order([this](std::size_t rank) { return !m_queues[rank].isEmpty(); }, now);
    if (!m_urgentFirst) {
        std::stable_sort(ranks.begin(), ranks.end(),
                         [&](std::size_t a, std::size_t b) { return m_queues[a].firstLatestStart() < m_queues[b].firstLatestStart(); });
    }
    return ranks;
}

FairQueue::Order AdmissionQueue::orderOf(std::size_t rank, double capacityPerSecond, absl::Time now) const
{
    const bool fair = m_fairness && isOverloaded(rank, capacityPerSecond, now);
    return fair ? FairQueue::Order::FairBetweenWorkspaces : FairQueue::Order::ByDeadline;
}

bool AdmissionQueue::isOverloaded(std::size_t rank, double capacityPerSecond, absl::Time now) const
{
    return static_cast<double>(m_queues[rank].size()) > maxQueueLengthFor(rank, capacityPerSecond, target(rank), now) * overloadFraction;
}

std::vector<RequestId> AdmissionQueue::overdue(absl::Time now) const
{
    std::vector<RequestId> found;
    for (const FairQueue &queue : m_queues) {
        const std::vector<RequestId> late = queue.overdue(now);
        found.insert(found.end(), late.begin(), late.end());
    }
    return found;
}

bool AdmissionQueue::hasMoreUrgentDemand(std::size_t rank, absl::Time now) const
{
    for (std::size_t i = 0; i < rank; ++i) {
        if (m_arrivals[i].perSecond(now) > minDemandPerSecond) {
            return true;
        }
    }
    return false;
}

std::vector<RankLimit> AdmissionQueue::limits(absl::Time now) const
{
    std::vector<RankLimit> found;
    for (std::size_t i = 0; i < m_queues.size(); ++i) {
        const bool overloaded = m_refusals[i].perSecond(now) > overloadRefusalsPerSecond;
        found.push_back(RankLimit{m_shares.rank(i)->name, overloaded, m_starts[i].perSecond(now) * limitMarginFactor + 1});
    }
    return found;
}

absl::Duration AdmissionQueue::retryAfter(std::size_t rank, double capacityPerSecond, absl::Time now) const
{
    const double rate = capacityPerSecond * availableFraction(rank, now);
    const double seconds = rate > 0 ? static_cast<double>(m_queues[rank].size() + 1) / rate : absl::ToDoubleSeconds(maxRetryAfter);
    return std::clamp(absl::Seconds(seconds), minRetryAfter, maxRetryAfter);
}

std::size_t AdmissionQueue::size() const
{
    std::size_t n = 0;
    for (const FairQueue &queue : m_queues) {
        n += queue.size();
    }
    return n;
}

double AdmissionQueue::availableFraction(std::size_t rank, absl::Time now) const
{
    double others = 0;
    for (std::size_t i = 0; i < m_queues.size(); ++i) {
        if (i < rank) {
            others += m_shares.recentFraction(i, now);
        } else if (i > rank && !m_queues[i].isEmpty()) {
            others += std::min(m_shares.rank(i)->floorShare, m_shares.recentFraction(i, now));
        }
    }
    return std::max(1 - others, m_shares.rank(rank)->floorShare);
}

double AdmissionQueue::maxQueueLengthFor(std::size_t rank, double capacityPerSecond, absl::Duration time, absl::Time now) const
{
    const double fraction = m_urgentFirst ? availableFraction(rank, now) : 1.0;
    return std::max(capacityPerSecond * fraction * absl::ToDoubleSeconds(time), minQueueLimit);
}

}
