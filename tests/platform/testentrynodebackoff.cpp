#include "platform/nodefixture.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <set>
#include <utility>

using namespace Apricot;

namespace {

using Behaviour = PlatformEngineStandIn::Behaviour;

/// The rule: requests that were under way may arrive for this long after a refusal, and two later ones.
constexpr absl::Duration underWay = absl::Milliseconds(500);
constexpr std::ptrdiff_t maxLateArrivals = 2;

void refuse(const HttpServerConnection::Ptr &connection, const std::string &retryAfter)
{
    HttpResponseHead head;
    head.status = 503;
    head.reason = "Service Unavailable";
    head.headers = {{"Apricotladder-Not-Executed", "1"}, {"Retry-After", retryAfter}};
    connection->respond(std::move(head), {});
}

Behaviour refuseAlways(const std::string &retryAfter)
{
    return [retryAfter](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &) {
        refuse(connection, retryAfter);
    };
}

/// The first request to any engine with this behaviour is refused, all others get \a answer.
Behaviour refuseFirst(std::atomic<bool> &hasRefused, const std::string &retryAfter, Behaviour answer)
{
    return [&hasRefused, retryAfter, answer = std::move(answer)](EventLoop &loop, const HttpServerConnection::Ptr &connection,
                                                                 const ReceivedRequest &request) {
        if (hasRefused.exchange(true)) {
            answer(loop, connection, request);
        } else {
            refuse(connection, retryAfter);
        }
    };
}

void streamOneEvent(EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request)
{
    PlatformEngineStandIn::beginEventStream(connection, request, 1, 1);
    connection->endStream();
}

/// Returns the most requests that arrived at an engine, which refuses all of them for \a backOff, between the end of what was under way
/// after one of its refusals and the end of that back-off.
std::ptrdiff_t mostLateArrivals(const std::vector<ReceivedRequest> &requests, absl::Duration backOff)
{
    std::ptrdiff_t most = 0;
    for (const ReceivedRequest &refused : requests) {
        most = std::max(most, std::count_if(requests.begin(), requests.end(), [&](const ReceivedRequest &it) {
                            const absl::Duration after = it.arrivedAt - refused.arrivedAt;
                            return after > underWay && after < backOff;
                        }));
    }
    return most;
}

/// The Retry-After of a response; negative if there is none.
double retryAfterSeconds(const FullResponse &response)
{
    double seconds = -1;
    return absl::SimpleAtod(std::string(headerValue(response.head.headers, "Retry-After")), &seconds) ? seconds : -1;
}

}

BOOST_FIXTURE_TEST_SUITE(EntryNodeBackOff, PlatformWithNode)

/// Calls on all loops of the node kept coming to the only engine during the time in which it wanted none.
BOOST_AUTO_TEST_CASE(noLoopOfTheNodeCallsAnEngineDuringItsBackOff)
{
    constexpr int callerCount = 8;
    const PlatformEngineStandIn &engine = addEngine("i-1", "desk", "", refuseAlways("1"));
    startNode();
    std::atomic<bool> isOver{false};
    std::vector<Thread> callers;
    for (int i = 0; i < callerCount; ++i) {
        callers.emplace_back("caller", [&] {
            while (!isOver) {
                node->call("/read/x");
                absl::SleepFor(absl::Milliseconds(5));
            }
        });
    }
    absl::SleepFor(absl::Milliseconds(2500));
    isOver = true;
    for (Thread &it : callers) {
        it.join();
    }
    const std::vector<ReceivedRequest> requests = engine.receivedRequests();
    BOOST_TEST(mostLateArrivals(requests, absl::Seconds(1)) <= maxLateArrivals);
    // The engine is asked again once the time has passed.
    BOOST_REQUIRE(!requests.empty());
    BOOST_TEST((requests.back().arrivedAt - requests.front().arrivedAt >= absl::Seconds(1)));
}

