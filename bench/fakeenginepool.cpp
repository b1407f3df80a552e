#include "fakeenginepool.h"

#include <algorithm>

namespace Apricot::Bench {

namespace {

constexpr std::size_t maxCachedPrefixes = 8;

}

FakeEnginePool::FakeEnginePool(const Deployment &deployment, const std::vector<OfferedRequest> &requests)
    : m_requests(requests)
    , m_prefill(deployment.prefillEngines)
    , m_decode(deployment.decodeEngines)
    , m_generatedTokens(requests.size())
{
}

absl::Time FakeEnginePool::nextEventTime() const
{
    absl::Time next = absl::InfiniteFuture();
    for (const PrefillEngine &engine : m_prefill) {
        next = std::min(next, engine.doneAt);
    }
    for (const DecodeEngine &engine : m_decode) {
        next = std::min(next, engine.stepAt);
    }
    for (const auto &[request, result] : m_results) {
        next = std::min(next, result.expires);
    }
    return next;
}

std::vector<PoolEvent> FakeEnginePool::advance()
{
    std::vector<PoolEvent> events;
    m_now = nextEventTime();
    for (PrefillEngine &engine : m_prefill) {
        if (engine.doneAt == m_now) {
            finishPrefill(engine, &events);
            return events;
        }
    }
    for (DecodeEngine &engine : m_decode) {
        if (engine.stepAt == m_now) {
            step(engine, &events);
            return events;
        }
    }
    for (auto it = m_results.begin(); it != m_results.end(); ++it) {
        if (it->second.expires == m_now) {
            const std::size_t request = it->first;
            m_wastedPrefillMs += it->second.costMs;
            m_results.erase(it);
            // A request that waits at a decode engine for this result fails; no event is sent for an unclaimed result.
            for (DecodeEngine &engine : m_decode) {
                std::erase_if(engine.waiting, [&](const Job &job) {
                    if (job.request == request) {
                        events.push_back(PoolEvent{PoolEvent::Kind::TransferFailed, request, job.attempt});
                    }
                    return job.request == request;
                });
            }
            return events;
        }
    }
    return events;
}

void FakeEnginePool::startPrefill(std::size_t request, std::uint64_t attempt, std::size_t engine, std::int64_t extraTokens, absl::Time now)
{
    PrefillEngine &it = m_prefill[engine];
    it.queue.push_back(Job{request, attempt, m_requests[request].promptTokens + extraTokens});
    if (it.queue.size() == 1) {
        startNextPrefill(it, now);
    }
}

void FakeEnginePool::startNextPrefill(PrefillEngine &engine, absl::Time now)
{
    if (engine.queue.empty() || !engine.alive) {
        engine.doneAt = absl::InfiniteFuture();
        return;
    }
    const Job &job = engine.queue.front();
    const OfferedRequest &request = m_requests[job.request];
    const bool cached
        = request.prefixHash != 0 && std::find(engine.cache.begin(), engine.cache.end(), request.prefixHash) != engine.cache.end();
    engine.cachedTokens = cached ? request.prefixTokens : 0;
    engine.costMs = static_cast<double>(job.tokens - engine.cachedTokens) / 1000.0 * EngineFigures::prefillMsPerThousand;
    engine.doneAt = now + absl::Milliseconds(engine.costMs);
}

void FakeEnginePool::finishPrefill(PrefillEngine &engine, std::vector<PoolEvent> *events)
{
    const Job job = engine.queue.front();
    engine.queue.pop_front();
    const std::uint64_t prefix = m_requests[job.request].prefixHash;
    if (prefix != 0) {
        std::erase(engine.cache, prefix);
        engine.cache.push_front(prefix);
        engine.cache.resize(std::min(engine.cache.size(), maxCachedPrefixes));
    }
    m_prefillMs += engine.costMs;
    recordPrefillTime(job.request, engine.costMs);
    discardResult(job.request);
    m_results[job.request] = Result{job.attempt, m_now + absl::Milliseconds(EngineFigures::resultLifetimeMs), engine.costMs, job.tokens};
    events->push_back(PoolEvent{PoolEvent::Kind::PrefillDone, job.request, job.attempt, engine.costMs, engine.cachedTokens});
    startNextPrefill(engine, m_now);
}

void FakeEnginePool::startDecode(std::size_t request, std::uint64_t attempt, std::size_t engine, absl::Time now)
{
    DecodeEngine &it = m_decode[engine];
    it.waiting.push_back(Job{request, attempt, 0});
    m_now = std::max(m_now, now);
    if (it.stepAt == absl::InfiniteFuture()) {
        it.stepAt = now;
    }
}

void FakeEnginePool::admitWaiting(DecodeEngine &engine, absl::Time now, std::vector<PoolEvent> *events)
{
    while (!engine.waiting.empty() && engine.running.size() < EngineFigures::slots) {
        const Job job = engine.waiting.front();
        const auto result = m_results.find(job.request);
        if (result == m_results.end() || result->second.attempt != job.attempt) {
            events->push_back(PoolEvent{PoolEvent::Kind::TransferFailed, job.request, job.attempt});
            engine.waiting.pop_front();
            continue;
        }
        if (pieceCount(engine) + pieceCount(result->second.tokens) > EngineFigures::pieces) {
            return;
        }
        const double transferMs
            = static_cast<double>(result->second.tokens) / 1000.0 * EngineFigures::transferMsPerThousand * engine.transferFactor;
        engine.running.push_back(Running{job.request, job.attempt, result->second.tokens, now + absl::Milliseconds(transferMs)});
        events->push_back(PoolEvent{PoolEvent::Kind::TransferStarted, job.request, job.attempt, transferMs});
        m_results.erase(result);
        engine.waiting.pop_front();
    }
}

void FakeEnginePool::step(DecodeEngine &engine, std::vector<PoolEvent> *events)
{
    std::int64_t pieces = pieceCount(engine);
    std::vector<Running> remaining;
    for (Running &it : engine.running) {
        const bool decodes = it.decodeStart <= m_now;
        const bool needsPiece = pieceCount(it.context + 1) > pieceCount(it.context);
        // A request that needs a piece while none is free makes no progress until another request ends.
        if (!decodes || !it.inStep || (needsPiece && pieces + 1 > EngineFigures::pieces)) {
            it.inStep = it.inStep || decodes;
            remaining.push_back(it);
            continue;
        }
        pieces += needsPiece ? 1 : 0;
        ++it.context;
        ++m_generatedTokens[it.request];
        recordTokenTime(it.request, m_now);
        events->push_back(PoolEvent{PoolEvent::Kind::Token, it.request, it.attempt});
        if (m_generatedTokens[it.request] >= m_requests[it.request].outputTokens) {
            events->push_back(PoolEvent{PoolEvent::Kind::Done, it.request, it.attempt});
            pieces -= pieceCount(it.context);
        } else {
            remaining.push_back(it);
        }
    }
    m_peakMemory = std::max(m_peakMemory, static_cast<double>(pieces) / static_cast<double>(EngineFigures::pieces));
    engine.running = std::move(remaining);
    admitWaiting(engine, m_now, events);
    scheduleStep(engine, m_now);
}

void FakeEnginePool::scheduleStep(DecodeEngine &engine, absl::Time now)
{
    std::int64_t decoding = 0;
    absl::Time earliestTransferEnd = absl::InfiniteFuture();
    for (Running &it : engine.running) {
        if (it.decodeStart <= now) {
            it.inStep = true;
            ++decoding;
        } else {
            earliestTransferEnd = std::min(earliestTransferEnd, it.decodeStart);
        }
    }
    if (decoding == 0) {
        engine.stepAt = earliestTransferEnd;
        return;
    }
    const double load = static_cast<double>(decoding) / static_cast<double>(EngineFigures::slots);
    engine.stepAt
        = now + absl::Milliseconds(EngineFigures::unloadedGapMs + (EngineFigures::loadedGapMs - EngineFigures::unloadedGapMs) * load);
}

void FakeEnginePool::cancel(std::size_t request, std::uint64_t attempt, absl::Time now)
{
    for (PrefillEngine &engine : m_prefill) {
        // A running prefill cannot be cancelled and completes; a queued one is removed.
        for (std::size_t i = 1; i < engine.queue.size(); ++i) {
            if (engine.queue[i].request == request && engine.queue[i].attempt <= attempt) {
                engine.queue.erase(engine.queue.begin() + static_cast<std::ptrdiff_t>(i));
                break;
            }
        }
    }
    const auto result = m_results.find(request);
    if (result != m_results.end() && result->second.attempt <= attempt) {
        discardResult(request);
    }
    for (DecodeEngine &engine : m_decode) {
        std::erase_if(engine.waiting, [&](const Job &it) { return it.request == request && it.attempt <= attempt; });
        std::erase_if(engine.running, [&](const Running &it) { return it.request == request && it.attempt <= attempt; });
        if (engine.stepAt == absl::InfiniteFuture() && !engine.waiting.empty()) {
            engine.stepAt = now;
        }
    }
}

std::vector<PoolEvent> FakeEnginePool::failPrefillEngine(std::size_t engine, absl::Time now)
{
    std::vector<PoolEvent> events;
    PrefillEngine &it = m_prefill[engine];
    it.alive = false;
    it.doneAt = absl::InfiniteFuture();
    if (!it.queue.empty()) {
        m_lostPrefillMs += it.costMs;
    }
    for (const Job &job : it.queue) {
        events.push_back(PoolEvent{PoolEvent::Kind::PrefillLost, job.request, job.attempt});
    }
    it.queue.clear();
    m_now = std::max(m_now, now);
    return events;
}

std::vector<PoolEvent> FakeEnginePool::failDecodeEngine(std::size_t engine, absl::Time now)
{
    std::vector<PoolEvent> events;
    DecodeEngine &it = m_decode[engine];
    it.alive = false;
    it.stepAt = absl::InfiniteFuture();
    for (const Running &running : it.running) {
        events.push_back(PoolEvent{PoolEvent::Kind::StreamLost, running.request, running.attempt});
        m_lostPrefillMs += static_cast<double>(m_requests[running.request].promptTokens) / 1000.0 * EngineFigures::prefillMsPerThousand;
    }
    for (const Job &job : it.waiting) {
        events.push_back(PoolEvent{PoolEvent::Kind::TransferFailed, job.request, job.attempt});
    }
    it.running.clear();
    it.waiting.clear();
    m_now = std::max(m_now, now);
    return events;
}

void FakeEnginePool::setTransferFactor(std::size_t engine, double factor)
{
    m_decode[engine].transferFactor = factor;
}

void FakeEnginePool::setMeasurementWindow(absl::Time from, absl::Time until)
{
    m_windowStart = from;
    m_windowEnd = until;
}

std::int64_t FakeEnginePool::piecesInUse(std::size_t engine) const
{
    return pieceCount(m_decode[engine]);
}

std::vector<std::uint64_t> FakeEnginePool::cachedPrefixes(std::size_t engine) const
{
    return {m_prefill[engine].cache.begin(), m_prefill[engine].cache.end()};
}

void FakeEnginePool::recordPrefillTime(std::size_t request, double ms)
{
    if (isMeasured(m_now)) {
        (m_requests[request].urgent ? m_time.prefillUrgent : m_time.prefillOther) += ms;
    }
}

void FakeEnginePool::recordTokenTime(std::size_t request, absl::Time now)
{
    if (isMeasured(now)) {
        (m_requests[request].urgent ? m_time.decodeUrgent : m_time.decodeOther) += decodeMs(1);
    }
}

void FakeEnginePool::discardResult(std::size_t request)
{
    const auto it = m_results.find(request);
    if (it != m_results.end()) {
        m_wastedPrefillMs += it->second.costMs;
        m_results.erase(it);
    }
}

std::int64_t FakeEnginePool::pieceCount(std::int64_t tokens)
{
    return (tokens + EngineFigures::tokensPerPiece - 1) / EngineFigures::tokensPerPiece;
}

std::int64_t FakeEnginePool::pieceCount(const DecodeEngine &engine)
{
    std::int64_t n = 0;
    for (const Running &it : engine.running) {
        n += pieceCount(it.context);
    }
    return n;
}

}
