#include "coordination/configvalidator.h"
#include "coordination/objectschema.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Apricot;

namespace {

RawObject object(const std::string &kind, const std::string &name, std::map<std::string, FieldValue> fields)
{
    return RawObject(RawObjectFields{kind, name, 1, std::move(fields)});
}

std::vector<RawObject> validSet()
{
    return {
        object("DataCentre", "liberia", {{"region", std::string("guanacaste")}}),
        object("Rank", "paying", {{"priority", std::int64_t(0)}, {"floorShare", 0.5}}),
        object("Service", "summarizer", {{"type", std::string("model")}}),
        object("Pool", "decode", {{"service", std::string("summarizer")}, {"role", std::string("decode")}, {"slots", std::int64_t(12)}}),
        object("Endpoint", "d1",
               {{"pool", std::string("decode")}, {"dataCentre", std::string("liberia")}, {"address", std::string("127.0.0.1:9000")}})};
}

bool hasFault(const std::vector<ConfigFault> &faults, const std::string &object, const std::string &field)
{
    return std::any_of(faults.begin(), faults.end(),
                       [&](const ConfigFault &it) { return it.object == object && it.field == field && !it.remedy.empty(); });
}

}

BOOST_AUTO_TEST_SUITE(Config)

BOOST_AUTO_TEST_CASE(aValidSetIsConverted)
{
    const auto checked = validateConfig(validSet());
    const auto *set = std::get_if<ConfigSet>(&checked);
    BOOST_REQUIRE(set != nullptr);
    BOOST_TEST((*set)->pools.at(PoolName("decode"))->slots == 12);
    BOOST_TEST(endpointsOf(*set, ServiceName("summarizer"), PoolRole::Decode).size() == 1U);
    BOOST_TEST(endpointsOf(*set, ServiceName("summarizer"), PoolRole::Prefill).empty());
}

BOOST_AUTO_TEST_CASE(allFaultsAreReportedAtOnce)
{
    std::vector<RawObject> set = validSet();
    set.push_back(object("Rank", "draft", {{"priority", std::int64_t(1)}, {"floorShare", 0.6}}));
    set.push_back(
        object("Pool", "crew", {{"service", std::string("nothing")}, {"role", std::string("boss")}, {"slotts", std::int64_t(1)}}));
    set.push_back(object("Service", "desk",
                         {{"type", std::string("plain")},
                          {"operations", std::vector<std::string>{"confirm"}},
                          {"nonIdempotent", std::vector<std::string>{"confirm"}},
                          {"retryable", std::vector<std::string>{"confirm", "other"}}}));
    set.push_back(
        object("Endpoint", "d2",
               {{"pool", std::string("decode")}, {"dataCentre", std::string("liberia")}, {"address", std::string("127.0.0.1:9000")}}));
    set.push_back(object("Endpoint", "Bad Name", {{"pool", std::int64_t(3)}, {"address", std::string("nowhere")}}));
    set.push_back(object("Thing", "x", {}));
    const auto checked = validateConfig(set);
    const auto *faults = std::get_if<std::vector<ConfigFault>>(&checked);
    BOOST_REQUIRE(faults != nullptr);
    BOOST_TEST(hasFault(*faults, "Rank/draft", "floorShare"));
    BOOST_TEST(hasFault(*faults, "Pool/crew", "service"));
    BOOST_TEST(hasFault(*faults, "Pool/crew", "role"));
    BOOST_TEST(hasFault(*faults, "Pool/crew", "slotts"));
    BOOST_TEST(hasFault(*faults, "Service/desk", "retryable"));
    BOOST_TEST(hasFault(*faults, "Endpoint/d2", "address"));
    BOOST_TEST(hasFault(*faults, "Endpoint/Bad Name", "name"));
    BOOST_TEST(hasFault(*faults, "Endpoint/Bad Name", "pool"));
    BOOST_TEST(hasFault(*faults, "Endpoint/Bad Name", "dataCentre"));
    BOOST_TEST(hasFault(*faults, "Endpoint/Bad Name", "address"));
    BOOST_TEST(hasFault(*faults, "Thing/x", "kind"));
}

BOOST_AUTO_TEST_CASE(rangesAndDuplicatesAreChecked)
{
    std::vector<RawObject> set = validSet();
    set.push_back(object("Workspace", "crew", {{"weight", 0.0}}));
    set.push_back(set.front());
    const auto checked = validateConfig(set);
    const auto *faults = std::get_if<std::vector<ConfigFault>>(&checked);
    BOOST_REQUIRE(faults != nullptr);
    BOOST_TEST(hasFault(*faults, "Workspace/crew", "weight"));
    BOOST_TEST(hasFault(*faults, "DataCentre/liberia", ""));
}

BOOST_AUTO_TEST_CASE(everyFieldIsDocumented)
{
    for (const FieldSpec &spec : objectSchema()) {
        BOOST_TEST(!spec.description.empty(), spec.kind + "." + spec.field);
        BOOST_TEST((spec.required || !spec.defaultValue.empty() || spec.type == FieldType::TextList), spec.kind + "." + spec.field);
    }
}

BOOST_AUTO_TEST_SUITE_END()
