#include "protocol/entrysettingsjson.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

const std::string minimal = R"({"node":"n","dataCentre":"d","callerAddress":"1.1.1.1:1","readyAddress":"1.1.1.1:2",
  "discoveryAddress":"1.1.1.1:3","peerAddress":"1.1.1.1:4","storeAddress":"1.1.1.1:5"})";

std::string errorOf(const std::string &json, const std::map<std::string, std::string> &overrides = {})
{
    const auto settings = toVariant<EntrySettings>([&] { return decodeEntrySettings(json, overrides); });
    const auto *error = std::get_if<Error>(&settings);
    return error == nullptr ? std::string() : error->message;
}

}

BOOST_AUTO_TEST_SUITE(EntrySettingsJson)

BOOST_AUTO_TEST_CASE(missingKeysGetDefaults)
{
    const auto settings = toVariant<EntrySettings>([] {
        return decodeEntrySettings(minimal, {{"threads", "3"}, {"repeatRatio", "0.25"}});
    });
    BOOST_REQUIRE(std::holds_alternative<EntrySettings>(settings));
    const EntrySettings &it = std::get<EntrySettings>(settings);
    BOOST_TEST(it->threads == 3);
    BOOST_TEST(it->repeatRatio == 0.25);
    BOOST_TEST(it->graceS == 8);
}

BOOST_AUTO_TEST_CASE(everyErrorContainsItsKey)
{
    const std::string message = errorOf(R"({"node":"","threads":"two","graceS":0.1,"surplus":1})");
    for (const char *key : {"node:", "threads:", "graceS:", "surplus:", "storeAddress:"}) {
        BOOST_TEST(message.find(key) != std::string::npos, key);
    }
    BOOST_TEST(errorOf("no json").find("not a JSON object") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
