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

BOOST_AUTO_TEST_SUITE_END()
