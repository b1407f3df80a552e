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
        for (const EngineShare &reservation : m_reservations) {
            pool.release(reservation);
        }
    });
}

void ModelReservation::adopt(const ModelPlacement &placement)
{
    m_reservations = placement.shares;
    m_context.onLoadsChanged();
}

void ModelReservation::add(const EngineShare &reservation)
{
    m_context.pools.withPool(m_service, [&](ServicePool &pool) { pool.add(reservation); });
    m_reservations.push_back(reservation);
}

void ModelReservation::release(const EngineId &engine, absl::Time now)
{
    for (const EngineShare &reservation : std::exchange(m_reservations, {})) {
        if (reservation.engine == engine) {
            m_context.pools.release(m_service, reservation, now);
        } else {
            m_reservations.push_back(reservation);
        }
    }
    m_context.onLoadsChanged();
}

void ModelReservation::releaseAll(absl::Time now)
{
    if (m_reservations.empty()) {
        return;
    }
    for (const EngineShare &reservation : std::exchange(m_reservations, {})) {
        m_context.pools.release(m_service, reservation, now);
    }
    m_context.onLoadsChanged();
}

void ModelReservation::recordEvents(std::int64_t events, absl::Time start, absl::Time now)
{
    bool isPrefillComplete = false;
    m_context.pools.withPool(m_service, [&](ServicePool &pool) {
        for (EngineShare &reservation : m_reservations) {
            if (reservation.run) {
                isPrefillComplete = isPrefillComplete || reservation.run->madeTokens == 0;
                reservation.run->madeTokens = events * pool.tokensPerEvent();
                pool.noteRunMade(reservation.engine, reservation.run->id, reservation.run->madeTokens);
            }
            if (reservation.prefillTokens > 0) {
                pool.noteCost(reservation.engine, static_cast<double>(reservation.prefillTokens), now - start, now);
                pool.release(EngineShare{reservation.engine, 0, reservation.prefillTokens, std::nullopt});
                reservation.prefillTokens = 0;
            }
        }
    });
    if (isPrefillComplete) {
        m_context.onLoadsChanged();
    }
}

void ModelReservation::recordAnswerCompleted(std::int64_t events)
{
    m_context.pools.withPool(m_service, [&](ServicePool &pool) { pool.noteRunEnded(events * pool.tokensPerEvent()); });
}

void ModelReservation::recordResult(const EngineId &engine, EngineResult result, absl::Time now)
{
    m_context.pools.withPool(m_service, [&](ServicePool &pool) { pool.noteResult(engine, result, now); });
}

}
