#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

struct NodeSettingsFields
{
    NodeId node;
    DataCentreName dataCentre;
    std::string peerAddress; ///< "IP:port" for traffic between nodes, UDP and TCP
    std::string datagramListenAddress; ///< "IP:port" that the UDP socket binds to; empty: same as peerAddress
    std::string callerAddress; ///< "IP:port" for callers, HTTP
    std::string storeUrl; ///< base URL of the object API, without a trailing slash
    std::string vmListUrl; ///< URL of the platform's VM list
    std::vector<std::string> peerKeys; ///< hex keys; the first one signs messages, all of them are accepted for verification
    std::int64_t maxBodyBytes = 1048576;
    std::int64_t ringEvents = 20000; ///< number of events kept for the timeline
    std::int64_t storeTimeoutMs = 1000; ///< timeout of one store call
    std::int64_t runTimeoutMs = 2000; ///< maximum time that a non-idempotent call waits for its run record
    std::int64_t silenceMs = 1000; ///< a stream that receives no data for this long is resumed on a new connection
    std::int64_t drainSeconds = 30; ///< a leaving node exits after this time at the latest
    std::string logLevel = "info"; ///< info, warning or error
    bool endOnViolation = false; ///< end the process when an invariant is violated

    friend bool operator==(const NodeSettingsFields &, const NodeSettingsFields &) = default;
};

/// Startup settings of a node.
using NodeSettings = Immutable<NodeSettingsFields>;

}
