#include "soak/enginenotices.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdint>

namespace Apricot {

namespace {

/// Requests are counted from this long after a refusal, as others may be on their way.
constexpr absl::Duration backOffGrace = absl::Milliseconds(500);
constexpr std::int64_t maxRequestsDuringBackOff = 2;

std::string timeText(absl::Time time)
{
    return absl::FormatTime("%H:%M:%E3S", time, absl::UTCTimeZone());
}

}

std::vector<std::string> findDrainViolations(const EngineNotices &notices)
{
    std::vector<std::string> violations;
    for (const EngineArrival &it : notices.arrivals) {
        if (it.callSentAt > notices.leavingPassedOnAt + drainTime) {
            violations.push_back(absl::StrCat("DRAIN: call ", it.attemptId, " was sent at ", timeText(it.callSentAt), " and reached it at ",
                                              timeText(it.at), ", but the node had passed on an answer with Server-Leaving at ",
                                              timeText(notices.leavingPassedOnAt)));
        }
    }
    return violations;
}

std::vector<std::string> findBackOffViolations(const EngineNotices &notices)
{
    std::vector<std::string> violations;
    for (const EngineBackOff &backOff : notices.backOffs) {
        const std::int64_t n = std::count_if(notices.arrivals.begin(), notices.arrivals.end(), [&](const EngineArrival &it) {
            return it.at > backOff.sentAt + backOffGrace && it.at < backOff.until;
        });
        if (n > maxRequestsDuringBackOff) {
            violations.push_back(absl::StrCat("BUDGET: ", n, " requests reached it after its refusal with Retry-After at ",
                                              timeText(backOff.sentAt), " and before ", timeText(backOff.until)));
        }
    }
    return violations;
}

void EngineNoticeLedger::recordArrival(const EngineAtNode &where, const EngineArrival &arrival)
{
    const MutexLock lock(m_mutex);
    m_notices[where].arrivals.push_back(arrival);
}

void EngineNoticeLedger::recordBackOff(const EngineAtNode &where, const EngineBackOff &backOff)
{
    const MutexLock lock(m_mutex);
    m_notices[where].backOffs.push_back(backOff);
}

void EngineNoticeLedger::recordLeavingPassedOn(const EngineAtNode &where, absl::Time at)
{
    const MutexLock lock(m_mutex);
    EngineNotices &notices = m_notices[where];
    notices.leavingPassedOnAt = std::min(notices.leavingPassedOnAt, at);
}

std::vector<std::string> EngineNoticeLedger::findViolations() const
{
    const MutexLock lock(m_mutex);
    std::vector<std::string> violations;
    for (const auto &[where, notices] : m_notices) {
        std::vector<std::string> found = findDrainViolations(notices);
        const std::vector<std::string> backOffs = findBackOffViolations(notices);
        found.insert(found.end(), backOffs.begin(), backOffs.end());
        for (const std::string &it : found) {
            violations.push_back(absl::StrCat("engine ", where.engine, ", node ", where.node.node, ": ", it));
        }
    }
    return violations;
}

std::string EngineNoticeLedger::summary() const
{
    const MutexLock lock(m_mutex);
    std::size_t backOffs = 0;
    std::size_t leaving = 0;
    for (const auto &[where, notices] : m_notices) {
        backOffs += notices.backOffs.size();
        leaving += notices.leavingPassedOnAt < absl::InfiniteFuture() ? 1 : 0;
    }
    return absl::StrCat(backOffs, " refusals with Retry-After, ", leaving, " times a node passed on a first Server-Leaving");
}

}
