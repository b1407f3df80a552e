#include "protocol/settingsjson.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

const std::string minimal = R"({"node":"n1","dataCentre":"liberia","peerAddress":"127.0.0.1:1","callerAddress":"127.0.0.1:2",
  "storeUrl":"http://s","vmListUrl":"http://v","peerKeys":["k"]})";

std::variant<NodeSettings, Error> decode(const std::string &json, const std::map<std::string, std::string> &overrides = {})
{
    return toVariant<NodeSettings>([&] { return decodeSettings(json, overrides); });
}

}

BOOST_AUTO_TEST_SUITE(Settings)

BOOST_AUTO_TEST_CASE(overridesTakePrecedenceAndMissingKeysGetDefaults)
{
    const auto settings = decode(minimal, {{"silenceMs", "700"}, {"peerKeys", "a,b"}, {"endOnViolation", "true"}});
    BOOST_REQUIRE(std::holds_alternative<NodeSettings>(settings));
    const NodeSettings &it = std::get<NodeSettings>(settings);
    BOOST_TEST(it->silenceMs == 700);
    BOOST_TEST(it->peerKeys.size() == 2U);
    BOOST_TEST(it->endOnViolation);
    BOOST_TEST(it->drainSeconds == 30);
}

BOOST_AUTO_TEST_CASE(allErrorsAreInOneMessage)
{
    const auto settings = decode(R"({"node":"","nodde":1,"silenceMs":1,"peerKeys":"x"})");
    BOOST_REQUIRE(std::holds_alternative<Error>(settings));
    const std::string &message = std::get<Error>(settings).message;
    for (const char *key : {"node:", "nodde:", "silenceMs:", "peerKeys:", "storeUrl:", "dataCentre:"}) {
        BOOST_TEST(message.find(key) != std::string::npos, key << " in " << message);
    }
    BOOST_TEST(std::holds_alternative<Error>(decode("not json")));
    BOOST_TEST(std::holds_alternative<Error>(decode(minimal, {{"silenceMs", "many"}})));
}

BOOST_AUTO_TEST_SUITE_END()
