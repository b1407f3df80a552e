#include "protocol/objectjson.h"
#include "protocol/snapshotcodec.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(Objects)

BOOST_AUTO_TEST_CASE(aSnapshotDoesNotDependOnTheOrderOfItsObjects)
{
    std::vector<StoredObject> objects{{"Rank", "b", 2, R"({"priority":1})", ""},
                                      {"Rank", "a", 7, R"({"priority":0,"floorShare":0.25})", R"({"valid":true})"}};
    const std::string text = encodeSnapshot(objects);
    std::reverse(objects.begin(), objects.end());
    objects.front().version = 99;
    BOOST_TEST(encodeSnapshot(objects) == text);
    const auto decoded = toVariant<std::vector<RawObject>>([&] { return decodeSnapshot(text); });
    BOOST_TEST(std::get<std::vector<RawObject>>(decoded).size() == 2U);
    BOOST_TEST(snapshotHash(text).size() == 32U);
    BOOST_TEST(snapshotHash(text) != snapshotHash(text + " "));
}

BOOST_AUTO_TEST_CASE(largeSnapshotsAreSplitAndJoined)
{
    const std::string text(maxChunkBytes * 2 + 5, 'x');
    std::string joined;
    for (const std::string &chunk : splitSnapshot(text)) {
        const auto decoded = toVariant<std::string>([&] { return decodeChunk(StoredObject{"Snapshot", "n", 1, encodeChunk(chunk), ""}); });
        joined += std::get<std::string>(decoded);
    }
    BOOST_TEST((joined == text));
    BOOST_TEST(splitSnapshot(text).size() == 3U);
}

BOOST_AUTO_TEST_CASE(runPagesSurviveARoundTrip)
{
    const RunRecord done = RunRecord::Builder()
                               .set(&RunRecordFields::key, IdempotencyKey("k"))
                               .set(&RunRecordFields::creator, RequestId("c"))
                               .set(&RunRecordFields::node, NodeId("n"))
                               .set(&RunRecordFields::state, RunState::Done)
                               .set(&RunRecordFields::status, 200)
                               .set(&RunRecordFields::body, "{\"a\":\"\xc3\xa9\"}")
                               .set(&RunRecordFields::createdMs, 5)
                               .build();
    RunPageFields fields{3, {{done->key, done}}};
    const auto decoded = toVariant<RunPage>([&] {
        return decodeRunPage(StoredObject{"RunPage", "p", 3, encodeRunPage(RunPage(fields)), ""});
    });
    BOOST_TEST((std::get<RunPage>(decoded) == RunPage(fields)));
}

BOOST_AUTO_TEST_CASE(anUnknownRunStateIsDecodedAsMayHaveRun)
{
    const auto decoded = toVariant<RunPage>([&] {
        return decodeRunPage(StoredObject{"RunPage", "p", 3, R"({"records":{"k":{"state":"later","creator":"c"}}})", ""});
    });
    BOOST_TEST((std::get<RunPage>(decoded)->records.at(IdempotencyKey("k"))->state == RunState::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(invalidObjectsAreReported)
{
    BOOST_TEST(std::holds_alternative<Error>(toVariant<StoredObject>([] { return decodeStoredObject("{}"); })));
    const auto unknownMember = toVariant<StoredObject>([] { return decodeStoredObject(R"({"kind":"Rank","name":"a","priority":1})"); });
    BOOST_TEST(std::get<Error>(unknownMember).message.find("priority") != std::string::npos);
    const auto nested = toVariant<RawObject>([] { return rawObjectOf(StoredObject{"Rank", "a", 1, R"({"x":{"y":1}})", ""}); });
    BOOST_TEST(std::get<Error>(nested).message.find("Rank/a") == 0U);
    BOOST_TEST(std::holds_alternative<Error>(toVariant<std::vector<Vm>>([] { return decodeVmList("{}"); })));
}

BOOST_AUTO_TEST_SUITE_END()
