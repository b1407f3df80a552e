#pragma once

#include "platform/callheaders.h"
#include "state/engineentry.h"
#include "transport/httpexchange.h"

#include <string>

namespace Apricot {

/// Key of the connection pool for \a engine; it differs for another engine at the same address.
std::string connectionKey(const EngineEntry &engine);

/// Builds the request to \a engine from a caller's request. Answers to attempts other than \a attempt are ignored.
ExchangeRequest exchangeWith(const EngineEntry &engine, const HttpRequestHead &head, const std::string &body, const EngineRequestOptions &terms,
                             const RequestId &attempt);

}
