#include "apricotladderd/entry/peers/promptguard.h"

#include "state/overloaded.h"

#include <utility>
#include <variant>

namespace Apricot {

PromptGuard::PromptGuard(SharedQuarantine &quarantine, const CallFacts &facts)
    : m_quarantine(quarantine)
    , m_call(facts.call)
    , m_service(facts.service)
{
}

std::optional<PromptRefused> PromptGuard::check(absl::Time now)
{
    std::optional<PromptRefused> refusal;
    std::visit(Overloaded{
                   [](const PromptAdmitted &) {},
                   [&](const PromptTrial &it) { m_trial = it; },
                   [&](const PromptRefused &it) {
                       refusal = it;
                       m_refusedParts = it.parts;
                   },
               },
               m_quarantine.check(m_call, m_trial, now));
    return refusal;
}

bool PromptGuard::mayRepeat(absl::Time now) const
{
    return !m_hasBroken || !m_quarantine.isSuspicious(m_call, now);
}

void PromptGuard::recordEvents(absl::Time begunAt, absl::Time now)
{
    if (now - begunAt >= PromptQuarantineLimits::survivalTime) {
        recordComplete(now);
    }
}

void PromptGuard::recordComplete(absl::Time now)
{
    if (!std::exchange(m_isOutlived, true)) {
        m_quarantine.recordOutlived(m_service, m_call, now);
    }
}

void PromptGuard::recordBroken(const EngineEntry &engine, absl::Time now)
{
    if (m_isOutlived) {
        return; // The engine has ended for another reason.
    }
    m_hasBroken = true;
    m_quarantine.recordBroken(engine, m_call, m_trial, now);
}

void PromptGuard::end(absl::Time now)
{
    if (m_trial) {
        m_quarantine.endTrial(*m_trial, now);
        m_trial.reset();
    }
}

}