/// A call that was refused was tried again at the engine that wanted none.
BOOST_AUTO_TEST_CASE(aRetryAndLaterCallsGoToAnotherEngine)
{
    std::atomic<bool> hasRefused{false};
    const PlatformEngineStandIn &first = addEngine("i-1", "desk", "", refuseFirst(hasRefused, "20", respondSuccessfully));
    const PlatformEngineStandIn &second = addEngine("i-2", "desk", "", refuseFirst(hasRefused, "20", respondSuccessfully));
    startNode();
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(node->call("/read/x").status == 200);
        absl::SleepFor(absl::Milliseconds(20)); // Longer in total than the ejection after a refusal.
    }
    BOOST_TEST(std::min(first.receivedRequests().size(), second.receivedRequests().size()) == 1U);
    BOOST_TEST(std::max(first.receivedRequests().size(), second.receivedRequests().size()) == 10U);
}

/// The only other engine wants no calls: a call that failed elsewhere was tried again there.
BOOST_AUTO_TEST_CASE(aRetryAfterAnErrorDoesNotReachAnEngineInBackOff)
{
    const PlatformEngineStandIn &refusing = addEngine("i-1", "desk", "", refuseAlways("20"));
    const PlatformEngineStandIn &failing
        = addEngine("i-2", "desk", "", [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
              PlatformEngineStandIn::respondSigned(connection, request, 500, "bad");
          });
    startNode();
    while (refusing.receivedRequests().empty()) {
        node->call("/read/x");
    }
    const std::size_t before = failing.receivedRequests().size();
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(node->call("/read/x").status == 500);
        absl::SleepFor(absl::Milliseconds(20));
    }
    BOOST_TEST(refusing.receivedRequests().size() == 1U);
    BOOST_TEST(failing.receivedRequests().size() == before + 10);
}

/// A decode engine that refused the KV cache was asked again to prefill by itself, although it wanted no calls.
BOOST_AUTO_TEST_CASE(aDecodeEngineInBackOffIsNotAskedToPrefill)
{
    addEngine("p-1", "model", "prefill", respondWithKvHandle);
    const PlatformEngineStandIn &decode = addEngine("d-1", "model", "decode", refuseAlways("3"));
    startNode();
    const FullResponse response = node->callWithHead("/again/x");
    BOOST_TEST(response.head.status == 503);
    BOOST_TEST(retryAfterSeconds(response) > 2);
    BOOST_TEST(decode.receivedRequests().size() == 1U);
}

/// The KV cache is not lost when a decode engine wants no calls: the other one fetches it.
BOOST_AUTO_TEST_CASE(aRefusedDecodeGoesElsewhereWithItsKvHandle)
{
    std::atomic<bool> hasRefused{false};
    const PlatformEngineStandIn &prefill = addEngine("p-1", "model", "prefill", respondWithKvHandle);
    const PlatformEngineStandIn &first = addEngine("d-1", "model", "decode", refuseFirst(hasRefused, "20", streamOneEvent));
    const PlatformEngineStandIn &second = addEngine("d-2", "model", "decode", refuseFirst(hasRefused, "20", streamOneEvent));
    startNode();
    BOOST_TEST(countEventIds(node->call("/again/x", "POST", "prompt").body) == 1);
    BOOST_REQUIRE(first.receivedRequests().size() == 1U);
    BOOST_REQUIRE(second.receivedRequests().size() == 1U);
    const std::string source = prefill.address() + "/h1";
    BOOST_TEST(first.receivedRequests().front().header("Apricotladder-Kv-Source") == source);
    BOOST_TEST(second.receivedRequests().front().header("Apricotladder-Kv-Source") == source);
    BOOST_TEST(prefill.receivedRequests().size() == 1U);
}

/// Prompts went on to the prefill engine that wanted none.
BOOST_AUTO_TEST_CASE(aPrefillEngineInBackOffGetsNoPrompts)
{
    const PlatformEngineStandIn &prefill = addEngine("p-1", "model", "prefill", refuseAlways("20"));
    addEngine("d-1", "model", "decode", streamOneEvent);
    startNode();
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(countEventIds(node->call("/draft/x", "POST", "prompt").body) == 1);
        absl::SleepFor(absl::Milliseconds(20));
    }
    BOOST_TEST(prefill.receivedRequests().size() == 1U);
}

