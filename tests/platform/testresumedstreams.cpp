#include "platform/nodefixture.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <vector>

using namespace Apricot;

namespace {

/// What an engine does when it should resume a stream after its third event.
struct FaultyResumption
{
    const char *name;
    PlatformEngineStandIn::Behaviour respond;
};

std::string eventText(int first, int last)
{
    std::string events;
    for (int id = first; id <= last; ++id) {
        events += "id: " + std::to_string(id) + "\ndata: token\n\n";
    }
    return events;
}

/// Responds with a complete stream of \a events whose head \a change has altered.
FaultyResumption streamWith(const char *name, const std::string &events, const std::function<void(HttpResponseHead *)> &change = {})
{
    return {name, [=](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
                HttpResponseHead head = PlatformEngineStandIn::signedHead(request, 200, "text/event-stream");
                if (change) {
                    change(&head);
                }
                connection->beginStream(head, events);
                connection->endStream();
            }};
}

FaultyResumption answerWith(const char *name, int status, const char *contentType)
{
    return {name, [=](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
                connection->respond(PlatformEngineStandIn::signedHead(request, status, contentType), "error: out of memory\n\n");
            }};
}

std::vector<FaultyResumption> faultyResumptions()
{
    return {
        answerWith("failure", 500, "text/plain"),
        answerWith("failure that claims to be a stream", 500, "text/event-stream"),
        answerWith("success that is no stream", 200, "text/plain"),
        {"refusal",
         [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &) {
             PlatformEngineStandIn::respondNotExecuted(connection);
         }},
        {"head of a failure without its body",
         [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
             connection->beginStream(PlatformEngineStandIn::signedHead(request, 500, "text/plain"), "error");
         }},
        streamWith("unsigned stream", eventText(4, 6), [](HttpResponseHead *head) { head->headers.pop_back(); }),
        streamWith("encoded stream", eventText(4, 6),
                   [](HttpResponseHead *head) {
                       head->headers.push_back(HttpHeader{"Content-Encoding", "gzip"});
                   }),
        streamWith("error event", "event: error\ndata: error\n\n"),
        streamWith("error event that looks like the first", "id: 0\ndata: error\n\n"),
        streamWith("start over", eventText(1, 6)),
        streamWith("last event once more", eventText(3, 6)),
        streamWith("stream without events", ""),
        streamWith("event left out", eventText(5, 6)),
        streamWith("head instead of events", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"),
    };
}

/**
 * \class ResumedStreams
 * \brief Fixture: three engines, of which the first that gets a request breaks off after three events, and the second one fails to
 * resume; the third one resumes.
 */
class ResumedStreams : public Platform
{
public:
    ResumedStreams()
    {
        Json thrice = route("/thrice/", "streaming", "model", 3);
        store.put("config", "main", desiredState(3, Json::array({thrice})));
        const auto respond = [this](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
            const int number = requests++;
            if (number == 0) {
                PlatformEngineStandIn::beginEventStream(connection, request, 1, 3);
                loop.after(absl::Milliseconds(20), [connection] { connection->abort(); });
            } else if (number == 1) {
                faulty.respond(loop, connection, request);
            } else {
                PlatformEngineStandIn::beginEventStream(connection, request, std::stoi(request.header("Last-Event-Id")) + 1, 6);
                connection->endStream();
            }
        };
        for (const char *id : {"d-1", "d-2", "d-3"}) {
            addEngine(id, "model", "decode", respond);
        }
    }

    /// Calls a node that knows of no earlier failure of the engines.
    HttpReply callAtNewNode(const std::string &path, const FaultyResumption &resumption)
    {
        faulty = resumption;
        requests = 0;
        const NodeUnderTest node("n1", store.address());
        BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
        return node.call(path, "POST", "prompt");
    }

    FaultyResumption faulty;
    std::atomic<int> requests{0};
};

}

BOOST_FIXTURE_TEST_SUITE(StreamsResumedAfterABreak, ResumedStreams)

/// ORDER, MIXED: the next engine answered with an error, and its text stood in the stream, or the stream ended as if it were complete.
BOOST_AUTO_TEST_CASE(aFaultyResumptionLeavesNoTraceInTheStream)
{
    for (const FaultyResumption &it : faultyResumptions()) {
        BOOST_TEST_CONTEXT(it.name)
        {
            const HttpReply reply = callAtNewNode("/again/x", it);
            BOOST_TEST((reply.outcome == CallOutcome::SentWithoutResponse));
            BOOST_TEST(reply.status == 200);
            BOOST_TEST(reply.body == eventText(1, 3));
            BOOST_TEST(requests == 2);
        }
    }
}

/// The stream goes on at a third engine, exactly after the last event of the first one.
BOOST_AUTO_TEST_CASE(aThirdEngineResumesWhereTheFirstBrokeOff)
{
    for (const FaultyResumption &it : faultyResumptions()) {
        BOOST_TEST_CONTEXT(it.name)
        {
            const HttpReply reply = callAtNewNode("/thrice/x", it);
            BOOST_TEST((reply.outcome == CallOutcome::Answered));
            BOOST_TEST(reply.body == eventText(1, 6));
            BOOST_TEST(requests == 3);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
