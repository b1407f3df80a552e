#pragma once

#include "apricotladderd/entry/entrycontext.h"
#include "coordination/servicepool.h"

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace Apricot {

/**
 * \class ModelReservation
 * \brief What one call holds of the engines of its service. It gives everything back when it ends.
 */
class ModelReservation
{
public:
    ModelReservation(EntryContext &context, ServiceName service);
    ~ModelReservation();

    ModelReservation(const ModelReservation &) = delete;
    ModelReservation &operator=(const ModelReservation &) = delete;

    /// Takes over what a placement has reserved.
    void take(const ModelPlacement &placement);

    /// Holds a further share.
    void hold(const EngineReservation &share);

    /// Gives back what is held of \a engine, or all.
    void letGo(const EngineId &engine, absl::Time now);
    void letGoAll(absl::Time now);

    /// Takes in that the decode engine has made \a events events. With the first ones it has read the prompt, since \a since.
    void noteEvents(std::int64_t events, absl::Time since, absl::Time now);

    /// Takes in that the answer is complete after \a events events.
    void noteEnded(std::int64_t events);

    /// Takes in how a try at an engine ended.
    void note(const EngineId &engine, EngineResult result, absl::Time now);

private:
    EntryContext &m_context;
    ServiceName m_service;
    std::vector<EngineReservation> m_shares;
};

}
