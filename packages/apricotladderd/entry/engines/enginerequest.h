#pragma once

#include "apricotladderd/entry/calls/callfacts.h"
#include "coordination/attemptdecision.h"
#include "platform/callheaders.h"
#include "state/engineentry.h"
#include "transport/httpexchange.h"

#include <string>

namespace Apricot {

/// Key of the connection pool for \a engine; it differs for another engine at the same address.
std::string connectionKey(const EngineEntry &engine);

/// Returns the options that all requests to \a engine for the call have in common.
EngineRequestOptions makeEngineOptions(const EngineEntry &engine, const CallFacts &facts, absl::Time now);

/// Builds the request to \a engine from a caller's request. Responses to requests other than \a requestId are ignored.
ExchangeRequest makeEngineExchange(const EngineEntry &engine, const HttpRequestHead &head, const std::string &body,
                                   const EngineRequestOptions &options, const RequestId &requestId);

/// Returns what an exchange with an engine has shown, given the \a head of its response. A success counts as an answer only if it is
/// signed and names its request.
AttemptOutcome classifyOutcome(const HttpResponseHead &head, ExchangeOutcome outcome);

}
