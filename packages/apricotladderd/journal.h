#pragma once

#include "state/eventring.h"
#include "state/hybridclock.h"
#include "state/name.h"

#include <string>
#include <vector>

namespace Apricot {

/**
 * \class Journal
 * \brief The log and the time line of one process. Every line carries the node and, where there is one, the request id.
 */
class Journal
{
public:
    Journal(NodeId node, std::size_t ringEvents);

    /// Adds an event to the ring without a log line.
    void record(const RequestId &request, const std::string &what, const std::string &detail = {});

    /// Logs a line and adds it to the ring as event \a what.
    void info(const RequestId &request, const std::string &what, const std::string &detail);
    void warning(const RequestId &request, const std::string &what, const std::string &detail);

    std::vector<TimelineEvent> events(const std::string &request) const
    {
        return m_ring.events(request);
    }

    /// Stamp for a message that leaves now, and note of one that came in.
    HybridTimestamp stamp();
    void observe(HybridTimestamp seen);

    const NodeId &node() const
    {
        return m_node;
    }

private:
    NodeId m_node;
    HybridClock m_clock;
    EventRing m_ring;
};

}
