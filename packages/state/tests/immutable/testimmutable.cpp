#include "state/configobjects.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(Immutables)

BOOST_AUTO_TEST_CASE(builderSetsFieldsAndWithReturnsAModifiedCopy)
{
    const Rank urgent = Rank::Builder().set(&RankFields::name, RankName("paying")).set(&RankFields::priority, 0).build();
    const Rank changed = urgent.with(&RankFields::floorShare, 0.3);
    BOOST_TEST(urgent->floorShare == 0.0);
    BOOST_TEST(changed->floorShare == 0.3);
    BOOST_TEST((changed->name == urgent->name));
    BOOST_TEST((urgent == Rank::Builder().set(&RankFields::name, RankName("paying")).build()));
    BOOST_TEST((urgent < changed));
}

BOOST_AUTO_TEST_SUITE_END()
