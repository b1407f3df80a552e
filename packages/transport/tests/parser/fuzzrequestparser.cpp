// Seeded fuzz of the request parser: valid requests with random bodies and chunks, some of them mutated, in random pieces.
// PARSER_FUZZ_SEEDS sets the number of seeds, for long runs by hand.
#include "transport/httpparser.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <string>

using namespace Apricot;

namespace {

const ParseLimits limits{512, 2000};

/// Upper bound of what a parser may hold: a head of one-byte header lines, and a body.
constexpr std::size_t maxHeldBytes = 64 * 1024;

int seedCount()
{
    int count = 400;
    const char *text = std::getenv("PARSER_FUZZ_SEEDS");
    return text != nullptr && absl::SimpleAtoi(text, &count) ? count : 400;
}

class Generator
{
public:
    explicit Generator(unsigned seed)
        : m_random(seed)
    {
    }

    std::size_t number(std::size_t max)
    {
        return std::uniform_int_distribution<std::size_t>(0, max)(m_random);
    }

    std::string bytes(std::size_t count)
    {
        std::string text(count, ' ');
        std::generate(text.begin(), text.end(), [this] { return static_cast<char>(number(255)); });
        return text;
    }

    std::string chunked(const std::string &body)
    {
        std::string text;
        for (std::size_t at = 0; at < body.size();) {
            const std::size_t n = std::min(body.size() - at, 1 + number(number(3) == 0 ? 200 : 3));
            absl::StrAppend(&text, absl::Hex(n), number(4) == 0 ? ";x=1" : "", "\r\n", body.substr(at, n), "\r\n");
            at += n;
        }
        return absl::StrCat(text, "0\r\n", number(4) == 0 ? "T: 1\r\n" : "", "\r\n");
    }

    /// Returns a request with \a body.
    std::string request(const std::string &body)
    {
        std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";
        for (std::size_t i = number(10); i > 0; --i) {
            head += "a:\r\n";
        }
        return number(1) == 0 ? absl::StrCat(head, "Content-Length: ", body.size(), "\r\n\r\n", body)
                              : absl::StrCat(head, "Transfer-Encoding: chunked\r\n\r\n", chunked(body));
    }

    std::string mutated(std::string text)
    {
        for (std::size_t i = 1 + number(3); i > 0 && !text.empty(); --i) {
            const std::size_t at = number(text.size() - 1);
            switch (number(3)) {
            case 0:
                text[at] = static_cast<char>(number(255));
                break;
            case 1:
                text.erase(at, 1 + number(20));
                break;
            case 2:
                text.insert(at, bytes(number(10)));
                break;
            default:
                text.insert(at, text.substr(at, number(600)));
            }
        }
        return text;
    }

private:
    std::mt19937 m_random;
};

/// Feeds \a text in pieces of at most \a maxPiece bytes, as a connection does; returns the final state.
ParseState feedInPieces(HttpRequestParser &parser, const std::string &text, Generator &generator, std::size_t maxPiece)
{
    std::string input;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t n = std::min(text.size() - at, 1 + generator.number(maxPiece));
        input.append(text, at, n);
        at += n;
        for (std::size_t used = 1; used > 0 && !input.empty();) {
            used = parser.feed(input);
            BOOST_REQUIRE(used <= input.size());
            input.erase(0, used);
        }
        BOOST_REQUIRE(parser.heldBytes() <= maxHeldBytes);
        if (parser.state() != ParseState::Head && parser.state() != ParseState::Body) {
            break;
        }
    }
    return parser.state();
}

}

BOOST_AUTO_TEST_SUITE(RequestParserFuzz)

/// Guards against bodies that depend on how the bytes arrive, and against limits that chunks get around.
BOOST_AUTO_TEST_CASE(validRequestsAreReadWhateverThePieces)
{
    for (int seed = 1; seed <= seedCount(); ++seed) {
        BOOST_TEST_INFO("seed " << seed);
        Generator generator(static_cast<unsigned>(seed));
        const std::string body = generator.bytes(generator.number(limits.bodyBytes + 200));
        const std::string text = generator.request(body);
        HttpRequestParser parser(limits);
        const ParseState state = feedInPieces(parser, text, generator, generator.number(2) == 0 ? 5 : 1000);
        if (body.size() > limits.bodyBytes) {
            BOOST_TEST((state == ParseState::BodyTooLarge));
        } else {
            BOOST_TEST((state == ParseState::Done));
            BOOST_TEST(parser.takeBody() == body);
        }
    }
}

/// Guards against input that ends the process, or makes the parser hold more than its limits.
BOOST_AUTO_TEST_CASE(mutatedRequestsStayWithinTheLimits)
{
    for (int seed = 1; seed <= seedCount(); ++seed) {
        BOOST_TEST_INFO("seed " << seed);
        Generator generator(static_cast<unsigned>(seed));
        const std::string text = generator.mutated(generator.request(generator.bytes(generator.number(limits.bodyBytes))));
        HttpRequestParser parser(limits);
        const ParseState state = feedInPieces(parser, text, generator, generator.number(2) == 0 ? 5 : 1000);
        if (state == ParseState::Done) {
            BOOST_TEST(parser.body().size() <= limits.bodyBytes);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
