#include "platform/nodefixture.h"

#include <boost/test/unit_test.hpp>

#include <absl/time/clock.h>

#include <functional>
#include <string>

using namespace Apricot;

namespace {

/// Sends one byte of an event that never becomes complete, again and again.
void trickle(EventLoop &loop, const HttpServerConnection::Ptr &connection)
{
    if (!connection->isClosed()) {
        connection->sendChunk("x");
        loop.after(absl::Milliseconds(50), [&loop, connection] { trickle(loop, connection); });
    }
}

/// Sends events \a next to 5 with \a pause before each.
void sendSlowly(EventLoop &loop, const HttpServerConnection::Ptr &connection, int next, absl::Duration pause)
{
    constexpr int lastEvent = 5;
    if (connection->isClosed()) {
        return;
    }
    if (next > lastEvent) {
        connection->endStream();
        return;
    }
    loop.after(pause, [&loop, connection, next, pause] {
        connection->sendChunk("id: " + std::to_string(next) + "\ndata: token\n\n");
        sendSlowly(loop, connection, next + 1, pause);
    });
}

/// Streams five events with pauses that are longer than the route's, but no stall.
void streamSlowly(EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request)
{
    const std::string last = request.header("Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    PlatformEngineStandIn::beginEventStream(connection, request, first, first);
    sendSlowly(loop, connection, first + 1, absl::Milliseconds(400));
}

Json resumableRouteWithShortPauses()
{
    Json it = route("/quick/", "streaming", "model", 2);
    it["itl-target-ms"] = 300;
    return it;
}

/// Streams five events, the last three of them after a silence that is longer than the stall timeout.
void streamAfterSilence(EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request)
{
    PlatformEngineStandIn::beginEventStream(connection, request, 1, 2);
    loop.after(absl::Milliseconds(2500), [&loop, connection] { sendSlowly(loop, connection, 3, absl::Milliseconds(10)); });
}

/**
 * \class PlatformWithSilentEngine
 * \brief Fixture: a stream whose engine is sound and silent for longer than the stall timeout.
 */
class PlatformWithSilentEngine : public Platform
{
public:
    /// Plays such a stream, with another engine that \a addOther adds once it runs, and checks that its engine is kept.
    void checkThatSilentEngineIsKept(const std::function<void()> &addOther)
    {
        store.put("config", "main", desiredState(3, Json::array({resumableRouteWithShortPauses()})));
        PlatformEngineStandIn &silent = addEngine("d-1", "model", "decode", streamAfterSilence);
        const NodeUnderTest node("n1", store.address());
        BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
        HttpReply reply;
        Thread caller("caller", [&] { reply = node.call("/quick/x", "POST", "prompt"); });
        BOOST_TEST(eventually([&] { return !silent.receivedRequests().empty(); }));
        addOther();
        caller.join();
        BOOST_TEST(countEventIds(reply.body) == 5);
        BOOST_TEST(silent.receivedRequests().size() == 1U);
        BOOST_TEST(silent.abandonedCount() == 0);
    }
};

}

BOOST_FIXTURE_TEST_SUITE(SilentEngines, PlatformWithSilentEngine)

BOOST_AUTO_TEST_CASE(aSlowButSoundStreamIsNotCut)
{
    store.put("config", "main", desiredState(3, Json::array({resumableRouteWithShortPauses()})));
    PlatformEngineStandIn &sound = addEngine("d-1", "model", "decode", streamSlowly);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST(countEventIds(node.call("/quick/x", "POST", "prompt").body) == 5);
    BOOST_TEST(sound.receivedRequests().size() == 1U);
}

/// Guards against a stream that is aborted because its sound engine was silent and no other engine had capacity.
BOOST_AUTO_TEST_CASE(aSilentEngineIsKeptUntilAnotherOneHasCapacity)
{
    store.put("config", "main", desiredState(3, Json::array({resumableRouteWithShortPauses()})));
    PlatformEngineStandIn &silent = addEngine("d-1", "model", "decode", streamAfterSilence);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST(countEventIds(node.call("/quick/x", "POST", "prompt").body) == 5);
    BOOST_TEST(silent.receivedRequests().size() == 1U);
    BOOST_TEST(silent.abandonedCount() == 0);
}

/// An engine that sends a byte now and then makes no progress: the stream goes on at another one.
BOOST_AUTO_TEST_CASE(aStreamThatOnlyTricklesIsResumedElsewhere)
{
    store.put("config", "main", desiredState(3, Json::array({resumableRouteWithShortPauses()})));
    PlatformEngineStandIn &stalled = addEngine(
        "d-1", "model", "decode", [](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
            PlatformEngineStandIn::beginEventStream(connection, request, 1, 2);
            trickle(loop, connection);
        });
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    HttpReply reply;
    Thread caller("caller", [&] { reply = node.call("/quick/x", "POST", "prompt"); });
    BOOST_TEST(eventually([&] { return !stalled.receivedRequests().empty(); }));
    PlatformEngineStandIn &sound = addEngine("d-2", "model", "decode", streamSlowly);
    caller.join();
    BOOST_TEST(countEventIds(reply.body) == 5);
    BOOST_REQUIRE(sound.receivedRequests().size() == 1U);
    BOOST_TEST(sound.receivedRequests().front().header("Last-Event-Id") == "2");
}

/// Guards against a sound engine that is replaced because its caller reads slowly.
BOOST_AUTO_TEST_CASE(anEngineIsNotStalledWhileItsCallerReadsSlowly)
{
    constexpr int eventCount = 40;
    store.put("config", "main", desiredState(3, Json::array({resumableRouteWithShortPauses()})));
    addEngine("d-1", "model", "decode", [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        PlatformEngineStandIn::beginEventStream(connection, request, 1, 1);
        for (int i = 2; i <= eventCount; ++i) {
            connection->sendChunk("id: " + std::to_string(i) + "\ndata: " + std::string(500'000, 'x') + "\n\n");
        }
        connection->endStream();
    });
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    PlatformEngineStandIn *other = nullptr;
    std::string received;
    const HttpReply reply = node.stream("/quick/x", [&](std::string_view part) {
        if (other == nullptr && !part.empty()) {
            other = &addEngine("d-2", "model", "decode", streamSlowly);
            absl::SleepFor(absl::Milliseconds(2200));
        }
        received.append(part);
        return true;
    });
    BOOST_TEST((reply.outcome == CallOutcome::Answered));
    BOOST_TEST(countEventIds(received) == eventCount);
    BOOST_TEST(other->receivedRequests().empty());
}

/// Guards against LOST: a sound engine that was silent for a while was given up for another one, which then declined, so that the
/// stream was cut.
BOOST_AUTO_TEST_CASE(aSilentEngineIsKeptIfTheOtherOneDeclines)
{
    const PlatformEngineStandIn *full = nullptr;
    checkThatSilentEngineIsKept([&] {
        full = &addEngine("d-2", "model", "decode", [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &) {
            PlatformEngineStandIn::respondNotExecuted(connection);
        });
    });
    BOOST_TEST(full->receivedRequests().size() == 1U);
}

/// Guards against LOST: the same, with another engine to which there is no connection.
BOOST_AUTO_TEST_CASE(aSilentEngineIsKeptIfTheOtherOneIsUnreachable)
{
    checkThatSilentEngineIsKept([&] {
        addEngine("d-2", "model", "decode", streamSlowly);
        engines.pop_back(); // Its entry stays in the store.
    });
}

/// Guards against TWICE: both engines worked on the stream for longer than it takes the other one to decline.
BOOST_AUTO_TEST_CASE(aSilentEngineIsGivenUpOnceTheOtherOneHasTakenTheStream)
{
    store.put("config", "main", desiredState(3, Json::array({resumableRouteWithShortPauses()})));
    PlatformEngineStandIn &silent
        = addEngine("d-1", "model", "decode", [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
              PlatformEngineStandIn::beginEventStream(connection, request, 1, 2);
          });
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    HttpReply reply;
    Thread caller("caller", [&] { reply = node.call("/quick/x", "POST", "prompt"); });
    BOOST_TEST(eventually([&] { return !silent.receivedRequests().empty(); }));
    Gate gate;
    addEngine("d-2", "model", "decode", [&](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        gate.whenOpen(loop, [&loop, connection, request] { streamSlowly(loop, connection, request); });
    });
    BOOST_TEST(eventually([&] { return silent.abandonedCount() == 1; }));
    gate.open();
    caller.join();
    BOOST_TEST(countEventIds(reply.body) == 5);
}

BOOST_AUTO_TEST_SUITE_END()
