#pragma once

#include "apricotladderd/entry/entrycontext.h"
#include "coordination/servicepool.h"

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace Apricot {

/**
 * \class ModelReservation
 * \brief The engine capacity that one call has reserved. The destructor releases whatever is still reserved.
 */
class ModelReservation
{
public:
    ModelReservation(EntryContext &context, ServiceName service);
    ~ModelReservation();

    ModelReservation(const ModelReservation &) = delete;
    ModelReservation &operator=(const ModelReservation &) = delete;

    /// Takes ownership of the reservations of \a placement.
    void adopt(const ModelPlacement &placement);

    /// Releases all reservations and takes over those of \a other.
    void replaceBy(ModelReservation &other, absl::Time now);

    /// Makes and owns a further reservation.
    void add(const EngineReservation &reservation);

    /// Releases the reservations at \a engine, or all of them.
    void release(const EngineId &engine, absl::Time now);
    void releaseAll(absl::Time now);

    /// Records that the decode engine has produced \a events events so far. The first events prove that it has processed the
    /// prompt: the reservation of its prefill is released, and its cost is recorded as the time from \a start to \a now.
    void recordEvents(std::int64_t events, absl::Time start, absl::Time now);

    /// Records that the answer completed after \a events events.
    void recordAnswerCompleted(std::int64_t events);

    /// Records the result of an attempt at \a engine.
    void recordResult(const EngineId &engine, EngineResult result, absl::Time now);

private:
    EntryContext &m_context;
    ServiceName m_service;
    std::vector<EngineReservation> m_reservations;
};

}
