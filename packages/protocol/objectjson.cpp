#include "protocol/objectjson.h"

#include "protocol/jsonreader.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace Apricot {

namespace {

StoredObject storedObjectOf(const Json &json)
{
    StoredObject object;
    object.kind = jsonText(json, "kind");
    object.name = jsonText(json, "name");
    object.version = static_cast<std::uint64_t>(jsonInteger(json, "version"));
    object.spec = json.contains("spec") ? jsonDump(json["spec"]) : "{}";
    object.status = json.contains("status") && json["status"].is_object() ? jsonDump(json["status"]) : "";
    return object;
}

bool readField(const Json &json, FieldValue *value)
{
    if (json.is_boolean()) {
        *value = json.get<bool>();
    } else if (json.is_number_integer()) {
        *value = json.get<std::int64_t>();
    } else if (json.is_number_float()) {
        *value = json.get<double>();
    } else if (json.is_string()) {
        *value = json.get<std::string>();
    } else if (json.is_array()) {
        std::vector<std::string> texts;
        for (const Json &element : json) {
            if (!element.is_string()) {
                return false;
            }
            texts.push_back(element.get<std::string>());
        }
        *value = std::move(texts);
    } else {
        return false;
    }
    return true;
}

const char *runStateName(RunState state)
{
    switch (state) {
    case RunState::Dispatching:
        return "dispatching";
    case RunState::Done:
        return "done";
    case RunState::MayHaveRun:
        return "mayHaveRun";
    case RunState::Abandoned:
        return "abandoned";
    }
    return "mayHaveRun";
}

RunState runStateOf(const std::string &name)
{
    for (const RunState state : {RunState::Dispatching, RunState::Done, RunState::Abandoned}) {
        if (name == runStateName(state)) {
            return state;
        }
    }
    // An unknown state is treated as MayHaveRun, the state that never allows a second run.
    return RunState::MayHaveRun;
}

}

Result<StoredObject> decodeStoredObject(const std::string &json)
{
    BOOST_LEAF_AUTO(parsed, parseJsonObject(json, "object"));
    StoredObject object = storedObjectOf(parsed);
    if (object.kind.empty() || object.name.empty()) {
        return fail(ErrorKind::BadRequest, "object: kind or name is missing; write {\"kind\": ..., \"name\": ..., \"spec\": {...}}");
    }
    for (const auto &[key, value] : parsed.items()) {
        if (key != "kind" && key != "name" && key != "spec" && key != "status" && key != "version") {
            return fail(ErrorKind::BadRequest,
                        absl::StrCat(object.kind, "/", object.name, ": unknown member \"", key, "\"; move fields into \"spec\""));
        }
    }
    return object;
}

Result<ObjectList> decodeObjectList(const std::string &json)
{
    BOOST_LEAF_AUTO(parsed, parseJsonObject(json, "object list"));
    ObjectList list;
    list.version = static_cast<std::uint64_t>(jsonInteger(parsed, "version"));
    const auto it = parsed.find("objects");
    if (it == parsed.end() || !it->is_array()) {
        return fail(ErrorKind::BadRequest, "object list: \"objects\" is missing");
    }
    for (const Json &element : *it) {
        if (element.is_object()) {
            list.objects.push_back(storedObjectOf(element));
        }
    }
    return list;
}

Result<std::uint64_t> decodeVersion(const std::string &json)
{
    BOOST_LEAF_AUTO(parsed, parseJsonObject(json, "response to a write"));
    return static_cast<std::uint64_t>(jsonInteger(parsed, "version"));
}

Result<RawObject> rawObjectOf(const StoredObject &object)
{
    const std::string label = object.kind + "/" + object.name;
    BOOST_LEAF_AUTO(spec, parseJsonObject(object.spec, label + ": spec"));
    RawObjectFields fields{object.kind, object.name, object.version, {}};
    for (const auto &[key, value] : spec.items()) {
        FieldValue field;
        if (!readField(value, &field)) {
            return fail(ErrorKind::BadRequest, absl::StrCat(label, ": field \"", key, "\" must be a text, number, flag or list of texts"));
        }
        fields.fields.emplace(key, std::move(field));
    }
    return RawObject(std::move(fields));
}

