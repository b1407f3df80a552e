#include "apricotladderd/entry/engines/enginenotices.h"

#include "platform/callheaders.h"

#include <absl/time/clock.h>

#include <string>

namespace Apricot {

namespace {

/// Longest part of an unusable Retry-After that is logged.
constexpr std::size_t maxLoggedValueBytes = 64;

EngineNotice readNotice(const HttpResponseHead &head)
{
    const EngineResponseInfo info = readEngineResponse(head);
    return EngineNotice{info.isLeaving, info.retryAfter, info.hasUnusableRetryAfter};
}

void logLeaving(EntryContext &context, const EngineEntry &engine, const RequestId &requestId)
{
    context.metrics.countEngineNotice("leaving");
    context.log.add(LogLevel::Info, "engine.leaving", RequestId(),
                    {{"engine", engine->id.text()},
                     {"service", engine->service.text()},
                     {"lifetime", engine->startedMs},
                     {"source", std::string("answer")},
                     {"call", requestId.text()}});
}

void logBackOff(EntryContext &context, const EngineEntry &engine, const RequestId &requestId, absl::Duration duration)
{
    context.metrics.countEngineNotice("backoff");
    context.log.add(LogLevel::Info, "engine.backoff", RequestId(),
                    {{"engine", engine->id.text()},
                     {"service", engine->service.text()},
                     {"lifetime", engine->startedMs},
                     {"source", std::string("answer")},
                     {"call", requestId.text()},
                     {"ms", absl::ToDoubleMilliseconds(duration)},
                     {"until", absl::FormatTime("%Y-%m-%d%ET%H:%M:%E3SZ", absl::Now() + duration, absl::UTCTimeZone())}});
}

void logBadRetryAfter(EntryContext &context, const EngineEntry &engine, const HttpResponseHead &head)
{
    context.metrics.countEngineNotice("bad Retry-After");
    context.log.add(LogLevel::Warning, "engine.badretryafter", RequestId(),
                    {{"engine", engine->id.text()},
                     {"lifetime", engine->startedMs},
                     {"value", std::string(headerValue(head.headers, "Retry-After").substr(0, maxLoggedValueBytes))}});
}

void recordNotice(EntryLoop &loop, const EngineEntry &engine, const RequestId &requestId, const HttpResponseHead &head)
{
    EntryContext &context = loop.context();
    const absl::Time now = loop.events().now();
    const EngineNotice notice = readNotice(head);
    if (notice == EngineNotice{}) {
        return;
    }
    const EngineNoticeResult result
        = context.pools.withPool(engine->service, [&](ServicePool &pool) { return pool.recordNotice(engine, notice, now); });
    if (result.isNewlyLeaving) {
        logLeaving(context, engine, requestId);
    }
    if (result.isFirstBadRetryAfter) {
        logBadRetryAfter(context, engine, head);
    }
    if (result.backOffUntil) {
        const absl::Duration duration = *result.backOffUntil - now;
        logBackOff(context, engine, requestId, duration);
        // Calls that wait get the engine's capacity when the back-off ends.
        loop.events().after(duration,
                            [&loop, service = engine->service] { loop.context().pools.grantCapacity(service, loop.events().now()); });
    }
}

}

void observeEngineNotices(EntryLoop &loop, const EngineEntry &engine, const RequestId &requestId, ExchangeRequest &exchange)
{
    exchange.observeHead = [&loop, engine, requestId](const HttpResponseHead &head) {
        recordNotice(loop, engine, requestId, head);
    };
}

std::optional<absl::Duration> retryAfterBackOff(EntryLoop &loop, const ServiceName &service)
{
    const absl::Time now = loop.events().now();
    const std::optional<absl::Duration> timeLeft
        = loop.context().pools.withPool(service, [&](const ServicePool &pool) { return pool.backOffOfAllEngines(now); });
    return timeLeft ? std::optional(retryAfterBackOff(*timeLeft, loop.random())) : std::nullopt;
}

}
