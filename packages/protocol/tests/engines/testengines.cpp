#include "protocol/enginejson.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(Engines)

BOOST_AUTO_TEST_CASE(requestsSurviveARoundTrip)
{
    const auto prefill = toVariant<PrefillRequest>([] {
        return decodePrefillRequest(encodePrefillRequest(PrefillRequest{RequestId("r"), 3, "text", {"a", "b"}, 1}));
    });
    BOOST_TEST(std::get<PrefillRequest>(prefill).produced.size() == 2U);
    const auto decode = toVariant<DecodeRequest>([] {
        return decodeDecodeRequest(encodeDecodeRequest(DecodeRequest{RequestId("r"), 3, "h:1", "kv", 9, 4, 0}));
    });
    BOOST_TEST(std::get<DecodeRequest>(decode).offset == 4);
    const auto cancel = toVariant<CancelRequest>([] {
        return decodeCancelRequest(encodeCancelRequest(CancelRequest{RequestId("r"), 1700000000000U}));
    });
    BOOST_TEST(std::get<CancelRequest>(cancel).attempt == 1700000000000U);
}

BOOST_AUTO_TEST_CASE(streamLinesSurviveARoundTrip)
{
    const auto token = toVariant<StreamLine>([] { return decodeStreamLine(encodeStreamLine(StreamToken{7, "w"})); });
    BOOST_TEST(std::get<StreamToken>(std::get<StreamLine>(token)).offset == 7);
    const auto imported = toVariant<StreamLine>([] { return decodeStreamLine(encodeStreamLine(StreamImported{1.5, 8, 100, 20})); });
    BOOST_TEST(std::get<StreamImported>(std::get<StreamLine>(imported)).attempt == 8U);
    for (const char *line : {"", "{}", "{\"offset\":1}", "[1]", "{\"offset\":"}) {
        BOOST_TEST(std::holds_alternative<Error>(toVariant<StreamLine>([&] { return decodeStreamLine(line); })), line);
    }
}

BOOST_AUTO_TEST_CASE(invalidReportValuesAreSkipped)
{
    const auto report = toVariant<EngineReported>(
        [] { return decodeEngineReport(R"({"running":"x","held":["a",3],"cachedPrefixes":[1,-2,"y"]})", EngineId("e")); });
    const EngineReported &it = std::get<EngineReported>(report);
    BOOST_TEST(it.running == 0);
    BOOST_TEST(it.held.size() == 1U);
    BOOST_TEST(it.cachedPrefixes.size() == 1U);
    BOOST_TEST(std::holds_alternative<Error>(toVariant<PrefillResult>([] { return decodePrefillResult("{}"); })));
}

BOOST_AUTO_TEST_SUITE_END()
