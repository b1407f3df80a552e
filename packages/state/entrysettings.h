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
    std::string callerAddress; ///< "IP:port" for calls
    std::string readyAddress; ///< "IP:port" where the platform asks whether the node is ready
    std::string discoveryAddress; ///< "IP:port" where callers ask which addresses to use
    std::string peerAddress; ///< "IP:port" between nodes, UDP and TCP
    std::string metricsAddress; ///< "IP:port" of the metrics; empty: none
    std::vector<std::string> seeds; ///< "IP:port" of nodes to meet first; any may be stale
    std::string storeAddress; ///< "IP:port" of the platform's store
    std::int64_t threads = 2; ///< threads that serve calls
    std::int64_t addressKeepMs = 2000; ///< how long callers may keep an answer of discovery
    std::int64_t drainMs = 2000; ///< time in which an engine that leaves must get no more work
    double graceS = 8; ///< from the request to stop until the process is killed
    double repeatRatio = 0.1; ///< repeats to a service for each request, over all nodes
    double repeatHeadroom = 20; ///< repeats that are always allowed, over all nodes
    double repeatWindowS = 10; ///< window of both
    std::string logLevel = "info"; ///< info, warning or error

    friend bool operator==(const EntrySettingsFields &, const EntrySettingsFields &) = default;
};

/// Everything that an entry node is told at its start.
using EntrySettings = Immutable<EntrySettingsFields>;

}
