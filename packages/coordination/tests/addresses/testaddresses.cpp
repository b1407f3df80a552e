#include "coordination/addressselection.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

Member node(const std::string &name, const std::string &dataCentre, MemberState state = MemberState::Alive, bool leaving = false)
{
    return Member::Builder()
        .set(&MemberFields::id, NodeId(name))
        .set(&MemberFields::dataCentre, DataCentreName(dataCentre))
        .set(&MemberFields::callerAddress, name)
        .set(&MemberFields::state, state)
        .set(&MemberFields::leaving, leaving)
        .build();
}

}

BOOST_AUTO_TEST_SUITE(Addresses)

BOOST_AUTO_TEST_CASE(theCallersDataCentreComesFirstAndLoadIsSpread)
{
    const std::vector<Member> members{node("a", "liberia"), node("b", "nicoya"), node("c", "nicoya")};
    const AddressAnswer first = chooseAddresses(members, DataCentreName("nicoya"), 0);
    const AddressAnswer second = chooseAddresses(members, DataCentreName("nicoya"), 1);
    BOOST_TEST((first->addresses == std::vector<std::string>{"b", "c", "a"}));
    BOOST_TEST((second->addresses == std::vector<std::string>{"c", "b", "a"}));
    BOOST_TEST(first->keepMs > 0);
}

BOOST_AUTO_TEST_CASE(leavingAndSuspectNodesAreLeftOut)
{
    const std::vector<Member> members{node("a", "x", MemberState::Alive, true), node("b", "x", MemberState::Suspect),
                                      node("c", "x", MemberState::Dead), node("d", "x")};
    BOOST_TEST((chooseAddresses(members, DataCentreName("x"), 5)->addresses == std::vector<std::string>{"d"}));
}

BOOST_AUTO_TEST_CASE(suspectNodesAreReturnedIfThereAreNoOthers)
{
    const std::vector<Member> members{node("a", "x", MemberState::Alive, true), node("b", "x", MemberState::Suspect)};
    BOOST_TEST((chooseAddresses(members, DataCentreName("x"), 0)->addresses == std::vector<std::string>{"b"}));
    BOOST_TEST(chooseAddresses({}, DataCentreName("x"), 0)->addresses.empty());
}

BOOST_AUTO_TEST_SUITE_END()
