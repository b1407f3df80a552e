#pragma once

#include "apricotladderd/entry/calls/callfacts.h"
#include "apricotladderd/entry/peers/sharedquarantine.h"
#include "coordination/promptquarantine.h"

#include <absl/time/time.h>

#include <optional>

namespace Apricot {

/**
 * \class PromptGuard
 * \brief Keeps one call away from engines while a part of its prompt is quarantined, and reports how engines took its prompt.
 */
class PromptGuard
{
public:
    PromptGuard(SharedQuarantine &quarantine, const CallFacts &facts);

    /// Returns why the call must not be sent to an engine; nothing if it may be sent. To be asked before each send.
    std::optional<PromptRefused> check(absl::Time now);

    /// Whether the call may be sent again after an engine has broken off: not if its prompt is likely to break the next one too.
    bool mayRepeat(absl::Time now) const;

    /// Whether the call tries out a quarantined part.
    bool isTrial() const
    {
        return m_trial.has_value();
    }

    /// Whether an engine that had the call broke off, so that the call may have run.
    bool hasBroken() const
    {
        return m_hasBroken;
    }

    /// Whether an engine has outlived an answer on the prompt, which is then not to blame for any crash.
    bool isOutlived() const
    {
        return m_isOutlived;
    }

    /// The quarantined parts for which check() last refused the call; empty if it did not.
    const PromptPartSet &refusedParts() const
    {
        return m_refusedParts;
    }

    /// Records that events of an answer have arrived that the engine began at \a begunAt.
    void recordEvents(absl::Time begunAt, absl::Time now);

    /// Records that an answer is complete.
    void recordComplete(absl::Time now);

    /// Records that the connection to \a engine, to which the call had been sent, broke before the answer was complete.
    void recordBroken(const EngineEntry &engine, absl::Time now);

    /// Records that the call has ended.
    void end(absl::Time now);

private:
    SharedQuarantine &m_quarantine;
    RoutedCall m_call;
    ServiceName m_service;
    std::optional<PromptTrial> m_trial;
    PromptPartSet m_refusedParts;
    bool m_hasBroken = false;
    bool m_isOutlived = false;
};

}
