#include "coordination/callermemory.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

constexpr std::size_t mib = 1 << 20;
const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
const CallerMemoryLimits limits(CallerMemoryLimitsFields{32 * mib, 28 * mib, 16 * mib, 100});

CallerConnection connection(CallerConnectionId id, CallerPhase phase, std::size_t bytes, absl::Duration silence, bool isHeldBack = false)
{
    return CallerConnection(CallerConnectionFields{id, 1, phase, bytes, now - silence, isHeldBack, true});
}

CallerMemoryUse use(std::size_t total, std::size_t address, bool isPreferred = false)
{
    return CallerMemoryUse(CallerMemoryUseFields{total, address, isPreferred});
}

/// Uploads of 4 MiB that start at the same time, in virtual time.
struct Uploads
{
    static constexpr std::size_t bodyBytes = 4 * mib;
    static constexpr std::size_t readBytes = 32 * 1024;
    static constexpr absl::Duration readInterval = absl::Milliseconds(10);
    static constexpr absl::Duration reliefInterval = absl::Milliseconds(100);
    static constexpr absl::Duration callTime = absl::Milliseconds(500);

    struct Upload
    {
        CallerConnection state;
        std::size_t received = 0;
        absl::Time end = absl::InfiniteFuture(); ///< of the call, once the body is complete
    };

    explicit Uploads(std::size_t n)
    {
        for (CallerConnectionId id = 1; id <= n; ++id) {
            uploads.push_back(Upload{connection(id, CallerPhase::Receiving, 0, absl::ZeroDuration())});
        }
    }

    std::size_t total() const
    {
        std::size_t bytes = 0;
        for (const Upload &it : uploads) {
            bytes += it.state->bytes;
        }
        return bytes;
    }

    ReadDecision decide(const Upload &it, bool isNewRequest) const
    {
        return decideRead(limits, use(total(), total(), it.state->id == preferred), it.state, isNewRequest);
    }

    /// One read of an upload; returns whether it is over.
    bool read(Upload &it)
    {
        if (it.state->phase == CallerPhase::Running) {
            served += it.end <= time ? 1 : 0;
            return it.end <= time;
        }
        if (std::holds_alternative<PauseReading>(decide(it, false))) {
            it.state = it.state.with(&CallerConnectionFields::isHeldBack, true);
            return false;
        }
        it.received += readBytes;
        it.state = it.state.with(&CallerConnectionFields::isHeldBack, false)
                       .with(&CallerConnectionFields::lastProgress, time)
                       .with(&CallerConnectionFields::bytes, it.received);
        if (it.received < bodyBytes) {
            return false;
        }
        it.state = it.state.with(&CallerConnectionFields::bytes, 2 * bodyBytes);
        if (std::holds_alternative<RefuseRequest>(decide(it, true))) {
            ++refused;
            return true;
        }
        it.state = it.state.with(&CallerConnectionFields::phase, CallerPhase::Running);
        it.end = time + callTime;
        return false;
    }

    void relieve()
    {
        std::vector<CallerConnection> connections;
        for (const Upload &it : uploads) {
            connections.push_back(it.state);
        }
        const CallerRelief relief = chooseRelief(limits, total(), connections, preferred, time);
        preferred = relief->preferred;
        for (const CallerConnectionId id : relief->closed) {
            refused += static_cast<std::size_t>(std::erase_if(uploads, [id](const Upload &it) { return it.state->id == id; }));
        }
    }

    void runFor(absl::Duration duration)
    {
        for (const absl::Time end = time + duration; time < end && !uploads.empty(); time += readInterval) {
            for (auto it = uploads.begin(); it != uploads.end();) {
                it = read(*it) ? uploads.erase(it) : it + 1;
            }
            if ((time - now) % reliefInterval == absl::ZeroDuration()) {
                relieve();
            }
        }
    }

    absl::Time time = now;
    std::vector<Upload> uploads;
    std::optional<CallerConnectionId> preferred;
    std::size_t served = 0;
    std::size_t refused = 0;
};

}

BOOST_AUTO_TEST_SUITE(CallerMemories)