std::string encodeRunPage(const RunPage &page)
{
    Json records = Json::object();
    for (const auto &[key, record] : page->records) {
        Json entry{{"creator", record->creator.text()},
                   {"node", record->node.text()},
                   {"state", runStateName(record->state)},
                   {"createdMs", record->createdMs}};
        if (record->state == RunState::Done) {
            entry["status"] = record->status;
            entry["body"] = record->body;
        }
        records[key.text()] = std::move(entry);
    }
    return jsonDump(Json{{"records", std::move(records)}});
}

Result<RunPage> decodeRunPage(const StoredObject &object)
{
    BOOST_LEAF_AUTO(spec, parseJsonObject(object.spec, "RunPage/" + object.name));
    RunPageFields page;
    page.version = object.version;
    const auto records = spec.find("records");
    if (records == spec.end() || !records->is_object()) {
        return RunPage(std::move(page));
    }
    for (const auto &[key, entry] : records->items()) {
        const RunRecord record = RunRecord::Builder()
                                     .set(&RunRecordFields::key, IdempotencyKey(key))
                                     .set(&RunRecordFields::creator, RequestId(jsonText(entry, "creator")))
                                     .set(&RunRecordFields::node, NodeId(jsonText(entry, "node")))
                                     .set(&RunRecordFields::state, runStateOf(jsonText(entry, "state")))
                                     .set(&RunRecordFields::status, jsonInteger(entry, "status"))
                                     .set(&RunRecordFields::body, jsonText(entry, "body"))
                                     .set(&RunRecordFields::createdMs, jsonInteger(entry, "createdMs"))
                                     .build();
        page.records.emplace(record->key, record);
    }
    return RunPage(std::move(page));
}

std::string encodeLease(const Lease &lease)
{
    return jsonDump(Json{{"holder", lease->holder.text()}, {"untilMs", lease->untilMs}});
}

Result<Lease> decodeLease(const StoredObject &object)
{
    BOOST_LEAF_AUTO(spec, parseJsonObject(object.spec, "Lease/" + object.name));
    return Lease(LeaseFields{object.version, NodeId(jsonText(spec, "holder")), jsonInteger(spec, "untilMs")});
}

std::string encodeGeneration(const Generation &generation)
{
    return jsonDump(Json{{"number", generation->number}, {"hash", generation->hash}, {"chunks", generation->chunks}});
}

Result<Generation> decodeGeneration(const StoredObject &object)
{
    BOOST_LEAF_AUTO(spec, parseJsonObject(object.spec, "Pointer/" + object.name));
    return Generation(GenerationFields{static_cast<std::uint64_t>(jsonInteger(spec, "number")), jsonText(spec, "hash"),
                                       static_cast<std::uint64_t>(jsonInteger(spec, "chunks"))});
}

Result<std::vector<Vm>> decodeVmList(const std::string &json)
{
    BOOST_LEAF_AUTO(parsed, parseJsonObject(json, "VM list"));
    std::vector<Vm> vms;
    const auto it = parsed.find("vms");
    if (it == parsed.end() || !it->is_array()) {
        return fail(ErrorKind::BadRequest, "VM list: \"vms\" is missing");
    }
    for (const Json &element : *it) {
        vms.emplace_back(VmFields{jsonText(element, "name"), jsonText(element, "address"), jsonFlag(element, "leaving")});
    }
    return vms;
}

std::string encodeObjectStatus(const ObjectStatus &status)
{
    return jsonDump(Json{{"observedVersion", status.observedVersion},
                         {"valid", status.valid},
                         {"reasons", status.reasons},
                         {"generation", status.generation},
                         {"nodesInForce", status.nodesInForce},
                         {"nodesKnown", status.nodesKnown}});
}

Result<ObjectStatus> decodeObjectStatus(const std::string &json)
{
    BOOST_LEAF_AUTO(parsed, parseJsonObject(json, "status"));
    ObjectStatus status;
    status.observedVersion = static_cast<std::uint64_t>(jsonInteger(parsed, "observedVersion"));
    status.valid = jsonFlag(parsed, "valid");
    status.reasons = jsonTexts(parsed, "reasons");
    status.generation = static_cast<std::uint64_t>(jsonInteger(parsed, "generation"));
    status.nodesInForce = static_cast<std::uint64_t>(jsonInteger(parsed, "nodesInForce"));
    status.nodesKnown = static_cast<std::uint64_t>(jsonInteger(parsed, "nodesKnown"));
    return status;
}

}
