#include "coordination/activenodes.h"
#include "platform/nodefixture.h"
#include "protocol/cellmessage.h"
#include "transport/socketaddress.h"
#include "transport/udpsocket.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <vector>

using namespace Apricot;

namespace {

/// Sends \a bytes to \a address over TCP and closes the connection.
void sendRaw(const std::string &address, const std::string &bytes)
{
    EventLoop loop;
    const auto connection = TcpConnection::connect(loop, *parseSocketAddress(address), TcpTimeouts(), TcpConnection::Callbacks());
    connection->write(bytes);
    bool isOver = false;
    loop.after(absl::Milliseconds(20), [&] { isOver = true; });
    while (!isOver) {
        loop.runOnce();
    }
    connection->abort();
}

}

BOOST_FIXTURE_TEST_SUITE(EntryNodes, Platform)

BOOST_AUTO_TEST_CASE(forwardsPlainCallUnchanged)
{
    PlatformEngineStandIn &desk = addEngine("i-1", "desk", "", respondSuccessfully);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    const HttpReply reply = node.call("/book/x?y=%20z", "POST", "body");
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.body == "done body");
    const ReceivedRequest request = desk.receivedRequests().at(0);
    BOOST_TEST(request.head.method == "POST");
    BOOST_TEST(request.head.target == "/book/x?y=%20z");
    BOOST_TEST(request.header("Apricotladder-Expected-Instance") == "i-1");
    BOOST_TEST(std::stoi(request.header("Apricotladder-Deadline-Ms")) <= 15000);
    BOOST_TEST(node.call("/nowhere/").status == 404);
}

BOOST_AUTO_TEST_CASE(refusesCallsWithoutConfiguration)
{
    PlatformStoreStandIn empty;
    const NodeUnderTest node("n1", empty.address());
    BOOST_TEST(!node.isReady());
    BOOST_TEST(node.call("/read/x").status == 503);
    BOOST_TEST(node.fetch(node.settings()->discoveryAddress, "/discovery?zone=here").status == 503);
}

BOOST_AUTO_TEST_CASE(doesNotRetryNonIdempotentCallAfterConnectionLoss)
{
    const auto breakOff = [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &) {
        connection->abort();
    };
    PlatformEngineStandIn &first = addEngine("i-1", "desk", "", breakOff);
    PlatformEngineStandIn &second = addEngine("i-2", "desk", "", breakOff);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST(node.call("/book/x", "POST", "b").status == 502);
    BOOST_TEST(first.receivedRequests().size() + second.receivedRequests().size() == 1U);
    BOOST_TEST(node.call("/read/x").status == 502);
    BOOST_TEST(first.receivedRequests().size() + second.receivedRequests().size() == 3U); // An idempotent call may be sent to two engines.
}

BOOST_AUTO_TEST_CASE(refusesCallWhenOnlyEngineDeclines)
{
    PlatformEngineStandIn &desk
        = addEngine("i-1", "desk", "", [](EventLoop &, const HttpServerConnection::Ptr &it, const ReceivedRequest &) {
              PlatformEngineStandIn::respondNotExecuted(it);
          });
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST(node.call("/book/x", "POST", "b").status == 503);
    BOOST_TEST(desk.receivedRequests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(retriesIdempotentCallAtAnotherEngineAfterServerError)
{
    addEngine("i-1", "desk", "", [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        PlatformEngineStandIn::respondSigned(connection, request, 500, "bad");
    });
    addEngine("i-2", "desk", "", respondSuccessfully);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST(node.call("/read/x").status == 200);
    }
}

/// Guards against calls that fail although a sound engine exists: an engine whose errors come fast used up the retry quota.
BOOST_AUTO_TEST_CASE(anEngineThatFailsFastDoesNotUseUpTheRetryQuota)
{
    addEngine("i-1", "desk", "", [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        PlatformEngineStandIn::respondSigned(connection, request, 500, "bad");
    });
    addEngine("i-2", "desk", "", [](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        loop.after(absl::Milliseconds(60), [&loop, connection, request] { respondSuccessfully(loop, connection, request); });
    });
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(node.call("/read/x").status == 200);
    }
}

