#pragma once

#include "state/errorkind.h"
#include "transport/httpserverconnection.h"

#include <absl/time/time.h>

#include <optional>
#include <string_view>

namespace Apricot {

/// Sends the caller an error response of this node; \a retryAfter is sent as the Retry-After header, in seconds.
void respondWithError(HttpServerConnection &caller, ErrorKind kind, std::optional<absl::Duration> retryAfter, std::string_view detail);

}
