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

/// Parts of a caller's HTTP request that lie outside the body.
struct CallerHeaders
{
    std::string requestId; ///< X-Request-Id
    std::string workspace; ///< X-Workspace
    std::string rank; ///< X-Rank
    std::string idempotencyKey; ///< Idempotency-Key
};

/// Number of tokens of a text: its words.
std::int64_t countTokens(const std::string &text);

/// Hash of the first \a tokens words, 0 if the text is shorter.
std::uint64_t prefixHashOf(const std::string &text, std::int64_t tokens);

/// Decodes and checks the body of POST /v1/completions; \a newId is used if the caller gave no id.
Result<CompletionRequest> decodeCompletion(const std::string &body, const CallerHeaders &headers, const ConfigSet &config,
                                           const std::string &newId);

/// Decodes and checks the body of POST /v1/services/S/calls.
Result<PlainCall> decodePlainCall(const std::string &service, const std::string &body, const CallerHeaders &headers,
                                  const ConfigSet &config, const std::string &newId);

/// Body of an error answer.
std::string encodeError(const Error &error, const RequestId &id, absl::Duration retryAfter);

/// Whole answer to a completion that is not streamed.
std::string encodeCompletion(const CompletionRequest &request, const std::vector<std::string> &tokens);

/// One server-sent event with a token; its id is the offset of the next one.
std::string encodeTokenEvent(const RequestId &id, std::int64_t offset, const std::string &token);

/// Last event of a complete stream, and the one of a stream that ended with an error.
std::string encodeDoneEvent();
std::string encodeErrorEvent(const Error &error, const RequestId &id);

/// Keeps a silent stream open.
std::string encodeKeepAlive();

/// Offset in a Last-Event-ID header; nothing if it is malformed.
std::optional<std::int64_t> decodeEventId(const std::string &text);

}