/// The store's object of an engine that is gone can name an address that another engine has taken since.
BOOST_AUTO_TEST_CASE(rejectsAddressReusedByAnotherEngine)
{
    const PlatformEngineStandIn other("i-other", respondSuccessfully);
    store.put("servers", "i-gone", Json{{"service", "desk"}, {"address", other.address()}, {"slots", 8}, {"state", "ready"}});
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST(node.call("/book/x", "POST", "b").status == 503);
}

BOOST_AUTO_TEST_CASE(sendsNoCallsToLeavingEngine)
{
    PlatformEngineStandIn &leaving = addEngine("i-1", "desk", "", respondSuccessfully);
    PlatformEngineStandIn &staying = addEngine("i-2", "desk", "", respondSuccessfully);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    publishEngine(leaving, "desk", "", "draining");
    BOOST_REQUIRE(eventually([&] {
        const std::size_t before = leaving.receivedRequests().size();
        node.call("/read/x");
        node.call("/read/x");
        return leaving.receivedRequests().size() == before;
    }));
    const std::size_t before = leaving.receivedRequests().size();
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(node.call("/read/x").status == 200);
    }
    BOOST_TEST(leaving.receivedRequests().size() == before);
    BOOST_TEST(staying.receivedRequests().size() >= 10U);
}

