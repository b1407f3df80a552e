#include "protocol/callerjson.h"

#include "protocol/jsonreader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Maximum length of an id, key or name sent by a caller, in bytes.
constexpr std::size_t maxNameLength = 128;

/// Maximum offset in an event id, in tokens.
constexpr std::int64_t maxEventOffset = 10'000'000;

bool isValidName(const std::string &text)
{
    const auto isAllowed = [](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.' || c == ':';
    };
    return text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), isAllowed);
}

Result<std::string> validatedName(const std::string &what, const std::string &text)
{
    if (!isValidName(text)) {
        return fail(ErrorKind::BadRequest, what + ": use at most 128 characters of A-Z, a-z, 0-9 and -_.:");
    }
    return text;
}

Result<RankName> resolveRank(const Json &json, const CallerHeaders &headers, const ConfigSet &config)
{
    RankName requestedRank(headers.rank.empty() ? jsonText(json, "rank") : headers.rank);
    if (!requestedRank.isEmpty()) {
        if (!config->ranks.contains(requestedRank)) {
            return fail(ErrorKind::BadRequest, "rank: unknown rank \"" + requestedRank.text() + "\"");
        }
        return requestedRank;
    }
    // A request without a rank gets the least urgent one, which has the highest priority number.
    RankName leastUrgent;
    std::int64_t priority = -1;
    for (const auto &[name, rank] : config->ranks) {
        if (rank->priority > priority) {
            priority = rank->priority;
            leastUrgent = name;
        }
    }
    return leastUrgent;
}

bool contains(const std::vector<std::string> &list, const std::string &text)
{
    return std::find(list.begin(), list.end(), text) != list.end();
}

Result<void> checkKnownMembers(const Json &json, const std::vector<std::string> &known)
{
    for (const auto &[key, value] : json.items()) {
        if (!contains(known, key)) {
            return fail(ErrorKind::BadRequest, "body: unknown member \"" + key + "\"; use " + absl::StrJoin(known, ", "));
        }
    }
    return {};
}

}

std::int64_t countTokens(const std::string &text)
{
    std::int64_t n = 0;
    bool inWord = false;
    for (const char c : text) {
        const bool space = absl::ascii_isspace(static_cast<unsigned char>(c));
        n += !space && !inWord ? 1 : 0;
        inWord = !space;
    }
    return n;
}

std::uint64_t prefixHashOf(const std::string &text, std::int64_t tokens)
{
    std::int64_t n = 0;
    bool inWord = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool space = absl::ascii_isspace(static_cast<unsigned char>(text[i]));
        if (space && inWord && ++n == tokens) {
            return XXH3_64bits(text.data(), i);
        }
        inWord = !space;
    }
    return 0;
}

Result<CompletionRequest> decodeCompletion(const std::string &body, const CallerHeaders &headers, const ConfigSet &config,
                                           const std::string &newId)
{
    BOOST_LEAF_AUTO(json, parseJsonObject(body, "body"));
    BOOST_LEAF_CHECK(checkKnownMembers(json, {"model", "prompt", "max_tokens", "stream", "rank", "user", "request_id"}));
    const ServiceName name(jsonText(json, "model"));
    const auto service = config->services.find(name);
    if (service == config->services.end() || service->second->type != ServiceType::Model) {
        return fail(ErrorKind::UnknownService, "model: unknown model service \"" + name.text() + "\"");
    }
    const std::string prompt = jsonText(json, "prompt");
    const std::int64_t promptTokens = countTokens(prompt);
    if (promptTokens < 1 || promptTokens > service->second->maxPromptTokens) {
        return fail(ErrorKind::BadRequest, absl::StrCat("prompt: ", promptTokens, " tokens; send 1 to ", service->second->maxPromptTokens));
    }
    const std::int64_t maxTokens = jsonInteger(json, "max_tokens", json.contains("max_tokens") ? -1 : service->second->maxOutputTokens);
    if (maxTokens < 1 || maxTokens > service->second->maxOutputTokens) {
        return fail(ErrorKind::BadRequest, absl::StrCat("max_tokens: must be a whole number from 1 to ", service->second->maxOutputTokens));
    }
    if (json.contains("stream") && !json["stream"].is_boolean()) {
        return fail(ErrorKind::BadRequest, "stream: must be true or false");
    }
    BOOST_LEAF_AUTO(rank, resolveRank(json, headers, config));
    const std::string requestedId = headers.requestId.empty() ? jsonText(json, "request_id", newId) : headers.requestId;
    BOOST_LEAF_AUTO(id, validatedName("request id", requestedId));
    BOOST_LEAF_AUTO(workspace,
                    validatedName("workspace", headers.workspace.empty() ? jsonText(json, "user", "default") : headers.workspace));
    return CompletionRequest::Builder()
        .set(&CompletionRequestFields::id, RequestId(id))
        .set(&CompletionRequestFields::service, name)
        .set(&CompletionRequestFields::rank, rank)
        .set(&CompletionRequestFields::workspace, WorkspaceName(workspace))
        .set(&CompletionRequestFields::prompt, prompt)
        .set(&CompletionRequestFields::promptTokens, promptTokens)
        .set(&CompletionRequestFields::maxTokens, maxTokens)
        .set(&CompletionRequestFields::stream, jsonFlag(json, "stream"))
        .build();
}

