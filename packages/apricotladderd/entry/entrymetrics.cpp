#include "apricotladderd/entry/entrymetrics.h"

#include <prometheus/text_serializer.h>

namespace Apricot {

namespace {

using CounterFamily = prometheus::Family<prometheus::Counter>;
using GaugeFamily = prometheus::Family<prometheus::Gauge>;

CounterFamily &counters(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

GaugeFamily &gauges(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

const prometheus::Histogram::BucketBoundaries firstAnswerSeconds{0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 5.0};

}

EntryMetrics::EntryMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_calls(counters(*m_registry, "apricotladder_entry_calls_total", "Calls ended, by kind and outcome"))
    , m_attempts(counters(*m_registry, "apricotladder_entry_attempts_total", "Tries at engines, by stage and end"))
    , m_storeCalls(counters(*m_registry, "apricotladder_entry_store_calls_total", "Calls to the platform's store, by call and end"))
    , m_closedConnections(counters(*m_registry, "apricotladder_entry_connections_closed_total", "Connections of callers closed, by reason"))
    , m_callerRefusals(
          counters(*m_registry, "apricotladder_entry_caller_refusals_total", "Requests and connections of callers refused, by limit"))
    , m_callerEvictions(
          counters(*m_registry, "apricotladder_entry_caller_evictions_total", "Connections of callers closed by the node, by reason"))
    , m_callerBytes(gauges(*m_registry, "apricotladder_entry_caller_bytes", "Bytes that are held for callers").Add({}))
    , m_callerSystemBytes(
          gauges(*m_registry, "apricotladder_entry_caller_system_bytes", "Bytes of answers that the system holds for callers").Add({}))
    , m_callerConnections(gauges(*m_registry, "apricotladder_entry_caller_connections", "Open connections of callers").Add({}))
    , m_malformed(counters(*m_registry, "apricotladder_entry_malformed_entries_total", "Entries of the store that could not be read"))
    , m_engineNotices(counters(*m_registry, "apricotladder_entry_engine_notices_total", "Notices in the answers of engines, by kind"))
    , m_keyRejections(
          counters(*m_registry, "apricotladder_entry_key_rejections_total", "Calls refused because they have no valid key, by reason"))
    , m_allowanceCharged(counters(*m_registry, "apricotladder_entry_allowance_charged_total", "Cost of admitted calls, by workspace"))
    , m_allowanceRefused(counters(*m_registry, "apricotladder_entry_allowance_refused_total", "Cost of refused calls, by workspace"))
    , m_allowanceRates(gauges(*m_registry, "apricotladder_entry_allowance_rate", "Limit of all nodes per second, by workspace"))
    , m_endpointWaits(
          counters(*m_registry, "apricotladder_entry_endpoint_waits_total", "Plain calls for which all endpoints were full, by outcome"))
    , m_handles(counters(*m_registry, "apricotladder_entry_handles_total", "KV handles of prefills, by what became of them"))
    , m_refusals(counters(*m_registry, "apricotladder_entry_capacity_refusals_total",
                          "Streams refused because there was no capacity, by whether their workspace used more than the average"))
    , m_waitingCalls(gauges(*m_registry, "apricotladder_entry_waiting_calls", "Streams that wait for capacity here").Add({}))
    , m_wastedPrefillTokens(
          counters(*m_registry, "apricotladder_entry_tokens_read_in_vain_total", "Prompt tokens read whose result was not used").Add({}))
    , m_firstAnswer(prometheus::BuildHistogram()
                        .Name("apricotladder_entry_first_answer_seconds")
                        .Help("Time to the answer, or to the first event of a stream")
                        .Register(*m_registry))
    , m_desiredVersion(gauges(*m_registry, "apricotladder_entry_desired_version", "Version of the desired state in force here").Add({}))
    , m_engines(gauges(*m_registry, "apricotladder_entry_engines", "Engines known here, by state"))
    , m_members(gauges(*m_registry, "apricotladder_entry_members_alive", "Nodes that are held alive").Add({}))
    , m_activeNodes(gauges(*m_registry, "apricotladder_entry_nodes_active", "Nodes that callers are directed to").Add({}))
    , m_linesDropped(gauges(*m_registry, "apricotladder_entry_log_lines_dropped", "Log lines dropped since the start").Add({}))
    , m_brokenPrompts(
          counters(*m_registry, "apricotladder_entry_broken_prompts_total", "Prompts whose engine broke off before the first event")
              .Add({}))
    , m_quarantinedParts(
          gauges(*m_registry, "apricotladder_entry_quarantined_parts", "Parts of prompts that are quarantined, as this node knows").Add({}))
{
}

std::string EntryMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

void EntryMetrics::countCall(const std::string &kind, const std::string &outcome)
{
    m_calls.Add({{"kind", kind}, {"outcome", outcome}}).Increment();
}

void EntryMetrics::countAttempt(const std::string &stage, const std::string &outcome)
{
    m_attempts.Add({{"stage", stage}, {"end", outcome}}).Increment();
}

void EntryMetrics::countStoreCall(const std::string &call, const std::string &outcome)
{
    m_storeCalls.Add({{"call", call}, {"end", outcome}}).Increment();
}

void EntryMetrics::countClosedConnection(const std::string &reason)
{
    m_closedConnections.Add({{"reason", reason}}).Increment();
}

void EntryMetrics::countCallerRefusal(const std::string &limit)
{
    m_callerRefusals.Add({{"limit", limit}}).Increment();
}

void EntryMetrics::countCallerEviction(const std::string &reason)
{
    m_callerEvictions.Add({{"reason", reason}}).Increment();
}

void EntryMetrics::setCallerMemory(double bytes, double systemBytes, double connections)
{
    m_callerBytes.Set(bytes);
    m_callerSystemBytes.Set(systemBytes);
    m_callerConnections.Set(connections);
}

void EntryMetrics::countMalformedEntries(const std::string &kind, std::size_t count)
{
    if (count > 0) {
        m_malformed.Add({{"kind", kind}}).Increment(static_cast<double>(count));
    }
}

void EntryMetrics::countEngineNotice(const std::string &kind)
{
    m_engineNotices.Add({{"kind", kind}}).Increment();
}

void EntryMetrics::countKeyRejection(const std::string &reason)
{
    m_keyRejections.Add({{"reason", reason}}).Increment();
}

std::string EntryMetrics::recordAllowance(const std::string &workspace, double ratePerSecond)
{
    std::string label = m_workspaceLabels.label(workspace);
    if (label == workspace) {
        m_allowanceRates.Add({{"workspace", label}}).Set(ratePerSecond);
    }
    return label;
}

void EntryMetrics::countAllowanceCharge(const std::string &workspace, double ratePerSecond, double cost)
{
    m_allowanceCharged.Add({{"workspace", recordAllowance(workspace, ratePerSecond)}}).Increment(cost);
}

void EntryMetrics::countAllowanceRefusal(const std::string &workspace, double ratePerSecond, double cost)
{
    m_allowanceRefused.Add({{"workspace", recordAllowance(workspace, ratePerSecond)}}).Increment(cost);
}

void EntryMetrics::countEndpointWait(const std::string &outcome)
{
    m_endpointWaits.Add({{"outcome", outcome}}).Increment();
}

void EntryMetrics::countHandle(const std::string &outcome)
{
    m_handles.Add({{"end", outcome}}).Increment();
}

void EntryMetrics::countRefusal(const std::string &share)
{
    m_refusals.Add({{"share", share}}).Increment();
}

void EntryMetrics::setWaitingCalls(double count)
{
    m_waitingCalls.Set(count);
}

void EntryMetrics::countWastedPrefillTokens(double tokens)
{
    m_wastedPrefillTokens.Increment(tokens);
}

void EntryMetrics::countBrokenPrompt()
{
    m_brokenPrompts.Increment();
}

void EntryMetrics::observeFirstAnswer(const std::string &kind, double seconds)
{
    m_firstAnswer.Add({{"kind", kind}}, firstAnswerSeconds).Observe(seconds);
}

void EntryMetrics::setDesiredVersion(double version)
{
    m_desiredVersion.Set(version);
}

void EntryMetrics::setEngines(const std::string &state, double count)
{
    m_engines.Add({{"state", state}}).Set(count);
}

void EntryMetrics::setMembers(double alive)
{
    m_members.Set(alive);
}

void EntryMetrics::setActiveNodes(double count)
{
    m_activeNodes.Set(count);
}

void EntryMetrics::setLinesDropped(double lines)
{
    m_linesDropped.Set(lines);
}

void EntryMetrics::setQuarantinedParts(double count)
{
    m_quarantinedParts.Set(count);
}

}
