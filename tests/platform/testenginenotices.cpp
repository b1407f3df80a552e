#include "platform/nodefixture.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <utility>

using namespace Apricot;

namespace {

using Behaviour = PlatformEngineStandIn::Behaviour;

/// Answers each request with \a status and says that the engine leaves.
Behaviour answerAndLeave(int status, const HttpHeaders &moreHeaders = {})
{
    return [status, moreHeaders](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        HttpResponseHead head = PlatformEngineStandIn::leavingHead(PlatformEngineStandIn::signedHead(request, status, "text/plain"));
        head.headers.insert(head.headers.end(), moreHeaders.begin(), moreHeaders.end());
        connection->respond(std::move(head), "answer");
    };
}

/// Begins a stream of two events in a head that says that the engine leaves.
void beginLeavingStream(const HttpServerConnection::Ptr &connection, const ReceivedRequest &request)
{
    connection->beginStream(PlatformEngineStandIn::leavingHead(PlatformEngineStandIn::signedHead(request, 200, "text/event-stream")),
                            "id: 1\ndata: token\n\nid: 2\ndata: token\n\n");
}

void streamOneEvent(EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request)
{
    PlatformEngineStandIn::beginEventStream(connection, request, 1, 1);
    connection->endStream();
}

/// Fixture: each engine is the only one of its service or stage, so that only what it has said keeps further calls away from it.
struct LoneEngines : PlatformWithNode
{
    /// Sends calls to \a path, of which the first must reach \a engine and the others must not.
    void requireOneRequest(const PlatformEngineStandIn &engine, const std::string &path)
    {
        startNode();
        for (int i = 0; i < 5; ++i) {
            node->call(path);
        }
        BOOST_TEST(engine.receivedRequests().size() == 1U);
    }

