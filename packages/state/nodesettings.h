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
    std::string peerAddress; ///< "IP:port" for UDP and TCP between nodes
    std::string datagramListenAddress; ///< "IP:port" that the UDP socket binds to; empty: peerAddress
    std::string callerAddress; ///< "IP:port" for HTTP
    std::string storeUrl; ///< object API, without a slash at the end
    std::string vmListUrl; ///< VM list
    std::vector<std::string> peerKeys; ///< hex keys; the first one signs, all are accepted
    std::int64_t maxBodyBytes = 1048576;
    std::int64_t ringEvents = 20000; ///< events kept for the time line
    std::int64_t storeTimeoutMs = 1000; ///< longest wait for one call to the store
    std::int64_t runTimeoutMs = 2000; ///< longest wait of a non-idempotent call for its record
    std::int64_t silenceMs = 1000; ///< a stream without a byte for this long is resumed on a new connection
    std::int64_t drainSeconds = 30; ///< a leaving node ends at the latest after this
    std::string logLevel = "info"; ///< info, warning or error
    bool endOnViolation = false; ///< end the process when a check inside fails

    friend bool operator==(const NodeSettingsFields &, const NodeSettingsFields &) = default;
};

/// Everything that one node is told at its start.
using NodeSettings = Immutable<NodeSettingsFields>;

}
