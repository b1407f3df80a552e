#include "randomrun/simengine.h"

#include "state/invariant.h"

#include <absl/hash/hash.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace Apricot::Sim {

namespace {

constexpr std::int64_t minLongOutput = 1000;
constexpr std::int64_t tokensPerPiece = 16;
constexpr double tokenIntervalMs = 15;
constexpr double prefillMsPerThousandTokens = 66;
constexpr absl::Duration resultLifetime = absl::Milliseconds(800);
constexpr absl::Duration readInterval = absl::Milliseconds(60);
constexpr absl::Duration finishedStreamRetention = absl::Seconds(20);

/// An engine must receive no new work later than this after it started to leave.
constexpr absl::Duration leavingTimeout = absl::Seconds(3);

/// Number of tokens by which a resumed stream may start early, because engines resume at block boundaries.
constexpr std::int64_t resumeOverlap = 3;

absl::Duration drawNetworkDelay(SimClock &clock)
{
    return clock.drawDuration(absl::Milliseconds(0.3), absl::Milliseconds(1.5));
}

}

std::string outputToken(const RequestId &id, std::int64_t offset)
{
    return absl::StrCat(id.text(), ":", offset);
}

std::int64_t outputLength(const RequestId &id, std::int64_t maxTokens)
{
    std::uint64_t hash = 1469598103934665603ULL;
    for (const char c : id.text()) {
        hash = (hash ^ static_cast<std::uint8_t>(c)) * 1099511628211ULL;
    }
    // A request with a large token limit gets a long output, which holds engine memory for seconds unless the request is cancelled.
    const std::int64_t length
        = maxTokens > minLongOutput ? minLongOutput + static_cast<std::int64_t>(hash % 500) : static_cast<std::int64_t>(10 + hash % 80);
    return std::min(maxTokens, length);
}

SimEngine::SimEngine(SimClock &clock, EngineId id, std::int64_t slots, std::int64_t pieces)
    : m_clock(clock)
    , m_id(std::move(id))
    , m_slots(slots)
    , m_pieces(pieces)
    , m_busyUntil(clock.now())
{
}

void SimEngine::prefill(const RequestId &request, std::int64_t tokens, std::function<void(std::string, absl::Duration)> done)
{
    if (!m_alive) {
        m_clock.after(drawNetworkDelay(m_clock), [done = std::move(done)] { done({}, {}); });
        return;
    }
    checkNotLeaving(request);
    const absl::Duration took = absl::Milliseconds(static_cast<double>(tokens) / 1000 * prefillMsPerThousandTokens);
    m_busyUntil = std::max(m_busyUntil, m_clock.now()) + took;
    m_clock.after(m_busyUntil - m_clock.now(), [this, tokens, took, epoch = m_epoch, done = std::move(done)] {
        if (!m_alive || epoch != m_epoch) {
            done({}, {});
            return;
        }
        const std::string handle = absl::StrCat(m_id.text(), "-", m_nextHandle++);
        m_results[handle] = Result{tokens, m_clock.now() + resultLifetime};
        m_clock.after(drawNetworkDelay(m_clock), [done, handle, took] { done(handle, took); });
    });
}

void SimEngine::decode(const RequestId &request, std::uint64_t attempt, SimEngine &source, const std::string &handle,
                       std::int64_t promptTokens, std::int64_t maxTokens, std::int64_t offset, StreamPartHandler reader)
{
    if (!m_alive) {
        refuse(reader, StreamPart::Kind::NotConnected);
        return;
    }
    checkNotLeaving(request);
    const absl::Duration stall = std::max(m_stalledUntil - m_clock.now(), absl::ZeroDuration());
    m_clock.after(drawNetworkDelay(m_clock) + stall,
                  [this, request, attempt, &source, handle, promptTokens, maxTokens, offset, epoch = m_epoch, reader = std::move(reader)] {
                      const auto result = source.m_results.find(handle);
                      const bool expired = !source.m_alive || result == source.m_results.end() || result->second.expires < m_clock.now();
                      removeFinished();
                      const std::int64_t pieces = expired ? 0 : (result->second.tokens + tokensPerPiece - 1) / tokensPerPiece;
                      const auto known = m_streams.find(request);
                      const bool superseded = known != m_streams.end() && known->second->attempt > attempt;
                      if (!m_alive || epoch != m_epoch) {
                          refuse(reader, StreamPart::Kind::Broken);
                          return;
                      }
                      if (expired || superseded || running() >= m_slots || piecesInUse() + pieces > m_pieces) {
                          refuse(reader, StreamPart::Kind::Refused);
                          return;
                      }
                      if (known != m_streams.end()) {
                          known->second->cancelled = true;
                      }
                      auto stream = std::make_shared<Stream>(
                          Stream{attempt, promptTokens, maxTokens, offset, outputLength(request, maxTokens), m_clock.now()});
                      m_streams[request] = stream;
                      auto connection = std::make_shared<Connection>(Connection{stream, request, offset, false, m_epoch, reader});
                      m_connections.push_back(connection);
                      reader(StreamPart{StreamPart::Kind::Opened, offset, {}, attempt, promptTokens, maxTokens});
                      sendTokens(connection);
                  });
}