/// The release of a handle is a request as well.
BOOST_AUTO_TEST_CASE(noHandleIsReleasedAtAnEngineInBackOff)
{
    Gate declines;
    std::atomic<bool> hasPrefilled{false};
    const PlatformEngineStandIn &prefill = addEngine(
        "p-1", "model", "prefill", [&](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
            if (hasPrefilled.exchange(true)) {
                refuse(connection, "20");
            } else {
                respondWithKvHandle(loop, connection, request);
            }
        });
    const PlatformEngineStandIn &decode = addEngine(
        "d-1", "model", "decode", [&](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
            if (request.header("Apricotladder-Kv-Source").empty()) {
                streamOneEvent(loop, connection, request);
            } else {
                declines.whenOpen(loop, [connection] { PlatformEngineStandIn::respondNotExecuted(connection); });
            }
        });
    startNode();
    HttpReply withHandle;
    Thread caller("caller", [&] { withHandle = node->call("/again/x", "POST", "prompt"); });
    BOOST_TEST(eventually([&] { return decode.receivedRequests().size() == 1U; }));
    BOOST_TEST(countEventIds(node->call("/again/x", "POST", "prompt").body) == 1);
    declines.open();
    caller.join();
    BOOST_TEST(countEventIds(withHandle.body) == 1);
    BOOST_TEST(node->fetch(node->settings()->metricsAddress, "/metrics").body.find("handles_total{end=\"not freed\"} 1")
               != std::string::npos);
    BOOST_TEST(prefill.receivedRequests().size() == 2U);
}

/// All engines want no calls: callers waited in vain, or came back together.
BOOST_AUTO_TEST_CASE(callersAreRefusedAtOnceWhileAllEnginesBackOff)
{
    addEngine("i-1", "desk", "", refuseAlways("30"));
    addEngine("i-2", "desk", "", refuseAlways("20"));
    addEngine("d-1", "model", "decode", refuseAlways("20"));
    startNode();
    for (const char *path : {"/read/x", "/draft/x"}) {
        node->call(path);
        node->call(path);
        std::set<double> times;
        const absl::Time begin = absl::Now();
        constexpr int callCount = 10;
        for (int i = 0; i < callCount; ++i) {
            const FullResponse response = node->callWithHead(path);
            BOOST_TEST(response.head.status == 503);
            times.insert(retryAfterSeconds(response));
        }
        // A single call would wait for 1.3 s for the capacity of a model.
        BOOST_TEST((absl::Now() - begin < absl::Seconds(5)));
        BOOST_TEST(times.size() == static_cast<std::size_t>(callCount));
        BOOST_TEST(*times.begin() > 10);
        BOOST_TEST(*times.rbegin() < 31);
    }
    for (const std::unique_ptr<PlatformEngineStandIn> &it : engines) {
        BOOST_TEST(it->receivedRequests().size() == 1U);
    }
}

/// A 503 that does not say that the call has not run must not reach the caller as such a promise; its time counts all the same.
BOOST_AUTO_TEST_CASE(aRefusalWithoutAPromiseIsNotPassedOn)
{
    const PlatformEngineStandIn &engine
        = addEngine("i-1", "desk", "", [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
              HttpResponseHead head = PlatformEngineStandIn::signedHead(request, 503, "text/plain");
              head.headers.push_back(HttpHeader{"Retry-After", "20"});
              connection->respond(std::move(head), {});
          });
    startNode();
    const FullResponse response = node->callWithHead("/book/x");
    BOOST_TEST(response.head.status == 502);
    BOOST_TEST(!hasHeader(response.head.headers, "Retry-After"));
    BOOST_TEST(node->callWithHead("/book/x").head.status == 503);
    BOOST_TEST(engine.receivedRequests().size() == 1U);
}

/// A time that is none must not keep calls away.
BOOST_AUTO_TEST_CASE(badBackOffTimesHarmNothing)
{
    for (const char *bad : {"soon", "-3", "nan"}) {
        std::atomic<bool> hasRefused{false};
        const PlatformEngineStandIn &engine = addEngine("i-1", "desk", "", refuseFirst(hasRefused, bad, respondSuccessfully));
        startNode();
        BOOST_TEST(node->call("/read/x").status == 503);
        BOOST_TEST(node->call("/read/x").status == 200, bad);
        BOOST_TEST(engine.receivedRequests().size() == 2U);
        BOOST_TEST(node->fetch(node->settings()->metricsAddress, "/metrics").body.find("engine_notices_total{kind=\"bad Retry-After\"} 1")
                   != std::string::npos);
        node.reset();
        store.remove("servers", engine.id());
    }
}

BOOST_AUTO_TEST_SUITE_END()
