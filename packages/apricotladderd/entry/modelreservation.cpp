#include "apricotladderd/entry/modelreservation.h"

#include <utility>

namespace Apricot {

ModelReservation::ModelReservation(EntryContext &context, ServiceName service)
    : m_context(context)
    , m_service(std::move(service))
{
}

ModelReservation::~ModelReservation()
{
    m_context.pools.withPool(m_service, [&](ServicePool &pool) {
        for (const EngineShare &share : m_shares) {
            pool.release(share);
        }
    });
}

void ModelReservation::take(const ModelPlacement &placement)
{
    m_shares = placement.shares;
    m_context.onLoadsChanged();
}

void ModelReservation::hold(const EngineShare &share)
{
    m_context.pools.withPool(m_service, [&](ServicePool &pool) { pool.add(share); });
    m_shares.push_back(share);
}

void ModelReservation::letGo(const EngineId &engine, absl::Time now)
{
    for (const EngineShare &share : std::exchange(m_shares, {})) {
        if (share.engine == engine) {
            m_context.pools.release(m_service, share, now);
        } else {
            m_shares.push_back(share);
        }
    }
    m_context.onLoadsChanged();
}

void ModelReservation::letGoAll(absl::Time now)
{
    if (m_shares.empty()) {
        return;
    }
    for (const EngineShare &share : std::exchange(m_shares, {})) {
        m_context.pools.release(m_service, share, now);
    }
    m_context.onLoadsChanged();
}

void ModelReservation::noteEvents(std::int64_t events, absl::Time since, absl::Time now)
{
    bool isPromptRead = false;
    m_context.pools.withPool(m_service, [&](ServicePool &pool) {
        for (EngineShare &share : m_shares) {
            if (share.run) {
                isPromptRead = isPromptRead || share.run->madeTokens == 0;
                share.run->madeTokens = events * pool.tokensPerEvent();
                pool.noteRunMade(share.engine, share.run->id, share.run->madeTokens);
            }
            if (share.prefillTokens > 0) {
                pool.noteCost(share.engine, static_cast<double>(share.prefillTokens), now - since, now);
                pool.release(EngineShare{share.engine, 0, share.prefillTokens, std::nullopt});
                share.prefillTokens = 0;
            }
        }
    });
    if (isPromptRead) {
        m_context.onLoadsChanged();
    }
}

void ModelReservation::noteEnded(std::int64_t events)
{
    m_context.pools.withPool(m_service, [&](ServicePool &pool) { pool.noteRunEnded(events * pool.tokensPerEvent()); });
}

void ModelReservation::note(const EngineId &engine, EngineResult result, absl::Time now)
{
    m_context.pools.withPool(m_service, [&](ServicePool &pool) { pool.noteResult(engine, result, now); });
}

}
