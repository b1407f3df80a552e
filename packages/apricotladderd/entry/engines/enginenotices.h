#pragma once

#include "apricotladderd/entry/entryloop.h"
#include "state/engineentry.h"
#include "transport/httpexchange.h"

#include <absl/time/time.h>

#include <optional>

namespace Apricot {

/// Makes \a exchange record what the head of the answer says about \a engine, to which it is sent. All requests to engines pass
/// through here. \a requestId is the call for which the request is sent.
void observeEngineNotices(EntryLoop &loop, const EngineEntry &engine, const RequestId &requestId, ExchangeRequest &exchange);

/// Returns the Retry-After of a call that is refused because all engines of \a service have asked for a back-off; nothing if they have
/// not.
std::optional<absl::Duration> retryAfterBackOff(EntryLoop &loop, const ServiceName &service);

}
