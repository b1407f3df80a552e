#include "state/eventring.h"

#include <utility>

namespace Apricot {

EventRing::EventRing(std::size_t capacity)
    : m_capacity(capacity)
{
}

void EventRing::add(TimelineEvent event)
{
    const MutexLock lock(m_mutex);
    if (m_events.size() == m_capacity) {
        m_events.pop_front();
    }
    m_events.push_back(std::move(event));
}

std::vector<TimelineEvent> EventRing::events(const std::string &request) const
{
    std::vector<TimelineEvent> found;
    const MutexLock lock(m_mutex);
    for (const TimelineEvent &event : m_events) {
        if (request.empty() || event.request == request) {
            found.push_back(event);
        }
    }
    return found;
}

}
