#include "apricotladderd/entry/calls/errorresponse.h"

#include "state/abslview.h"

#include <absl/strings/str_cat.h>

#include <string>
#include <utility>

namespace Apricot {

void respondWithError(HttpServerConnection &caller, ErrorKind kind, std::optional<absl::Duration> retryAfter, std::string_view detail)
{
    const ErrorDescriptor &descriptor = errorDescriptor(kind);
    HttpResponseHead head;
    head.status = descriptor.httpStatus;
    head.reason = std::string(reasonPhrase(descriptor.httpStatus));
    head.headers.push_back(HttpHeader{"Content-Type", "text/plain"});
    if (retryAfter) {
        head.headers.push_back(HttpHeader{"Retry-After", absl::StrCat(absl::ToDoubleSeconds(*retryAfter))});
    }
    if (kind == ErrorKind::KeyRejected) {
        head.headers.push_back(HttpHeader{"WWW-Authenticate", "Bearer"});
    }
    caller.respond(std::move(head), absl::StrCat(abslView(descriptor.name), ": ", abslView(detail), "\n"));
}

}
