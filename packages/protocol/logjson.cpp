#include "protocol/logjson.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Apricot {

namespace {

/// Fields that fieldsText() skips, because lineText() prints them first or omits them.
const std::set<std::string> leadingFields{"time", "level", "node", "event", "request"};

/// Fields that contain the id of an engine.
constexpr const char *engineFields[] = {"engine", "decode", "prefill", "from"};

/// Events that record what the answers of an engine have said about it.
constexpr const char *noticeEvents[] = {"engine.leaving", "engine.backoff"};

/// Whether \a change records a change in the view of the node that logged \a line, in something that \a line depends on: an
/// engine that it names, the desired state or the store.
bool dependsOn(const LogLine &line, const LogLine &change)
{
    if (change.node != line.node || !change.request.empty()) {
        return false;
    }
    if (change.event == "desired.inforce" || change.event.rfind("store.", 0) == 0) {
        return true;
    }
    const std::string engine = jsonText(change.fields, "engine");
    return !engine.empty() && std::any_of(std::begin(engineFields), std::end(engineFields), [&](const char *field) {
        return jsonText(line.fields, field) == engine;
    });
}

/// Returns the kind of the change that \a line records: a later change of the same kind replaces it. What an engine's answers have said
/// is not replaced by what the store says of the engine.
std::string changeKind(const LogLine &line)
{
    const bool isNotice = std::find(std::begin(noticeEvents), std::end(noticeEvents), line.event) != std::end(noticeEvents);
    return (isNotice ? line.event : line.event.substr(0, line.event.find('.'))) + jsonText(line.fields, "engine");
}

std::string fieldsText(const Json &fields)
{
    std::string text;
    for (const auto &[name, value] : fields.items()) {
        if (!leadingFields.contains(name)) {
            absl::StrAppend(&text, " ", name, "=", value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text;
}

double numberOf(const Json &fields, const char *name)
{
    const auto it = fields.find(name);
    return it != fields.end() && it->is_number() ? it->get<double>() : 0;
}

std::string callEndCause(const Json &callEnd)
{
    const std::string outcome = jsonText(callEnd, "outcome");
    const std::string engine = callEnd.contains("engine") ? jsonText(callEnd, "engine") : jsonText(callEnd, "decode");
    const auto sentAttempts = jsonInteger(callEnd, "arrivals");
    const std::string ms = absl::StrCat(static_cast<std::int64_t>(numberOf(callEnd, "ms")), " ms");
    if (outcome == "answered") {
        return absl::StrCat("engine ", engine, " answered with status ", jsonInteger(callEnd, "status"), " after ", ms);
    }
    if (outcome == "caller left") {
        return absl::StrCat("the caller closed its connection after ", ms, "; ", sentAttempts, " engine(s) had the call");
    }
    if (outcome == "node stopped") {
        return absl::StrCat("the node's grace period ended after ", ms, " of the call; ", sentAttempts,
                            " engine(s) had the call, which may have run");
    }
    if (outcome == "NoCapacity" && callEnd.value("allBackOff", false)) {
        return absl::StrCat("refused, not run: all engines of its service have asked this node to send no calls for some time; ",
                            sentAttempts, " engine(s) declined it within ", ms);
    }
    if (outcome == "NoCapacity" && numberOf(callEnd, "waitedMs") < 0) {
        return absl::StrCat("refused, not run: no decode engine had capacity for ", jsonInteger(callEnd, "promptTokens"),
                            " prompt tokens within ", ms, ", according to heartbeats of peers up to ",
                            static_cast<std::int64_t>(numberOf(callEnd, "loadsAgeMs")), " ms old");
    }
    if (outcome == "NoCapacity") {
        return absl::StrCat("refused, not run: the engines declined it (", sentAttempts, " asked, the last one ", engine, ") within ", ms);
    }
    if (outcome == "PromptQuarantined") {
        return absl::StrCat("refused, not run: part ", jsonText(callEnd, "quarantined"),
                            " of its prompt is quarantined, because engines crashed on it; see quarantine.begin");
    }
    if (outcome == "EngineUnreachable") {
        return absl::StrCat("refused, not run: no connection to an engine could be established; the last one tried was ", engine);
    }
    if (outcome == "Draining") {
        return "refused, not run: the node is leaving and would stop before the stream ends";
    }
    if (outcome == "OutcomeUnknown") {
        return absl::StrCat("engine ", engine, " had the call and did not answer within ", ms, "; it may have run");
    }
    if (outcome == "AnswerIncomplete") {
        return absl::StrCat("engine ", engine, " had the call and its answer was missing, cut off or malformed; it may have run");
    }
    return absl::StrCat("the stream ended early after ", ms, ": ", outcome, " (engine ", engine.empty() ? "none assigned" : engine, ")");
}

}

std::optional<LogLine> readLogLine(const std::string &text)
{
    const std::size_t begin = text.find('{');
    const Json json = begin == std::string::npos ? Json() : parseJson(text.substr(begin));
    if (!json.is_object() || jsonText(json, "event").empty() || jsonText(json, "time").empty()) {
        return std::nullopt;
    }
    return LogLine{jsonText(json, "time"), jsonText(json, "node"), jsonText(json, "event"), jsonText(json, "request"), json};
}

std::vector<LogLine> readLogLines(std::istream &log)
{
    std::vector<LogLine> lines;
    for (std::string text; std::getline(log, text);) {
        if (std::optional<LogLine> line = readLogLine(text)) {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

std::vector<LogLine> requestHistory(const std::string &request, std::vector<LogLine> lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine &left, const LogLine &right) { return left.time < right.time; });
    std::set<std::size_t> included;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (lines[i].request != request) {
            continue;
        }
        included.insert(i);
        std::set<std::string> includedKinds; // kinds of changes whose latest line is already included
        for (std::size_t earlier = i; earlier-- > 0;) {
            if (dependsOn(lines[i], lines[earlier]) && includedKinds.insert(changeKind(lines[earlier])).second) {
                included.insert(earlier);
            }
        }
    }
    std::vector<LogLine> history;
    history.reserve(included.size());
    for (const std::size_t i : included) {
        history.push_back(lines[i]);
    }
    return history;
}

std::string lineText(const LogLine &line)
{
    return absl::StrCat(line.time, " ", line.node, " ", line.event, fieldsText(line.fields));
}

std::string outcomeCause(const std::vector<LogLine> &history)
{
    const auto last = std::find_if(history.rbegin(), history.rend(), [](const LogLine &line) { return !line.request.empty(); });
    if (last == history.rend()) {
        return "cause: no decision on the request is logged";
    }
    if (last->event == "call.noroute") {
        return absl::StrCat("cause: no route of version ", jsonInteger(last->fields, "version"), " matches ",
                            jsonText(last->fields, "host"), jsonText(last->fields, "path"));
    }
    if (last->event == "call.malformed") {
        return "cause: refused, not run: the request was malformed, exceeded a size limit or was not received in time";
    }
    if (last->event == "call.rejected") {
        return absl::StrCat("cause: refused, not run: the API key was ", jsonText(last->fields, "reason"));
    }
    if (last->event == "call.overallowance") {
        return absl::StrCat("cause: refused, not run: the workspace ", jsonText(last->fields, "workspace"), " is above its allowance");
    }
    if (last->event == "call.unconfigured") {
        return "cause: refused, not run: the node had not yet received a desired state";
    }
    if (last->event != "call.end") {
        return absl::StrCat("cause: the node stopped before the call ended; its last decision was ", last->event);
    }
    return absl::StrCat("cause: ", callEndCause(last->fields));
}

std::string requestHistoryJson(const std::vector<LogLine> &history)
{
    Json lines = Json::array();
    for (const LogLine &line : history) {
        lines.push_back(line.fields);
    }
    return jsonDump(Json{{"lines", std::move(lines)}, {"cause", outcomeCause(history)}});
}

}
