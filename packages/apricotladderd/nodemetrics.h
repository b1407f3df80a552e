#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace Apricot {

/**
 * \class NodeMetrics
 * \brief The Prometheus metrics of a node.
 */
class NodeMetrics
{
public:
    NodeMetrics();

    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

    void countRequest(const std::string &service, const std::string &outcome);
    void countStoreCall(const std::string &call, const std::string &outcome);
    void countPeerBytes(const std::string &direction, std::size_t bytes);
    void observeFirstToken(double seconds);
    void setGeneration(double number);
    void setMembers(double alive);
    void setActiveCalls(double count);
    void setLeaseHeld(bool held);
    void setViolations(double count);
    void setReservedPieces(const std::string &service, double pieces);
    void setWaitingRequests(const std::string &service, double requests);

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Counter> &m_storeCalls;
    prometheus::Family<prometheus::Counter> &m_peerMessages;
    prometheus::Family<prometheus::Counter> &m_peerBytes;
    prometheus::Histogram &m_firstToken;
    prometheus::Gauge &m_generation;
    prometheus::Gauge &m_members;
    prometheus::Gauge &m_activeCalls;
    prometheus::Gauge &m_leaseHeld;
    prometheus::Gauge &m_violations;
    prometheus::Family<prometheus::Gauge> &m_reservedPieces;
    prometheus::Family<prometheus::Gauge> &m_waitingRequests;
};

}
