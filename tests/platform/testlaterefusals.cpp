#include "platform/nodefixture.h"
#include "platform/rawenginestandin.h"

#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>

using namespace Apricot;

namespace {

/// Each thread has its own connections to engines.
constexpr std::int64_t oneThread = 1;

std::string idLine(const std::string &id)
{
    return id.empty() ? std::string() : absl::StrCat("Apricotladder-Attempt-Id: ", id, "\r\n");
}

/// A refusal as not run, with the request's id unless \a id is empty.
std::string refusal(const std::string &id)
{
    return absl::StrCat("HTTP/1.1 503 Service Unavailable\r\nApricotladder-Not-Executed: 1\r\n", idLine(id),
                        "Content-Length: 4\r\n\r\nfull");
}

std::string success(const std::string &id)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nApricotladder-Response-Signature: signed\r\n", idLine(id), "Content-Length: 4\r\n\r\ndone");
}

/// Whether \a request has the id "first".
bool isFirst(const std::string &request)
{
    return request.find("Apricotladder-Attempt-Id: first") != std::string::npos;
}

}

/**
 * \class LateRefusals
 * \brief Fixture: a non-idempotent route with two attempts, and a faulty engine that refuses the request "first", runs the others,
 * and before their answers writes an earlier refusal once more.
 */
class LateRefusals : public Platform
{
public:
    LateRefusals()
    {
        store.put("config", "main", desiredState(3, Json::array({route("/twice/", "non_idempotent", "desk", 2, 5000)})));
    }

    /// Adds the faulty engine. The refusal of "first" has the id \a refusalId, and its copy has \a copyId.
    void addFaultyEngine(const std::string &refusalId, const std::string &copyId)
    {
        faulty
            = std::make_unique<RawEngineStandIn>([this, refusalId, copyId](EventLoop &loop, const RawEngineStandIn::Connection &connection,
                                                                           const std::string &request, int onConnection) {
                  if (isFirst(request)) {
                      connection->write(refusal(refusalId));
                      return;
                  }
                  ++runs;
                  reused += onConnection > 0 ? 1 : 0;
                  loop.after(copyDelay, [this, connection, copy = onConnection > 0 ? refusal(copyId) : std::string()] {
                      connection->write(copy + (answers ? success("second") : std::string()));
                      if (!answers) {
                          connection->close();
                      }
                  });
              });
        store.put("servers", "i-1",
                  Json{{"service", "desk"}, {"address", faulty->address()}, {"zone", "here"}, {"slots", 8}, {"state", "ready"}});
    }

    /// Adds a second engine, at which a request must not run once the first one runs it.
    void addSecondEngine()
    {
        addEngine("i-2", "desk", "", [this](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
            ++runs;
            PlatformEngineStandIn::respondSigned(connection, request, 200, "done elsewhere");
        });
    }

    absl::Duration copyDelay = absl::Milliseconds(1); ///< time between a request and the copy of the refusal
    bool answers = true; ///< whether an answer follows the copy, and not the end of the connection
    std::atomic<int> runs{0}; ///< of the request "second"
    std::atomic<int> reused{0}; ///< requests that came on a connection that had carried another one
    std::unique_ptr<RawEngineStandIn> faulty;
};

BOOST_FIXTURE_TEST_SUITE(RefusalsWrittenAgain, LateRefusals)

/// REFUSED: a refusal without an id was written once more, and the next caller was told "not run" while the engine ran its request.
BOOST_AUTO_TEST_CASE(aCopyWithoutIdRefusesNoOtherRequest)
{
    addFaultyEngine("", "");
    const NodeUnderTest node("n1", store.address(), {}, oneThread);
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST(node.call("/book/x", "POST", "b", "first").status == 503);
    const HttpReply second = node.call("/book/x", "POST", "b", "second");
    BOOST_TEST(second.status == 200);
    BOOST_TEST(second.body == "done");
    BOOST_TEST(runs == 1);
}

/// TWICE: the request ran at the second engine too, because the copy of the refusal was taken for its own.
BOOST_AUTO_TEST_CASE(aCopyWithoutIdSendsNoRequestElsewhere)
{
    copyDelay = absl::Milliseconds(800); // The node knows the second engine by then.
    addFaultyEngine("first", "");
    const NodeUnderTest node("n1", store.address(), {}, oneThread);
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST(node.call("/twice/x", "POST", "b", "first").status == 503);
    HttpReply second;
    Thread caller("caller", [&] { second = node.call("/twice/x", "POST", "b", "second"); });
    BOOST_TEST(eventually([&] { return runs == 1; }));
    addSecondEngine();
    caller.join();
    BOOST_TEST(second.status == 200);
    BOOST_TEST(reused == 1);
    BOOST_TEST(runs == 1);
}

/// REFUSED: the copy was the last that came; what happened to the request is unknown.
BOOST_AUTO_TEST_CASE(aCopyBeforeTheConnectionEndsIsNoRefusal)
{
    for (const char *copyId : {"", "first"}) {
        runs = 0;
        answers = false;
        addFaultyEngine("first", copyId);
        const NodeUnderTest node("n1", store.address(), {}, oneThread);
        BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
        BOOST_TEST(node.call("/book/x", "POST", "b", "first").status == 503);
        BOOST_TEST(node.call("/book/x", "POST", "b", "second").status == 502);
        BOOST_TEST(runs == 1);
    }
}

/// The id tells a copy from the request's own response, so the connection is kept, and the copy is skipped.
BOOST_AUTO_TEST_CASE(aCopyWithIdIsSkipped)
{
    addFaultyEngine("first", "first");
    const NodeUnderTest node("n1", store.address(), {}, oneThread);
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST(node.call("/book/x", "POST", "b", "first").status == 503);
    BOOST_TEST(node.call("/book/x", "POST", "b", "second").status == 200);
    BOOST_TEST(reused == 1);
}

/// A request without an id cannot be told from others, so it gets a connection of its own.
BOOST_AUTO_TEST_CASE(aRequestWithoutIdGetsItsOwnConnection)
{
    answers = false;
    addFaultyEngine("first", "");
    const NodeUnderTest node("n1", store.address(), {}, oneThread);
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST(node.call("/book/x", "POST", "b", "first").status == 503);
    BOOST_TEST(node.call("/book/x", "POST", "b", "").status == 502);
    BOOST_TEST(reused == 0);
}

BOOST_AUTO_TEST_SUITE_END()
