#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

/// One request of the input: a completion, or a call to a plain service if it has an operation.
struct InputRequest
{
    std::string service;
    std::string rank;
    std::string workspace;
    std::string prompt;
    std::int64_t maxTokens = 0;
    std::string operation;
    std::string idempotencyKey;
    int taps = 1; ///< sent so often at once, to different nodes
    bool cancel = false; ///< cancelled after its first tokens
};

/// Reads one JSON request a line; bad lines are named on standard output and left out.
std::vector<InputRequest> readInputFile(const std::string &path);

/// Services and ranks of a deployment for the generated mix.
struct MixNames
{
    std::string modelService;
    std::string plainService;
    std::string urgentRank;
    std::string patientRank;
    std::string booking; ///< operation that is not idempotent
    std::string lookup; ///< idempotent operation
};

/// Makes \a count requests of the text files of a directory: summaries in two ranks, lookups, double-tapped bookings, one cancelled.
std::vector<InputRequest> makeMix(const std::string &promptDirectory, int count, const MixNames &names, const std::string &run);

}
