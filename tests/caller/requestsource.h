#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

/// One request of the input: a call to a plain service if \a operation is set, otherwise a completion.
struct InputRequest
{
    std::string service;
    std::string rank;
    std::string workspace;
    std::string prompt;
    std::int64_t maxTokens = 0;
    std::string operation;
    std::string idempotencyKey;
    int copies = 1; ///< number of concurrent sends, each to a different node
    bool cancel = false; ///< whether the caller cancels it after the first tokens
};

/// Reads one JSON request per line. Reports invalid lines on standard output and skips them.
std::vector<InputRequest> readInputFile(const std::string &path);

/// Names of services, ranks and operations that the generated mix uses.
struct MixNames
{
    std::string modelService;
    std::string plainService;
    std::string urgentRank;
    std::string patientRank;
    std::string booking; ///< non-idempotent operation
    std::string lookup; ///< idempotent operation
};

/// Generates requests with \a count sends in total from the text files of a directory: summaries in two ranks, one of them
/// cancelled, lookups, and bookings that are sent twice. \a run is the prefix of the idempotency keys.
std::vector<InputRequest> generateMix(const std::string &promptDirectory, int count, const MixNames &names, const std::string &run);

}
