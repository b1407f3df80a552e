#pragma once

#include "state/error.h"
#include "state/eventring.h"
#include "state/member.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

/// State of a service's slice on the node that hosts it.
struct SliceStatus
{
    ServiceName service;
    std::uint64_t waiting = 0;
    std::uint64_t prefilling = 0;
    std::uint64_t decoding = 0;
    std::int64_t reservedPieces = 0;
};

/// Status of a node that is reported to operators.
struct NodeStatus
{
    NodeId node;
    std::uint64_t generation = 0;
    bool leaseHeld = false;
    std::uint64_t violations = 0;
    std::uint64_t activeCalls = 0;
    std::vector<Member> members;
    std::vector<SliceStatus> slices;
};

std::string encodeTimeline(const std::vector<TimelineEvent> &events);
Result<std::vector<TimelineEvent>> decodeTimeline(const std::string &json);

std::string encodeNodeStatus(const NodeStatus &status);
Result<NodeStatus> decodeNodeStatus(const std::string &json);

/// Encodes the response to GET /v1/address: addresses for callers, and how long they may be cached, in milliseconds.
std::string encodeAddresses(const std::vector<std::string> &addresses, std::int64_t keepMs);

}
