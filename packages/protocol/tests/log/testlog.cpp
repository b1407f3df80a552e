#include "protocol/logjson.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

std::vector<LogLine> lines(const std::vector<std::string> &texts)
{
    std::vector<LogLine> found;
    for (const std::string &text : texts) {
        if (std::optional<LogLine> line = readLogLine(text)) {
            found.push_back(std::move(*line));
        }
    }
    return found;
}

std::string endLine(const std::string &outcome, const std::string &rest)
{
    return R"({"time":"3","node":"n","event":"call.end","request":"r","outcome":")" + outcome + R"(",)" + rest + "}";
}

std::string causeForOutcome(const std::string &outcome, const std::string &rest)
{
    return outcomeCause(requestHistory("r", lines({endLine(outcome, rest)})));
}

}

BOOST_AUTO_TEST_SUITE(RequestHistories)

BOOST_AUTO_TEST_CASE(aHistoryHoldsTheRequestsLinesAndTheChangesTheyDependOn)
{
    const std::vector<LogLine> history
        = requestHistory("r",
                         lines({endLine("answered", R"("engine":"e1","status":200,"ms":12)"),
                                R"(  1.5 name {"time":"1","node":"n","event":"engine","engine":"e1","state":"ready","revision":7})",
                                R"({"time":"2","node":"n","event":"engine","engine":"e2","state":"ready"})",
                                R"({"time":"2","node":"m","event":"engine","engine":"e1","state":"leaving"})",
                                R"({"time":"0","node":"n","event":"desired.inforce","version":4})", "no line of ours",
                                R"({"time":"2","node":"n","event":"call.end","request":"other","outcome":"answered"})"}));
    BOOST_REQUIRE(history.size() == 3U);
    BOOST_TEST(history[0].event == "desired.inforce");
    BOOST_TEST(history[1].event == "engine");
    BOOST_TEST(history[1].node == "n");
    BOOST_TEST(history[2].event == "call.end");
    BOOST_TEST(outcomeCause(history) == "cause: engine e1 answered with status 200 after 12 ms");
}

/// A later entry of the store must not hide that an answer had said that the engine leaves.
BOOST_AUTO_TEST_CASE(aHistoryHoldsWhatAnswersSaidOfItsEngine)
{
    const std::vector<LogLine> history
        = requestHistory("r",
                         lines({R"({"time":"1","node":"n","event":"engine.leaving","engine":"e1","lifetime":7,"source":"answer"})",
                                R"({"time":"1","node":"n","event":"engine.backoff","engine":"e1","until":"4"})",
                                R"({"time":"2","node":"n","event":"engine","engine":"e1","state":"ready","revision":7})",
                                endLine("answered", R"("engine":"e1","status":200,"ms":12)")}));
    BOOST_REQUIRE(history.size() == 4U);
    BOOST_TEST(lineText(history[0]) == "1 n engine.leaving engine=e1 lifetime=7 source=answer");
    BOOST_TEST(lineText(history[1]) == "1 n engine.backoff engine=e1 until=4");
    BOOST_TEST(history[2].event == "engine");
}

BOOST_AUTO_TEST_CASE(causeOfEachOutcomeContainsItsFields)
{
    BOOST_TEST(causeForOutcome("NoCapacity", R"("decode":"","promptTokens":500,"waitedMs":-1.0,"loadsAgeMs":35.5,"ms":520)")
               == "cause: refused, not run: no decode engine had capacity for 500 prompt tokens within 520 ms, according to heartbeats of "
                  "peers up to 35 ms old");
    BOOST_TEST(causeForOutcome("NoCapacity", R"("engine":"e","arrivals":1,"ms":3)").find("declined it (1 asked, the last one e)")
               != std::string::npos);
    BOOST_TEST(causeForOutcome("NoCapacity", R"("decode":"","waitedMs":-1.0,"allBackOff":true,"arrivals":0,"ms":0)").find("all engines")
               != std::string::npos);
    BOOST_TEST(causeForOutcome("OutcomeUnknown", R"("engine":"e","ms":1000)").find("e had the call and did not answer within 1000 ms")
               != std::string::npos);
    BOOST_TEST(causeForOutcome("AnswerIncomplete", R"("engine":"e","ms":9)").find("may have run") != std::string::npos);
    BOOST_TEST(causeForOutcome("PromptQuarantined", R"("quarantined":"91bd","ms":0)").find("not run: part 91bd of its prompt")
               != std::string::npos);
    BOOST_TEST(causeForOutcome("EngineUnreachable", R"("engine":"e")").find("tried was e") != std::string::npos);
    BOOST_TEST(causeForOutcome("node stopped", R"("engine":"e","arrivals":1,"ms":40)").find("grace period ended after 40 ms")
               != std::string::npos);
    BOOST_TEST(causeForOutcome("caller left", R"("engine":"e","arrivals":1,"ms":40)").find("after 40 ms; 1 engine(s)")
               != std::string::npos);
    BOOST_TEST(causeForOutcome("the engine broke off", R"("decode":"e","ms":40)").find("the engine broke off (engine e)")
               != std::string::npos);
    BOOST_TEST(outcomeCause(requestHistory(
                   "r", lines({R"({"time":"1","node":"n","event":"call.noroute","request":"r","host":"h","path":"/p","version":3})"})))
               == "cause: no route of version 3 matches h/p");
    BOOST_TEST(outcomeCause(requestHistory("r", lines({R"({"time":"1","node":"n","event":"call.malformed","request":"r","state":5})"})))
                   .find("exceeded a size limit")
               != std::string::npos);
    BOOST_TEST(
        outcomeCause(requestHistory("r", lines({R"({"time":"1","node":"n","event":"call.rejected","request":"r","reason":"unknown"})"})))
        == "cause: refused, not run: the API key was unknown");
    BOOST_TEST(
        outcomeCause(requestHistory("r", lines({R"({"time":"1","node":"n","event":"call.overallowance","request":"r","workspace":"w"})"})))
        == "cause: refused, not run: the workspace w is above its allowance");
    BOOST_TEST(
        outcomeCause(requestHistory("r", lines({R"({"time":"1","node":"n","event":"call.repeat","request":"r"})"}))).find("call.repeat")
        != std::string::npos);
    BOOST_TEST(requestHistory("unknown", lines({endLine("answered", R"("ms":1)")})).empty());
}

BOOST_AUTO_TEST_CASE(jsonContainsTheLinesAndTheCause)
{
    const Json json = Json::parse(requestHistoryJson(requestHistory("r", lines({endLine("Draining", R"("ms":1)")}))));
    BOOST_TEST(json["lines"].size() == 1U);
    BOOST_TEST(json["cause"].get<std::string>().find("leaving") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
