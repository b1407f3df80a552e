#include "protocol/timelinejson.h"

#include "protocol/jsonreader.h"

#include <utility>

namespace Apricot {

namespace {

MemberState parseMemberState(const std::string &name)
{
    return name == "alive" ? MemberState::Alive : name == "suspect" ? MemberState::Suspect : MemberState::Dead;
}

Json memberJson(const Member &member)
{
    return Json{{"node", member->id.text()},
                {"state", memberStateName(member->state)},
                {"leaving", member->leaving},
                {"dataCentre", member->dataCentre.text()},
                {"callerAddress", member->callerAddress},
                {"generation", member->generation}};
}

Json sliceJson(const SliceStatus &slice)
{
    return Json{{"service", slice.service.text()},
                {"waiting", slice.waiting},
                {"prefilling", slice.prefilling},
                {"decoding", slice.decoding},
                {"reservedPieces", slice.reservedPieces}};
}

}

std::string encodeTimeline(const std::vector<TimelineEvent> &events)
{
    Json list = Json::array();
    for (const TimelineEvent &event : events) {
        list.push_back(Json{{"micros", event.timestamp.micros},
                            {"counter", event.timestamp.counter},
                            {"node", event.node},
                            {"request", event.request},
                            {"what", event.what},
                            {"detail", event.detail}});
    }
    return jsonDump(Json{{"events", std::move(list)}});
}

Result<std::vector<TimelineEvent>> decodeTimeline(const std::string &json)
{
    BOOST_LEAF_AUTO(parsed, parseJsonObject(json, "event timeline"));
    std::vector<TimelineEvent> events;
    const auto it = parsed.find("events");
    if (it == parsed.end() || !it->is_array()) {
        return fail(ErrorKind::BadRequest, "event timeline: \"events\" is missing");
    }
    for (const Json &element : *it) {
        const HybridTimestamp timestamp{jsonInteger(element, "micros"), static_cast<std::uint32_t>(jsonInteger(element, "counter"))};
        events.push_back(TimelineEvent{timestamp, jsonText(element, "node"), jsonText(element, "request"), jsonText(element, "what"),
                                       jsonText(element, "detail")});
    }
    return events;
}

std::string encodeNodeStatus(const NodeStatus &status)
{
    Json members = Json::array();
    for (const Member &member : status.members) {
        members.push_back(memberJson(member));
    }
    Json slices = Json::array();
    for (const SliceStatus &slice : status.slices) {
        slices.push_back(sliceJson(slice));
    }
    return jsonDump(Json{{"node", status.node.text()},
                         {"generation", status.generation},
                         {"leaseHeld", status.leaseHeld},
                         {"violations", status.violations},
                         {"activeCalls", status.activeCalls},
                         {"members", std::move(members)},
                         {"slices", std::move(slices)}});
}

Result<NodeStatus> decodeNodeStatus(const std::string &json)
{
    BOOST_LEAF_AUTO(parsed, parseJsonObject(json, "node status"));
    NodeStatus status;
    status.node = NodeId(jsonText(parsed, "node"));
    status.generation = static_cast<std::uint64_t>(jsonInteger(parsed, "generation"));
    status.leaseHeld = jsonFlag(parsed, "leaseHeld");
    status.violations = static_cast<std::uint64_t>(jsonInteger(parsed, "violations"));
    status.activeCalls = static_cast<std::uint64_t>(jsonInteger(parsed, "activeCalls"));
    for (const Json &element : parsed.value("members", Json::array())) {
        status.members.push_back(Member::Builder()
                                     .set(&MemberFields::id, NodeId(jsonText(element, "node")))
                                     .set(&MemberFields::state, parseMemberState(jsonText(element, "state")))
                                     .set(&MemberFields::leaving, jsonFlag(element, "leaving"))
                                     .set(&MemberFields::dataCentre, DataCentreName(jsonText(element, "dataCentre")))
                                     .set(&MemberFields::callerAddress, jsonText(element, "callerAddress"))
                                     .set(&MemberFields::generation, static_cast<std::uint64_t>(jsonInteger(element, "generation")))
                                     .build());
    }
    for (const Json &element : parsed.value("slices", Json::array())) {
        status.slices.push_back(
            SliceStatus{ServiceName(jsonText(element, "service")), static_cast<std::uint64_t>(jsonInteger(element, "waiting")),
                        static_cast<std::uint64_t>(jsonInteger(element, "prefilling")),
                        static_cast<std::uint64_t>(jsonInteger(element, "decoding")), jsonInteger(element, "reservedPieces")});
    }
    return status;
}

std::string encodeAddresses(const std::vector<std::string> &addresses, std::int64_t keepMs)
{
    return jsonDump(Json{{"addresses", addresses}, {"keepMs", keepMs}});
}

}
