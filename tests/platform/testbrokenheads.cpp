#include "platform/nodefixture.h"
#include "platform/rawenginestandin.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

using namespace Apricot;

namespace {

/// Parts of a head at which an engine stops: inside the status line, a name and a value, and after the first of the two line ends.
const std::vector<std::string> brokenHeads{
    "HTTP/1.1 20",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nApricotladder-Resp",
    "HTTP/1.1 200 OK\r\nApricotladder-Response-Signature: sig",
    "HTTP/1.1 200 OK\r\nApricotladder-Response-Signature: signed\r\nApricotladder-Attempt-Id: attempt\r\n"
    "Content-Type: text/event-stream\r\nContent-Length: 0\r\n",
};

/**
 * \class PlatformWithBrokenHeads
 * \brief Fixture: engines that stop in the middle of the head of each answer and close the connection.
 */
class PlatformWithBrokenHeads : public Platform
{
public:
    PlatformWithBrokenHeads()
    {
        for (const std::string &stage : {std::string(), std::string("decode")}) {
            m_broken.push_back(std::make_unique<RawEngineStandIn>(
                [this](EventLoop &, const RawEngineStandIn::Connection &connection, const std::string &, int) {
                    connection->write(brokenHeads[headNumber]);
                    connection->close();
                }));
            Json entry{{"service", stage.empty() ? "desk" : "model"},
                       {"address", m_broken.back()->address()},
                       {"zone", "here"},
                       {"slots", 8},
                       {"state", "ready"}};
            if (!stage.empty()) {
                entry["phase"] = stage;
            }
            store.put("servers", "broken-" + stage, entry);
        }
    }

    std::atomic<std::size_t> headNumber{0}; ///< index in brokenHeads

private:
    std::vector<std::unique_ptr<RawEngineStandIn>> m_broken;
};

}

BOOST_FIXTURE_TEST_SUITE(BrokenHeads, PlatformWithBrokenHeads)

/// Guards against MIXED and ORDER: an answer whose head broke off reached the caller as a success with an empty body.
BOOST_AUTO_TEST_CASE(anAnswerThatEndsInItsHeadIsNoSuccess)
{
    for (; headNumber < brokenHeads.size(); ++headNumber) {
        const NodeUnderTest node("n" + std::to_string(headNumber), store.address()); // no failures of earlier calls
        BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
        BOOST_TEST(node.call("/book/x", "POST", "b").status == 502, brokenHeads[headNumber]);
        BOOST_TEST(node.call("/read/x").status == 502, brokenHeads[headNumber]);
        BOOST_TEST(node.call("/draft/x", "POST", "prompt").status == 502, brokenHeads[headNumber]);
    }
}

BOOST_AUTO_TEST_SUITE_END()
