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

    /// Takes ownership of the shares that \a placement has reserved.
    void take(const ModelPlacement &placement);

    /// Reserves a further share.
    void hold(const EngineShare &share);

    /// Releases the shares at \a engine, or all shares.
    void letGo(const EngineId &engine, absl::Time now);
    void letGoAll(absl::Time now);

    /// Records that the decode engine has produced \a events events so far. The first events prove that it has processed the
    /// prompt: a prefill share there is released, and its cost is recorded as the time from \a since to \a now.
    void noteEvents(std::int64_t events, absl::Time since, absl::Time now);

    /// Records that the answer completed after \a events events.
    void noteEnded(std::int64_t events);

    /// Records the result of an attempt at \a engine.
    void note(const EngineId &engine, EngineResult result, absl::Time now);

private:
    EntryContext &m_context;
    ServiceName m_service;
    std::vector<EngineShare> m_shares;
};

}
