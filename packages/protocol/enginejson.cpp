#include "protocol/enginejson.h"

#include "protocol/jsonreader.h"
#include "state/action.h"

#include <utility>

namespace Apricot {

namespace {

/// Maximum number of ids accepted from one report, so that a faulty engine cannot exhaust the node's memory.
constexpr std::size_t maxReportedIds = 10000;

double jsonNumber(const Json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_number() ? it->get<double>() : 0.0;
}

}

std::string encodePrefillRequest(const PrefillRequest &request)
{
    return jsonDump(Json{{"requestId", request.id.text()},
                         {"attempt", request.attempt},
                         {"prompt", request.prompt},
                         {"produced", request.produced},
                         {"priority", request.priority}});
}

Result<PrefillRequest> decodePrefillRequest(const std::string &json)
{
    BOOST_LEAF_AUTO(parsed, parseJsonObject(json, "prefill request"));
    return PrefillRequest{RequestId(jsonText(parsed, "requestId")), static_cast<std::uint64_t>(jsonInteger(parsed, "attempt", 1)),
                          jsonText(parsed, "prompt"), jsonTexts(parsed, "produced"), jsonInteger(parsed, "priority")};
}

std::string encodePrefillResult(const PrefillResult &result)
{
    return jsonDump(Json{{"handle", result.handle}, {"tookMs", result.tookMs}, {"cachedTokens", result.cachedTokens}});
}

Result<PrefillResult> decodePrefillResult(const std::string &json)
{
    BOOST_LEAF_AUTO(parsed, parseJsonObject(json, "prefill result"));
    PrefillResult result{jsonText(parsed, "handle"), jsonNumber(parsed, "tookMs"), jsonInteger(parsed, "cachedTokens")};
    if (result.handle.empty()) {
        return fail(ErrorKind::EngineUnreachable, "prefill result: \"handle\" is missing");
    }
    return result;
}

std::string encodeDecodeRequest(const DecodeRequest &request)
{
    return jsonDump(Json{{"requestId", request.id.text()},
                         {"attempt", request.attempt},
                         {"source", request.source},
                         {"handle", request.handle},
                         {"maxTokens", request.maxTokens},
                         {"offset", request.offset},
                         {"priority", request.priority}});
}

Result<DecodeRequest> decodeDecodeRequest(const std::string &json)
{
    BOOST_LEAF_AUTO(parsed, parseJsonObject(json, "decode request"));
    return DecodeRequest{RequestId(jsonText(parsed, "requestId")),
                         static_cast<std::uint64_t>(jsonInteger(parsed, "attempt", 1)),
                         jsonText(parsed, "source"),
                         jsonText(parsed, "handle"),
                         jsonInteger(parsed, "maxTokens"),
                         jsonInteger(parsed, "offset"),
                         jsonInteger(parsed, "priority")};
}

std::string encodeStreamLine(const StreamLine &line)
{
    const Json json = std::visit(Overloaded{
                                     [](const StreamImported &it) {
                                         return Json{{"imported", true},
                                                     {"tookMs", it.tookMs},
                                                     {"attempt", it.attempt},
                                                     {"promptTokens", it.promptTokens},
                                                     {"maxTokens", it.maxTokens}};
                                     },
                                     [](const StreamToken &it) {
                                         return Json{{"offset", it.offset}, {"token", it.token}};
                                     },
                                     [](const StreamDone &it) {
                                         return Json{{"done", true}, {"tokens", it.tokens}};
                                     },
                                 },
                                 line);
    return jsonDump(json) + "\n";
}

Result<StreamLine> decodeStreamLine(const std::string &json)
{
    BOOST_LEAF_AUTO(parsed, parseJsonObject(json, "stream line"));
    if (jsonFlag(parsed, "imported")) {
        return StreamLine(StreamImported{jsonNumber(parsed, "tookMs"), static_cast<std::uint64_t>(jsonInteger(parsed, "attempt", 1)),
                                         jsonInteger(parsed, "promptTokens"), jsonInteger(parsed, "maxTokens")});
    }
    if (jsonFlag(parsed, "done")) {
        return StreamLine(StreamDone{jsonInteger(parsed, "tokens")});
    }
    if (!parsed.contains("offset") || !parsed.contains("token")) {
        return fail(ErrorKind::AnswerIncomplete, "stream line: contains neither a token nor the end of the stream");
    }
    return StreamLine(StreamToken{jsonInteger(parsed, "offset", -1), jsonText(parsed, "token")});
}

std::string encodeCancelRequest(const CancelRequest &request)
{
    return jsonDump(Json{{"requestId", request.id.text()}, {"attempt", request.attempt}});
}

Result<CancelRequest> decodeCancelRequest(const std::string &json)
{
    BOOST_LEAF_AUTO(parsed, parseJsonObject(json, "cancel"));
    return CancelRequest{RequestId(jsonText(parsed, "requestId")), static_cast<std::uint64_t>(jsonInteger(parsed, "attempt", 1))};
}

std::string encodeRoleOrder(const RoleOrder &order)
{
    return jsonDump(Json{{"role", order.role}, {"model", order.model}, {"modelVersion", order.modelVersion}, {"fence", order.fence}});
}

Result<RoleOrder> decodeRoleOrder(const std::string &json)
{
    BOOST_LEAF_AUTO(parsed, parseJsonObject(json, "role order"));
    return RoleOrder{jsonText(parsed, "role"), jsonText(parsed, "model"), jsonText(parsed, "modelVersion"),
                     static_cast<std::uint64_t>(jsonInteger(parsed, "fence"))};
}

std::string encodeEngineReport(const EngineReported &report)
{
    Json held = Json::array();
    for (const RequestId &id : report.held) {
        held.push_back(id.text());
    }
    return jsonDump(Json{{"running", report.running},
                         {"piecesInUse", report.piecesInUse},
                         {"held", std::move(held)},
                         {"cachedPrefixes", report.cachedPrefixes}});
}

Result<EngineReported> decodeEngineReport(const std::string &json, const EngineId &engine)
{
    BOOST_LEAF_AUTO(parsed, parseJsonObject(json, "engine report"));
    EngineReported report;
    report.engine = engine;
    report.running = jsonInteger(parsed, "running");
    report.piecesInUse = jsonInteger(parsed, "piecesInUse");
    for (const std::string &id : jsonTexts(parsed, "held")) {
        if (report.held.size() < maxReportedIds) {
            report.held.emplace_back(id);
        }
    }
    const auto prefixes = parsed.find("cachedPrefixes");
    if (prefixes != parsed.end() && prefixes->is_array()) {
        for (const Json &it : *prefixes) {
            if (it.is_number_unsigned() && report.cachedPrefixes.size() < maxReportedIds) {
                report.cachedPrefixes.push_back(it.get<std::uint64_t>());
            }
        }
    }
    return report;
}

}
