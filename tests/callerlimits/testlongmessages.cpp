// Engines and other writers of the store against the real program: however long their messages are, the process stays alive and within its
// memory, and serves an ordinary request afterwards. Nothing here depends on how fast the machine is.
#include "callerlimits/boundednode.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace Apricot;

namespace {

/// A JSON array of more than \a bytes, whose document takes many times as much.
std::string arrayText(std::size_t bytes)
{
    std::string text = "[{}";
    while (text.size() < bytes) {
        text += ",{}";
    }
    return text + "]";
}

/**
 * \class NodeAmongLongMessages
 * \brief Fixture: a node with limited resources and one plain endpoint.
 */
class NodeAmongLongMessages : public BoundedNode
{
public:
    NodeAmongLongMessages()
    {
        platform.addEngine("e1", "desk", "", respondSuccessfully);
    }

    /// Whether the node sends calls to \a engine.
    bool reaches(const PlatformEngineStandIn &engine) const
    {
        HttpClient::call(makeCall("http://" + callerAddress + "/read/x", "ordinary"));
        return !engine.receivedRequests().empty();
    }
};

}

BOOST_FIXTURE_TEST_SUITE(LongMessages, NodeAmongLongMessages)

/// Guards against a watch, or a list, whose entries are all parsed at the same time.
BOOST_AUTO_TEST_CASE(entriesOfAMegabyteAmongTheEngines)
{
    constexpr int entries = 7;
    constexpr std::size_t entryBytes = 1'040'000;
    start();
    const std::string spec = R"({"ports":)" + arrayText(entryBytes) + "}";
    for (int i = 0; i < entries; ++i) {
        platform.store.putText("servers", "a-" + std::to_string(i), spec);
    }
    const PlatformEngineStandIn &added = platform.addEngine("e2", "desk", "", respondSuccessfully);
    BOOST_TEST(eventually([&] { return reaches(added); }));
    checkNode();
    for (int i = 0; i < entries; ++i) {
        platform.store.remove("servers", "a-" + std::to_string(i));
    }
    const PlatformEngineStandIn &last = platform.addEngine("e3", "desk", "", respondSuccessfully);
    BOOST_TEST(eventually([&] { return reaches(last); }));
    checkNode();
}

/// Guards against answers to prefill requests that are read and parsed whatever their length.
BOOST_AUTO_TEST_CASE(prefillAnswersOfEightMegabytes)
{
    constexpr std::size_t answerBytes = 8'000'000;
    constexpr int calls = 4;
    const std::string answer = R"({"data":)" + arrayText(answerBytes) + "}";
    platform.addEngine("p1", "model", "prefill",
                       [&](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
                           PlatformEngineStandIn::respondSigned(connection, request, 200, answer);
                       });
    platform.addEngine("d1", "model", "decode",
                       [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
                           PlatformEngineStandIn::beginEventStream(connection, request, 1, 1);
                           connection->endStream();
                       });
    start();
    std::vector<std::thread> callers;
    for (int i = 0; i < calls; ++i) {
        callers.emplace_back([&] {
            HttpCall call = makeCall("http://" + callerAddress + "/again/x", "prompt");
            call.headers["Apricotladder-Token-Usage"] = "100,50";
            HttpClient::call(call);
        });
    }
    for (std::thread &it : callers) {
        it.join();
    }
    checkNode();
}

BOOST_AUTO_TEST_SUITE_END()
