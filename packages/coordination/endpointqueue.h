#pragma once

#include "coordination/waiterid.h"
#include "state/engineentry.h"
#include "state/name.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Apricot {

/// Requirements of a call whose answer is not streamed, from which a ServicePool chooses its endpoint.
struct PlainDemand
{
    DataCentreName nearTo; ///< data centre of the calling node
    std::vector<EngineId> excludedEngines; ///< endpoints that have failed this call
    std::int64_t rank = 0; ///< 0 is the most urgent
    double random = 0; ///< in [0, 1); keeps nodes that decide at the same time from all choosing the same endpoint

    friend bool operator==(const PlainDemand &, const PlainDemand &) = default;
};

/**
 * \class EndpointQueue
 * \brief The plain calls of one service that wait at this node because all endpoints are full: by rank, then by arrival.
 */
class EndpointQueue
{
public:
    /// Maximum number of waiting calls: each holds its body in memory.
    static constexpr std::size_t maxCalls = 256;

    using Key = std::pair<std::int64_t, std::uint64_t>; ///< rank and number of arrival

    /// Adds a call; returns whether there was place for it.
    bool add(WaiterId waiter, const PlainDemand &demand)
    {
        return m_calls.size() < maxCalls && m_calls.emplace(Key{demand.rank, ++m_lastArrival}, std::pair(waiter, demand)).second;
    }

    void remove(WaiterId waiter)
    {
        std::erase_if(m_calls, [&](const auto &it) { return it.second.first == waiter; });
    }

    std::size_t size() const
    {
        return m_calls.size();
    }

    /// Calls \a grant with each waiting call in order, and removes those for which it returns true.
    template<class Function>
    void grantEach(Function &&grant)
    {
        std::erase_if(m_calls, [&](const auto &it) { return grant(it.second.first, it.second.second); });
    }

private:
    std::map<Key, std::pair<WaiterId, PlainDemand>> m_calls;
    std::uint64_t m_lastArrival = 0;
};

}
