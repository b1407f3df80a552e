#include "caller/verdict.h"

#include "protocol/jsonreader.h"
#include "transport/httpclient.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <limits>
#include <map>

namespace Apricot {

namespace {

/// Time after the run within which the engines must have freed the memory of all requests.
constexpr absl::Duration orphanTimeout = absl::Seconds(5);

/// A slower answer counts as disturbed by the fault.
constexpr absl::Duration slowAnswerThreshold = absl::Seconds(3);

Json getJson(const std::string &url)
{
    HttpCall call;
    call.url = url;
    call.timeout = absl::Seconds(1);
    const HttpReply reply = HttpClient::call(call);
    return reply.outcome == CallOutcome::Answered && reply.status == 200 ? Json::parse(reply.body, nullptr, false) : Json();
}

std::int64_t piecesInUse(const std::vector<std::string> &engines)
{
    std::int64_t n = 0;
    for (const std::string &engine : engines) {
        const Json report = getJson(engine + "/v1/report");
        n += report.is_object() ? jsonInteger(report, "piecesInUse") : 0;
    }
    return n;
}

std::int64_t waitForFreeMemory(const std::vector<std::string> &engines)
{
    const absl::Time deadline = absl::Now() + orphanTimeout;
    std::int64_t n = piecesInUse(engines);
    while (n > 0 && absl::Now() < deadline) {
        absl::SleepFor(absl::Milliseconds(200));
        n = piecesInUse(engines);
    }
    return n;
}

std::map<std::string, std::int64_t> runsByKey(const std::vector<std::string> &services)
{
    std::map<std::string, std::int64_t> runs;
    for (const std::string &service : services) {
        const Json json = getJson(service + "/runs");
        if (json.is_object()) {
            for (const auto &[key, value] : json.items()) {
                runs[key] += value.get<std::int64_t>();
            }
        }
    }
    return runs;
}

void countRuns(const std::vector<CallerResult> &results, const std::vector<std::string> &services, Verdict *verdict)
{
    const std::map<std::string, std::int64_t> runs = runsByKey(services);
    std::map<std::string, bool> allNotRun;
    for (const CallerResult &result : results) {
        if (!result.key.empty()) {
            const auto it = allNotRun.try_emplace(result.key, true).first;
            it->second = it->second && result.outcome == RequestOutcome::NotRun;
        }
    }
    for (const auto &[key, n] : runs) {
        verdict->duplicateRuns += std::max<std::int64_t>(n - 1, 0);
    }
    for (const auto &[key, notRun] : allNotRun) {
        verdict->falseNotRun += notRun && runs.contains(key) ? 1 : 0;
    }
}

}

Verdict evaluateRun(const std::vector<CallerResult> &results, const VerdictSources &sources)
{
    Verdict verdict;
    verdict.requests = static_cast<std::int64_t>(results.size());
    absl::Time lastDisturbed = sources.faultAt;
    for (const CallerResult &result : results) {
        verdict.answered += result.outcome == RequestOutcome::Answered ? 1 : 0;
        verdict.notRun += result.outcome == RequestOutcome::NotRun ? 1 : 0;
        verdict.mayHaveRun += result.outcome == RequestOutcome::MayHaveRun ? 1 : 0;
        verdict.lost += result.outcome == RequestOutcome::Lost ? 1 : 0;
        verdict.wrong += result.outcome == RequestOutcome::Wrong ? 1 : 0;
        if (result.outcome != RequestOutcome::Answered || result.took > slowAnswerThreshold) {
            lastDisturbed = std::max(lastDisturbed, result.ended);
        }
    }
    if (sources.faultAt != absl::InfiniteFuture()) {
        verdict.recoveryMs = absl::ToInt64Milliseconds(lastDisturbed - sources.faultAt);
    }
    countRuns(results, sources.services, &verdict);
    verdict.orphanPieces = waitForFreeMemory(sources.engines);
    std::int64_t lowest = std::numeric_limits<std::int64_t>::max();
    for (const std::string &node : sources.nodes) {
        const Json status = getJson(node + "/v1/status");
        if (status.is_object()) {
            lowest = std::min(lowest, jsonInteger(status, "generation"));
        }
    }
    verdict.generationInForce = lowest == std::numeric_limits<std::int64_t>::max() ? 0 : lowest;
    return verdict;
}

bool guaranteesHold(const Verdict &verdict)
{
    const bool allAccountedFor = verdict.answered + verdict.notRun + verdict.mayHaveRun == verdict.requests;
    return allAccountedFor && verdict.duplicateRuns == 0 && verdict.falseNotRun == 0 && verdict.orphanPieces == 0;
}

std::string demoLine(const Verdict &verdict)
{
    nlohmann::ordered_json line;
    line["requests"] = verdict.requests;
    line["answered"] = verdict.answered;
    line["notRun"] = verdict.notRun;
    line["mayHaveRun"] = verdict.mayHaveRun;
    line["duplicateRuns"] = verdict.duplicateRuns;
    line["orphanPieces"] = verdict.orphanPieces;
    line["generationInForce"] = verdict.generationInForce;
    return line.dump();
}

std::string faultLine(const std::string &fault, const Verdict &verdict)
{
    nlohmann::ordered_json line;
    line["fault"] = fault;
    line["requests"] = verdict.requests;
    line["answered"] = verdict.answered;
    line["notRun"] = verdict.notRun;
    line["mayHaveRun"] = verdict.mayHaveRun;
    line["lost"] = verdict.lost + verdict.wrong;
    line["duplicateRuns"] = verdict.duplicateRuns;
    line["falseNotRun"] = verdict.falseNotRun;
    line["orphanPieces"] = verdict.orphanPieces;
    line["recoveryMs"] = verdict.recoveryMs;
    return line.dump();
}

}
