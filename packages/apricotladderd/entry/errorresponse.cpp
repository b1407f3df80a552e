#include "apricotladderd/entry/errorresponse.h"

#include "state/abslview.h"

#include <absl/strings/str_cat.h>

#include <string>
#include <utility>

namespace Apricot {

void respondWithError(HttpServerConnection &caller, ErrorKind kind, std::optional<absl::Duration> retryAfter, std::string_view detail)
{
    const ErrorDescriptor &row = errorDescriptor(kind);
    HttpResponseHead head;
    head.status = row.httpStatus;
    head.reason = std::string(reasonPhrase(row.httpStatus));
    head.headers.push_back(HttpHeader{"Content-Type", "text/plain"});
    if (retryAfter) {
        head.headers.push_back(HttpHeader{"Retry-After", absl::StrCat(absl::ToDoubleSeconds(*retryAfter))});
    }
    caller.respond(std::move(head), absl::StrCat(abslView(row.name), ": ", abslView(detail), "\n"));
}

}
