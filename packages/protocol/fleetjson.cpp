#include "protocol/fleetjson.h"

#include "protocol/jsonreader.h"

#include <array>
#include <utility>

namespace Apricot {

namespace {

constexpr std::array<std::pair<RoleChangePhase, const char *>, 5> phaseNames{{{RoleChangePhase::Draining, "draining"},
                                                                              {RoleChangePhase::Moving, "moving"},
                                                                              {RoleChangePhase::Ordering, "ordering"},
                                                                              {RoleChangePhase::Opening, "opening"},
                                                                              {RoleChangePhase::Done, "done"}}};

}

std::string encodeEngineWish(const std::string &role, const std::string &model, const std::string &modelVersion)
{
    return jsonDump(Json{{"role", role}, {"model", model}, {"modelVersion", modelVersion}});
}

std::string encodeRoleChange(const RoleChange &change)
{
    return jsonDump(Json{{"endpoint", change->endpoint},
                         {"toPool", change->toPool.text()},
                         {"toRole", change->toRole == PoolRole::Prefill ? "prefill" : "decode"},
                         {"phase", phaseNames[static_cast<std::size_t>(change->phase)].second}});
}

Result<RoleChange> decodeRoleChange(const StoredObject &object)
{
    BOOST_LEAF_AUTO(spec, parseJsonObject(object.spec, "RoleChange/" + object.name));
    const std::string phase = jsonText(spec, "phase");
    for (const auto &[value, name] : phaseNames) {
        if (phase == name) {
            return RoleChange::Builder()
                .set(&RoleChangeFields::endpoint, jsonText(spec, "endpoint"))
                .set(&RoleChangeFields::toPool, PoolName(jsonText(spec, "toPool")))
                .set(&RoleChangeFields::toRole, jsonText(spec, "toRole") == "prefill" ? PoolRole::Prefill : PoolRole::Decode)
                .set(&RoleChangeFields::phase, value)
                .build();
        }
    }
    return fail(ErrorKind::BadRequest, "RoleChange/" + object.name + ": unknown phase \"" + phase + "\"; delete the object");
}

bool jsonEquals(const std::string &a, const std::string &b)
{
    return parseJson(a) == parseJson(b);
}

std::string withField(const std::string &spec, const std::string &field, const std::string &value)
{
    Json json = parseJson(spec);
    if (value == "true" || value == "false") {
        json[field] = value == "true";
    } else {
        json[field] = value;
    }
    return jsonDump(json);
}

}
