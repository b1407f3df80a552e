#pragma once

#include "state/error.h"
#include "state/event.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

/// Longest message of an engine that is read, bytes: a report names the prefixes that the engine holds. A parsed document takes many times
/// the memory of its text.
inline constexpr std::size_t maxEngineMessageBytes = 256 * 1024;

/// Body of POST /v1/prefill at an engine.
struct PrefillRequest
{
    RequestId id;
    std::uint64_t attempt = 1;
    std::string prompt;
    std::vector<std::string> produced; ///< tokens of the answer that are already known
    std::int64_t priority = 0;
};

/// Response to a prefill: the handle under which the KV cache can be fetched.
struct PrefillResult
{
    std::string handle;
    double tookMs = 0;
    std::int64_t cachedTokens = 0;
};

/// Body of POST /v1/decode at an engine.
struct DecodeRequest
{
    RequestId id;
    std::uint64_t attempt = 1;
    std::string source; ///< address of the prefill engine
    std::string handle;
    std::int64_t maxTokens = 0;
    std::int64_t offset = 0; ///< offset of the first token to send
    std::int64_t priority = 0;
};

/// Body of POST /v1/cancel at an engine: cancels all attempts up to and including \a attempt.
struct CancelRequest
{
    RequestId id;
    std::uint64_t attempt = 1;
};

/// The engine has imported the KV cache. The fields on the request let another node register it again after a resume.
struct StreamImported
{
    double tookMs = 0;
    std::uint64_t attempt = 1;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
};

/// One generated token.
struct StreamToken
{
    std::int64_t offset = 0;
    std::string token;
};

/// The answer is complete and has \a tokens tokens in total.
struct StreamDone
{
    std::int64_t tokens = 0;
};

/// One line of the stream that an engine sends in response to a decode.
using StreamLine = std::variant<StreamImported, StreamToken, StreamDone>;

std::string encodePrefillRequest(const PrefillRequest &request);
Result<PrefillRequest> decodePrefillRequest(const std::string &json);
std::string encodePrefillResult(const PrefillResult &result);
Result<PrefillResult> decodePrefillResult(const std::string &json);
std::string encodeDecodeRequest(const DecodeRequest &request);
Result<DecodeRequest> decodeDecodeRequest(const std::string &json);
std::string encodeStreamLine(const StreamLine &line);
Result<StreamLine> decodeStreamLine(const std::string &json);
std::string encodeCancelRequest(const CancelRequest &request);
Result<CancelRequest> decodeCancelRequest(const std::string &json);

/// Body of POST /v1/orders at an engine, and of the response to GET: the role and model assigned to the engine.
struct RoleOrder
{
    std::string role; ///< "prefill" or "decode"
    std::string model;
    std::string modelVersion;
    std::uint64_t fence = 0; ///< fencing number; an engine that checks it rejects lower ones

    friend bool operator==(const RoleOrder &, const RoleOrder &) = default;
};

std::string encodeRoleOrder(const RoleOrder &order);
Result<RoleOrder> decodeRoleOrder(const std::string &json);
std::string encodeEngineReport(const EngineReported &report);
Result<EngineReported> decodeEngineReport(const std::string &json, const EngineId &engine);

}
