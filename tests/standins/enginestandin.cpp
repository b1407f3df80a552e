#include "standins/enginestandin.h"

#include "protocol/callerjson.h"
#include "protocol/jsonreader.h"
#include "transport/httpclient.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>
#include <xxhash.h>

#include <algorithm>

namespace Apricot {

namespace {

/// Number of leading prompt tokens that the prefix cache compares.
constexpr std::int64_t prefixTokens = 64;
constexpr std::size_t maxCachedPrefixes = 64;
/// Time that a finished stream can still be resumed.
constexpr absl::Duration finishedStreamRetention = absl::Seconds(10);
constexpr absl::Duration maxPollInterval = absl::Milliseconds(50);

HttpResponse jsonResponse(int status, const std::string &body)
{
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = body;
    return response;
}

HttpResponse errorResponse(int status, const std::string &text)
{
    return jsonResponse(status, jsonDump(Json{{"error", text}}));
}

}

std::string standInToken(const std::string &prompt, std::int64_t index)
{
    return absl::StrFormat("w%04x", XXH3_64bits_withSeed(prompt.data(), prompt.size(), static_cast<XXH64_hash_t>(index)) & 0xffff);
}

std::int64_t standInLength(const std::string &prompt, std::int64_t maxTokens)
{
    const auto hash = XXH3_64bits(prompt.data(), prompt.size());
    return std::min(maxTokens, static_cast<std::int64_t>(20 + hash % 41));
}

EngineStandIn::EngineStandIn(EngineTraits traits)
    : m_traits(traits)
{
}

HttpResponse EngineStandIn::handle(const HttpRequest &request)
{
    const std::string &path = request.path;
    if (path == "/v1/prefill") {
        return prefill(request);
    }
    if (path == "/v1/decode") {
        return decode(request);
    }
    if (path == "/v1/cancel") {
        return cancel(request);
    }
    if (path == "/v1/report") {
        return report();
    }
    if (path == "/v1/orders") {
        return handleRoleOrder(request);
    }
    if (path == "/control") {
        return control(request);
    }
    if (absl::StartsWith(path, "/v1/kv/")) {
        return exportKv(path.substr(7));
    }
    if (absl::StartsWith(path, "/v1/streams/")) {
        return resume(request, path.substr(12));
    }
    return errorResponse(404, "unknown path");
}

HttpResponse EngineStandIn::prefill(const HttpRequest &request)
{
    const auto decoded = toVariant<PrefillRequest>([&] { return decodePrefillRequest(request.body); });
    if (const auto *error = std::get_if<Error>(&decoded)) {
        return errorResponse(400, error->message);
    }
    const auto &prefillRequest = std::get<PrefillRequest>(decoded);
    const std::uint64_t prefix = prefixHashOf(prefillRequest.prompt, prefixTokens);
    const std::int64_t tokens = countTokens(prefillRequest.prompt) + static_cast<std::int64_t>(prefillRequest.produced.size());
    PrefillResult result;
    absl::Time ready;
    {
        const MutexLock lock(m_mutex);
        const bool cached = prefix != 0 && std::find(m_cachedPrefixes.begin(), m_cachedPrefixes.end(), prefix) != m_cachedPrefixes.end();
        result.cachedTokens = cached ? prefixTokens : 0;
        result.tookMs = std::max(0.1, static_cast<double>(tokens - result.cachedTokens) / 1000.0 * m_traits.prefillMsPerThousand);
        result.handle = absl::StrCat("kv-", m_nextHandle++);
        m_busyUntil = std::max(m_busyUntil, absl::Now()) + absl::Milliseconds(result.tookMs);
        ready = m_busyUntil;
        ++m_prefilling;
    }
    absl::SleepFor(ready - absl::Now());
    const MutexLock lock(m_mutex);
    --m_prefilling;
    m_prefillOutputs[result.handle]
        = PrefillOutput{prefillRequest.prompt, prefillRequest.produced, absl::Now() + absl::Milliseconds(m_traits.resultLifetimeMs)};
    if (prefix != 0) {
        std::erase(m_cachedPrefixes, prefix);
        m_cachedPrefixes.push_front(prefix);
        m_cachedPrefixes.resize(std::min(m_cachedPrefixes.size(), maxCachedPrefixes));
    }
    return jsonResponse(200, encodePrefillResult(result));
}

HttpResponse EngineStandIn::exportKv(const std::string &handle)
{
    const MutexLock lock(m_mutex);
    const auto it = m_prefillOutputs.find(handle);
    if (it == m_prefillOutputs.end() || it->second.expires < absl::Now()) {
        return errorResponse(410, "the prefill result is unknown or has expired");
    }
    return jsonResponse(200, jsonDump(Json{{"prompt", it->second.prompt}, {"produced", it->second.produced}}));
}

bool EngineStandIn::importKv(const DecodeRequest &decodeRequest, std::string *prompt, std::vector<std::string> *produced) const
{
    HttpCall call;
    call.url = absl::StrCat("http://", decodeRequest.source, "/v1/kv/", decodeRequest.handle);
    call.timeout = absl::Seconds(1);
    const HttpReply reply = HttpClient::call(call);
    const Json json = Json::parse(reply.body, nullptr, false);
    if (reply.outcome != CallOutcome::Answered || reply.status != 200 || json.is_discarded()) {
        return false;
    }
    *prompt = jsonText(json, "prompt");
    *produced = jsonTexts(json, "produced");
    return true;
}

HttpResponse EngineStandIn::decode(const HttpRequest &request)
{
    const auto decoded = toVariant<DecodeRequest>([&] { return decodeDecodeRequest(request.body); });
    if (const auto *error = std::get_if<Error>(&decoded)) {
        return errorResponse(400, error->message);
    }
    const auto &decodeRequest = std::get<DecodeRequest>(decoded);
    {
        const MutexLock lock(m_mutex);
        removeExpired(absl::Now());
        if (running() + m_importing >= m_traits.slots) {
            return errorResponse(503, "no free slot");
        }
        ++m_importing;
    }
    std::string prompt;
    std::vector<std::string> produced;
    const bool imported = importKv(decodeRequest, &prompt, &produced);
    const std::int64_t tokens = countTokens(prompt) + static_cast<std::int64_t>(produced.size());
    const double transferMs = static_cast<double>(tokens) / 1000.0 * m_traits.transferMsPerThousand;
    absl::Time stalledUntil;
    {
        const MutexLock lock(m_mutex);
        stalledUntil = m_faults.stallTransfersUntil;
    }
    absl::SleepFor(std::max(absl::Milliseconds(transferMs), stalledUntil - absl::Now()));
    const MutexLock lock(m_mutex);
    --m_importing;
    if (!imported) {
        return errorResponse(410, "the prefill result could not be imported or has expired");
    }
    const absl::Time now = absl::Now();
    auto stream = std::make_shared<Stream>();
    stream->id = decodeRequest.id;
    stream->attempt = decodeRequest.attempt;
    stream->prompt = prompt;
    stream->promptTokens = tokens;
    stream->maxTokens = decodeRequest.maxTokens;
    stream->firstOffset = static_cast<std::int64_t>(produced.size());
    stream->total = standInLength(prompt, decodeRequest.maxTokens);
    stream->started = now;
    stream->gapMs = m_traits.gapMs
        + (m_traits.loadedGapMs - m_traits.gapMs) * static_cast<double>(running() + 1) / static_cast<double>(m_traits.slots);
    if (piecesInUse(now) + pieceCount(*stream, now) > m_traits.pieces) {
        return errorResponse(507, "no free memory for the KV cache");
    }
    const auto existing = m_streams.find(decodeRequest.id);
    if (existing != m_streams.end()) {
        if (existing->second->attempt > decodeRequest.attempt) {
            return errorResponse(409, "a later attempt of this request is already known");
        }
        existing->second->cancelled = true;
    }
    m_streams[decodeRequest.id] = stream;
    return streamFrom(stream, decodeRequest.offset, std::max(transferMs, 0.1));
}

HttpResponse EngineStandIn::resume(const HttpRequest &request, const std::string &id)
{
    std::int64_t offset = 0;
    const bool hasOffset = absl::SimpleAtoi(request.parameter("offset"), &offset);
    const MutexLock lock(m_mutex);
    removeExpired(absl::Now());
    const auto it = m_streams.find(RequestId(id));
    if (it == m_streams.end() || it->second->cancelled || !hasOffset || offset > it->second->total) {
        return errorResponse(404, "unknown stream or invalid offset");
    }
    return streamFrom(it->second, offset, 0);
}

HttpResponse EngineStandIn::streamFrom(const std::shared_ptr<Stream> &stream, std::int64_t offset, double importMs)
{
    struct Cursor
    {
        std::int64_t next;
        bool announced = false;
        bool ended = false;
        absl::Time opened = absl::Now();
    };
    auto cursor = std::make_shared<Cursor>(Cursor{offset});
    HttpResponse response;
    response.headers["Content-Type"] = "application/x-ndjson";
    response.source = [this, stream, cursor, importMs]() -> std::optional<std::string> {
        const MutexLock lock(m_mutex);
        while (true) {
            const absl::Time now = absl::Now();
            if (stream->cancelled || cursor->ended) {
                return std::nullopt;
            }
            const bool silent = cursor->opened < m_faults.silentBefore;
            if (!silent && !cursor->announced) {
                cursor->announced = true;
                return encodeStreamLine(StreamImported{importMs, stream->attempt, stream->promptTokens, stream->maxTokens});
            }
            if (!silent && cursor->next < generatedTokens(*stream, now)) {
                const std::int64_t index = cursor->next++;
                return encodeStreamLine(StreamToken{index, standInToken(stream->prompt, index)});
            }
            if (!silent && cursor->next >= stream->total) {
                cursor->ended = true;
                return encodeStreamLine(StreamDone{stream->total});
            }
            m_changed.waitFor(m_mutex, std::min(maxPollInterval, absl::Milliseconds(stream->gapMs / 2)));
        }
    };
    return response;
}

HttpResponse EngineStandIn::cancel(const HttpRequest &request)
{
    const auto decoded = toVariant<CancelRequest>([&] { return decodeCancelRequest(request.body); });
    if (const auto *error = std::get_if<Error>(&decoded)) {
        return errorResponse(400, error->message);
    }
    const auto &cancelRequest = std::get<CancelRequest>(decoded);
    const MutexLock lock(m_mutex);
    const auto it = m_streams.find(cancelRequest.id);
    if (it != m_streams.end() && it->second->attempt <= cancelRequest.attempt) {
        it->second->cancelled = true;
        it->second->occupiesMemory = false;
        m_streams.erase(it);
        m_changed.signalAll();
    }
    return jsonResponse(200, "{}");
}

HttpResponse EngineStandIn::report()
{
    const MutexLock lock(m_mutex);
    const absl::Time now = absl::Now();
    if (now - m_lastReportAt < absl::Milliseconds(m_faults.reportLagMs)) {
        return jsonResponse(200, m_lastReport);
    }
    removeExpired(now);
    EngineReported report;
    report.running = running() + m_prefilling;
    report.piecesInUse = piecesInUse(now);
    for (const auto &[id, stream] : m_streams) {
        if (stream->occupiesMemory) {
            report.held.push_back(id);
        }
    }
    for (std::size_t i = 0; i < m_cachedPrefixes.size(); ++i) {
        if (m_faults.dropCacheEvents == 0 || i % static_cast<std::size_t>(m_faults.dropCacheEvents) != 0) {
            report.cachedPrefixes.push_back(m_cachedPrefixes[i]);
        }
    }
    m_lastReport = encodeEngineReport(report);
    m_lastReportAt = now;
    return jsonResponse(200, m_lastReport);
}

HttpResponse EngineStandIn::handleRoleOrder(const HttpRequest &request)
{
    const Json json = Json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
    const MutexLock lock(m_mutex);
    if (request.method == "POST") {
        const auto fence = static_cast<std::uint64_t>(json.is_object() ? jsonInteger(json, "fence") : 0);
        if (m_traits.checksFencing && fence < m_highestFence) {
            return errorResponse(409, "an order with a higher fencing number was accepted before");
        }
        m_highestFence = std::max(m_highestFence, fence);
        m_lastRoleOrder = request.body;
    }
    return jsonResponse(200, m_lastRoleOrder.empty() ? "{}" : m_lastRoleOrder);
}

HttpResponse EngineStandIn::control(const HttpRequest &request)
{
    const Json json = Json::parse(request.body, nullptr, false);
    if (json.is_discarded()) {
        return errorResponse(400, "the body is not valid JSON");
    }
    const MutexLock lock(m_mutex);
    if (jsonFlag(json, "silenceOpenConnections")) {
        m_faults.silentBefore = absl::Now();
    }
    const std::int64_t stallMs = jsonInteger(json, "stallTransfersMs");
    if (stallMs > 0) {
        m_faults.stallTransfersUntil = absl::Now() + absl::Milliseconds(stallMs);
    }
    m_faults.reportLagMs = jsonInteger(json, "reportLagMs", m_faults.reportLagMs);
    m_faults.dropCacheEvents = jsonInteger(json, "dropCacheEvents", m_faults.dropCacheEvents);
    return jsonResponse(200, "{}");
}

std::int64_t EngineStandIn::generatedTokens(const Stream &stream, absl::Time now) const
{
    const double made = absl::ToDoubleMilliseconds(now - stream.started) / stream.gapMs;
    return std::min(stream.total, stream.firstOffset + static_cast<std::int64_t>(made));
}

std::int64_t EngineStandIn::pieceCount(const Stream &stream, absl::Time now) const
{
    const std::int64_t tokens = stream.promptTokens + generatedTokens(stream, now) - stream.firstOffset;
    return (tokens + m_traits.tokensPerPiece - 1) / m_traits.tokensPerPiece;
}

std::int64_t EngineStandIn::piecesInUse(absl::Time now)
{
    std::int64_t n = 0;
    for (const auto &[id, stream] : m_streams) {
        n += stream->occupiesMemory ? pieceCount(*stream, now) : 0;
    }
    return n;
}

std::int64_t EngineStandIn::running() const
{
    return std::count_if(m_streams.begin(), m_streams.end(), [](const auto &it) { return it.second->occupiesMemory; });
}

void EngineStandIn::removeExpired(absl::Time now)
{
    for (auto &[id, stream] : m_streams) {
        if (generatedTokens(*stream, now) >= stream->total) {
            stream->occupiesMemory = false;
        }
    }
    std::erase_if(m_streams, [&](const auto &it) {
        const Stream &stream = *it.second;
        const absl::Time ended = stream.started + absl::Milliseconds(stream.gapMs * static_cast<double>(stream.total - stream.firstOffset));
        return !stream.occupiesMemory && now - ended > finishedStreamRetention;
    });
    std::erase_if(m_prefillOutputs, [&](const auto &it) { return it.second.expires < now; });
}

}
