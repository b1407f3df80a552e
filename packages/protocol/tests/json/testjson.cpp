#include "protocol/jsonreader.h"
#include "protocol/jsonsplitter.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(JsonFromOutside)

/// Deeply nested text ended the process: copies and comparisons of the parsed value recurse.
BOOST_AUTO_TEST_CASE(deeplyNestedTextIsRejected)
{
    const auto nested = [](std::size_t depth) {
        return std::string(depth, '[') + std::string(depth, ']');
    };
    BOOST_TEST(parseJson(nested(maxJsonDepth)).is_array());
    BOOST_TEST(parseJson(nested(maxJsonDepth + 1)).is_discarded());
    BOOST_TEST(parseJson(nested(500000)).is_discarded());
    BOOST_TEST(parseJson(std::string(500000, '{')).is_discarded());
    BOOST_TEST(parseJson("\"" + std::string(1000, '[') + "\\\"[\"").is_string());
    BOOST_TEST(parseJson(std::string("[1")).is_discarded());
}

BOOST_AUTO_TEST_CASE(integersBeyond64BitsAreNotTruncated)
{
    const Json json = parseJson(R"({"a":18446744073709551615,"b":9223372036854775807,"c":1e30,"d":-3,"e":2.5})");
    BOOST_TEST(jsonInteger(json, "a", 7) == 7);
    BOOST_TEST(jsonInteger(json, "b", 7) == 9223372036854775807);
    BOOST_TEST(jsonInteger(json, "c", 7) == 7);
    BOOST_TEST(jsonInteger(json, "d", 7) == -3);
    BOOST_TEST(jsonInteger(json, "e", 7) == 7);
}

BOOST_AUTO_TEST_CASE(objectsAndArraysAreSplitWithoutParsingTheirValues)
{
    const std::string text = " {\"a\" : [1, {\"b\":\"]}\\\"\"}] ,\"c\":1e400,\"d\":Infinity , \"e\":\"\xff\\\\\"} ";
    const auto members = splitJsonObject(text);
    BOOST_REQUIRE(members.has_value());
    BOOST_TEST(members->size() == 4U);
    BOOST_TEST(findJsonMember(*members, "a") == "[1, {\"b\":\"]}\\\"\"}]");
    BOOST_TEST(findJsonMember(*members, "c") == "1e400");
    BOOST_TEST(findJsonMember(*members, "d") == "Infinity");
    BOOST_TEST(findJsonMember(*members, "e") == "\"\xff\\\\\"");
    BOOST_TEST(findJsonMember(*members, "f").empty());
    const auto elements = splitJsonArray(findJsonMember(*members, "a"));
    BOOST_REQUIRE(elements.has_value());
    BOOST_TEST(elements->size() == 2U);
    BOOST_TEST(elements->front() == "1");
    BOOST_TEST(splitJsonObject("{}").has_value());
    BOOST_TEST(splitJsonArray(" [ ] ").has_value());
}

/// A response that was cut off must not pass for a shorter one.
BOOST_AUTO_TEST_CASE(cutOffTextIsNotSplit)
{
    const std::string object = R"({"a":[1,"x"],"b":{"c":2}})";
    const std::string array = R"([{"a":1},"x]",[2]])";
    for (std::size_t n = 0; n < object.size(); ++n) {
        BOOST_TEST(!splitJsonObject(object.substr(0, n)).has_value(), object.substr(0, n));
    }
    for (std::size_t n = 0; n < array.size(); ++n) {
        BOOST_TEST(!splitJsonArray(array.substr(0, n)).has_value(), array.substr(0, n));
    }
    for (const char *text : {"{\"a\":}", "{a:1}", "{\"a\":1,}", "{\"a\" 1}", "{} x", "[1,]", "[,1]", "[1] 2", "null"}) {
        BOOST_TEST((!splitJsonObject(text).has_value() && !splitJsonArray(text).has_value()), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
