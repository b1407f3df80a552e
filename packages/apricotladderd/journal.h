#pragma once

#include "state/eventring.h"
#include "state/hybridclock.h"
#include "state/name.h"

#include <string>
#include <vector>

namespace Apricot {

/**
 * \class Journal
 * \brief The log and the event ring of one process. Every line contains the node and the request id, if there is one.
 */
class Journal
{
public:
    Journal(NodeId node, std::size_t ringEvents);

    /// Records an event in the ring without a log line.
    void record(const RequestId &request, const std::string &what, const std::string &detail = {});

    /// Logs a line and records it in the ring as event \a what.
    void info(const RequestId &request, const std::string &what, const std::string &detail);
    void warning(const RequestId &request, const std::string &what, const std::string &detail);

    std::vector<TimelineEvent> events(const std::string &request) const
    {
        return m_ring.events(request);
    }

    /// Returns the timestamp for a message that is sent now.
    HybridTimestamp nextTimestamp();
    /// Advances the clock to the timestamp of a received message.
    void observe(HybridTimestamp timestamp);

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
