#pragma once

#include "state/hybridclock.h"
#include "state/mutex.h"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace Apricot {

/// One entry of the time line: when, on which node, about which request, what.
struct TimelineEvent
{
    HybridStamp stamp;
    std::string node;
    std::string request; ///< empty for events that belong to no request
    std::string what; ///< stable event name, e.g. "prefill.started"
    std::string detail;

    friend auto operator<=>(const TimelineEvent &, const TimelineEvent &) = default;
};

/**
 * \class EventRing
 * \brief The last events of one process, oldest dropped first.
 */
class EventRing
{
public:
    explicit EventRing(std::size_t capacity);

    void add(TimelineEvent event);

    /// Returns the events whose request is \a request, or all of them if it is empty.
    std::vector<TimelineEvent> events(const std::string &request) const;

private:
    const std::size_t m_capacity;
    mutable Mutex m_mutex;
    std::deque<TimelineEvent> m_events ABSL_GUARDED_BY(m_mutex);
};

}
