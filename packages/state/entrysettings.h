#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

struct EntrySettingsFields
{
    NodeId node;
    DataCentreName dataCentre;
    std::string callerAddress; ///< "IP:port" that accepts calls
    std::string readyAddress; ///< "IP:port" of the readiness check for the platform
    std::string discoveryAddress; ///< "IP:port" of the discovery service for callers
    std::string peerAddress; ///< "IP:port" for traffic between nodes, UDP and TCP
    std::string metricsAddress; ///< "IP:port" that serves metrics; empty: disabled
    std::vector<std::string> seeds; ///< "IP:port" of the nodes contacted at startup; any of them may be stale
    std::string storeAddress; ///< "IP:port" of the platform's store
    std::int64_t threads = 2; ///< threads that serve calls
    std::int64_t addressKeepMs = 2000; ///< how long callers may cache a discovery response
    std::int64_t drainMs = 2000; ///< time after which a leaving engine must receive no more work
    std::int64_t configApplyMs = 2000; ///< time after which a change of the desired state must be in force
    double graceS = 8; ///< time between the stop request and the end of the process by force
    double repeatRatio = 0.1; ///< retries per request to a service, summed over all nodes
    double repeatHeadroom = 20; ///< retries that are always allowed, summed over all nodes
    double repeatWindowS = 10; ///< time window of repeatRatio and repeatHeadroom, s
    double allowanceWindowS = 8; ///< time window of the rule for allowances, s
    double allowanceOverage = 0; ///< part by which all nodes together may exceed an allowance in a window
    double allowanceHeadroom = 0; ///< cost by which all nodes together may exceed an allowance in a window
    double processorShare = 1; ///< processor cores that the node may use; nodes with more are preferred for calls
    std::int64_t callerBytes = 32 << 20; ///< bytes that the node may hold for its callers
    std::int64_t callerBytesPerAddress = 28 << 20; ///< of which for the callers of one IP address
    std::int64_t callerBytesPerConnection = 16 << 20; ///< and for one connection
    std::int64_t callerConnections = 0; ///< maximum number of connections of callers; 0: derived from the limit of descriptors
    double callerReceiveS = 60; ///< maximum time to receive a whole request, s
    std::string logLevel = "info"; ///< info, warning or error

    friend bool operator==(const EntrySettingsFields &, const EntrySettingsFields &) = default;
};

/// Startup settings of an entry node.
using EntrySettings = Immutable<EntrySettingsFields>;

}
