#include "protocol/logjson.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Apricot {

namespace {

/// Fields that lineText() prints first or leaves out, not among the remaining fields.
const std::set<std::string> headFields{"time", "level", "node", "event", "request"};

/// Fields that contain the id of an engine.
constexpr const char *engineFields[] = {"engine", "decode", "prefill", "from"};

/// Whether \a belief describes a change in the view of a node that \a line of the same node depends on.
bool dependsOn(const LogLine &line, const LogLine &belief)
{
    if (belief.node != line.node || !belief.request.empty()) {
        return false;
    }
    if (belief.event == "desired.inforce" || belief.event.rfind("store.", 0) == 0) {
        return true;
    }
    const std::string engine = jsonText(belief.fields, "engine");
    return !engine.empty() && std::any_of(std::begin(engineFields), std::end(engineFields), [&](const char *field) {
        return jsonText(line.fields, field) == engine;
    });
}

std::string fieldsText(const Json &fields)
{
    std::string text;
    for (const auto &[name, value] : fields.items()) {
        if (!headFields.contains(name)) {
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

std::string callEndCause(const Json &end)
{
    const std::string outcome = jsonText(end, "outcome");
    const std::string engine = end.contains("engine") ? jsonText(end, "engine") : jsonText(end, "decode");
    const auto arrivals = jsonInteger(end, "arrivals");
    const std::string ms = absl::StrCat(static_cast<std::int64_t>(numberOf(end, "ms")), " ms");
    if (outcome == "answered") {
        return absl::StrCat("engine ", engine, " answered with status ", jsonInteger(end, "status"), " after ", ms);
    }
    if (outcome == "caller left") {
        return absl::StrCat("the caller closed its connection after ", ms, "; ", arrivals, " engine(s) had the call");
    }
    if (outcome == "NoCapacity" && numberOf(end, "waitedMs") < 0) {
        return absl::StrCat("refused, not run: no decode engine had room for ", jsonInteger(end, "promptTokens"), " prompt tokens within ",
                            ms, ", according to heartbeats of peers up to ", static_cast<std::int64_t>(numberOf(end, "loadsAgeMs")),
                            " ms old");
    }
    if (outcome == "NoCapacity") {
        return absl::StrCat("refused, not run: the engines declined it (", arrivals, " asked, the last one ", engine, ") within ", ms);
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
    return absl::StrCat("the stream ended early after ", ms, ": ", outcome, " (engine ", engine.empty() ? "none any more" : engine, ")");
}

}

std::optional<LogLine> readLogLine(const std::string &text)
{
    const std::size_t begin = text.find('{');
    const Json json = begin == std::string::npos ? Json() : Json::parse(text.substr(begin), nullptr, false);
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

std::vector<LogLine> storyOf(const std::string &request, std::vector<LogLine> lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine &left, const LogLine &right) { return left.time < right.time; });
    std::set<std::size_t> chosen;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (lines[i].request != request) {
            continue;
        }
        chosen.insert(i);
        std::set<std::string> told; // kinds of changes whose latest line is already included
        for (std::size_t before = i; before-- > 0;) {
            const std::string kind
                = lines[before].event.substr(0, lines[before].event.find('.')) + jsonText(lines[before].fields, "engine");
            if (dependsOn(lines[i], lines[before]) && told.insert(kind).second) {
                chosen.insert(before);
            }
        }
    }
    std::vector<LogLine> story;
    story.reserve(chosen.size());
    for (const std::size_t i : chosen) {
        story.push_back(lines[i]);
    }
    return story;
}

std::string lineText(const LogLine &line)
{
    return absl::StrCat(line.time, " ", line.node, " ", line.event, fieldsText(line.fields));
}

std::string causeOf(const std::vector<LogLine> &story)
{
    const auto last = std::find_if(story.rbegin(), story.rend(), [](const LogLine &line) { return !line.request.empty(); });
    if (last == story.rend()) {
        return "cause: no decision on the request is logged";
    }
    if (last->event == "call.noroute") {
        return absl::StrCat("cause: no route of version ", jsonInteger(last->fields, "version"), " matches ",
                            jsonText(last->fields, "host"), jsonText(last->fields, "path"));
    }
    if (last->event == "call.unconfigured") {
        return "cause: refused, not run: the node had not yet received a desired state";
    }
    if (last->event != "call.end") {
        return absl::StrCat("cause: the node ended before the call did; its last decision was ", last->event);
    }
    return absl::StrCat("cause: ", callEndCause(last->fields));
}

std::string storyJson(const std::vector<LogLine> &story)
{
    Json lines = Json::array();
    for (const LogLine &line : story) {
        lines.push_back(line.fields);
    }
    return jsonDump(Json{{"lines", std::move(lines)}, {"cause", causeOf(story)}});
}

}
