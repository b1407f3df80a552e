#include "caller/verdict.h"

#include "protocol/jsonreader.h"
#include "transport/httpclient.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <limits>
#include <map>

namespace Apricot {

namespace {

/// Time in which memory of requests that are gone has to be free.
constexpr absl::Duration orphanLimit = absl::Seconds(5);

/// An answer that took longer than this counts as disturbed by the fault.
constexpr absl::Duration slowAnswer = absl::Seconds(3);

Json ask(const std::string &url)
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
        const Json report = ask(engine + "/v1/report");
        n += report.is_object() ? jsonInteger(report, "piecesInUse") : 0;
    }
    return n;
}

std::int64_t waitForFreeMemory(const std::vector<std::string> &engines)
{
    const absl::Time until = absl::Now() + orphanLimit;
    std::int64_t n = piecesInUse(engines);
    while (n > 0 && absl::Now() < until) {
        absl::SleepFor(absl::Milliseconds(200));
        n = piecesInUse(engines);
    }
    return n;
}

std::map<std::string, std::int64_t> runsByKey(const std::vector<std::string> &services)
{
    std::map<std::string, std::int64_t> runs;
    for (const std::string &service : services) {
        const Json json = ask(service + "/runs");
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
    std::map<std::string, bool> onlyNotRun;
    for (const CallerResult &result : results) {
        if (!result.key.empty()) {
            const auto it = onlyNotRun.try_emplace(result.key, true).first;
            it->second = it->second && result.end == CallerEnd::NotRun;
        }
    }
    for (const auto &[key, n] : runs) {
        verdict->duplicateRuns += std::max<std::int64_t>(n - 1, 0);
    }
    for (const auto &[key, notRun] : onlyNotRun) {
        verdict->falseNotRun += notRun && runs.contains(key) ? 1 : 0;
    }
}

}

Verdict judge(const std::vector<CallerResult> &results, const VerdictSources &sources)
{
    Verdict verdict;
    verdict.requests = static_cast<std::int64_t>(results.size());
    absl::Time disturbed = sources.faultAt;
    for (const CallerResult &result : results) {
        verdict.answered += result.end == CallerEnd::Answered ? 1 : 0;
        verdict.notRun += result.end == CallerEnd::NotRun ? 1 : 0;
        verdict.mayHaveRun += result.end == CallerEnd::MayHaveRun ? 1 : 0;
        verdict.lost += result.end == CallerEnd::Lost ? 1 : 0;
        verdict.wrong += result.end == CallerEnd::Wrong ? 1 : 0;
        if (result.end != CallerEnd::Answered || result.took > slowAnswer) {
            disturbed = std::max(disturbed, result.ended);
        }
    }
    if (sources.faultAt != absl::InfiniteFuture()) {
        verdict.recoveryMs = absl::ToInt64Milliseconds(disturbed - sources.faultAt);
    }
    countRuns(results, sources.services, &verdict);
    verdict.orphanPieces = waitForFreeMemory(sources.engines);
    std::int64_t lowest = std::numeric_limits<std::int64_t>::max();
    for (const std::string &node : sources.nodes) {
        const Json status = ask(node + "/v1/status");
        if (status.is_object()) {
            lowest = std::min(lowest, jsonInteger(status, "generation"));
        }
    }
    verdict.generationInForce = lowest == std::numeric_limits<std::int64_t>::max() ? 0 : lowest;
    return verdict;
}

bool promisesHeld(const Verdict &verdict)
{
    const bool complete = verdict.answered + verdict.notRun + verdict.mayHaveRun == verdict.requests;
    return complete && verdict.duplicateRuns == 0 && verdict.falseNotRun == 0 && verdict.orphanPieces == 0;
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
