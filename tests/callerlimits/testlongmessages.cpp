// Engines and other writers of the store against the real program: however long their messages are, the process stays alive and within its
// memory, and serves an ordinary request afterwards. Nothing here depends on how fast the machine is.
#include "callerlimits/boundednode.h"
#include "platform/rawenginestandin.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
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

/// An answer whose last bytes an engine repeats until the node closes the connection.
struct EndlessAnswer
{
    std::string path; ///< of the calls that get it
    std::string service;
    std::string stage; ///< of the engine; empty for a plain endpoint
    std::string begin;
    std::string block;

    /// Returns the entry of the engine in the store.
    Json entry(const std::string &address, int slots) const
    {
        Json spec{{"service", service}, {"address", address}, {"zone", "here"}, {"slots", slots}, {"state", "ready"}, {"born", 1}};
        if (!stage.empty()) {
            spec["phase"] = stage;
        }
        return spec;
    }
};

/// Writes \a block whenever the one before has been handed to the system.
void writeWithoutEnd(EventLoop &loop, const RawEngineStandIn::Connection &connection, const std::string &block)
{
    if (!connection->isOpen()) {
        return;
    }
    if (connection->unsentBytes() == 0) {
        connection->write(block);
    }
    loop.after(absl::Milliseconds(1), [&loop, connection, &block] { writeWithoutEnd(loop, connection, block); });
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

    /// Sends \a count calls at the same time and waits for their ends.
    void callAtOnce(int count, const std::string &path) const
    {
        std::vector<std::thread> callers;
        for (int i = 0; i < count; ++i) {
            callers.emplace_back([&] {
                HttpCall call = makeCall("http://" + callerAddress + path, "prompt");
                call.headers["Apricotladder-Token-Usage"] = "10,5";
                HttpClient::call(call);
            });
        }
        for (std::thread &it : callers) {
            it.join();
        }
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

/// Guards against bytes without end of many engines at once, in a head, in a body and in an event of a stream.
BOOST_AUTO_TEST_CASE(bytesWithoutEndInManyAnswersAtOnce)
{
    constexpr int calls = 120;
    const std::string goodHead = "HTTP/1.1 200 OK\r\nApricotladder-Response-Signature: s\r\nApricotladder-Attempt-Id: ordinary\r\n";
    const std::vector<EndlessAnswer> answers{
        {"/read/x", "desk", "", "HTTP/1.1 200 OK\r\nX: ", std::string(65536, 'h')},
        {"/read/x", "desk", "", goodHead + "\r\n", std::string(65536, 'b')},
        {"/again/x", "model", "decode", goodHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", std::string(65536, 'd')},
        {"/again/x", "model", "decode", goodHead + "Content-Type: text/plain\r\n\r\n", std::string(65536, 'p')},
    };
    Json desired = desiredState(3);
    for (Json &service : desired["services"]) {
        if (service.contains("engine")) {
            service["engine"]["slots"] = calls;
        }
    }
    platform.store.put("config", "main", desired);
    start();
    for (const EndlessAnswer &it : answers) {
        const RawEngineStandIn engine([&](EventLoop &loop, const RawEngineStandIn::Connection &connection, const std::string &, int) {
            connection->write(it.begin);
            writeWithoutEnd(loop, connection, it.block);
        });
        platform.store.put("servers", "endless", it.entry(engine.address(), calls));
        callAtOnce(calls, it.path);
        platform.store.remove("servers", "endless");
        checkNode();
    }
}

/// Guards against the sum of events that are each within the limit and never end, in the streams of many calls.
BOOST_AUTO_TEST_CASE(eventsThatNeverEndInManyStreams)
{
    constexpr int calls = 120;
    constexpr std::size_t eventBytes = 1'000'000;
    Json desired = desiredState(3);
    for (Json &service : desired["services"]) {
        if (service.contains("engine")) {
            service["engine"]["slots"] = calls;
        }
    }
    platform.store.put("config", "main", desired);
    platform.addEngine("p1", "model", "prefill", respondWithKvHandle);
    const std::string answer = "HTTP/1.1 200 OK\r\nApricotladder-Response-Signature: s\r\nApricotladder-Attempt-Id: ordinary\r\n"
                               "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: "
        + std::string(eventBytes, 'd');
    std::atomic<int> arrivals{0};
    const RawEngineStandIn engine([&](EventLoop &, const RawEngineStandIn::Connection &connection, const std::string &, int) {
        ++arrivals;
        connection->write(answer);
    });
    platform.store.put("servers", "endless", EndlessAnswer{"/again/x", "model", "decode", {}, {}}.entry(engine.address(), calls));
    start();
    callAtOnce(calls, "/again/x");
    BOOST_TEST_MESSAGE(arrivals << " streams");
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
    callAtOnce(calls, "/again/x");
    checkNode();
}

BOOST_AUTO_TEST_SUITE_END()
