#include "coordination/fairqueue.h"

#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>

#include <map>
#include <vector>

using namespace Apricot;

namespace {

FairQueue::Entry entry(const std::string &id, const std::string &workspace, int startMs)
{
    const Work work = Work::Builder().set(&WorkFields::id, RequestId(id)).set(&WorkFields::workspace, WorkspaceName(workspace)).build();
    return FairQueue::Entry{work, absl::FromUnixMillis(startMs), 1};
}

std::vector<std::string> order(const FairQueue &queue, FairQueue::Order by)
{
    std::vector<std::string> ids;
    queue.visitCandidates(by, 100, [&](const FairQueue::Entry &it) {
        ids.push_back(it.work->id.text());
        return false;
    });
    return ids;
}

}

BOOST_AUTO_TEST_SUITE(FairQueues)

BOOST_AUTO_TEST_CASE(theEarliestDeadlineComesFirst)
{
    FairQueue queue;
    queue.push(entry("late", "w1", 300));
    queue.push(entry("soon", "w2", 100));
    BOOST_TEST((order(queue, FairQueue::Order::ByDeadline) == std::vector<std::string>{"soon", "late"}));
    BOOST_TEST(queue.overdue(absl::FromUnixMillis(100)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(anOverloadedQueueSharesFairlyBetweenWorkspaces)
{
    FairQueue queue;
    for (int i = 0; i < 30; ++i) {
        queue.push(entry(absl::StrCat("greedy", i), "greedy", i));
    }
    for (int i = 0; i < 10; ++i) {
        queue.push(entry(absl::StrCat("modest", i), "modest", 1000 + i));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 20; ++i) {
        const std::string id = order(queue, FairQueue::Order::FairBetweenWorkspaces).front();
        const std::optional<FairQueue::Entry> taken = queue.remove(RequestId(id));
        BOOST_REQUIRE(taken.has_value());
        queue.charge(taken->work, 1, 10);
        ++served[taken->work->workspace.text()];
    }
    BOOST_TEST(served["greedy"] == 10);
    BOOST_TEST(served["modest"] == 10);
}

BOOST_AUTO_TEST_CASE(anIdleWorkspaceAccumulatesNoCredit)
{
    FairQueue queue;
    for (int i = 0; i < 20; ++i) {
        queue.push(entry(absl::StrCat("a", i), "a", i));
    }
    for (int i = 0; i < 10; ++i) {
        queue.charge(queue.remove(RequestId(absl::StrCat("a", i)))->work, 1, 10);
    }
    for (int i = 0; i < 10; ++i) {
        queue.push(entry(absl::StrCat("b", i), "b", 100 + i));
    }
    int b = 0;
    for (int i = 0; i < 10; ++i) {
        const std::optional<FairQueue::Entry> taken
            = queue.remove(RequestId(order(queue, FairQueue::Order::FairBetweenWorkspaces).front()));
        queue.charge(taken->work, 1, 10);
        b += taken->work->workspace == WorkspaceName("b") ? 1 : 0;
    }
    BOOST_TEST(b >= 4);
    BOOST_TEST(b <= 7);
}

BOOST_AUTO_TEST_SUITE_END()
