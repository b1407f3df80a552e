#include "protocol/sseeventsplitter.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(SseEventSplitters)

BOOST_AUTO_TEST_CASE(onlyCompleteEventsAreReturnedForAnyChunkSize)
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        SseEventSplitter events;
        std::string out;
        for (std::size_t at = 0; at < text.size(); at += step) {
            out += events.feed(std::string_view(text).substr(at, step));
        }
        BOOST_TEST(out == "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n");
        BOOST_TEST(events.lastId() == "2");
        BOOST_TEST(events.count() == 2);
        BOOST_TEST(events.pendingBytes() == 10U);
    }
}

BOOST_AUTO_TEST_CASE(crlfLineEndsAreAccepted)
{
    SseEventSplitter events;
    BOOST_TEST(events.feed("id:7\r\ndata: a\r\n\r\nid: 8\r\n") == "id:7\r\ndata: a\r\n\r\n");
    BOOST_TEST(events.lastId() == "7");
    BOOST_TEST(events.count() == 1);
}

BOOST_AUTO_TEST_CASE(anIncompleteEventCanBeDropped)
{
    SseEventSplitter events;
    events.feed("id: 1\ndata: a\n\nid: 2\nda");
    events.dropPending();
    BOOST_TEST(events.feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
}

/// Whether \a response, in one part or byte by byte, is taken for the continuation of a stream that has ended with event 2.
bool continues(const std::string &response, std::size_t step)
{
    SseEventSplitter events;
    events.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    events.beginResponse();
    std::string out;
    for (std::size_t at = 0; at < response.size(); at += step) {
        out += events.feed(std::string_view(response).substr(at, step));
    }
    BOOST_TEST((out.empty() || events.isContinuous()));
    BOOST_TEST(events.lastId() == (events.isContinuous() && !events.awaitsContinuation() ? "3" : "2"));
    return events.isContinuous() && !events.awaitsContinuation();
}

/// ORDER: the next engine's error, or a run that did not go on after the last event, was joined to the stream.
BOOST_AUTO_TEST_CASE(onlyTheNextEventContinuesAStream)
{
    for (const std::size_t step : {std::size_t(1), std::size_t(1000)}) {
        for (const char *text : {"id: 3\ndata: c\n\n", "data: c\r\nid:3\r\n\r\n", ": ping\n\nid: 3\ndata: c\n\n",
                                 "apricotladder-weight-versions: 7\nid: 3\ndata: c\n\n"}) {
            BOOST_TEST(continues(text, step), text);
        }
        for (const char *text :
             {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 4\ndata: d\n\n", "id:\ndata: c\n\n", "id: x\ndata: c\n\n",
              "event: error\ndata: no\n\nid: 3\ndata: c\n\n", "HTTP/1.1 500 Failed\r\n\r\nid: 3\n\n", "", ": ping\n\n"}) {
            BOOST_TEST(!continues(text, step), text);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
