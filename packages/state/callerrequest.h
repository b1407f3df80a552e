#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <cstdint>
#include <string>

namespace Apricot {

struct CompletionRequestFields
{
    RequestId id;
    ServiceName service;
    RankName rank;
    WorkspaceName workspace;
    std::string prompt;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
    bool stream = false;

    friend bool operator==(const CompletionRequestFields &, const CompletionRequestFields &) = default;
};

/// A caller's completion request, after parsing and after its limits were checked.
using CompletionRequest = Immutable<CompletionRequestFields>;

struct PlainCallFields
{
    RequestId id;
    ServiceName service;
    std::string operation;
    WorkspaceName workspace;
    IdempotencyKey key; ///< empty if the caller gave none
    std::string body; ///< JSON for the endpoint

    friend bool operator==(const PlainCallFields &, const PlainCallFields &) = default;
};

/// A caller's call to a plain service.
using PlainCall = Immutable<PlainCallFields>;

}
