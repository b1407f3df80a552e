#include "coordination/membership.h"
#include "coordination/ownership.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <absl/strings/str_cat.h>

#include <deque>

using namespace Apricot;

namespace {

constexpr std::size_t nodes = 4;

struct Letter
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
BOOST_AUTO_TEST_CASE(afterAnyTroubleAllAgreeAgain)
{
    BOOST_TEST(rc::check([](const std::vector<std::uint16_t> &moves) {
        absl::Time now = absl::FromUnixSeconds(1000);
        std::vector<Membership> all;
        for (std::size_t i = 0; i < nodes; ++i) {
            all.emplace_back(nodeNamed(i));
        }
        std::deque<Letter> mail;
        const auto post = [&](std::size_t from) {
            for (std::size_t to = 0; to < nodes; ++to) {
                if (to != from) {
                    mail.push_back(Letter{to, all[from].self(), all[from].claims()});
                }
            }
        };
        for (const std::uint16_t move : moves) {
            now += absl::Milliseconds(move / 64 % 300);
            const std::size_t i = move % nodes;
            switch (move / 4 % 4) {
            case 0:
                post(i);
                break;
            case 1:
                all[i].tick(now);
                break;
            case 2:
                if (!mail.empty()) {
                    mail.pop_front();
                }
                break;
            default:
                if (!mail.empty()) {
                    const Letter letter = mail[move % mail.size()];
                    const std::uint64_t before = all[letter.to].self()->incarnation;
                    all[letter.to].heartbeat(letter.sender, letter.claims, now);
                    RC_ASSERT(all[letter.to].self()->incarnation >= before);
                }
            }
        }
        mail.clear();
        for (int round = 0; round < 40; ++round) {
            now += MembershipTimes::heartbeatInterval;
            for (std::size_t i = 0; i < nodes; ++i) {
                all[i].tick(now);
                post(i);
            }
            for (const Letter &letter : mail) {
                all[letter.to].heartbeat(letter.sender, letter.claims, now);
            }
            mail.clear();
        }
        for (const Membership &it : all) {
            RC_ASSERT(it.owners().size() == nodes);
            RC_ASSERT(ownerOf("slice", it.owners()) == ownerOf("slice", all.front().owners()));
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