Result<PlainCall> decodePlainCall(const std::string &service, const std::string &body, const CallerHeaders &headers,
                                  const ConfigSet &config, const std::string &newId)
{
    const auto found = config->services.find(ServiceName(service));
    if (found == config->services.end() || found->second->type != ServiceType::Plain) {
        return fail(ErrorKind::UnknownService, "path: unknown plain service \"" + service + "\"");
    }
    BOOST_LEAF_AUTO(json, parseJsonObject(body, "body"));
    BOOST_LEAF_CHECK(checkKnownMembers(json, {"operation", "input"}));
    const std::string operation = jsonText(json, "operation");
    if (!contains(found->second->operations, operation)) {
        return fail(ErrorKind::UnknownOperation,
                    "operation: \"" + operation + "\" is not one of " + absl::StrJoin(found->second->operations, ", "));
    }
    BOOST_LEAF_AUTO(key, validatedName("Idempotency-Key", headers.idempotencyKey));
    if (key.empty() && contains(found->second->nonIdempotent, operation)) {
        return fail(ErrorKind::BadRequest,
                    "Idempotency-Key: \"" + operation + "\" is not idempotent; send this header, with the same value for each retry");
    }
    BOOST_LEAF_AUTO(id, validatedName("request id", headers.requestId.empty() ? newId : headers.requestId));
    BOOST_LEAF_AUTO(workspace, validatedName("workspace", headers.workspace.empty() ? std::string("default") : headers.workspace));
    return PlainCall::Builder()
        .set(&PlainCallFields::id, RequestId(id))
        .set(&PlainCallFields::service, ServiceName(service))
        .set(&PlainCallFields::operation, operation)
        .set(&PlainCallFields::workspace, WorkspaceName(workspace))
        .set(&PlainCallFields::key, IdempotencyKey(key))
        .set(&PlainCallFields::body, json.contains("input") ? jsonDump(json["input"]) : "{}")
        .build();
}

std::string encodeError(const Error &error, const RequestId &id, absl::Duration retryAfter)
{
    const ErrorDescriptor &descriptor = errorDescriptor(error.kind);
    Json body{{"kind", std::string(descriptor.name)},
              {"message", error.message.empty() ? std::string(descriptor.text) : error.message},
              {"outcome", std::string(outcomeName(descriptor.outcome))},
              {"retryable", descriptor.retryable},
              {"requestId", id.text()}};
    if (descriptor.retryable && retryAfter > absl::ZeroDuration()) {
        body["retryAfterMs"] = absl::ToInt64Milliseconds(retryAfter);
    }
    return jsonDump(Json{{"error", std::move(body)}});
}

std::string encodeCompletion(const CompletionRequest &request, const std::vector<std::string> &tokens)
{
    return jsonDump(Json{{"id", request->id.text()},
                         {"object", "text_completion"},
                         {"model", request->service.text()},
                         {"choices", Json::array({Json{{"index", 0}, {"text", absl::StrJoin(tokens, " ")}, {"finish_reason", "stop"}}})},
                         {"usage",
                          Json{{"prompt_tokens", request->promptTokens},
                               {"completion_tokens", tokens.size()},
                               {"total_tokens", request->promptTokens + static_cast<std::int64_t>(tokens.size())}}}});
}

std::string encodeTokenEvent(const RequestId &id, std::int64_t offset, const std::string &token)
{
    const Json data{{"id", id.text()}, {"object", "text_completion"}, {"choices", Json::array({Json{{"index", 0}, {"text", token}}})}};
    return absl::StrCat("id: ", offset + 1, "\ndata: ", jsonDump(data), "\n\n");
}

std::string encodeDoneEvent()
{
    return "data: [DONE]\n\n";
}

std::string encodeErrorEvent(const Error &error, const RequestId &id)
{
    return absl::StrCat("event: error\ndata: ", encodeError(error, id, absl::ZeroDuration()), "\n\n");
}

std::string encodeKeepAliveComment()
{
    return ": keep-alive\n\n";
}

std::optional<std::int64_t> decodeEventId(const std::string &text)
{
    std::int64_t offset = 0;
    if (!absl::SimpleAtoi(text, &offset) || offset < 0 || offset > maxEventOffset) {
        return std::nullopt;
    }
    return offset;
}

}
