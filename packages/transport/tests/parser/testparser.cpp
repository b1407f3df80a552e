#include "transport/httpparser.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

const ParseLimits limits{1024, 100};

ParseState stateAfter(const std::string &text)
{
    HttpRequestParser parser(limits);
    parser.feed(text);
    return parser.state();
}

std::string responseBody(const std::string &text, bool isOrderlyClose, ParseState *state)
{
    HttpResponseParser parser;
    std::string body;
    std::size_t used = 0;
    while (used < text.size() && parser.state() != ParseState::Done && parser.state() != ParseState::Malformed) {
        used += parser.feed(std::string_view(text).substr(used, 1));
        if (parser.state() != ParseState::Head) {
            body += parser.takeBody();
        }
    }
    if (isOrderlyClose) {
        parser.finish();
    }
    *state = parser.state();
    return body;
}

}

BOOST_AUTO_TEST_SUITE(Parsers)

BOOST_AUTO_TEST_CASE(aRequestIsParsedForAnySplit)
{
    const std::string text = "POST /a/b?c=%20 HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nContent-Length: 4\r\n\r\nbodyNEXT";
    for (std::size_t cut = 0; cut + 4 <= text.size(); ++cut) {
        HttpRequestParser parser(limits);
        std::size_t used = parser.feed(text.substr(0, cut));
        while (parser.state() != ParseState::Done) {
            const std::size_t n = parser.feed(std::string_view(text).substr(used));
            BOOST_REQUIRE(n > 0);
            used += n;
        }
        BOOST_TEST(used == text.size() - 4);
        BOOST_TEST(parser.head().target == "/a/b?c=%20");
        BOOST_TEST(parser.body() == "body");
        BOOST_TEST(headerValue(parser.head().headers, "x-ONE") == "1");
    }
}

BOOST_AUTO_TEST_CASE(chunksAreJoined)
{
    HttpRequestParser parser(limits);
    parser.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab");
    BOOST_TEST((parser.state() == ParseState::Body));
    parser.feed("cd\r\n2\r\nef\r\n0\r\n\r\n");
    BOOST_TEST((parser.state() == ParseState::Done));
    BOOST_TEST(parser.body() == "abcdef");
}

BOOST_AUTO_TEST_CASE(ambiguousFramingIsRejected)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
    BOOST_TEST((stateAfter(head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n") == ParseState::Malformed));
    BOOST_TEST((stateAfter(head + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n") == ParseState::Malformed));
    BOOST_TEST((stateAfter(head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\n") == ParseState::Malformed));
    BOOST_TEST((stateAfter(head + "Transfer-Encoding: gzip, chunked\r\n\r\n") == ParseState::Malformed));
    BOOST_TEST((stateAfter(head + "Transfer-Encoding: xchunked\r\n\r\n") == ParseState::Malformed));
    BOOST_TEST((stateAfter("no request at all\r\n\r\n") == ParseState::Malformed));
}

BOOST_AUTO_TEST_CASE(exceededLimitsAreReported)
{
    BOOST_TEST((stateAfter("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n") == ParseState::BodyTooLarge));
    BOOST_TEST((stateAfter("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n") == ParseState::HeadTooLarge));
}

/// Guards against a refusal as too large that the log cannot attribute to its request.
BOOST_AUTO_TEST_CASE(theHeadOfARequestWhoseBodyIsTooLargeIsKnown)
{
    HttpRequestParser parser(limits);
    parser.feed("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n");
    BOOST_TEST((parser.state() == ParseState::BodyTooLarge));
    BOOST_TEST(parser.head().target == "/x");
    BOOST_TEST(headerValue(parser.head().headers, "Host") == "h");
}

BOOST_AUTO_TEST_CASE(aResponseWithoutLengthEndsAtAnOrderlyClose)
{
    const std::string text = "HTTP/1.1 200 OK\r\nX: 1\r\n\r\nwhole";
    ParseState state = ParseState::Head;
    BOOST_TEST(responseBody(text, true, &state) == "whole");
    BOOST_TEST((state == ParseState::Done));
    responseBody(text, false, &state);
    BOOST_TEST((state == ParseState::Body));
}

/// Guards against MIXED: an engine in trouble sent an answer with status 000, and its caller got it as an answer.
BOOST_AUTO_TEST_CASE(aStatusThatIsNoneIsMalformed)
{
    for (const char *status : {"000", "001", "099", "101", "600", "999"}) {
        HttpResponseParser parser;
        parser.feed("HTTP/1.1 " + std::string(status) + " Odd\r\nContent-Length: 2\r\n\r\nok");
        BOOST_TEST((parser.state() == ParseState::Malformed), status);
    }
    for (const char *status : {"100", "103", "200", "204", "304", "404", "599"}) {
        HttpResponseParser parser;
        parser.feed("HTTP/1.1 " + std::string(status) + " Good\r\nContent-Length: 0\r\n\r\n");
        BOOST_TEST((parser.state() == ParseState::Done), status);
    }
}

BOOST_AUTO_TEST_CASE(aTruncatedResponseIsNotComplete)
{
    ParseState state = ParseState::Head;
    responseBody("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true, &state);
    BOOST_TEST((state != ParseState::Done));
    responseBody("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true, &state);
    BOOST_TEST((state != ParseState::Done));
    BOOST_TEST(responseBody("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true, &state) == "whole");
    BOOST_TEST((state == ParseState::Done));
}

/// Guards against a fault of the whole process: chunk lines and trailers without end were kept until the node had no memory left.
BOOST_AUTO_TEST_CASE(chunkLinesAndTrailersWithoutEndAreRejected)
{
    const std::string part(1000, 'x');
    constexpr int manyParts = 1000;
    for (const std::string begin : {"5;name=", "5\r\nwhole\r\n0\r\nTrailer: "}) {
        HttpResponseParser response;
        HttpRequestParser request(limits);
        response.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + begin);
        request.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + begin);
        for (int i = 0; i < manyParts; ++i) {
            response.feed(part);
            request.feed(part);
        }
        BOOST_TEST((response.state() == ParseState::HeadTooLarge));
        BOOST_TEST((request.state() == ParseState::HeadTooLarge));
    }
}

BOOST_AUTO_TEST_CASE(hopByHopHeadersAreRemoved)
{
    const HttpHeaders headers{{"Host", "h"},
                              {"Connection", "X-Hop, X-Kept, close"},
                              {"X-Hop", "1"},
                              {"X-Kept", "2"},
                              {"Keep-Alive", "timeout=3"},
                              {"Content-Length", "7"},
                              {"X-End", "3"}};
    const HttpHeaders kept = endToEndHeaders(headers, {"X-Kept"});
    BOOST_TEST((kept == HttpHeaders{{"Host", "h"}, {"X-Kept", "2"}, {"X-End", "3"}}));
}

BOOST_AUTO_TEST_SUITE_END()
