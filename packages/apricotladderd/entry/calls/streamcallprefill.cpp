#include "apricotladderd/entry/calls/streamcall.h"

#include "state/overloaded.h"

#include <utility>

namespace Apricot {

namespace {

/// Prefill timeout, as a fraction of the route's target latency. After it the decode engine computes the prefill itself if
/// its other streams tolerate that, or another prefill engine is tried.
constexpr double prefillTimeoutFraction = 0.75;

/// Longest answer to a prefill request, bytes. It names a handle, which takes some hundred bytes.
constexpr std::size_t maxPrefillAnswerBytes = 16 * 1024;

}

void StreamCall::startPrefill()
{
    if (refuseQuarantined()) {
        return;
    }
    const EngineEntry engine = *m_placement->prefill;
    m_stageStart = m_loop.events().now();
    if (!m_loop.context().pools.withPool(m_facts.service,
                                         [&](const ServicePool &pool) { return pool.acceptsCalls(engine, m_stageStart); })) {
        abandonPlacement(engine->id);
        requestPlacement(m_facts.route->targetLatency);
        return;
    }
    EngineRequestOptions options = makeRequestOptions(engine);
    options.prefillOnly = true;
    m_prefillFetch = HttpFetch::start(m_loop.events(), m_loop.engines(), makeEngineRequest(engine, options),
                                      m_facts.route->targetLatency * prefillTimeoutFraction, maxPrefillAnswerBytes,
                                      [self = shared_from_this()](const FetchResult &result) { self->handlePrefillResult(result); });
}

void StreamCall::handlePrefillResult(const FetchResult &result)
{
    std::visit(Overloaded{
                   [&](FetchError why) { handlePrefillError(why); },
                   [&](const FullResponse &response) {
                       recordPrefillSent();
                       handlePrefillResponse(response);
                   },
               },
               result);
}

void StreamCall::recordPrefillSent()
{
    m_sentAttempts += m_sentPrefills > 0 ? 1 : 0;
    ++m_sentPrefills;
}

void StreamCall::handlePrefillError(FetchError why)
{
    if (why == FetchError::NoConnection) {
        continueAfterFailedPrefill(EngineResult::Unreachable, fetchErrorText(why));
        return;
    }
    recordPrefillSent();
    if (why == FetchError::TimedOut) {
        m_loop.context().metrics.countWastedPrefillTokens(static_cast<double>(m_facts.call->promptTokens));
    }
    m_prefillFailureCounts = why == FetchError::TooLong;
    continueAfterFailedPrefill(EngineResult::Failed, fetchErrorText(why));
}

void StreamCall::handlePrefillResponse(const FullResponse &response)
{
    const EngineEntry engine = *m_placement->prefill;
    const std::optional<PrefillHandle> result = response.head.status == statusOk ? readPrefillHandle(response.body) : std::nullopt;
    if (!result) {
        m_prefillFailureCounts = true;
        const bool isRefusal = provesNotRun(response.head.status, readEngineResponse(response.head));
        continueAfterFailedPrefill(isRefusal ? EngineResult::Refused : EngineResult::Failed, isRefusal ? "declined" : "failed");
        return;
    }
    const absl::Time now = m_loop.events().now();
    const absl::Duration lifetime = m_loop.context().pools.withPool(m_facts.service, [&](ServicePool &pool) {
        const double units = static_cast<double>(std::max<std::int64_t>(1, m_facts.call->promptTokens));
        pool.recordResult(engine->id, EngineResult::Succeeded, now);
        pool.recordCost(engine->id, units, now - m_stageStart, now);
        return pool.handleLifetime();
    });
    m_loop.context().metrics.countAttempt("prefill", "good");
    m_kvHandle.set(engine, result->handle, now + lifetime);
    m_isHandleDeclined = false;
    m_reservation.release(engine->id, now);
    startDecode();
}

void StreamCall::continueAfterFailedPrefill(EngineResult result, const char *why)
{
    const EngineEntry engine = *m_placement->prefill;
    m_reservation.recordResult(engine->id, result, m_loop.events().now());
    m_loop.context().metrics.countAttempt("prefill", why);
    m_loop.context().log.add(LogLevel::Info, "call.prefillfailed", m_facts.call->requestId,
                             {{"workspace", m_facts.workspaceName().text()}, {"engine", engine->id.text()}, {"why", std::string(why)}});
    m_reservation.release(engine->id, m_loop.events().now());
    // A prefill alone does not count as running the call, so a refusal that reports "not run" is still correct here.
    if (std::exchange(m_prefillFailureCounts, false) && !trySpendRetry()) {
        refuse(ErrorKind::NoCapacity, shortRetryAfter);
        return;
    }
    const ModelDemand demand = this->makeDemand(absl::ZeroDuration());
    const EngineId decode = m_placement->decode->id;
    const bool allowsLocalPrefill = m_loop.context().pools.withPool(
        m_facts.service, [&](const ServicePool &pool) { return pool.allowsLocalPrefill(decode, demand, m_loop.events().now()); });
    if (allowsLocalPrefill || !canRetryPrefill()) {
        startLocalPrefill();
        return;
    }
    // A prefill at the decode engine would delay the events of its other streams by more than their routes allow.
    abandonPlacement(engine->id);
    requestPlacement(m_facts.route->targetLatency);
}

bool StreamCall::canRetryPrefill() const
{
    // The first prefill does not count as an attempt; every further one does.
    return m_sentPrefills == 0 || m_sentAttempts + 1 < m_facts.route->maxAttempts;
}

void StreamCall::startLocalPrefill()
{
    m_placement->prefill.reset();
    m_reservation.add(EngineReservation{m_placement->decode->id, 0, m_facts.call->promptTokens, std::nullopt});
    startDecode();
}

}
