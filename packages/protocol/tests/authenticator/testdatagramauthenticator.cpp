#include "protocol/datagramauthenticator.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

const std::string oldKey(64, 'a');
const std::string newKey(64, 'b');

DatagramAuthenticator authenticatorOf(const std::vector<std::string> &keys)
{
    const auto authenticator = toVariant<DatagramAuthenticator>([&] { return DatagramAuthenticator::fromHexKeys(keys); });
    BOOST_REQUIRE(std::holds_alternative<DatagramAuthenticator>(authenticator));
    return std::get<DatagramAuthenticator>(authenticator);
}

bool verifies(const DatagramAuthenticator &authenticator, const std::string &signedMessage)
{
    const auto verified = toVariant<std::string>([&] { return authenticator.verify(signedMessage); });
    return std::holds_alternative<std::string>(verified) && std::get<std::string>(verified) == "hello";
}

}

BOOST_AUTO_TEST_SUITE(DatagramAuthenticators)

BOOST_AUTO_TEST_CASE(twoKeysAreValidAtOnceForRotation)
{
    const DatagramAuthenticator before = authenticatorOf({oldKey, newKey});
    const DatagramAuthenticator after = authenticatorOf({newKey, oldKey});
    BOOST_TEST(verifies(before, after.sign("hello")));
    BOOST_TEST(verifies(after, before.sign("hello")));
    BOOST_TEST(!verifies(authenticatorOf({newKey}), before.sign("hello")));
}

BOOST_AUTO_TEST_CASE(changedMessagesAreRejected)
{
    const DatagramAuthenticator authenticator = authenticatorOf({oldKey});
    std::string signedMessage = authenticator.sign("hello");
    signedMessage.back() = 'x';
    BOOST_TEST(!verifies(authenticator, signedMessage));
    BOOST_TEST(!verifies(authenticator, "short"));
    BOOST_TEST(!verifies(authenticator, ""));
}

BOOST_AUTO_TEST_CASE(invalidKeysAreReported)
{
    for (const std::vector<std::string> &keys :
         {std::vector<std::string>{}, std::vector<std::string>{"abc"}, std::vector<std::string>{std::string(64, 'z')}}) {
        const auto authenticator = toVariant<DatagramAuthenticator>([&] { return DatagramAuthenticator::fromHexKeys(keys); });
        BOOST_REQUIRE(std::holds_alternative<Error>(authenticator));
        BOOST_TEST(std::get<Error>(authenticator).message.find("peerKeys") == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
