#include "apricotladder/commands.h"
#include "protocol/timelinejson.h"
#include "transport/httpclient.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/time.h>

#include <algorithm>
#include <iostream>
#include <set>

namespace Apricot {

namespace {

std::vector<std::string> fetchNodeUrls(const std::string &url)
{
    HttpCall call;
    call.url = url + "/v1/status";
    const HttpReply reply = HttpClient::call(call);
    const auto decoded = toVariant<NodeStatus>([&] { return decodeNodeStatus(reply.body); });
    std::vector<std::string> urls;
    if (const auto *status = std::get_if<NodeStatus>(&decoded)) {
        for (const Member &member : status->members) {
            if (member->state != MemberState::Dead) {
                urls.push_back("http://" + member->callerAddress);
            }
        }
    }
    return urls;
}

bool readEvents(const std::string &url, const std::string &request, std::vector<TimelineEvent> *events)
{
    HttpCall call;
    call.url = absl::StrCat(url, "/v1/timeline?request=", request);
    const HttpReply reply = HttpClient::call(call);
    const auto decoded = toVariant<std::vector<TimelineEvent>>([&] { return decodeTimeline(reply.body); });
    const auto *list = std::get_if<std::vector<TimelineEvent>>(&decoded);
    if (reply.outcome != CallOutcome::Answered || list == nullptr) {
        return false;
    }
    events->insert(events->end(), list->begin(), list->end());
    return true;
}

}

int runTimeline(const CommandArguments &arguments)
{
    const std::string url = arguments.flag("node");
    std::vector<std::string> urls = fetchNodeUrls(url);
    if (urls.empty()) {
        std::cout << url << ": did not return the nodes of its cell; specify another node with --node\n";
        return ExitUnreachable;
    }
    std::vector<TimelineEvent> events;
    for (const std::string &it : urls) {
        if (!readEvents(it, arguments.flag("request"), &events)) {
            std::cout << "(" << it << " does not answer; its events are missing)\n";
        }
    }
    std::sort(events.begin(), events.end());
    if (arguments.has("json")) {
        std::cout << encodeTimeline(events) << "\n";
        return ExitOk;
    }
    for (const TimelineEvent &event : events) {
        std::cout << absl::FormatTime("%H:%M:%E6S", absl::FromUnixMicros(event.timestamp.micros), absl::UTCTimeZone())
                  << absl::StreamFormat(" %-12s %-28s %-22s %s\n", event.node, event.request.empty() ? "-" : event.request, event.what,
                                        event.detail);
    }
    return ExitOk;
}

}