BOOST_AUTO_TEST_CASE(ignoresMalformedEngineObject)
{
    store.put("servers", "i-bad", Json{{"service", 7}});
    addEngine("i-1", "desk", "", respondSuccessfully);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST(node.call("/read/x").status == 200);
    BOOST_TEST(node.fetch(node.settings()->metricsAddress, "/metrics").body.find("malformed_entries_total") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(endsCallAtRouteTimeout)
{
    PlatformEngineStandIn &desk
        = addEngine("i-1", "desk", "", [](EventLoop &, const HttpServerConnection::Ptr &, const ReceivedRequest &) {});
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST(node.call("/short/x").status == 504);
    BOOST_TEST(eventually([&] { return desk.abandonedCount() == 1; }));
}

BOOST_AUTO_TEST_CASE(cancelsEngineCallWhenCallerDisconnects)
{
    PlatformEngineStandIn &desk
        = addEngine("i-1", "desk", "", [](EventLoop &, const HttpServerConnection::Ptr &, const ReceivedRequest &) {});
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    HttpCall call;
    call.url = "http://" + node.settings()->callerAddress + "/book/x";
    call.headers = {{"Host", "h.example"}};
    call.timeout = absl::Milliseconds(300);
    call.dedicatedConnection = true;
    HttpClient::call(call);
    BOOST_TEST(eventually([&] { return desk.abandonedCount() == 1; }));
    BOOST_TEST(desk.receivedRequests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(prefillsAndDecodesAtSeparateEngines)
{
    PlatformEngineStandIn &prefill = addEngine("p-1", "model", "prefill", respondWithKvHandle);
    PlatformEngineStandIn &decode
        = addEngine("d-1", "model", "decode", [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
              PlatformEngineStandIn::beginEventStream(connection, request, 1, 5);
              connection->endStream();
          });
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    const HttpReply reply = node.call("/draft/x", "POST", "prompt");
    BOOST_TEST((reply.outcome == CallOutcome::Answered));
    BOOST_TEST(countEventIds(reply.body) == 5);
    BOOST_TEST(prefill.receivedRequests().at(0).header("Apricotladder-Inference-Phase") == "prefill");
    BOOST_TEST(decode.receivedRequests().at(0).header("Apricotladder-Kv-Source") == prefill.address() + "/h1");
    BOOST_TEST(decode.receivedRequests().at(0).body == "prompt");
}

/// If the decode engine cannot import the KV cache, the call is decoded with a local prefill, and the handle is deleted.
BOOST_AUTO_TEST_CASE(decodesWithoutUnavailableKvHandleAndReleasesIt)
{
    PlatformEngineStandIn &prefill = addEngine("p-1", "model", "prefill", respondWithKvHandle);
    addEngine("d-1", "model", "decode", [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        if (!request.header("Apricotladder-Kv-Source").empty()) {
            PlatformEngineStandIn::respondNotExecuted(connection);
            return;
        }
        PlatformEngineStandIn::beginEventStream(connection, request, 1, 3);
        connection->endStream();
    });
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST(countEventIds(node.call("/draft/x", "POST", "prompt").body) == 3);
    BOOST_TEST(eventually([&] {
        const std::vector<ReceivedRequest> receivedRequests = prefill.receivedRequests();
        return receivedRequests.size() == 2 && receivedRequests[1].head.method == "DELETE"
            && receivedRequests[1].head.target == "/kv-handle/h1";
    }));
}

BOOST_AUTO_TEST_CASE(brokenStreamEndsIncomplete)
{
    addEngine("d-1", "model", "decode", [](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        PlatformEngineStandIn::beginEventStream(connection, request, 1, 3);
        loop.after(absl::Milliseconds(50), [connection] { connection->abort(); });
    });
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    const HttpReply reply = node.call("/draft/x", "POST", "prompt");
    BOOST_TEST((reply.outcome == CallOutcome::SentWithoutResponse));
    BOOST_TEST(countEventIds(reply.body) == 3);
    BOOST_TEST(engines.at(0)->receivedRequests().size() == 1U); // The route is not resumable, so the call must not run twice.
}

/// Sends bytes that complete no event until the connection is closed, and counts them.
void sendWithoutEnd(EventLoop &loop, const HttpServerConnection::Ptr &connection, const std::shared_ptr<std::atomic<std::size_t>> &sent)
{
    constexpr std::size_t partBytes = 256U << 10;
    constexpr absl::Duration pause = absl::Milliseconds(2);
    if (connection->isClosed()) {
        return;
    }
    if (connection->unsentBytes() < partBytes) {
        connection->sendChunk(std::string(partBytes, 'x'));
        *sent += partBytes;
    }
    loop.after(pause, [&loop, connection, sent] { sendWithoutEnd(loop, connection, sent); });
}

/// An engine in trouble sends a body that never ends: the call ends, the connection is closed, and the node keeps within its memory.
BOOST_AUTO_TEST_CASE(anAnswerWithoutEndIsCutOff)
{
    const auto sent = std::make_shared<std::atomic<std::size_t>>(0);
    const auto sendForever = [sent](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        PlatformEngineStandIn::beginEventStream(connection, request, 1, 0);
        sendWithoutEnd(loop, connection, sent);
    };
    addEngine("i-1", "desk", "", sendForever);
    addEngine("d-1", "model", "decode", sendForever);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    constexpr std::size_t maxSentBytes = 12U << 20; // The longest answer, and what the sockets of both sides can hold.
    BOOST_TEST(node.call("/book/x", "POST", "b").status == 502);
    BOOST_TEST(*sent < maxSentBytes);
    *sent = 0;
    BOOST_TEST((node.call("/draft/x", "POST", "prompt").status == 502));
    BOOST_TEST(*sent < maxSentBytes);
}

/// The head of an answer never ends.
BOOST_AUTO_TEST_CASE(aHeadWithoutEndIsCutOff)
{
    const auto sendLongHead = [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &) {
        HttpResponseHead head;
        head.status = 200;
        constexpr std::size_t headBytes = 8U << 20;
        head.headers.push_back(HttpHeader{"X-Filler", std::string(headBytes, 'x')});
        connection->respond(std::move(head), {});
    };
    addEngine("i-1", "desk", "", sendLongHead);
    addEngine("d-1", "model", "decode", sendLongHead);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST(node.call("/book/x", "POST", "b").status == 502);
    BOOST_TEST(node.call("/draft/x", "POST", "prompt").status == 502);
}

/// Guards against a failed call although its first engine was sound, only slow, and the second one declined.
BOOST_AUTO_TEST_CASE(aLateAnswerOfTheFirstEngineIsRelayedIfTheSecondDeclines)
{
    const auto answerLate = [](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        loop.after(absl::Milliseconds(3500), [&loop, connection, request] { respondSuccessfully(loop, connection, request); });
    };
    PlatformEngineStandIn &slow = addEngine("e-1", "desk", "", answerLate);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    HttpReply reply;
    Thread caller("caller", [&] { reply = node.call("/read/x"); });
    BOOST_TEST(eventually([&] { return !slow.receivedRequests().empty(); }));
    PlatformEngineStandIn &full
        = addEngine("e-2", "desk", "", [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &) {
              PlatformEngineStandIn::respondNotExecuted(connection);
          });
    caller.join();
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(full.receivedRequests().size() == 1U);
    BOOST_TEST(slow.abandonedCount() == 0);
}

/// Guards against a stream that looks complete although its engine broke off inside an event.
BOOST_AUTO_TEST_CASE(aStreamThatEndsInsideAnEventIsBroken)
{
    addEngine("d-1", "model", "decode", [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        PlatformEngineStandIn::beginEventStream(connection, request, 1, 2);
        connection->sendChunk("id: 3\ndata: tok");
        connection->endStream();
    });
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    const HttpReply reply = node.call("/draft/x", "POST", "prompt");
    BOOST_TEST((reply.outcome == CallOutcome::SentWithoutResponse));
    BOOST_TEST(countEventIds(reply.body) == 2);
}

BOOST_AUTO_TEST_CASE(resumesStreamAfterLastEvent)
{
    const auto breakOrResume = [](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        const std::string last = request.header("Last-Event-Id");
        if (last.empty()) {
            PlatformEngineStandIn::beginEventStream(connection, request, 1, 3);
            connection->sendChunk("id: 4\ndata: cut in the mid");
            loop.after(absl::Milliseconds(50), [connection] { connection->abort(); });
            return;
        }
        PlatformEngineStandIn::beginEventStream(connection, request, std::stoi(last) + 1, 6);
        connection->endStream();
    };
    addEngine("d-1", "model", "decode", breakOrResume);
    addEngine("d-2", "model", "decode", breakOrResume);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    const HttpReply reply = node.call("/again/x", "POST", "prompt");
    BOOST_TEST((reply.outcome == CallOutcome::Answered));
    BOOST_TEST(countEventIds(reply.body) == 6);
    BOOST_TEST(reply.body.find("cut in the mid") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(ignoresOlderAndMalformedDesiredState)
{
    addEngine("i-1", "desk", "", respondSuccessfully);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    store.put("config", "main", desiredState(9, Json::array({route("/new/", "idempotent", "desk", 1)})));
    BOOST_REQUIRE(eventually([&] { return node.call("/new/x").status == 200; }));
    store.put("config", "main", desiredState(5)); // An older version that arrives late.
    store.put("config", "main", Json{{"version", "none"}});
    store.put("config", "main",
              desiredState(10, Json::array({route("/newer/", "idempotent", "desk", 1), route("/new/", "idempotent", "desk", 1)})));
    BOOST_REQUIRE(eventually([&] {
        BOOST_TEST(node.call("/new/x").status == 200);
        return node.call("/newer/x").status == 200;
    }));
}

BOOST_AUTO_TEST_CASE(recoversFromCompactedHistoryAndStoreOutage)
{
    PlatformEngineStandIn &before = addEngine("i-1", "desk", "", respondSuccessfully);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    store.compactHistory();
    PlatformEngineStandIn &after = addEngine("i-2", "desk", "", respondSuccessfully);
    BOOST_TEST(eventually([&] {
        node.call("/read/x");
        return !after.receivedRequests().empty();
    }));
    store.setUnavailable(true);
    BOOST_TEST(node.call("/read/x").status == 200);
    store.setUnavailable(false);
    store.remove("servers", before.id());
    BOOST_TEST(eventually([&] {
        const std::size_t n = before.receivedRequests().size();
        node.call("/read/x");
        node.call("/read/x");
        return before.receivedRequests().size() == n;
    }));
}

/// A node that cannot reach the store loads the cell state from a peer, so a configured node has to serve it.
BOOST_AUTO_TEST_CASE(servesCellStateToPeers)
{
    addEngine("i-1", "desk", "", respondSuccessfully);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    PlatformStoreStandIn unavailableStore;
    unavailableStore.setUnavailable(true);
    // A seed is contacted at the node's own peer port, so the test uses no seed and fetches the cell state of n1 directly.
    const std::string peer = node.settings()->peerAddress;
    EntrySettingsFields fields = node.settings().fields();
    BOOST_TEST(!peer.empty());
    BOOST_TEST(!fields.node.isEmpty());
    const HttpReply state = node.fetch(peer, "/cell-state");
    BOOST_TEST(state.status == 200);
    const auto cell = toVariant<CellState>([&] { return decodeCellState(state.body); });
    BOOST_REQUIRE(std::holds_alternative<CellState>(cell));
    BOOST_TEST(std::get<CellState>(cell).desired->version == 2U);
    BOOST_TEST(std::get<CellState>(cell).engines.size() == 1U);
}

BOOST_AUTO_TEST_CASE(leavingNodeFinishesItsCalls)
{
    PlatformEngineStandIn &desk
        = addEngine("i-1", "desk", "", [](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
              loop.after(absl::Milliseconds(700),
                         [connection, request] { PlatformEngineStandIn::respondSigned(connection, request, 200, "late"); });
          });
    NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    int status = 0;
    Thread caller("caller", [&] { status = node.call("/book/x", "POST", "b").status; });
    BOOST_REQUIRE(eventually([&] { return !desk.receivedRequests().empty(); }));
    node.leave();
    BOOST_TEST(eventually([&] { return !node.isReady(); }));
    caller.join();
    BOOST_TEST(status == 200);
    BOOST_TEST(eventually([&] { return node.hasEnded(); }));
}

/// A node is listed in the store until it leaves, also if a killed process of the same name left its object behind.
BOOST_AUTO_TEST_CASE(aNodeStandsInTheStoreUntilItLeaves)
{
    const auto nodes = [this] {
        return store.names("apricot-nodes");
    };
    const std::vector<std::string> others{"n0"};
    const std::vector<std::string> all{"n0", "n1"};
    const Json spec{{"peerAddress", "127.0.0.1:9"}};
    store.put("apricot-nodes", "n0", spec);
    store.put("apricot-nodes", "n1", spec); // The object of an earlier process of n1 that was killed.
    addEngine("i-1", "desk", "", respondSuccessfully);
    NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST((nodes() == all));
    node.leave();
    BOOST_TEST(eventually([&] { return nodes() == others; }));
    BOOST_TEST(eventually([&] { return node.hasEnded(); }));
}

/// A node that is told to leave before the store has answered its registration still removes its object.
BOOST_AUTO_TEST_CASE(aNodeThatLeavesDuringItsRegistrationRemovesItsObject)
{
    store.setHoldsWrites(true);
    addEngine("i-1", "desk", "", respondSuccessfully);
    NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return store.heldWriteCount() == 1; }));
    node.leave();
    BOOST_REQUIRE(eventually([&] { return !node.isReady(); }));
    store.setHoldsWrites(false);
    BOOST_TEST(eventually([&] { return node.hasEnded(); }));
    BOOST_TEST(store.names("apricot-nodes").empty());
}

/// Only the active nodes watch the store; the others learn a new desired state and a leaving engine from them.
BOOST_AUTO_TEST_CASE(nodesThatAreNotActiveLearnChangesFromPeers)
{
    constexpr std::size_t nodeCount = 14;
    constexpr std::size_t kindsWatched = 2;
    addEngine("i-1", "desk", "", respondSuccessfully);
    PlatformEngineStandIn &leaving = addEngine("i-2", "desk", "", respondSuccessfully);
    std::vector<std::unique_ptr<NodeUnderTest>> nodes;
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < nodeCount; ++i) {
        nodes.push_back(std::make_unique<NodeUnderTest>("n" + std::to_string(i), store.address(), seeds));
        seeds.push_back(nodes.back()->settings()->peerAddress);
    }
    const auto all = [&](const std::function<bool(const NodeUnderTest &)> &condition) {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto &it) { return condition(*it); });
    };
    BOOST_REQUIRE(eventually([&] { return all([](const NodeUnderTest &it) { return it.isReady(); }); }));
    BOOST_TEST(eventually([&] { return store.watchCount() == ActiveNodeRules().minCount * kindsWatched; }));
    store.put("config", "main", desiredState(3, Json::array({route("/new/", "idempotent", "desk", 1)})));
    BOOST_TEST(eventually([&] { return all([](const NodeUnderTest &it) { return it.call("/new/x").status == 200; }); }));
    publishEngine(leaving, "desk", "", "draining");
    const auto receivesCalls = [&] {
        const std::size_t before = leaving.receivedRequests().size();
        all([](const NodeUnderTest &it) { return it.call("/read/x").status == 200 && it.call("/read/y").status == 200; });
        return leaving.receivedRequests().size() > before;
    };
    BOOST_TEST(eventually([&] { return !receivesCalls(); }));
}

