#pragma once

#include "coordination/endpointchoice.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

/// A trial of the placement of plain calls in virtual time: several nodes, each with its own ServicePool, send calls to the same
/// endpoints and know each other's loads only from reports that are some milliseconds to 200 ms old.
///
/// A call has one attempt, as a non-idempotent one: a refusal by an endpoint ends it.
struct EndpointTrial
{
    EndpointPolicy policy;
    int nodes = 12;
    std::vector<double> slowness{1, 1, 1}; ///< of each endpoint: its call time as a multiple of the fastest one's
    double load = 1.1; ///< offered calls as a fraction of the capacity of all endpoints
    int stalledEndpoint = -1; ///< endpoint that is 2.5 times slower for 0.6 s; -1: none
    absl::Duration duration = absl::Seconds(8);
    std::uint64_t seed = 1;

    static constexpr std::int64_t slots = 8;
    std::int64_t queue = 8; ///< calls that an endpoint queues when all its slots are in use
};

/// What a trial has measured after its first two seconds.
struct EndpointTrialResult
{
    int offered = 0;
    int served = 0;
    int refusedByEndpoint = 0; ///< attempts that a full endpoint refused
    int refusedWhileOthersIdle = 0; ///< of these, at a time when another endpoint had a free slot
    int refusedByNode = 0; ///< calls that no endpoint got, because all were expected to be full
    double refusedShare = 0; ///< calls that were not served, as a fraction of those offered
    double spread = 0; ///< mean over time of the difference between the fullest and the emptiest endpoint, in slots
    double idleShare = 0; ///< slots that were free on average while another endpoint queued calls, as a fraction of all slots
    double capacityShare = 0; ///< served calls as a fraction of those that the endpoints could have served
    double medianMs = 0; ///< time of a served call from its arrival at the node
    double p99Ms = 0;

    std::string text() const;
};

EndpointTrialResult runTrial(const EndpointTrial &trial);

}
