#include "apricotladderd/entry/calleraccount.h"

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

BOOST_AUTO_TEST_SUITE_END()
