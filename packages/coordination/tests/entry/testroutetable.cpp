#include "coordination/routetable.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace Apricot;

namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix, std::vector<WeightedService> services = {})
{
    return Route::Builder()
        .set(&RouteFields::name, name)
        .set(&RouteFields::host, host)
        .set(&RouteFields::pathPrefix, prefix)
        .set(&RouteFields::services, std::move(services))
        .build();
}

RouteTable table()
{
    const DesiredState desired
        = DesiredState::Builder()
              .set(&DesiredStateFields::version, 3U)
              .set(&DesiredStateFields::routes,
                   {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/")})
              .build();
    return RouteTable(desired);
}

std::string nameOf(const Route *found)
{
    return found == nullptr ? "none" : (*found)->name;
}

}

BOOST_AUTO_TEST_SUITE(Routes)

BOOST_AUTO_TEST_CASE(theLongestPrefixOfTheHostWins)
{
    const RouteTable routes = table();
    BOOST_TEST(nameOf(routes.find("a.example", "/x/y/z")) == "long");
    BOOST_TEST(nameOf(routes.find("a.example", "/x/z")) == "short");
    BOOST_TEST(nameOf(routes.find("b.example", "/x/y/z")) == "other");
}

BOOST_AUTO_TEST_CASE(aPrefixIsNotMatchedWithoutItsLastSlash)
{
    BOOST_TEST(nameOf(table().find("a.example", "/x")) == "none");
    BOOST_TEST(nameOf(table().find("a.example", "/xy/")) == "none");
    BOOST_TEST(nameOf(table().find("c.example", "/x/")) == "none");
}

BOOST_AUTO_TEST_CASE(hostsMayHaveAPortAndAnyCase)
{
    BOOST_TEST(nameOf(table().find("A.Example:8080", "/x/")) == "short");
}

BOOST_AUTO_TEST_CASE(servicesAreChosenByWeight)
{
    const Route weighted = route("r", "h", "/", {{ServiceName("most"), 90}, {ServiceName("rest"), 10}, {ServiceName("never"), 0}});
    std::map<std::string, int> chosen;
    constexpr int draws = 1000;
    for (int i = 0; i < draws; ++i) {
        ++chosen[chooseService(weighted, i / static_cast<double>(draws)).text()];
    }
    BOOST_TEST(chosen["most"] == 900);
    BOOST_TEST(chosen["rest"] == 100);
    BOOST_TEST(chosen["never"] == 0);
    BOOST_TEST(chooseService(route("r", "h", "/"), 0.5).isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()
