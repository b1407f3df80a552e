#pragma once

#include "state/immutable.h"
#include "state/name.h"
#include "state/routedworkspace.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

/// The request has no API key.
struct NoCredential
{
    friend auto operator<=>(const NoCredential &, const NoCredential &) = default;
};

/// The request has a credential that cannot be a key.
struct MalformedCredential
{
    friend auto operator<=>(const MalformedCredential &, const MalformedCredential &) = default;
};

/// How a request identifies its workspace.
using Credential = std::variant<NoCredential, MalformedCredential, KeyDigest>;

struct RoutedCallFields
{
    RequestId requestId; ///< id of the caller's request
    std::string host;
    std::string path; ///< without the query
    std::optional<absl::Duration> timeLeft; ///< time until the caller's deadline, measured at arrival
    std::int64_t promptTokens = 0; ///< used for model services and allowances
    std::int64_t maxOutputTokens = 0; ///< used for model services and allowances
    std::int64_t hintedOutputTokens = 0; ///< the caller's estimate, 0 if absent; accurate at the median, but often far off for single calls
    std::vector<PromptPartId> promptParts; ///< the parts of the prompt in order, which other calls may share, except the last one
    Credential credential;
    std::string lastEventId; ///< id of the event after which the stream resumes; empty: from its start

    friend auto operator<=>(const RoutedCallFields &, const RoutedCallFields &) = default;
};

/// The properties of a caller's call that routing decisions use.
using RoutedCall = Immutable<RoutedCallFields>;

/// Returns the ids of \a parts, separated by commas, for the log.
inline std::string joinPartIds(const std::vector<PromptPartId> &parts)
{
    return absl::StrJoin(parts, ",", [](std::string *out, const PromptPartId &part) { absl::StrAppend(out, part.text()); });
}

}