void SimEngine::resume(const RequestId &request, std::int64_t offset, StreamPartHandler reader)
{
    if (!m_alive) {
        refuse(reader, StreamPart::Kind::NotConnected);
        return;
    }
    m_clock.after(drawNetworkDelay(m_clock), [this, request, offset, reader = std::move(reader)] {
        removeFinished();
        const auto it = m_streams.find(request);
        if (!m_alive || it == m_streams.end() || it->second->cancelled || offset > it->second->total) {
            refuse(reader, StreamPart::Kind::Refused);
            return;
        }
        const std::int64_t from = std::max<std::int64_t>(0, offset - (m_clock.chance(0.5) ? resumeOverlap : 0));
        auto connection = std::make_shared<Connection>(Connection{it->second, request, from, false, m_epoch, reader});
        m_connections.push_back(connection);
        reader(StreamPart{StreamPart::Kind::Opened, offset, {}, it->second->attempt, it->second->promptTokens, it->second->maxTokens});
        sendTokens(connection);
    });
}

void SimEngine::sendTokens(const std::shared_ptr<Connection> &connection)
{
    if (connection->isStalled) {
        return;
    }
    if (!m_alive || connection->epoch != m_epoch || connection->stream->cancelled) {
        refuse(connection->reader, StreamPart::Kind::Broken);
        return;
    }
    const Stream &stream = *connection->stream;
    for (const std::int64_t generated = tokensNow(stream); connection->nextOffset < generated; ++connection->nextOffset) {
        connection->reader(
            StreamPart{StreamPart::Kind::Token, connection->nextOffset, outputToken(connection->request, connection->nextOffset)});
    }
    if (connection->nextOffset >= stream.total) {
        connection->reader(StreamPart{StreamPart::Kind::Done, stream.total});
        return;
    }
    m_clock.after(readInterval, [this, connection] { sendTokens(connection); });
}

void SimEngine::refuse(const StreamPartHandler &reader, StreamPart::Kind kind)
{
    m_clock.after(drawNetworkDelay(m_clock), [reader, kind] { reader(StreamPart{kind}); });
}

void SimEngine::cancel(const RequestId &request, std::uint64_t attempt)
{
    m_clock.after(drawNetworkDelay(m_clock), [this, request, attempt] {
        const auto it = m_streams.find(request);
        if (it != m_streams.end() && it->second->attempt <= attempt) {
            it->second->cancelled = true;
            m_streams.erase(it);
        }
    });
}

bool SimEngine::report(EngineReported *report)
{
    if (!m_alive) {
        return false;
    }
    removeFinished();
    report->engine = m_id;
    report->running = running();
    report->piecesInUse = piecesInUse();
    for (const auto &[id, stream] : m_streams) {
        if (stream->holdsMemory) {
            report->held.push_back(id);
        }
    }
    return true;
}

void SimEngine::kill()
{
    m_alive = false;
    ++m_epoch;
    m_results.clear();
    m_streams.clear();
}

void SimEngine::restart()
{
    m_alive = true;
    m_busyUntil = m_clock.now();
}

void SimEngine::setLeaving(absl::Time at)
{
    m_leavingSince = at;
}

void SimEngine::stallConnections()
{
    for (const std::weak_ptr<Connection> &it : m_connections) {
        if (const std::shared_ptr<Connection> connection = it.lock()) {
            connection->isStalled = true;
        }
    }
    m_connections.clear();
}

void SimEngine::stallTransfers(absl::Time until)
{
    m_stalledUntil = until;
}

std::int64_t SimEngine::piecesInUse()
{
    removeFinished();
    std::int64_t n = 0;
    for (const auto &[id, stream] : m_streams) {
        const std::int64_t tokens = stream->promptTokens + tokensNow(*stream) - stream->firstOffset;
        n += stream->holdsMemory ? (tokens + tokensPerPiece - 1) / tokensPerPiece : 0;
    }
    return n;
}

void SimEngine::checkNotLeaving(const RequestId &request) const
{
    APRICOT_INVARIANT(m_clock.now() < m_leavingSince + leavingTimeout, "no-new-work-on-leaving-endpoint",
                      absl::StrCat(request.text(), " on ", m_id.text()));
}

std::int64_t SimEngine::tokensNow(const Stream &stream) const
{
    const double generated = absl::ToDoubleMilliseconds(m_clock.now() - stream.started) / tokenIntervalMs;
    return std::min(stream.total, stream.firstOffset + static_cast<std::int64_t>(generated));
}

std::int64_t SimEngine::running()
{
    return std::count_if(m_streams.begin(), m_streams.end(), [](const auto &it) { return it.second->holdsMemory; });
}

void SimEngine::removeFinished()
{
    for (auto &[id, stream] : m_streams) {
        stream->holdsMemory = tokensNow(*stream) < stream->total;
    }
    std::erase_if(m_streams,
                  [&](const auto &it) { return !it.second->holdsMemory && m_clock.now() - it.second->started > finishedStreamRetention; });
    std::erase_if(m_connections, [](const auto &it) { return it.expired(); });
}

}
