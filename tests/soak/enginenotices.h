#pragma once

#include "state/mutex.h"

#include <absl/time/time.h>

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace Apricot {

/// One process of a node. A restart excuses what the process before did not know.
struct NodeLifetime
{
    std::size_t node = 0;
    int incarnation = 0;

    friend auto operator<=>(const NodeLifetime &, const NodeLifetime &) = default;
};

/// One lifetime of an engine as one process of a node sees it.
struct EngineAtNode
{
    std::string engine; ///< name of the engine's lifetime
    NodeLifetime node;

    friend auto operator<=>(const EngineAtNode &, const EngineAtNode &) = default;
};

/// A request that reached an engine.
struct EngineArrival
{
    std::string attemptId;
    absl::Time callSentAt; ///< when the caller sent the call
    absl::Time at;

    friend bool operator==(const EngineArrival &, const EngineArrival &) = default;
};

/// A refusal with status 503 and Retry-After.
struct EngineBackOff
{
    absl::Time sentAt;
    absl::Time until; ///< end of the time given in Retry-After

    friend bool operator==(const EngineBackOff &, const EngineBackOff &) = default;
};

/// What one engine received from and announced to one process of a node.
struct EngineNotices
{
    std::vector<EngineArrival> arrivals;
    std::vector<EngineBackOff> backOffs;
    absl::Time leavingPassedOnAt = absl::InfiniteFuture(); ///< when the node had passed on the first answer with Server-Leaving

    friend bool operator==(const EngineNotices &, const EngineNotices &) = default;
};

/// Time after which a node that has passed on an answer with Server-Leaving sends that engine no call that a caller sends then.
inline constexpr absl::Duration drainTime = absl::Seconds(3);

/// Returns descriptions of the requests that DRAIN forbids.
std::vector<std::string> findDrainViolations(const EngineNotices &notices);

/// Returns descriptions of the refusals for which BUDGET is broken.
std::vector<std::string> findBackOffViolations(const EngineNotices &notices);

/**
 * \class EngineNoticeLedger
 * \brief Records what engines announce in their answers, and which requests reach them. Thread-safe.
 */
class EngineNoticeLedger
{
public:
    void recordArrival(const EngineAtNode &where, const EngineArrival &arrival);
    void recordBackOff(const EngineAtNode &where, const EngineBackOff &backOff);
    void recordLeavingPassedOn(const EngineAtNode &where, absl::Time at);

    std::vector<std::string> findViolations() const;

    /// Returns how many refusals and leaving answers were recorded, as text.
    std::string summary() const;

private:
    mutable Mutex m_mutex;
    std::map<EngineAtNode, EngineNotices> m_notices ABSL_GUARDED_BY(m_mutex);
};

}
