#include "apricotladderd/entry/calls/modelreservation.h"

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
        for (const EngineReservation &reservation : m_reservations) {
            pool.release(reservation);
        }
    });
}

void ModelReservation::adopt(const ModelPlacement &placement)
{
    m_reservations = placement.reservations;
    m_context.onLoadsChanged();
}

void ModelReservation::replaceBy(ModelReservation &other, absl::Time now)
{
    releaseAll(now);
    m_reservations = std::exchange(other.m_reservations, {});
}

void ModelReservation::add(const EngineReservation &reservation)
{
    m_context.pools.withPool(m_service, [&](ServicePool &pool) { pool.add(reservation); });
    m_reservations.push_back(reservation);
}

void ModelReservation::release(const EngineId &engine, absl::Time now)
{
    for (const EngineReservation &reservation : std::exchange(m_reservations, {})) {
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
    for (const EngineReservation &reservation : std::exchange(m_reservations, {})) {
        m_context.pools.release(m_service, reservation, now);
    }
    m_context.onLoadsChanged();
}

void ModelReservation::recordEvents(std::int64_t events, absl::Time start, absl::Time now)
{
    bool isPrefillComplete = false;
    m_context.pools.withPool(m_service, [&](ServicePool &pool) {
        for (EngineReservation &reservation : m_reservations) {
            if (reservation.run) {
                isPrefillComplete = isPrefillComplete || reservation.run->generatedTokens == 0;
                reservation.run->generatedTokens = events * pool.tokensPerEvent();
                pool.recordRunProgress(reservation.engine, reservation.run->id, reservation.run->generatedTokens);
            }
            if (reservation.prefillTokens > 0) {
                pool.recordCost(reservation.engine, static_cast<double>(reservation.prefillTokens), now - start, now);
                pool.release(EngineReservation{reservation.engine, 0, reservation.prefillTokens, std::nullopt});
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
    m_context.pools.withPool(m_service, [&](ServicePool &pool) { pool.recordRunEnded(events * pool.tokensPerEvent()); });
}

void ModelReservation::recordResult(const EngineId &engine, EngineResult result, absl::Time now)
{
    m_context.pools.withPool(m_service, [&](ServicePool &pool) { pool.recordResult(engine, result, now); });
}

}
