#include "apricotladderd/entry/enginenotices.h"

#include "platform/callheaders.h"

namespace Apricot {

namespace {

void recordNotice(EntryLoop &loop, const EngineEntry &engine, const RequestId &requestId, const EngineNotice &notice)
{
    EntryContext &context = loop.context();
    const absl::Time now = loop.events().now();
    const EngineNoticeResult result
        = context.pools.withPool(engine->service, [&](ServicePool &pool) { return pool.recordNotice(engine, notice, now); });
    if (result.isNewlyLeaving) {
        context.metrics.countEngineNotice("leaving");
        context.log.add(LogLevel::Info, "engine.leaving", RequestId(),
                        {{"engine", engine->id.text()},
                         {"service", engine->service.text()},
                         {"lifetime", engine->startedMs},
                         {"source", std::string("answer")},
                         {"call", requestId.text()}});
    }
}

}

void observeEngineNotices(EntryLoop &loop, const EngineEntry &engine, const RequestId &requestId, ExchangeRequest &exchange)
{
    exchange.observeHead = [&loop, engine, requestId](const HttpResponseHead &head) {
        recordNotice(loop, engine, requestId, EngineNotice{readEngineResponse(head).isLeaving});
    };
}

}
