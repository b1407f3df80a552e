#include "apricotladderd/entry/peers/promptguard.h"
#include "platform/nodefixture.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>

using namespace Apricot;

namespace {

constexpr const char *deadlyPart = "dead:";

bool hasDeadlyPart(const ReceivedRequest &request)
{
    return request.header("Apricotladder-Prefix-Hash").find(deadlyPart) != std::string::npos;
}

/**
 * \class PlatformWithDeadlyPart
 * \brief Fixture: a model service whose engines crash on a part of a prompt, and two nodes before it.
 */
class PlatformWithDeadlyPart : public Platform
{
public:
    /// Plays deadly and sound calls at two nodes, and checks that deadly ones soon reach no engine, also from a node that starts later.
    /// \a crash is how an engine takes a deadly call, and \a isCrash recognizes what its caller gets.
    void checkThatDeadlyCallsAreRefused(PlatformEngineStandIn::Behaviour crash, const std::function<bool(const HttpReply &)> &isCrash)
    {
        constexpr int maxDeadlyCalls = 12;
        addEngines(std::move(crash));
        const NodeUnderTest first("n1", store.address());
        const NodeUnderTest second("n2", store.address(), {first.settings()->peerAddress});
        BOOST_REQUIRE(eventually([&] { return first.isReady() && second.isReady(); }));
        int crashes = 0;
        for (; crashes < maxDeadlyCalls && isCrash(deadlyCall(crashes % 2 == 0 ? first : second)); ++crashes) {
            absl::SleepFor(absl::Milliseconds(250));
            BOOST_TEST(soundCall(first).status == 200);
            BOOST_TEST(soundCall(second).status == 200);
        }
        BOOST_TEST(crashes < maxDeadlyCalls);
        BOOST_TEST(eventually([&] { return deadlyCall(first).status == 503 && deadlyCall(second).status == 503; }));
        const NodeUnderTest late("n3", store.address(), {first.settings()->peerAddress});
        BOOST_REQUIRE(eventually([&] { return late.isReady(); }));
        BOOST_TEST(eventually(
            [&] { return late.fetch(late.settings()->metricsAddress, "/metrics").body.find("quarantined_parts 1") != std::string::npos; }));
        const std::size_t arrivals = deadlyArrivals();
        const std::size_t prefills = engines.front()->receivedRequests().size();
        for (const NodeUnderTest *node : {&first, &second, &late}) {
            BOOST_TEST(deadlyCall(*node).status == 503);
        }
        BOOST_TEST(deadlyArrivals() == arrivals);
        BOOST_TEST(engines.front()->receivedRequests().size() == prefills);
        for (const NodeUnderTest *node : {&first, &second, &late}) {
            BOOST_TEST(soundCall(*node).status == 200);
        }
    }

private:
    void addEngines(PlatformEngineStandIn::Behaviour crash)
    {
        addEngine("p-1", "model", "prefill", respondWithKvHandle);
        const auto answer
            = [crash = std::move(crash)](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
                  if (hasDeadlyPart(request)) {
                      crash(loop, connection, request);
                      return;
                  }
                  PlatformEngineStandIn::beginEventStream(connection, request, 1, 3);
                  connection->endStream();
              };
        for (int i = 1; i <= 6; ++i) {
            addEngine("d-" + std::to_string(i), "model", "decode", answer);
        }
    }

    std::size_t deadlyArrivals() const
    {
        std::size_t n = 0;
        for (const std::unique_ptr<PlatformEngineStandIn> &engine : engines) {
            for (const ReceivedRequest &request : engine->receivedRequests()) {
                n += hasDeadlyPart(request) ? 1 : 0;
            }
        }
        return n;
    }

    HttpReply deadlyCall(const NodeUnderTest &node)
    {
        return node.callWithPrompt("/draft/x", "f1:50,dead:30,own" + std::to_string(++m_prompts) + ":20");
    }

    HttpReply soundCall(const NodeUnderTest &node)
    {
        return node.callWithPrompt("/draft/x", "f1:50,own" + std::to_string(++m_prompts) + ":20");
    }

    int m_prompts = 0;
};

/// Whether a prompt is under suspicion after one engine broke off its answer, \a age after the begin of that answer, and another engine
/// broke off another answer on its shared part.
bool isBlamedForCrash(absl::Duration age)
{
    EventLog log(NodeId("n1"), LogLevel::Error);
    EntryMetrics metrics;
    SharedQuarantine quarantine(NodeId("n1"), log, metrics);
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    CallFacts facts;
    for (int i = 0; i < static_cast<int>(PromptQuarantineLimits::suspiciousCrashes); ++i) {
        facts.call = RoutedCall::Builder()
                         .set(&RoutedCallFields::promptParts, {PromptPartId("shared"), PromptPartId("own" + std::to_string(i))})
                         .build();
        PromptGuard guard(quarantine, facts);
        guard.recordEvents(now, now);
        guard.recordEvents(now, now + age);
        now += absl::Seconds(2);
        guard.recordBroken(EngineEntry::Builder().set(&EngineEntryFields::id, EngineId("e" + std::to_string(i))).build(), now);
    }
    return quarantine.isSuspicious(facts.call, now);
}

}

BOOST_FIXTURE_TEST_SUITE(DeadlyPrompts, PlatformWithDeadlyPart)

/// Guards against BUDGET: calls with a part that crashes engines went on reaching engines, from every node that had not seen the
/// crashes itself.
BOOST_AUTO_TEST_CASE(callsWithAPartThatCrashesEnginesAreRefusedAtAllNodes)
{
    checkThatDeadlyCallsAreRefused(
        [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &) { connection->abort(); },
        [](const HttpReply &reply) { return reply.status == 502; });
}

/// Guards against LOST and BUDGET: a part that crashes engines after the first event of an answer was never quarantined.
BOOST_AUTO_TEST_CASE(callsThatCrashEnginesAfterTheFirstEventAreRefusedAtAllNodes)
{
    const auto crashAfterFirstEvent = [](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        PlatformEngineStandIn::beginEventStream(connection, request, 1, 1);
        loop.after(absl::Milliseconds(20), [connection] { connection->abort(); });
    };
    checkThatDeadlyCallsAreRefused(crashAfterFirstEvent, [](const HttpReply &reply) { return reply.status != 503; });
}

/// Guards against LOST: the prompts of streams that have run for long break with their engine, and would be blamed for its end.
BOOST_AUTO_TEST_CASE(aPromptWhoseAnswerAnEngineHasOutlivedIsNotBlamed)
{
    BOOST_TEST(!isBlamedForCrash(PromptQuarantineLimits::survivalTime));
    BOOST_TEST(isBlamedForCrash(PromptQuarantineLimits::survivalTime / 2));
}

BOOST_AUTO_TEST_SUITE_END()
