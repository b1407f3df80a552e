#pragma once

#include "apricotladderd/entry/boundedlabels.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace Apricot {

/**
 * \class EntryMetrics
 * \brief The Prometheus metrics of an entry node.
 */
class EntryMetrics
{
public:
    EntryMetrics();

    /// All metrics in Prometheus' text format.
    std::string text() const;

    void countCall(const std::string &kind, const std::string &outcome);
    void countAttempt(const std::string &stage, const std::string &outcome);
    void countStoreCall(const std::string &call, const std::string &outcome);
    void countClosedConnection(const std::string &reason);
    /// Counts a request or connection that a limit refused.
    void countCallerRefusal(const std::string &limit);
    void countCallerEviction(const std::string &reason);
    void setCallerMemory(double bytes, double systemBytes, double connections);
    void countMalformedEntries(const std::string &kind, std::size_t count);
    void countEngineNotice(const std::string &kind);
    void countKeyRejection(const std::string &reason);
    void countAllowanceCharge(const std::string &workspace, double ratePerSecond, double cost);
    void countAllowanceRefusal(const std::string &workspace, double ratePerSecond, double cost);
    void countEndpointWait(const std::string &outcome);
    void countHandle(const std::string &outcome);
    void countRefusal(const std::string &share);
    void countWastedPrefillTokens(double tokens);
    void countBrokenPrompt();
    void observeFirstAnswer(const std::string &kind, double seconds);
    void setDesiredVersion(double version);
    void setEngines(const std::string &state, double count);
    void setMembers(double alive);
    void setWaitingCalls(double count);
    void setActiveNodes(double count);
    void setLinesDropped(double lines);
    void setQuarantinedParts(double count);

private:
    std::string recordAllowance(const std::string &workspace, double ratePerSecond);

    BoundedLabels m_workspaceLabels;
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_calls;
    prometheus::Family<prometheus::Counter> &m_attempts;
    prometheus::Family<prometheus::Counter> &m_storeCalls;
    prometheus::Family<prometheus::Counter> &m_closedConnections;
    prometheus::Family<prometheus::Counter> &m_callerRefusals;
    prometheus::Family<prometheus::Counter> &m_callerEvictions;
    prometheus::Gauge &m_callerBytes;
    prometheus::Gauge &m_callerSystemBytes;
    prometheus::Gauge &m_callerConnections;
    prometheus::Family<prometheus::Counter> &m_malformed;
    prometheus::Family<prometheus::Counter> &m_engineNotices;
    prometheus::Family<prometheus::Counter> &m_keyRejections;
    prometheus::Family<prometheus::Counter> &m_allowanceCharged;
    prometheus::Family<prometheus::Counter> &m_allowanceRefused;
    prometheus::Family<prometheus::Gauge> &m_allowanceRates;
    prometheus::Family<prometheus::Counter> &m_endpointWaits;
    prometheus::Family<prometheus::Counter> &m_handles;
    prometheus::Family<prometheus::Counter> &m_refusals;
    prometheus::Gauge &m_waitingCalls;
    prometheus::Counter &m_wastedPrefillTokens;
    prometheus::Family<prometheus::Histogram> &m_firstAnswer;
    prometheus::Gauge &m_desiredVersion;
    prometheus::Family<prometheus::Gauge> &m_engines;
    prometheus::Gauge &m_members;
    prometheus::Gauge &m_activeNodes;
    prometheus::Gauge &m_linesDropped;
    prometheus::Counter &m_brokenPrompts;
    prometheus::Gauge &m_quarantinedParts;
};

}
