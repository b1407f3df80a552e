#include "apricotladderd/entry/callers/calleraccount.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(CallerAccounts)

/// Guards against bytes that remain in the account, or are subtracted twice, when a connection reports while another thread replaces it.
BOOST_AUTO_TEST_CASE(bytesOfAConnectionThatIsRemovedWhileItReportsAreNotLost)
{
    constexpr std::size_t mib = 1 << 20;
    constexpr std::size_t reports = 300'000;
    const std::atomic<std::size_t> answerBytes{0};
    CallerAccount account(CallerMemoryLimits(CallerMemoryLimitsFields{32 * mib, 28 * mib, 16 * mib, 100}), answerBytes);
    std::atomic<bool> isOver{false};
    std::thread remover([&] {
        while (!isOver) {
            account.remove(1);
        }
    });
    for (std::size_t i = 0; i < reports; ++i) {
        account.update(CallerConnection(CallerConnectionFields{1, 1, CallerPhase::Receiving, 4096 + i % 512, absl::UnixEpoch()}), false);
    }
    isOver = true;
    remover.join();
    account.remove(1);
    BOOST_TEST(account.totalBytes() == 0U);
    BOOST_TEST(account.connectionCount() == 0U);
}

/// Guards against a sum that keeps what the system held for a connection which is gone, or counts it twice.
BOOST_AUTO_TEST_CASE(whatTheSystemHoldsIsCountedOnce)
{
    constexpr std::size_t mib = 1 << 20;
    const std::atomic<std::size_t> answerBytes{0};
    CallerAccount account(CallerMemoryLimits(CallerMemoryLimitsFields{32 * mib, 28 * mib, 16 * mib, 100}), answerBytes);
    const CallerConnection answering(CallerConnectionFields{1, 1, CallerPhase::Answering, 4096, absl::UnixEpoch(), false, true, 50'000});
    account.update(answering, false);
    account.update(answering.with(&CallerConnectionFields::systemBytes, std::size_t(30'000)), false);
    BOOST_TEST(account.systemBytes() == 30'000U);
    BOOST_TEST(account.totalBytes() == 4096U);
    BOOST_TEST(!account.takeForNewConnection(absl::UnixEpoch()).has_value());
    account.update(answering.with(&CallerConnectionFields::phase, CallerPhase::Idle), false);
    BOOST_TEST(account.takeForNewConnection(absl::UnixEpoch()).value_or(0) == 1U);
    BOOST_TEST(account.systemBytes() == 0U);
    BOOST_TEST(account.connectionCount() == 0U);
}

/// Guards against a request that is cut off while an engine runs it, because it had not yet begun when its connection was chosen.
BOOST_AUTO_TEST_CASE(aConnectionThatHasBegunToRunIsNotTakenForANewOne)
{
    constexpr std::size_t mib = 1 << 20;
    constexpr int requests = 100'000;
    const std::atomic<std::size_t> answerBytes{0};
    CallerAccount account(CallerMemoryLimits(CallerMemoryLimitsFields{32 * mib, 28 * mib, 16 * mib, 100}), answerBytes);
    const CallerConnection idle(CallerConnectionFields{1, 1, CallerPhase::Idle, 4096, absl::UnixEpoch()});
    std::atomic<bool> isOver{false};
    std::thread taker([&] {
        while (!isOver) {
            account.takeForNewConnection(absl::UnixEpoch());
        }
    });
    int taken = 0;
    for (int i = 0; i < requests; ++i) {
        account.update(idle, false);
        account.update(idle.with(&CallerConnectionFields::phase, CallerPhase::Running), false);
        for (int check = 0; check < 10; ++check) {
            taken += account.mayClose(1) ? 1 : 0;
        }
    }
    isOver = true;
    taker.join();
    BOOST_TEST(taken == 0);
}

BOOST_AUTO_TEST_SUITE_END()
