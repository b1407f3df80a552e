#pragma once

#include "state/hybridclock.h"
#include "state/mutex.h"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace Apricot {

/// One entry of the timeline of a process.
struct TimelineEvent
{
    HybridTimestamp timestamp;
    std::string node;
    std::string request; ///< empty if the event belongs to no request
    std::string what; ///< stable event name, e.g. "prefill.started"
    std::string detail;

    friend auto operator<=>(const TimelineEvent &, const TimelineEvent &) = default;
};

/**
 * \class EventRing
 * \brief The most recent events of one process, in a buffer that drops the oldest event when it is full.
 */
class EventRing
{
public:
    explicit EventRing(std::size_t capacity);

    void add(TimelineEvent event);

    /// Returns the events of \a request, or all events if \a request is empty.
    std::vector<TimelineEvent> events(const std::string &request) const;

private:
    const std::size_t m_capacity;
    mutable Mutex m_mutex;
    std::deque<TimelineEvent> m_events ABSL_GUARDED_BY(m_mutex);
};

}
