#pragma once

#include "state/errorkind.h"
#include "transport/httpserverconnection.h"

#include <absl/time/time.h>

#include <optional>
#include <string_view>

namespace Apricot {

/// Answers a caller with an error of ours; \a retryAfter tells it when to come back.
void answerError(HttpServerConnection &caller, ErrorKind kind, std::optional<absl::Duration> retryAfter, std::string_view detail);

}