    /// Whether an answer has told the node that an engine leaves.
    bool knowsLeavingEngine() const
    {
        const std::string metrics = node->fetch(node->settings()->metricsAddress, "/metrics").body;
        return metrics.find("engine_notices_total{kind=\"leaving\"} 1") != std::string::npos;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(EngineNotices, LoneEngines)

/// A whole answer says that the engine leaves, the store does not yet: a later call reached the engine. The caller gets the header.
BOOST_AUTO_TEST_CASE(noCallFollowsAWholeAnswerOfALeavingEngine)
{
    const PlatformEngineStandIn &engine = addEngine("i-1", "desk", "", answerAndLeave(200));
    startNode();
    const FullResponse first = node->callWithHead("/read/x");
    BOOST_TEST(first.head.status == 200);
    BOOST_TEST(headerValue(first.head.headers, "Server-Leaving") == "1");
    BOOST_TEST(node->call("/read/x").status == 503);
    BOOST_TEST(node->call("/book/x", "POST", "b").status == 503);
    BOOST_TEST(engine.receivedRequests().size() == 1U);
    BOOST_TEST(knowsLeavingEngine());
}

/// A refusal counts as an answer, too.
BOOST_AUTO_TEST_CASE(noCallFollowsARefusalOfALeavingEngine)
{
    requireOneRequest(addEngine("i-1", "desk", "", answerAndLeave(503, {{"Apricotladder-Not-Executed", "1"}})), "/read/x");
}

/// An error that the engine answers counts as an answer, too.
BOOST_AUTO_TEST_CASE(noCallFollowsAnErrorOfALeavingEngine)
{
    requireOneRequest(addEngine("i-1", "desk", "", answerAndLeave(500)), "/read/x");
}

/// The body never arrives, but the head has said that the engine leaves.
BOOST_AUTO_TEST_CASE(noCallFollowsACutAnswerOfALeavingEngine)
{
    requireOneRequest(addEngine("i-1", "desk", "",
                                [](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
                                    beginLeavingStream(connection, request);
                                    loop.after(absl::Milliseconds(50), [connection] { connection->abort(); });
                                }),
                      "/read/x");
}

/// The head of a stream counts at once; the stream itself ends in peace.
BOOST_AUTO_TEST_CASE(noCallFollowsTheHeadOfALeavingEnginesStream)
{
    Gate ends;
    const PlatformEngineStandIn &engine = addEngine(
        "d-1", "model", "decode", [&](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
            beginLeavingStream(connection, request);
            ends.whenOpen(loop, [connection] {
                connection->sendChunk("id: 3\ndata: token\n\n");
                connection->endStream();
            });
        });
    startNode();
    FullResponse inProgress;
    Thread caller("caller", [&] { inProgress = node->callWithHead("/draft/x"); });
    BOOST_TEST(eventually([&] { return knowsLeavingEngine(); }));
    BOOST_TEST(node->call("/draft/x").status == 503);
    ends.open();
    caller.join();
    BOOST_TEST(countEventIds(inProgress.body) == 3);
    BOOST_TEST(headerValue(inProgress.head.headers, "Server-Leaving") == "1");
    BOOST_TEST(engine.receivedRequests().size() == 1U);
}

/// The caller leaves while the engine is at work on the answer that has said that it leaves.
BOOST_AUTO_TEST_CASE(noCallFollowsAnAnswerWhoseCallerHasLeft)
{
    const PlatformEngineStandIn &engine
        = addEngine("i-1", "desk", "", [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
              beginLeavingStream(connection, request);
          });
    startNode();
    HttpCall call;
    call.url = "http://" + node->settings()->callerAddress + "/book/x";
    call.headers = {{"Host", "h.example"}};
    call.timeout = absl::Milliseconds(300);
    call.dedicatedConnection = true;
    HttpClient::call(call);
    BOOST_TEST(eventually([&] { return engine.abandonedCount() == 1; }));
    BOOST_TEST(node->call("/read/x").status == 503);
    BOOST_TEST(engine.receivedRequests().size() == 1U);
}

/// The answer to a prefill said that the engine leaves, and the next prompt went there all the same.
BOOST_AUTO_TEST_CASE(noPromptFollowsAPrefillOfALeavingEngine)
{
    const PlatformEngineStandIn &prefill = addEngine(
        "p-1", "model", "prefill", [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
            connection->respond(PlatformEngineStandIn::leavingHead(PlatformEngineStandIn::signedHead(request, 200, "application/json")),
                                R"({"kv-handle":"h1","tokens":100,"version":1})");
        });
    const PlatformEngineStandIn &decode = addEngine("d-1", "model", "decode", streamOneEvent);
    startNode();
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(countEventIds(node->call("/draft/x", "POST", "prompt").body) == 1);
    }
    BOOST_TEST(prefill.receivedRequests().size() == 1U);
    // The KV cache of the first call can be fetched from the leaving engine, which serves for some time yet.
    BOOST_TEST(decode.receivedRequests().at(0).header("Apricotladder-Kv-Source") == prefill.address() + "/h1");
    BOOST_TEST(decode.receivedRequests().at(1).header("Apricotladder-Kv-Source") == "");
}

/// A decode engine is chosen before the prefill; during the prefill, the answer to another call says that it leaves.
BOOST_AUTO_TEST_CASE(aCallThatWasPlacedButNotYetSentGoesElsewhere)
{
    Gate answers;
    Gate prefills;
    const PlatformEngineStandIn &prefill = addEngine(
        "p-1", "model", "prefill", [&](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
            const auto respond = [&loop, connection, request] {
                respondWithKvHandle(loop, connection, request);
            };
            request.body == "placed" ? prefills.whenOpen(loop, respond) : respond();
        });
    const PlatformEngineStandIn &leaving = addEngine(
        "d-1", "model", "decode", [&](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
            answers.whenOpen(loop, [connection, request] {
                beginLeavingStream(connection, request);
                connection->endStream();
            });
        });
    startNode();
    HttpReply first;
    Thread firstCaller("first", [&] { first = node->call("/draft/x", "POST", "first"); });
    BOOST_TEST(eventually([&] { return leaving.receivedRequests().size() == 1U; }));
    HttpReply placed;
    Thread placedCaller("placed", [&] { placed = node->call("/draft/x", "POST", "placed"); });
    BOOST_TEST(eventually([&] { return prefill.receivedRequests().size() == 2U; }));
    answers.open();
    firstCaller.join();
    const PlatformEngineStandIn &other = addEngine("d-2", "model", "decode", streamOneEvent);
    BOOST_TEST(eventually([&] { return node->call("/draft/x", "POST", "prompt").status == 200; }));
    prefills.open();
    placedCaller.join();
    BOOST_TEST(countEventIds(first.body) == 2);
    BOOST_TEST(countEventIds(placed.body) == 1);
    BOOST_TEST(leaving.receivedRequests().size() == 1U);
    BOOST_TEST(other.receivedRequests().size() >= 2U);
}

/// The answer to the release of a handle counts as an answer, too.
BOOST_AUTO_TEST_CASE(noPromptFollowsTheReleaseOfAHandleAtALeavingEngine)
{
    const PlatformEngineStandIn &prefill = addEngine(
        "p-1", "model", "prefill", [](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
            if (request.head.method == "DELETE") {
                connection->respond(PlatformEngineStandIn::leavingHead(PlatformEngineStandIn::signedHead(request, 200, "text/plain")), {});
            } else {
                respondWithKvHandle(loop, connection, request);
            }
        });
    addEngine("d-1", "model", "decode", [](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        if (request.header("Apricotladder-Kv-Source").empty()) {
            streamOneEvent(loop, connection, request);
        } else {
            PlatformEngineStandIn::respondNotExecuted(connection);
        }
    });
    startNode();
    BOOST_TEST(countEventIds(node->call("/draft/x", "POST", "prompt").body) == 1);
    BOOST_TEST(eventually([&] { return knowsLeavingEngine(); }));
    for (int i = 0; i < 3; ++i) {
        node->call("/draft/x", "POST", "prompt");
    }
    BOOST_TEST(prefill.receivedRequests().size() == 2U);
}

/// The store returns the entry of the leaving engine as ready, also after an outage: the engine was used again.
BOOST_AUTO_TEST_CASE(anEntryOfTheStoreDoesNotBringALeavingEngineBack)
{
    const PlatformEngineStandIn &leaving = addEngine("i-1", "desk", "", answerAndLeave(200));
    startNode();
    BOOST_TEST(node->call("/read/x").status == 200);
    publishEngine(leaving, "desk", "", "draining");
    publishEngine(leaving, "desk", "", "ready");
    store.setUnavailable(true);
    store.remove("servers", leaving.id());
    store.setUnavailable(false);
    publishEngine(leaving, "desk", "", "ready");
    const PlatformEngineStandIn &sound = addEngine("i-2", "desk", "", respondSuccessfully);
    BOOST_TEST(eventually([&] { return node->call("/read/x").status == 200; }));
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(node->call("/read/x").status == 200);
    }
    BOOST_TEST(leaving.receivedRequests().size() == 1U);
    BOOST_TEST(!sound.receivedRequests().empty());
}

/// Another engine at the address of the one that left, and a later start under the same id, must get calls.
BOOST_AUTO_TEST_CASE(aNewLifetimeAtTheSameAddressIsUsed)
{
    const auto isLeaving = std::make_shared<std::atomic<bool>>(true);
    PlatformEngineStandIn &engine = addEngine(
        "i-1", "desk", "", [isLeaving](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
            (*isLeaving ? answerAndLeave(200) : Behaviour(respondSuccessfully))(loop, connection, request);
        });
    startNode();
    BOOST_TEST(node->call("/read/x").status == 200);
    BOOST_TEST(node->call("/read/x").status == 503);
    *isLeaving = false;
    publishEngine(engine, "desk", "", "ready", 2);
    BOOST_TEST(eventually([&] { return node->call("/read/x").status == 200; }));
    *isLeaving = true;
    BOOST_TEST(node->call("/read/x").status == 200);
    BOOST_TEST(node->call("/read/x").status == 503);
    *isLeaving = false;
    store.remove("servers", engine.id());
    engine.restartAs("i-2");
    publishEngine(engine, "desk", "", "ready");
    BOOST_TEST(eventually([&] { return node->call("/read/x").status == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()
