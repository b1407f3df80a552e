// Uncontrolled callers against the real program: whatever they send, the process stays alive, within its memory and descriptors, and serves
// an ordinary request afterwards. The callers' connections are still open then. Nothing here depends on how fast the machine is.
#include "callerlimits/crowd.h"
#include "platform/nodefixture.h"
#include "soak/nodeprocess.h"

#include <absl/time/clock.h>

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

using namespace Apricot;

namespace {

/// Memory of the smallest node that the system is specified for: 88 MB. The sanitizers add several times as much of their own.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::int64_t maxMemoryKib = 8LL * 88'000'000 / 1024;
#else
constexpr std::int64_t maxMemoryKib = 88'000'000 / 1024;
#endif

/// Descriptors of the node under test, and the part of them that callers must leave to files, peers, the store and engines.
constexpr int descriptorLimit = 600;
constexpr int reservedDescriptors = 200;

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

/// Returns the number after \a key in /proc/PID/status; 0 if the process has ended.
std::int64_t statusValue(pid_t process, const std::string &key)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (status >> word) {
        if (word == key) {
            std::int64_t value = 0;
            status >> value;
            return value;
        }
    }
    return 0;
}

/// Starts \a node with at most \a limit descriptors, which a child inherits.
void startWithDescriptorLimit(NodeProcess &node, rlim_t limit)
{
    rlimit own{};
    getrlimit(RLIMIT_NOFILE, &own);
    const rlimit lowered{limit, own.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
    node.start();
    setrlimit(RLIMIT_NOFILE, &own);
}

/// Fixture: store, one plain endpoint that answers with \a answerBytes bytes, and the node process with the default settings.
class NodeWithCrowd
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
        const std::string ip = "127." + std::to_string(64 + getpid() / 250 % 60) + "." + std::to_string(1 + getpid() % 250) + ".1";
        callerAddress = ip + ":8144";
        readyAddress = ip + ":8140";
        directory = std::filesystem::temp_directory_path() / ("callerlimits-" + std::to_string(getpid()));
        std::filesystem::create_directories(directory);
        std::ofstream(directory / "node.json") << Json{{"node", "n1"},
                                                       {"dataCentre", "here"},
                                                       {"callerAddress", callerAddress},
                                                       {"readyAddress", readyAddress},
                                                       {"discoveryAddress", ip + ":8143"},
                                                       {"peerAddress", ip + ":8146"},
                                                       {"storeAddress", platform.store.address()},
                                                       {"logLevel", "error"}};
        node = std::make_unique<NodeProcess>(APRICOTLADDERD, directory / "node.json", directory / "log");
        startWithDescriptorLimit(*node, descriptorLimit);
        BOOST_REQUIRE(eventually([&] { return HttpClient::call(makeCall("http://" + readyAddress + "/readyz", {})).status == 200; }));
    }

    ~NodeWithCrowd()
    {
        node.reset();
        std::filesystem::remove_all(directory);
    }

    static HttpCall makeCall(const std::string &url, const std::string &body)
    {
        HttpCall call;
        call.method = body.empty() ? "GET" : "POST";
        call.url = url;
        call.headers = {{"Host", "h.example"}, {"Apricotladder-Attempt-Id", "ordinary"}, {"Apricotladder-Deadline-Ms", "15000"}};
        call.body = body;
        call.timeout = absl::Seconds(5);
        call.dedicatedConnection = true;
        return call;
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

    void checkNode()
    {
        checkResources();
        const auto isServed = [&] {
            return HttpClient::call(makeCall("http://" + callerAddress + "/read/x", "ordinary")).status == 200;
        };
        BOOST_TEST(eventually(isServed));
        BOOST_TEST(!node->reap().has_value());
        checkResources();
    }

    void checkResources() const
    {
        const std::int64_t memoryKib = statusValue(node->processId(), "VmHWM:");
        const std::filesystem::path descriptors = "/proc/" + std::to_string(node->processId()) + "/fd";
        std::error_code ec;
        const auto open = std::distance(std::filesystem::directory_iterator(descriptors, ec), std::filesystem::directory_iterator());
        BOOST_TEST_MESSAGE("VmHWM " << memoryKib << " KiB, " << open << " descriptors");
        BOOST_TEST(memoryKib > 0);
        BOOST_TEST(memoryKib <= maxMemoryKib);
        BOOST_TEST(open <= descriptorLimit - reservedDescriptors);
    }

    Platform platform;
    std::size_t answerBytes = 10;
    std::string callerAddress;
    std::string readyAddress;
    std::filesystem::path directory;
    std::unique_ptr<NodeProcess> node;
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
