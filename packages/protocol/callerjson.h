#pragma once

#include "state/callerrequest.h"
#include "state/configset.h"
#include "state/error.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

/// Values from the header of a caller's HTTP request.
struct CallerHeaders
{
    std::string requestId; ///< X-Request-Id
    std::string workspace; ///< X-Workspace
    std::string rank; ///< X-Rank
    std::string idempotencyKey; ///< Idempotency-Key
};

/// Returns the number of tokens in \a text: its whitespace-separated words.
std::int64_t countTokens(const std::string &text);

/// Returns the hash of the first \a tokens words of \a text, or 0 if no whitespace follows them.
std::uint64_t prefixHashOf(const std::string &text, std::int64_t tokens);

/// Decodes and validates the body of POST /v1/completions. \a newId becomes the request id if the caller sent none.
Result<CompletionRequest> decodeCompletion(const std::string &body, const CallerHeaders &headers, const ConfigSet &config,
                                           const std::string &newId);

/// Decodes and validates the body of POST /v1/services/S/calls; \a service is S.
Result<PlainCall> decodePlainCall(const std::string &service, const std::string &body, const CallerHeaders &headers,
                                  const ConfigSet &config, const std::string &newId);

/// Returns the body of an error response. It contains \a retryAfter only if that is positive and the error is retryable.
std::string encodeError(const Error &error, const RequestId &id, absl::Duration retryAfter);

/// Returns the body of the response to a completion that is not streamed.
std::string encodeCompletion(const CompletionRequest &request, const std::vector<std::string> &tokens);

/// Returns a server-sent event with one token. The event id is the offset of the next token, so a caller resumes from it.
std::string encodeTokenEvent(const RequestId &id, std::int64_t offset, const std::string &token);

/// Returns the last event of a complete stream, or the last event of a stream that ended with an error.
std::string encodeDoneEvent();
std::string encodeErrorEvent(const Error &error, const RequestId &id);

/// Returns a comment line that keeps an idle stream open.
std::string encodeKeepAliveComment();

/// Parses the offset in a Last-Event-ID header; std::nullopt if it is malformed or out of range.
std::optional<std::int64_t> decodeEventId(const std::string &text);

}
