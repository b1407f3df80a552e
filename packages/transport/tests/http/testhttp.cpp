#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/periodictask.h"

#include <absl/time/clock.h>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>

using namespace Apricot;

namespace {

const std::string address = "127.0.0.1:21992";
const std::string base = "http://" + address;

HttpResponse respond(const HttpRequest &request)
{
    HttpResponse response;
    if (request.bodyTooLarge) {
        response.status = 413;
    } else if (request.path == "/echo") {
        response.body = request.method + " " + request.parameter("q") + " " + request.header("x-h") + " " + request.body;
    } else if (request.path == "/drop") {
        response.status = 0;
    } else if (request.path == "/late") {
        absl::SleepFor(absl::Milliseconds(300));
        response.body = "late";
    } else if (request.path == "/stream") {
        auto left = std::make_shared<int>(3);
        response.source = [left]() -> std::optional<std::string> {
            return (*left)-- > 0 ? std::optional<std::string>("part\n") : std::nullopt;
        };
    } else if (request.path == "/silent") {
        auto hasSentFirst = std::make_shared<bool>(false);
        response.source = [hasSentFirst]() -> std::optional<std::string> {
            if (*hasSentFirst) {
                absl::SleepFor(absl::Milliseconds(600));
                return std::nullopt;
            }
            *hasSentFirst = true;
            return "first\n";
        };
    }
    return response;
}

HttpCall callTo(const std::string &path)
{
    HttpCall call;
    call.url = base + path;
    return call;
}

struct Server
{
    HttpServer server{address, HttpServer::Limits{100, 50, 5}, respond};
};

}

BOOST_FIXTURE_TEST_SUITE(Http, Server)

BOOST_AUTO_TEST_CASE(callsTransmitMethodQueryHeadersAndBody)
{
    HttpCall call = callTo("/echo?q=a%20b");
    call.method = "POST";
    call.headers["X-H"] = "header";
    call.body = "body";
    const HttpReply reply = HttpClient::call(call);
    BOOST_TEST((reply.outcome == CallOutcome::Answered));
    BOOST_TEST(reply.body == "POST a b header body");
}

BOOST_AUTO_TEST_CASE(bodyLimitIsEnforced)
{
    HttpCall call = callTo("/echo");
    call.method = "POST";
    call.body = std::string(101, 'x');
    BOOST_TEST(HttpClient::call(call).status == 413);
}

/// An engine's answer of 8 MB where some hundred bytes were expected was read to its end.
BOOST_AUTO_TEST_CASE(aResponseOverTheLimitOfItsCallFailsIt)
{
    HttpCall call = callTo("/echo?q=1234567890");
    const std::size_t length = HttpClient::call(call).body.size();
    call.maxBodyBytes = length;
    BOOST_TEST((HttpClient::call(call).outcome == CallOutcome::Answered));
    call.maxBodyBytes = length - 1;
    const HttpReply reply = HttpClient::call(call);
    BOOST_TEST((reply.outcome == CallOutcome::SentWithoutResponse));
    BOOST_TEST(reply.body.empty());
}

BOOST_AUTO_TEST_CASE(unsentCallsAreDistinguishedFromSentOnes)
{
    HttpCall refused;
    refused.url = "http://127.0.0.1:9/";
    BOOST_TEST((HttpClient::call(refused).outcome == CallOutcome::NotSent));
    HttpCall dropped = callTo("/drop");
    dropped.dedicatedConnection = true;
    BOOST_TEST((HttpClient::call(dropped).outcome == CallOutcome::SentWithoutResponse));
}

BOOST_AUTO_TEST_CASE(streamsArriveInPartsAndCanBeStopped)
{
    std::string all;
    const HttpReply reply = HttpClient::stream(callTo("/stream"), [&](std::string_view part) {
        all.append(part);
        return true;
    });
    BOOST_TEST((reply.outcome == CallOutcome::Answered));
    BOOST_TEST(all == "part\npart\npart\n");
    BOOST_TEST((HttpClient::stream(callTo("/stream"), [](std::string_view part) { return part.empty(); }).outcome
                == CallOutcome::StoppedByReceiver));
}

BOOST_AUTO_TEST_CASE(anIdleStreamTimesOut)
{
    HttpCall call = callTo("/silent");
    call.idleTimeout = absl::Milliseconds(200);
    BOOST_TEST((HttpClient::stream(call, [](std::string_view) { return true; }).outcome == CallOutcome::IdleTimeout));
}

/// Guards against a node that ends at a planned stop between the end of a call and the sending of its answer.
BOOST_AUTO_TEST_CASE(aServerThatDrainsSendsTheAnswersInProgress)
{
    auto stopped = std::make_unique<HttpServer>("127.0.0.1:21993", HttpServer::Limits{100, 50, 5}, respond);
    HttpCall call;
    call.url = "http://127.0.0.1:21993/late";
    std::future<HttpReply> reply = std::async(std::launch::async, [&] { return HttpClient::call(call); });
    absl::SleepFor(absl::Milliseconds(100));
    BOOST_TEST(!stopped->drain(absl::ZeroDuration()));
    BOOST_TEST(stopped->drain(absl::Seconds(20)));
    stopped.reset();
    BOOST_TEST(reply.get().body == "late");
}

BOOST_AUTO_TEST_CASE(aPeriodicTaskRunsWhenWoken)
{
    std::atomic<int> runs{0};
    std::promise<void> twice;
    PeriodicTask task("task", absl::Hours(1), [&] {
        if (++runs == 2) {
            twice.set_value();
        }
    });
    task.wake();
    BOOST_TEST((twice.get_future().wait_for(std::chrono::seconds(20)) == std::future_status::ready));
}

BOOST_AUTO_TEST_SUITE_END()
