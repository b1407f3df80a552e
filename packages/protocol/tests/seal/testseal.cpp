#include "protocol/datagramseal.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

const std::string oldKey(64, 'a');
const std::string newKey(64, 'b');

DatagramSeal sealOf(const std::vector<std::string> &keys)
{
    const auto seal = toVariant<DatagramSeal>([&] { return DatagramSeal::fromHexKeys(keys); });
    BOOST_REQUIRE(std::holds_alternative<DatagramSeal>(seal));
    return std::get<DatagramSeal>(seal);
}

bool opens(const DatagramSeal &seal, const std::string &sealed)
{
    const auto opened = toVariant<std::string>([&] { return seal.open(sealed); });
    return std::holds_alternative<std::string>(opened) && std::get<std::string>(opened) == "hello";
}

}

BOOST_AUTO_TEST_SUITE(Seals)

BOOST_AUTO_TEST_CASE(twoKeysAreValidAtOnceForRotation)
{
    const DatagramSeal before = sealOf({oldKey, newKey});
    const DatagramSeal after = sealOf({newKey, oldKey});
    BOOST_TEST(opens(before, after.seal("hello")));
    BOOST_TEST(opens(after, before.seal("hello")));
    BOOST_TEST(!opens(sealOf({newKey}), before.seal("hello")));
}

BOOST_AUTO_TEST_CASE(changedMessagesAreRefused)
{
    const DatagramSeal seal = sealOf({oldKey});
    std::string sealed = seal.seal("hello");
    sealed.back() = 'x';
    BOOST_TEST(!opens(seal, sealed));
    BOOST_TEST(!opens(seal, "short"));
    BOOST_TEST(!opens(seal, ""));
}

BOOST_AUTO_TEST_CASE(badKeysAreNamed)
{
    for (const std::vector<std::string> &keys :
         {std::vector<std::string>{}, std::vector<std::string>{"abc"}, std::vector<std::string>{std::string(64, 'z')}}) {
        const auto seal = toVariant<DatagramSeal>([&] { return DatagramSeal::fromHexKeys(keys); });
        BOOST_REQUIRE(std::holds_alternative<Error>(seal));
        BOOST_TEST(std::get<Error>(seal).message.find("peerKeys") == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
