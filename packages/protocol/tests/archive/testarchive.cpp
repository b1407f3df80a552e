#include "protocol/boundedarchive.h"
#include "protocol/peermessage.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <boost/test/unit_test.hpp>

#include <random>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(Archives)

BOOST_AUTO_TEST_CASE(anOversizedLengthIsRejectedBeforeAllocation)
{
    const std::string bytes("\xff\xff\xff\xff"
                            "abc",
                            7);
    BoundedInputArchive text(bytes);
    std::string decoded;
    BOOST_CHECK_THROW(text(decoded), cereal::Exception);
    BoundedInputArchive list(bytes);
    std::vector<std::string> texts;
    BOOST_CHECK_THROW(list(texts), cereal::Exception);
    BOOST_TEST(texts.capacity() == 0U);
}

BOOST_AUTO_TEST_CASE(aTruncatedMessageIsRejected)
{
    const std::string whole
        = encodePeerMessage(HeartbeatMessage{Member::Builder().set(&MemberFields::id, NodeId("node-1")).build(), {}, {7, 1}});
    for (std::size_t i = 0; i < whole.size(); ++i) {
        const auto decoded = toVariant<PeerMessage>([&] { return decodePeerMessage(whole.substr(0, i)); });
        BOOST_TEST(std::holds_alternative<Error>(decoded));
    }
    BOOST_TEST(std::holds_alternative<Error>(toVariant<PeerMessage>([&] { return decodePeerMessage(whole + "x"); })));
}

BOOST_AUTO_TEST_CASE(modifiedBytesAreDecodedSafely)
{
    const std::string whole = encodePeerMessage(OwnerEventsMessage{
        ServiceName("s"), NodeId("n"), {}, {WorkRenewed{}, EngineReported{EngineId("e"), 1, 2, {RequestId("r")}, {9}}, Tick{}}});
    std::mt19937 random(4);
    for (int i = 0; i < 20000; ++i) {
        std::string modified = whole;
        modified[random() % modified.size()] = static_cast<char>(random());
        const auto decoded = toVariant<PeerMessage>([&] { return decodePeerMessage(modified); });
        BOOST_TEST(decoded.index() <= 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
