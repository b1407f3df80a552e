#pragma once

#include "platform/callheaders.h"
#include "state/engineentry.h"
#include "transport/httpexchange.h"

#include <string>

namespace Apricot {

/// Key under which connections to \a engine are kept: another engine at the same address does not get them.
std::string connectionKey(const EngineEntry &engine);

/// A caller's request as it goes to \a engine. An answer to another attempt than \a attempt is passed over.
ExchangeRequest exchangeWith(const EngineEntry &engine, const HttpRequestHead &head, const std::string &body, const EngineTerms &terms,
                             const RequestId &attempt);

}
