#include "coordination/callidentity.h"
#include "coordination/loglinelimit.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace Apricot;

namespace {

const KeyDigest first(1, 1);
const KeyDigest second(1, 2);
const KeyDigest third(2, 1);

RoutedWorkspace workspace(const char *name, std::vector<KeyDigest> keys, std::optional<std::int64_t> rank = std::nullopt)
{
    return RoutedWorkspace(RoutedWorkspaceFields{WorkspaceName(name), std::move(keys), rank, Allowance()});
}

Route routeWith(bool anonymous)
{
    return Route::Builder().set(&RouteFields::rank, 4).set(&RouteFields::anonymous, anonymous).build();
}

RouteTable tableOf(std::vector<RoutedWorkspace> workspaces, bool requiresKeys = true)
{
    return RouteTable(DesiredState::Builder()
                          .set(&DesiredStateFields::requiresKeys, requiresKeys)
                          .set(&DesiredStateFields::workspaces, std::move(workspaces))
                          .build());
}

CallIdentity identify(const RouteTable &table, const Credential &credential)
{
    return identifyCall(table, routeWith(false), credential);
}

std::string ownerOf(const RouteTable &table, const KeyDigest &key)
{
    const CallIdentity identity = identify(table, key);
    const auto *identified = std::get_if<Identified>(&identity);
    return identified == nullptr ? "none" : identified->workspace->name.text();
}

}

BOOST_AUTO_TEST_SUITE(CallIdentities)

BOOST_AUTO_TEST_CASE(withoutWorkspacesEveryCallIsAnonymous)
{
    const RouteTable table = tableOf({}, false);
    for (const Credential &credential : {Credential(NoCredential{}), Credential(MalformedCredential{}), Credential(first)}) {
        BOOST_TEST((identify(table, credential) == CallIdentity(Anonymous{})));
    }
}

BOOST_AUTO_TEST_CASE(aCallNeedsAKnownKey)
{
    const RouteTable table = tableOf({workspace("a", {first})});
    BOOST_TEST((identify(table, NoCredential{}) == CallIdentity(Rejected{KeyRejection::Missing})));
    BOOST_TEST((identify(table, MalformedCredential{}) == CallIdentity(Rejected{KeyRejection::Malformed})));
    BOOST_TEST((identify(table, second) == CallIdentity(Rejected{KeyRejection::Unknown})));
    BOOST_TEST((identify(table, first) == CallIdentity(Identified{workspace("a", {first})})));
}

/// An empty list is not the same as none: no key is valid.
BOOST_AUTO_TEST_CASE(anEmptyListRejectsEveryKey)
{
    BOOST_TEST((identify(tableOf({}), first) == CallIdentity(Rejected{KeyRejection::Unknown})));
    BOOST_TEST((identifyCall(tableOf({}), routeWith(true), NoCredential{}) == CallIdentity(Anonymous{})));
}

/// A call on such a route is nobody's, so that it is neither charged to a workspace nor refused because of what it sends.
BOOST_AUTO_TEST_CASE(onAnonymousRoutesTheCredentialDoesNotCount)
{
    const RouteTable table = tableOf({workspace("a", {first}, 1)});
    for (const Credential &credential :
         {Credential(NoCredential{}), Credential(MalformedCredential{}), Credential(first), Credential(second)}) {
        BOOST_TEST((identifyCall(table, routeWith(true), credential) == CallIdentity(Anonymous{})));
    }
}

/// Rotation: both keys are valid while both are listed, then only the new one.
BOOST_AUTO_TEST_CASE(keysAreRotatedAndMoved)
{
    const RouteTable both = tableOf({workspace("a", {first, second}), workspace("b", {third})});
    BOOST_TEST(ownerOf(both, first) == "a");
    BOOST_TEST(ownerOf(both, second) == "a");
    BOOST_TEST(ownerOf(both, third) == "b");
    const RouteTable rotated = tableOf({workspace("a", {second}), workspace("b", {third})});
    BOOST_TEST(ownerOf(rotated, first) == "none");
    BOOST_TEST(ownerOf(rotated, second) == "a");
    const RouteTable moved = tableOf({workspace("a", {second}), workspace("b", {third, first})});
    BOOST_TEST(ownerOf(moved, first) == "b");
}

BOOST_AUTO_TEST_CASE(aKeyOfTwoWorkspacesBelongsToTheFirst)
{
    BOOST_TEST(ownerOf(tableOf({workspace("a", {first, first}), workspace("b", {first, second})}), first) == "a");
    BOOST_TEST(ownerOf(tableOf({workspace("b", {first, second}), workspace("a", {first})}), first) == "b");
}

BOOST_AUTO_TEST_CASE(theRankOfTheWorkspaceReplacesThatOfTheRoute)
{
    const Route route = routeWith(false);
    BOOST_TEST(effectiveRank(route, Identified{workspace("a", {}, 0)}) == 0);
    BOOST_TEST(effectiveRank(route, Identified{workspace("a", {}, 7)}) == 7);
    BOOST_TEST(effectiveRank(route, Identified{workspace("a", {})}) == 4);
    BOOST_TEST(effectiveRank(route, Anonymous{}) == 4);
}

/// The index refers to the workspaces by position, so a copy of a table must not depend on the original.
BOOST_AUTO_TEST_CASE(aCopyOfATableStandsAlone)
{
    RouteTable copy;
    {
        const RouteTable table = tableOf({workspace("a", {first})});
        copy = table;
    }
    BOOST_TEST(ownerOf(copy, first) == "a");
}

/// Callers without a key must not displace the other lines of the log.
BOOST_AUTO_TEST_CASE(linesThatCallersCauseAreBounded)
{
    const absl::Time start = absl::UnixEpoch() + absl::Hours(3);
    LogLineLimit limit;
    int lines = 0;
    for (int i = 0; i < 1000; ++i) {
        lines += limit.tryAdd(start + i * absl::Milliseconds(3)) ? 1 : 0;
    }
    BOOST_TEST(lines == 3 * LogLineLimit::maxLines);
}

BOOST_AUTO_TEST_SUITE_END()