/// Guards against a large body that is never accepted although the node holds nothing else.
BOOST_AUTO_TEST_CASE(oneLargestBodyFitsBesideBodiesAtThePauseLevel)
{
    const auto body = connection(1, CallerPhase::Receiving, 4 * mib, absl::ZeroDuration());
    BOOST_TEST((decideRead(limits, use(24 * mib, 10 * mib, true), body, false) == ReadDecision(ReadOn{})));
    const auto complete = connection(1, CallerPhase::Receiving, 8 * mib, absl::ZeroDuration());
    BOOST_TEST((decideRead(limits, use(28 * mib, 25 * mib, true), complete, true) == ReadDecision(ReadOn{})));
}

/// Guards against ordinary calls that wait behind large bodies which stopped.
BOOST_AUTO_TEST_CASE(smallRequestsAreReadWhileLargeOnesPause)
{
    const auto small = connection(1, CallerPhase::Receiving, 10'000, absl::ZeroDuration());
    const auto large = connection(2, CallerPhase::Receiving, mib, absl::ZeroDuration());
    BOOST_TEST((decideRead(limits, use(21 * mib, mib), small, true) == ReadDecision(ReadOn{})));
    BOOST_TEST((decideRead(limits, use(21 * mib, mib), large, false) == ReadDecision(PauseReading{})));
}

/// Guards against memory that grows beyond a limit because of new requests, and names the limit.
BOOST_AUTO_TEST_CASE(newRequestsAreRefusedShortlyBelowEachLimit)
{
    const auto small = connection(1, CallerPhase::Receiving, 10'000, absl::ZeroDuration());
    BOOST_TEST((decideRead(limits, use(29 * mib, mib), small, true) == ReadDecision(RefuseRequest{CallerLimit::Total})));
    BOOST_TEST((decideRead(limits, use(25 * mib, 25 * mib), small, true) == ReadDecision(RefuseRequest{CallerLimit::Address})));
    const auto huge = connection(1, CallerPhase::Receiving, 17 * mib, absl::ZeroDuration());
    BOOST_TEST((decideRead(limits, use(17 * mib, 17 * mib), huge, false) == ReadDecision(RefuseRequest{CallerLimit::Connection})));
}

/// Guards against requests that an engine may be running being cut off while connections that make no progress are kept.
BOOST_AUTO_TEST_CASE(stalledConnectionsAreClosedFirstAndRunningOnesLast)
{
    const std::vector<CallerConnection> connections{
        connection(1, CallerPhase::Running, 12 * mib, absl::Seconds(20)),
        connection(2, CallerPhase::Receiving, 4 * mib, absl::ZeroDuration(), true),
        connection(3, CallerPhase::Receiving, 4 * mib, absl::Seconds(3)),
        connection(4, CallerPhase::Answering, 8 * mib, absl::Seconds(9)),
    };
    const CallerMemoryLimits wide = limits.with(&CallerMemoryLimitsFields::addressBytes, 64 * mib);
    const CallerRelief relief = chooseRelief(wide, 24 * mib, connections, std::nullopt, now);
    BOOST_TEST(relief->closed == std::vector<CallerConnectionId>({4}), boost::test_tools::per_element());
    BOOST_TEST(relief->preferred.value_or(0) == 2U);
    const CallerRelief more = chooseRelief(wide, 34 * mib, connections, std::nullopt, now);
    BOOST_TEST(more->closed == std::vector<CallerConnectionId>({4, 3}), boost::test_tools::per_element());
    const CallerRelief all = chooseRelief(wide, 60 * mib, connections, std::nullopt, now);
    BOOST_TEST(all->closed == std::vector<CallerConnectionId>({4, 3, 2, 1}), boost::test_tools::per_element());
    const CallerMemoryLimits narrow = limits.with(&CallerMemoryLimitsFields::addressBytes, mib);
    BOOST_TEST(chooseRelief(narrow, 28 * mib, connections, std::nullopt, now)->closed == std::vector<CallerConnectionId>({4, 3, 2}),
               boost::test_tools::per_element());
}

/// Guards against a caller that is closed for a silence which the node itself has caused by not reading.
BOOST_AUTO_TEST_CASE(aConnectionThatIsHeldBackDoesNotCountAsStalled)
{
    const std::vector<CallerConnection> connections{connection(1, CallerPhase::Receiving, 9 * mib, absl::Seconds(20), true),
                                                    connection(2, CallerPhase::Receiving, 8 * mib, absl::Seconds(20), true)};
    const CallerRelief relief = chooseRelief(limits, 21 * mib, connections, std::nullopt, now);
    BOOST_TEST(relief->closed.empty());
    BOOST_TEST(relief->preferred.value_or(0) == 1U);
}

/// Guards against large requests that all wait for each other because together they have used up the room for one.
BOOST_AUTO_TEST_CASE(oneOfTheConnectionsThatAreHeldBackGoesOnEvenWithoutRoom)
{
    std::vector<CallerConnection> connections{connection(1, CallerPhase::Receiving, 13 * mib, absl::ZeroDuration(), true),
                                              connection(2, CallerPhase::Receiving, 12 * mib, absl::ZeroDuration(), true)};
    BOOST_TEST(chooseRelief(limits, 25 * mib, connections, std::nullopt, now)->preferred.value_or(0) == 1U);
    connections.push_back(connection(3, CallerPhase::Receiving, mib, absl::ZeroDuration()));
    BOOST_TEST(!chooseRelief(limits, 26 * mib, connections, std::nullopt, now)->preferred.has_value());
}

/// Guards against large bodies that take turns: all grow, and none is complete before the memory is used up.
BOOST_AUTO_TEST_CASE(thePreferredConnectionStaysSoWhileItMakesProgress)
{
    const CallerConnection reading = connection(1, CallerPhase::Receiving, 2 * mib, absl::Milliseconds(20));
    const CallerConnection waiting = connection(2, CallerPhase::Receiving, 3 * mib, absl::Seconds(2), true);
    BOOST_TEST(chooseRelief(limits, 21 * mib, {reading, waiting}, 1, now)->preferred.value_or(0) == 1U);
    BOOST_TEST(
        chooseRelief(limits, 21 * mib, {reading.with(&CallerConnectionFields::isHeldBack, true), waiting}, 1, now)->preferred.value_or(0)
        == 1U);
    const CallerConnection stalled = reading.with(&CallerConnectionFields::lastProgress, now - absl::Seconds(2));
    BOOST_TEST(chooseRelief(limits, 21 * mib, {stalled, waiting}, 1, now)->preferred.value_or(0) == 2U);
    const CallerConnection running = reading.with(&CallerConnectionFields::phase, CallerPhase::Running);
    BOOST_TEST(chooseRelief(limits, 21 * mib, {running, waiting}, 1, now)->preferred.value_or(0) == 2U);
}

/// Guards against closing the body that is closest to its end in favour of those that wait for it.
BOOST_AUTO_TEST_CASE(thePreferredConnectionIsClosedAfterOthersThatMakeProgress)
{
    const std::vector<CallerConnection> connections{connection(1, CallerPhase::Receiving, 8 * mib, absl::ZeroDuration(), true),
                                                    connection(2, CallerPhase::Receiving, 3 * mib, absl::ZeroDuration(), true)};
    const CallerRelief relief = chooseRelief(limits, 33 * mib, connections, 1, now);
    BOOST_TEST(relief->closed == std::vector<CallerConnectionId>({2}), boost::test_tools::per_element());
    BOOST_TEST(relief->preferred.value_or(0) == 1U);
}

/// Guards against uploads that together exceed the memory and stand still until their time to arrive is over, although all make progress.
BOOST_AUTO_TEST_CASE(uploadsThatTogetherExceedTheMemoryAreServedOrRefusedSoon)
{
    Uploads ten(10);
    ten.runFor(absl::Seconds(20));
    BOOST_TEST(ten.uploads.size() == 0U);
    BOOST_TEST(ten.served >= 1U);
    BOOST_TEST(ten.served + ten.refused == 10U);
}

/// Guards against callers of one address that keep their memory while the total is far from its limit.
BOOST_AUTO_TEST_CASE(stalledConnectionsOfAnAddressAboveItsLimitAreClosed)
{
    const CallerMemoryLimits narrow = limits.with(&CallerMemoryLimitsFields::addressBytes, 2 * mib);
    const std::vector<CallerConnection> connections{connection(1, CallerPhase::Receiving, mib, absl::Seconds(2)),
                                                    connection(2, CallerPhase::Receiving, mib, absl::Seconds(3))};
    BOOST_TEST(chooseRelief(narrow, 2 * mib, connections, std::nullopt, now)->closed == std::vector<CallerConnectionId>({2}),
               boost::test_tools::per_element());
}

/// Guards against callers that connect and send nothing, and displace the connections of callers that are served.
BOOST_AUTO_TEST_CASE(aNewConnectionReplacesTheLongestSilentOne)
{
    CallerConnection served = connection(1, CallerPhase::Idle, 0, absl::Seconds(50));
    CallerConnection silent
        = connection(2, CallerPhase::Idle, 0, absl::Seconds(5)).with(&CallerConnectionFields::hasCompletedRequest, false);
    CallerConnection running = connection(3, CallerPhase::Running, 0, absl::Seconds(90));
    BOOST_TEST(chooseForNewConnection({served, silent, running}, now).value_or(0) == 2U);
    BOOST_TEST(chooseForNewConnection({served, running}, now).value_or(0) == 1U);
    BOOST_TEST(!chooseForNewConnection({running}, now).has_value());
}

/// Guards against a new caller, or one that is uploading, that is closed while connections are kept that nobody uses.
BOOST_AUTO_TEST_CASE(aNewConnectionReplacesAnIdleOneBeforeNewOrProgressingOnes)
{
    const CallerConnection idle = connection(1, CallerPhase::Idle, 0, absl::Seconds(29));
    const CallerConnection laterIdle = connection(2, CallerPhase::Idle, 0, absl::Seconds(20));
    const CallerConnection fresh
        = connection(3, CallerPhase::Idle, 0, absl::Milliseconds(5)).with(&CallerConnectionFields::hasCompletedRequest, false);
    const CallerConnection upload
        = connection(4, CallerPhase::Receiving, mib, absl::Milliseconds(50)).with(&CallerConnectionFields::hasCompletedRequest, false);
    const CallerConnection heldBack
        = connection(5, CallerPhase::Receiving, mib, absl::Seconds(9), true).with(&CallerConnectionFields::hasCompletedRequest, false);
    BOOST_TEST(chooseForNewConnection({fresh, upload, heldBack, laterIdle, idle, idle}, now).value_or(0) == 1U);
    BOOST_TEST(chooseForNewConnection({fresh, upload}, now).value_or(0) == 4U);
}

/// Guards against a flood of connections that send nothing and are opened faster than they count as silent.
BOOST_AUTO_TEST_CASE(connectionsWithoutARequestReplaceEachOtherWhenTheyAreMoreThanHalf)
{
    std::vector<CallerConnection> connections{connection(1, CallerPhase::Idle, 0, absl::Seconds(29)),
                                              connection(2, CallerPhase::Idle, 0, absl::Seconds(20))};
    for (CallerConnectionId id = 3; id < 6; ++id) {
        connections.push_back(connection(id, CallerPhase::Idle, 0, absl::Milliseconds(10 * (10 - id)))
                                  .with(&CallerConnectionFields::hasCompletedRequest, false));
    }
    BOOST_TEST(chooseForNewConnection(connections, now).value_or(0) == 3U);
}

/// Guards against LOST: a caller that still reads its answer was cut off for a new connection.
BOOST_AUTO_TEST_CASE(aConnectionWhoseAnswerIsOnItsWayIsNeverReplaced)
{
    const CallerConnection answering = connection(1, CallerPhase::Answering, 4096, absl::Seconds(12));
    const CallerConnection running = connection(2, CallerPhase::Running, 4096, absl::Seconds(12));
    const CallerConnection upload = connection(3, CallerPhase::Receiving, mib, absl::ZeroDuration());
    const CallerConnection idle = connection(4, CallerPhase::Idle, 4096, absl::ZeroDuration());
    const CallerConnection silent = idle.with(&CallerConnectionFields::id, CallerConnectionId(5))
                                        .with(&CallerConnectionFields::hasCompletedRequest, false)
                                        .with(&CallerConnectionFields::lastProgress, now - absl::Seconds(1));
    BOOST_TEST(chooseForNewConnection({answering, running, upload, idle, silent}, now).value_or(0) == 5U);
    BOOST_TEST(chooseForNewConnection({answering, running, upload, idle}, now).value_or(0) == 4U);
    BOOST_TEST(chooseForNewConnection({answering, running, upload}, now).value_or(0) == 3U);
    BOOST_TEST(!chooseForNewConnection({answering, running}, now).has_value());
}

/// Guards against LOST: a caller that reads steadily, but can announce room for more only every few seconds, counted as stalled after one.
BOOST_AUTO_TEST_CASE(aSteadyReaderOfAnAnswerDoesNotCountAsStalled)
{
    const std::vector<CallerConnection> connections{connection(1, CallerPhase::Answering, 11 * mib, absl::Seconds(5)),
                                                    connection(2, CallerPhase::Receiving, 11 * mib, absl::Seconds(1))};
    BOOST_TEST(chooseRelief(limits, 22 * mib, connections, std::nullopt, now)->closed == std::vector<CallerConnectionId>({2}),
               boost::test_tools::per_element());
    const std::vector<CallerConnection> stopped{connection(1, CallerPhase::Answering, 22 * mib, absl::Seconds(9))};
    BOOST_TEST(chooseRelief(limits, 22 * mib, stopped, std::nullopt, now)->closed == std::vector<CallerConnectionId>({1}),
               boost::test_tools::per_element());
}

/// Guards against memory of the system that grows without a limit with answers which callers do not read.
BOOST_AUTO_TEST_CASE(whatTheSystemHoldsForCallersIsLimited)
{
    const CallerMemoryLimits narrow = limits.with(&CallerMemoryLimitsFields::systemBytes, 4 * mib);
    const auto holding = [](CallerConnectionId id, CallerPhase phase, absl::Duration silence) {
        return connection(id, phase, 4096, silence).with(&CallerConnectionFields::systemBytes, 2 * mib);
    };
    const CallerConnection first = holding(1, CallerPhase::Answering, absl::Seconds(2));
    const CallerConnection second = holding(2, CallerPhase::Answering, absl::Seconds(3));
    const CallerConnection running = holding(3, CallerPhase::Running, absl::Seconds(9));
    BOOST_TEST(!needsRelief(narrow, mib, 3 * mib));
    BOOST_TEST(needsRelief(narrow, mib, 4 * mib));
    BOOST_TEST(chooseRelief(narrow, mib, {first, running}, std::nullopt, now)->closed.empty());
    BOOST_TEST(chooseRelief(narrow, mib, {first, second, running}, std::nullopt, now)->closed == std::vector<CallerConnectionId>({2}),
               boost::test_tools::per_element());
    const CallerConnection request = connection(4, CallerPhase::Receiving, 10'000, absl::ZeroDuration());
    const CallerMemoryUse almostFull = use(mib, mib).with(&CallerMemoryUseFields::systemBytes, 4 * mib);
    BOOST_TEST((decideRead(narrow, almostFull, request, true) == ReadDecision(RefuseRequest{CallerLimit::System})));
    BOOST_TEST((decideRead(narrow, almostFull, request, false) == ReadDecision(ReadOn{})));
    BOOST_TEST(
        (decideRead(narrow, almostFull.with(&CallerMemoryUseFields::systemBytes, 3 * mib), request, true) == ReadDecision(ReadOn{})));
}

/// Guards against callers that learn nothing, because all descriptors are in use, when there is no place for them.
BOOST_AUTO_TEST_CASE(someConnectionsAreForThoseWhoseRequestIsRefused)
{
    BOOST_TEST(admittedConnections(limits) == 94U);
    BOOST_TEST(admittedConnections(limits.with(&CallerMemoryLimitsFields::connections, std::size_t(16))) == 15U);
    BOOST_TEST(admittedConnections(limits.with(&CallerMemoryLimitsFields::connections, std::size_t(4))) == 4U);
}

BOOST_AUTO_TEST_CASE(theConnectionLimitLeavesHalfOfTheDescriptors)
{
    BOOST_TEST(callerConnectionLimit(3075) == 1437U);
    BOOST_TEST(callerConnectionLimit(100) == 16U);
    BOOST_TEST(callerConnectionLimit(1'000'000) == 10'000U);
}

BOOST_AUTO_TEST_SUITE_END()
