#include "apricotladderd/nodemetrics.h"

#include <prometheus/text_serializer.h>

namespace Apricot {

namespace {

prometheus::Family<prometheus::Counter> &counterFamily(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge> &gaugeFamily(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

prometheus::Gauge &gauge(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return gaugeFamily(registry, name, help).Add({});
}

const prometheus::Histogram::BucketBoundaries firstTokenSeconds{0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 5.0};

}

NodeMetrics::NodeMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(counterFamily(*m_registry, "apricotladder_requests_total", "Calls ended, by service and outcome"))
    , m_storeCalls(counterFamily(*m_registry, "apricotladder_store_calls_total", "Calls to the platform's store, by call and end"))
    , m_peerMessages(counterFamily(*m_registry, "apricotladder_peer_messages_total", "Datagrams between nodes, by direction"))
    , m_peerBytes(counterFamily(*m_registry, "apricotladder_peer_bytes_total", "Bytes of datagrams between nodes, by direction"))
    , m_firstToken(prometheus::BuildHistogram()
                       .Name("apricotladder_first_token_seconds")
                       .Help("Time to the first token")
                       .Register(*m_registry)
                       .Add({}, firstTokenSeconds))
    , m_generation(gauge(*m_registry, "apricotladder_generation", "Configuration generation in force here"))
    , m_members(gauge(*m_registry, "apricotladder_members_alive", "Nodes of the cell that are held alive"))
    , m_activeCalls(gauge(*m_registry, "apricotladder_active_calls", "Calls in progress on this node"))
    , m_leaseHeld(gauge(*m_registry, "apricotladder_lease_held", "1 while this node holds the publisher's lease"))
    , m_violations(gauge(*m_registry, "apricotladder_invariant_violations", "Checks inside the process that failed"))
    , m_reservedPieces(gaugeFamily(*m_registry, "apricotladder_reserved_pieces", "Pieces of engine memory reserved by this owner"))
    , m_waitingRequests(gaugeFamily(*m_registry, "apricotladder_waiting_requests", "Requests waiting at this owner"))
{
}

std::string NodeMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

void NodeMetrics::countRequest(const std::string &service, const std::string &outcome)
{
    m_requests.Add({{"service", service}, {"outcome", outcome}}).Increment();
}

void NodeMetrics::countStoreCall(const std::string &call, const std::string &outcome)
{
    m_storeCalls.Add({{"call", call}, {"end", outcome}}).Increment();
}

void NodeMetrics::countPeerBytes(const std::string &direction, std::size_t bytes)
{
    m_peerMessages.Add({{"direction", direction}}).Increment();
    m_peerBytes.Add({{"direction", direction}}).Increment(static_cast<double>(bytes));
}

void NodeMetrics::observeFirstToken(double seconds)
{
    m_firstToken.Observe(seconds);
}

void NodeMetrics::setGeneration(double number)
{
    m_generation.Set(number);
}

void NodeMetrics::setMembers(double alive)
{
    m_members.Set(alive);
}

void NodeMetrics::setActiveCalls(double count)
{
    m_activeCalls.Set(count);
}

void NodeMetrics::setLeaseHeld(bool held)
{
    m_leaseHeld.Set(held ? 1 : 0);
}

void NodeMetrics::setViolations(double count)
{
    m_violations.Set(count);
}

void NodeMetrics::setReservedPieces(const std::string &service, double pieces)
{
    m_reservedPieces.Add({{"service", service}}).Set(pieces);
}

void NodeMetrics::setWaitingRequests(const std::string &service, double requests)
{
    m_waitingRequests.Add({{"service", service}}).Set(requests);
}

}
