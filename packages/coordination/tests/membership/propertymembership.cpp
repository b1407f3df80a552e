#include "coordination/membership.h"
#include "coordination/ownership.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <absl/strings/str_cat.h>

#include <deque>

using namespace Apricot;

namespace {

constexpr std::size_t nodes = 4;

struct PendingHeartbeat
{
    std::size_t to;
    Member sender;
    std::vector<MemberClaim> claims;
};

Member nodeNamed(std::size_t i)
{
    const std::string name = absl::StrCat("n", i);
    return Member::Builder()
        .set(&MemberFields::id, NodeId(name))
        .set(&MemberFields::incarnation, 1U)
        .set(&MemberFields::peerAddress, name)
        .build();
}

}

BOOST_AUTO_TEST_SUITE(MembershipProperties)

// Heartbeats are lost, delayed and duplicated in any order. Once the network works again, all nodes agree on members and owner.
BOOST_AUTO_TEST_CASE(allNodesAgreeAgainAfterAnyFaults)
{
    BOOST_TEST(rc::check([](const std::vector<std::uint16_t> &steps) {
        absl::Time now = absl::FromUnixSeconds(1000);
        std::vector<Membership> all;
        for (std::size_t i = 0; i < nodes; ++i) {
            all.emplace_back(nodeNamed(i));
        }
        std::deque<PendingHeartbeat> queue;
        const auto sendFrom = [&](std::size_t from) {
            for (std::size_t to = 0; to < nodes; ++to) {
                if (to != from) {
                    queue.push_back(PendingHeartbeat{to, all[from].self(), all[from].claims()});
                }
            }
        };
        for (const std::uint16_t step : steps) {
            now += absl::Milliseconds(step / 64 % 300);
            const std::size_t i = step % nodes;
            switch (step / 4 % 4) {
            case 0:
                sendFrom(i);
                break;
            case 1:
                all[i].tick(now);
                break;
            case 2:
                if (!queue.empty()) {
                    queue.pop_front();
                }
                break;
            default:
                if (!queue.empty()) {
                    const PendingHeartbeat pending = queue[step % queue.size()];
                    const std::uint64_t before = all[pending.to].self()->incarnation;
                    all[pending.to].handleHeartbeat(pending.sender, pending.claims, now);
                    RC_ASSERT(all[pending.to].self()->incarnation >= before);
                }
            }
        }
        queue.clear();
        for (int round = 0; round < 40; ++round) {
            now += MembershipTimes::heartbeatInterval;
            for (std::size_t i = 0; i < nodes; ++i) {
                all[i].tick(now);
                sendFrom(i);
            }
            for (const PendingHeartbeat &pending : queue) {
                all[pending.to].handleHeartbeat(pending.sender, pending.claims, now);
            }
            queue.clear();
        }
        for (const Membership &it : all) {
            RC_ASSERT(it.owners().size() == nodes);
            RC_ASSERT(ownerOf("slice", it.owners()) == ownerOf("slice", all.front().owners()));
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
