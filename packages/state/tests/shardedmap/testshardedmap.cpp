#include "state/shardedmap.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(ShardedMaps)

BOOST_AUTO_TEST_CASE(insertsOnceAndErasesOnCondition)
{
    ShardedMap<std::string, int> map;
    BOOST_TEST(map.insert("a", 1));
    BOOST_TEST(!map.insert("a", 2));
    BOOST_TEST(map.find("a") == 1);
    BOOST_TEST(map.find("b", 7) == 7);
    BOOST_TEST(!map.eraseOneIf("a", [](int it) { return it == 2; }));
    BOOST_TEST(map.eraseOneIf("a", [](int it) { return it == 1; }));
    BOOST_TEST(map.size() == 0U);
}

BOOST_AUTO_TEST_CASE(threadsDoNotLoseUpdates)
{
    constexpr int threads = 4;
    constexpr int rounds = 2000;
    ShardedMap<int, int> map;
    std::vector<std::thread> pool;
    for (int i = 0; i < threads; ++i) {
        pool.emplace_back([&map] {
            for (int n = 0; n < rounds; ++n) {
                map.update(n % 37, [](int &value) { ++value; });
            }
        });
    }
    for (std::thread &it : pool) {
        it.join();
    }
    int sum = 0;
    map.forEach([&](int, int value) { sum += value; });
    BOOST_TEST(sum == threads * rounds);
}

BOOST_AUTO_TEST_SUITE_END()
