#include "protocol/callerjson.h"
#include "protocol/jsonreader.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

ConfigSet config()
{
    ConfigSetFields set;
    const Rank rank = Rank::Builder().set(&RankFields::name, RankName("paying")).build();
    set.ranks
        = {{RankName("paying"), rank}, {RankName("draft"), rank.with(&RankFields::name, RankName("draft")).with(&RankFields::priority, 1)}};
    const Service model
        = Service::Builder().set(&ServiceFields::name, ServiceName("summarizer")).set(&ServiceFields::maxPromptTokens, 5).build();
    const Service plain = Service::Builder()
                              .set(&ServiceFields::name, ServiceName("desk"))
                              .set(&ServiceFields::type, ServiceType::Plain)
                              .set(&ServiceFields::operations, {"confirm", "look"})
                              .set(&ServiceFields::nonIdempotent, {"confirm"})
                              .build();
    set.services = {{ServiceName("summarizer"), model}, {ServiceName("desk"), plain}};
    return ConfigSet(set);
}

std::variant<CompletionRequest, Error> completion(const std::string &body, const CallerHeaders &headers = {})
{
    return toVariant<CompletionRequest>([&] { return decodeCompletion(body, headers, config(), "new-id"); });
}

std::variant<PlainCall, Error> call(const std::string &service, const std::string &body, const CallerHeaders &headers = {})
{
    return toVariant<PlainCall>([&] { return decodePlainCall(service, body, headers, config(), "new-id"); });
}

template<class T>
ErrorKind kindOf(const std::variant<T, Error> &result)
{
    return std::holds_alternative<Error>(result) ? std::get<Error>(result).kind : ErrorKind::Internal;
}

}

BOOST_AUTO_TEST_SUITE(Callers)

BOOST_AUTO_TEST_CASE(missingFieldsGetDefaults)
{
    const auto decoded = completion(R"({"model":"summarizer","prompt":"one two three"})");
    BOOST_REQUIRE(std::holds_alternative<CompletionRequest>(decoded));
    const CompletionRequest &it = std::get<CompletionRequest>(decoded);
    BOOST_TEST(it->promptTokens == 3);
    BOOST_TEST(it->maxTokens == 400);
    BOOST_TEST(it->rank.text() == "draft");
    BOOST_TEST(it->id.text() == "new-id");
}

BOOST_AUTO_TEST_CASE(invalidInputIsReported)
{
    for (const char *body :
         {"", "[]", "{", R"({"model":"summarizer","prompt":""})", R"({"model":"summarizer","prompt":"a b c d e f"})",
          R"({"model":"summarizer","prompt":"a","max_tokens":0})", R"({"model":"summarizer","prompt":"a","max_tokens":"x"})",
          R"({"model":"summarizer","prompt":"a","max_tokens":401})", R"({"model":"summarizer","prompt":"a","stream":1})",
          R"({"model":"summarizer","prompt":"a","rank":"boss"})", R"({"model":"summarizer","prompt":"a","temprature":1})",
          R"({"model":"summarizer","prompt":"a","user":"a b"})"}) {
        BOOST_TEST((kindOf(completion(body)) == ErrorKind::BadRequest), body);
    }
    BOOST_TEST((kindOf(completion(R"({"model":"nothing","prompt":"a"})")) == ErrorKind::UnknownService));
    BOOST_TEST((kindOf(completion(R"({"model":"desk","prompt":"a"})")) == ErrorKind::UnknownService));
    BOOST_TEST((kindOf(completion(R"({"model":"summarizer","prompt":"a"})", CallerHeaders{std::string(200, 'x'), {}, {}, {}}))
                == ErrorKind::BadRequest));
}

BOOST_AUTO_TEST_CASE(nonIdempotentCallsNeedAKey)
{
    BOOST_TEST((kindOf(call("desk", R"({"operation":"confirm"})")) == ErrorKind::BadRequest));
    BOOST_TEST(std::holds_alternative<PlainCall>(call("desk", R"({"operation":"confirm"})", CallerHeaders{{}, {}, {}, "k-1"})));
    BOOST_TEST(std::holds_alternative<PlainCall>(call("desk", R"({"operation":"look","input":{"a":1}})")));
    BOOST_TEST((kindOf(call("desk", R"({"operation":"fly"})")) == ErrorKind::UnknownOperation));
    BOOST_TEST((kindOf(call("summarizer", R"({"operation":"look"})")) == ErrorKind::UnknownService));
}

BOOST_AUTO_TEST_CASE(eventIdsAreOffsets)
{
    BOOST_TEST(*decodeEventId("17") == 17);
    for (const char *text : {"", "-1", "abc", "99999999999999999999", "1.5"}) {
        BOOST_TEST(!decodeEventId(text).has_value(), text);
    }
    BOOST_TEST(encodeTokenEvent(RequestId("r"), 4, "word").find("id: 5\n") == 0U);
}

BOOST_AUTO_TEST_CASE(errorsContainTheOutcome)
{
    const Json body = Json::parse(encodeError(Error{ErrorKind::OutcomeUnknown, {}}, RequestId("r"), absl::ZeroDuration()));
    BOOST_TEST(body["error"]["outcome"].get<std::string>() == "MayHaveRun");
    BOOST_TEST(!body["error"]["retryable"].get<bool>());
    const Json retry = Json::parse(encodeError(Error{ErrorKind::RateLimited, {}}, RequestId("r"), absl::Milliseconds(250)));
    BOOST_TEST(retry["error"]["retryAfterMs"].get<int>() == 250);
}

BOOST_AUTO_TEST_CASE(wordsAreTokens)
{
    BOOST_TEST(countTokens("  a  bc\nd ") == 3);
    BOOST_TEST(countTokens("") == 0);
    BOOST_TEST(prefixHashOf("a b c d", 2) == prefixHashOf("a b x y", 2));
    BOOST_TEST(prefixHashOf("a b", 2) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