/// Bytes that are no message, at each port of a node.
BOOST_AUTO_TEST_CASE(malformedInputAtAnyPortEndsNothing)
{
    addEngine("i-1", "desk", "", respondSuccessfully);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    const EntrySettings &settings = node.settings();
    const std::string zeroes(5000, '\0');
    const std::string longLine = "GET /" + std::string(100000, 'a');
    for (const std::string &address :
         {settings->callerAddress, settings->readyAddress, settings->discoveryAddress, settings->peerAddress, settings->metricsAddress}) {
        for (const std::string &bytes : {zeroes, longLine, std::string("GET /\xff\xfe HTTP/1.1\r\nHost\r\n\r\n"),
                                         std::string("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n")}) {
            sendRaw(address, bytes);
        }
    }
    for (const char *target : {"/cell-state?generation=99999999999999999999999", "/cell-state?generation=x", "/cell-stateful"}) {
        BOOST_TEST(node.fetch(settings->peerAddress, target).status > 0);
    }
    LoadReport report;
    report.sender = NodeId("n2");
    report.engineLoads = {EngineLoad{EngineId("unknown"), -5, -7, {EngineRun{1, -1, -1, -1}}}};
    report.waitingCalls = {WaitingCall{ServiceName("unknown"), -1, absl::InfiniteFuture(), -1, -1}};
    report.prompts.broken = {BrokenPrompt{ServiceName("unknown"), EngineLifetime{EngineId("unknown"), -1}, 0, {}, -absl::Hours(1)},
                             BrokenPrompt{ServiceName(), EngineLifetime(), 1, std::vector<PromptPartId>(100), absl::InfiniteDuration()}};
    report.prompts.cleared = {ClearedPart{PromptPartId("a"), -absl::Hours(1)}, ClearedPart{PromptPartId("b"), absl::InfiniteDuration()}};
    report.prompts.quarantined
        = {QuarantinedParts{PromptPartSet({PromptPartId("c")}), -1, -absl::Hours(1)},
           QuarantinedParts{PromptPartSet({PromptPartId("d")}), std::numeric_limits<std::int64_t>::max(), absl::InfiniteDuration()}};
    const std::string valid = encodeCellMessage(report);
    const UdpSocket peer("127.0.0.1:0");
    for (std::size_t n = 0; n < valid.size(); ++n) {
        peer.send(settings->peerAddress, valid.substr(0, n));
        std::string changed = valid;
        changed[n] = static_cast<char>(changed[n] ^ 0xff);
        peer.send(settings->peerAddress, changed);
    }
    peer.send(settings->peerAddress, valid);
    BOOST_TEST(node.call("/read/x").status == 200);
    BOOST_TEST(node.isReady());
    BOOST_TEST(!node.hasEnded());
}

BOOST_AUTO_TEST_SUITE_END()
