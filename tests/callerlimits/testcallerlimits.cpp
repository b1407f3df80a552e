// Uncontrolled callers against the real program: whatever they send, the process stays alive, within its memory and descriptors, and serves
// an ordinary request afterwards. The callers' connections are still open then. Nothing here depends on how fast the machine is.
#include "callerlimits/boundednode.h"
#include "callerlimits/crowd.h"

#include <absl/time/clock.h>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace Apricot;

namespace {

constexpr int maxBodyBytes = 1 << 20;

/// Time without progress after which the clients stop sending.
constexpr absl::Duration sendSilence = absl::Seconds(2);

/// How long the clients then keep their connections open before the first check, so that the node has read what was sent.
constexpr absl::Duration holdTime = absl::Seconds(3);

const std::string postHead = "POST /read/x HTTP/1.1\r\nHost: h.example\r\nApricotladder-Deadline-Ms: 15000\r\n";
const std::string chunkedHead = postHead + "Transfer-Encoding: chunked\r\n\r\n";

std::string chunkOf(std::size_t bytes)
{
    return encodeChunk(std::string(bytes, 'x'));
}

/**
 * \class NodeWithCrowd
 * \brief Fixture: a node with limited resources, one plain endpoint that answers with answerBytes bytes, and a crowd before it.
 */
class NodeWithCrowd : public BoundedNode
{
public:
    NodeWithCrowd()
    {
        Json desired = desiredState(3);
        desired["limits"]["max-body-bytes"] = maxBodyBytes;
        platform.store.put("config", "main", desired);
        platform.addEngine("e1", "desk", "",
                           [this](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
                               PlatformEngineStandIn::respondSigned(connection, request, 200, std::string(answerBytes, 'a'));
                           });
        start();
    }

    /// Lets \a count clients send \a script, and checks the node while their connections are open and after they have closed.
    void check(std::size_t count, const CrowdScript &script)
    {
        {
            Crowd crowd(callerAddress, count, script);
            crowd.send(sendSilence);
            absl::SleepFor(holdTime);
            checkNode();
        }
        checkNode();
    }

    std::size_t answerBytes = 10;
};

}

BOOST_FIXTURE_TEST_SUITE(CallerLimits, NodeWithCrowd)

/// Guards against buffers for bodies whose head already says that they are refused.
BOOST_AUTO_TEST_CASE(bodiesAnnouncedFarOverTheLimit)
{
    check(32, CrowdScript{postHead + "Content-Length: 67108864\r\n\r\n", std::string(65536, 'x'), 128});
}

/// Guards against bodies without an end that are kept beyond the limit.
BOOST_AUTO_TEST_CASE(chunkedBodiesWithoutEnd)
{
    check(32, CrowdScript{chunkedHead, chunkOf(65536), 256});
}

/// Guards against the sum of bodies that are each within the limit and never end.
BOOST_AUTO_TEST_CASE(manyBodiesInLargeChunksStopShortOfTheirEnd)
{
    check(200, CrowdScript{chunkedHead, chunkOf(65536), maxBodyBytes / 65536});
}

/// Guards against the same in chunks of one byte.
BOOST_AUTO_TEST_CASE(manyBodiesInChunksOfOneByteStopShortOfTheirEnd)
{
    std::string block;
    for (int i = 0; i < 4096; ++i) {
        block += chunkOf(1);
    }
    check(240, CrowdScript{chunkedHead, block, 160});
}

/// Guards against bodies with an announced length that stop short of it.
BOOST_AUTO_TEST_CASE(manyAnnouncedBodiesStopShortOfTheirEnd)
{
    check(200, CrowdScript{postHead + "Content-Length: 1048576\r\n\r\n", std::string(65535, 'x'), 16});
}

/// Guards against answers that pile up for callers that send requests and never read.
BOOST_AUTO_TEST_CASE(pipelinedRequestsWhoseAnswersAreNeverRead)
{
    answerBytes = 256 * 1024;
    const std::string request
        = "GET /read/x HTTP/1.1\r\nHost: h.example\r\nApricotladder-Attempt-Id: a\r\nApricotladder-Deadline-Ms: 15000\r\n\r\n";
    check(60, CrowdScript{{}, request, 60});
}

/// Guards against the loss of all descriptors to callers that connect and send nothing.
BOOST_AUTO_TEST_CASE(silentConnectionsLeaveDescriptors)
{
    check(700, CrowdScript{});
}

/// Guards against limits that refuse the largest body which the desired state allows, while bodies that stopped hold memory.
BOOST_AUTO_TEST_CASE(aBodyOfTheLargestSizeIsServedBesideBodiesThatStopped)
{
    constexpr int largestBodyBytes = 4 << 20;
    Json desired = desiredState(4);
    desired["limits"]["max-body-bytes"] = largestBodyBytes;
    platform.store.put("config", "main", desired);
    Crowd crowd(callerAddress, 60, CrowdScript{chunkedHead, chunkOf(65536), maxBodyBytes / 65536});
    crowd.send(sendSilence);
    const std::string body(largestBodyBytes, 'b');
    BOOST_TEST(eventually([&] { return HttpClient::call(makeCall("http://" + callerAddress + "/read/x", body)).status == 200; }));
    checkNode();
}

BOOST_AUTO_TEST_SUITE_END()
