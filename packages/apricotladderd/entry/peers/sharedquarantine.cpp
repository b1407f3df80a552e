#include "apricotladderd/entry/peers/sharedquarantine.h"

#include "state/overloaded.h"

#include <absl/strings/str_join.h>

#include <type_traits>
#include <variant>

namespace Apricot {

namespace {

EngineLifetime lifetimeOf(const EngineEntry &engine)
{
    return EngineLifetime{engine->id, engine->startedMs};
}

}

SharedQuarantine::SharedQuarantine(const NodeId &self, EventLog &log, EntryMetrics &metrics)
    : m_log(log)
    , m_metrics(metrics)
    , m_quarantine(self)
{
}

/// Runs \a function on the quarantine under the lock, and logs what has changed after the lock is released.
template<class Function>
auto SharedQuarantine::withLock(Function &&function)
{
    std::vector<QuarantineChange> changes;
    std::size_t n = 0;
    const auto run = [&] {
        const MutexLock lock(m_mutex);
        auto result = function(m_quarantine);
        changes = m_quarantine.takeChanges();
        n = m_quarantine.quarantinedCount();
        return result;
    };
    auto result = run();
    if (!changes.empty()) {
        log(changes, n);
    }
    return result;
}

void SharedQuarantine::setActiveNodes(const std::vector<NodeId> &nodes)
{
    const MutexLock lock(m_mutex);
    m_quarantine.setActiveNodes(nodes);
}

PromptVerdict SharedQuarantine::check(const RoutedCall &call, const std::optional<PromptTrial> &trial, absl::Time now)
{
    return withLock([&](PromptQuarantine &it) { return it.check(call->promptParts, trial, now); });
}

bool SharedQuarantine::isSuspicious(const RoutedCall &call, absl::Time now)
{
    const MutexLock lock(m_mutex);
    return m_quarantine.isSuspicious(call->promptParts, now);
}

void SharedQuarantine::recordOutlived(const ServiceName &service, const RoutedCall &call, absl::Time now)
{
    withLock([&](PromptQuarantine &it) {
        it.recordOutlived(service, call->promptParts, now);
        return std::monostate();
    });
}

void SharedQuarantine::recordBroken(const EngineEntry &engine, const RoutedCall &call, const std::optional<PromptTrial> &trial,
                                    absl::Time now)
{
    m_metrics.countBrokenPrompt();
    m_log.add(LogLevel::Info, "quarantine.crash", call->requestId,
              {{"engine", engine->id.text()},
               {"born", engine->startedMs},
               {"parts", joinPartIds(call->promptParts)},
               {"trial", trial.has_value()}});
    withLock([&](PromptQuarantine &it) {
        it.recordBroken(engine->service, lifetimeOf(engine), call->promptParts, trial, now);
        return std::monostate();
    });
}

void SharedQuarantine::endTrial(const PromptTrial &trial, absl::Time now)
{
    withLock([&](PromptQuarantine &it) {
        it.endTrial(trial, now);
        return std::monostate();
    });
}

PromptReport SharedQuarantine::report(absl::Time now)
{
    return withLock([&](PromptQuarantine &it) { return it.report(now); });
}

void SharedQuarantine::merge(const PromptReport &report, absl::Time now)
{
    if (report.isEmpty()) {
        return;
    }
    withLock([&](PromptQuarantine &it) {
        it.merge(report, now);
        return std::monostate();
    });
}

void SharedQuarantine::log(const std::vector<QuarantineChange> &changes, std::size_t quarantinedCount)
{
    m_metrics.setQuarantinedParts(static_cast<double>(quarantinedCount));
    for (const QuarantineChange &change : changes) {
        std::visit(Overloaded{
                       [&](const QuarantineBegun &it) {
                           m_log.add(LogLevel::Warning, "quarantine.begin", RequestId(),
                                     {{"part", it.parts.text()},
                                      {"round", it.round},
                                      {"crashes", static_cast<std::int64_t>(it.crashes)},
                                      {"source", it.source},
                                      {"forMs", absl::ToDoubleMilliseconds(it.length)}});
                       },
                       [&](const QuarantineEnded &it) {
                           m_log.add(LogLevel::Warning, "quarantine.end", RequestId(), {{"part", it.parts.text()}, {"reason", it.reason}});
                       },
                   },
                   change);
    }
}

}
