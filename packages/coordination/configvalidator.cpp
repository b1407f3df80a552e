#include "coordination/configvalidator.h"

#include "coordination/objectschema.h"
#include "state/action.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace Apricot {

namespace {

/// Maximum length of an object name in characters. Names become parts of URLs.
constexpr std::size_t maxNameLength = 63;

/// Rounding tolerance for the sum of the floor shares.
constexpr double shareTolerance = 1e-9;

std::string objectLabel(const RawObject &object)
{
    return absl::StrCat(object->kind, "/", object->name);
}

/// Checks one set of objects and collects its faults.
class Checker
{
public:
    explicit Checker(const std::vector<RawObject> &objects)
        : m_objects(objects)
    {
        for (const RawObject &object : objects) {
            m_known.emplace(object->kind, object->name);
        }
    }

    void checkAll()
    {
        std::set<std::pair<std::string, std::string>> seen;
        for (const RawObject &object : m_objects) {
            checkKindAndName(object);
            if (!seen.emplace(object->kind, object->name).second) {
                add(object, "", "appears twice in the set", "remove one of the two");
            }
            checkFields(object);
        }
        checkFloorShares();
        checkServices();
        checkAddresses();
    }

    void add(const RawObject &object, std::string field, std::string problem, std::string remedy)
    {
        m_faults.push_back(ConfigFault{objectLabel(object), std::move(field), std::move(problem), std::move(remedy)});
    }

    std::vector<ConfigFault> takeFaults()
    {
        std::sort(m_faults.begin(), m_faults.end());
        m_faults.erase(std::unique(m_faults.begin(), m_faults.end()), m_faults.end());
        return std::move(m_faults);
    }

private:
    void checkKindAndName(const RawObject &object)
    {
        const std::vector<std::string> kinds = objectKinds();
        if (std::find(kinds.begin(), kinds.end(), object->kind) == kinds.end()) {
            add(object, "kind", "is not a known kind", absl::StrCat("use one of ", absl::StrJoin(kinds, ", ")));
        }
        const auto isNameCharacter = [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
        };
        const bool valid = !object->name.empty() && object->name.size() <= maxNameLength
            && std::all_of(object->name.begin(), object->name.end(), isNameCharacter);
        if (!valid) {
            add(object, "name", "is not a valid name", absl::StrCat("use 1 to ", maxNameLength, " of a-z, 0-9 and -"));
        }
    }

    void checkFields(const RawObject &object)
    {
        for (const auto &[field, value] : object->fields) {
            const FieldSpec *spec = find(object->kind, field);
            if (spec == nullptr) {
                add(object, field, "is not a known field", absl::StrCat("remove it or use one of ", fieldNames(object->kind)));
            } else {
                checkValue(object, *spec, value);
            }
        }
        for (const FieldSpec &spec : objectSchema()) {
            if (spec.kind == object->kind && spec.required && !object->fields.contains(std::string(spec.field))) {
                add(object, std::string(spec.field), "is missing",
                    absl::StrCat("add it: ", fieldTypeName(spec.type), ", ", spec.description));
            }
        }
    }

    void checkValue(const RawObject &object, const FieldSpec &spec, const FieldValue &value)
    {
        if (!hasType(spec.type, value)) {
            add(object, std::string(spec.field), "has the wrong type", absl::StrCat("write ", fieldTypeName(spec.type)));
            return;
        }
        if (spec.min != spec.max) {
            const double number = asNumber(value);
            if (!(number >= spec.min && number <= spec.max)) {
                add(object, std::string(spec.field), absl::StrCat("is out of range: ", number),
                    absl::StrCat("choose ", spec.min, " to ", spec.max));
            }
        }
        const auto *text = std::get_if<std::string>(&value);
        if (text == nullptr) {
            return;
        }
        if (!spec.choices.empty()) {
            const std::vector<std::string> choices = absl::StrSplit(spec.choices, '|');
            if (std::find(choices.begin(), choices.end(), *text) == choices.end()) {
                add(object, std::string(spec.field), absl::StrCat("has an unknown value: \"", *text, "\""),
                    absl::StrCat("use one of ", absl::StrJoin(choices, ", ")));
            }
        }
        if (!spec.referencedKind.empty() && !m_known.contains({std::string(spec.referencedKind), *text})) {
            add(object, std::string(spec.field), absl::StrCat("refers to ", spec.referencedKind, "/", *text, ", which does not exist"),
                absl::StrCat("create ", spec.referencedKind, "/", *text, " or name another one"));
        }
    }

    void checkFloorShares()
    {
        double sum = 0;
        for (const RawObject &object : m_objects) {
            const auto it = object->fields.find("floorShare");
            if (object->kind == "Rank" && it != object->fields.end()) {
                sum += asNumber(it->second);
            }
        }
        if (sum <= 1 + shareTolerance) {
            return;
        }
        for (const RawObject &object : m_objects) {
            if (object->kind == "Rank" && object->fields.contains("floorShare")) {
                add(object, "floorShare", absl::StrCat("adds up to ", sum, " over all ranks"),
                    "lower the floor shares so that their sum is at most 1");
            }
        }
    }

    void checkServices()
    {
        for (const RawObject &object : m_objects) {
            if (object->kind != "Service") {
                continue;
            }
            const std::vector<std::string> operations = textListOf(object, "operations");
            const std::vector<std::string> nonIdempotent = textListOf(object, "nonIdempotent");
            for (const std::string &field : {std::string("nonIdempotent"), std::string("retryable")}) {
                for (const std::string &name : textListOf(object, field)) {
                    if (std::find(operations.begin(), operations.end(), name) == operations.end()) {
                        add(object, field, absl::StrCat("names the operation \"", name, "\", which is not in operations"),
                            "add it to operations or remove it here");
                    }
                }
            }
            for (const std::string &name : textListOf(object, "retryable")) {
                if (std::find(nonIdempotent.begin(), nonIdempotent.end(), name) != nonIdempotent.end()) {
                    add(object, "retryable", absl::StrCat("contains \"", name, "\", which is not idempotent"),
                        "remove it from retryable: it could run twice");
                }
            }
        }
    }

    void checkAddresses()
    {
        std::map<std::string, std::string> owners;
        for (const RawObject &object : m_objects) {
            const auto it = object->fields.find("address");
            const auto *address = it == object->fields.end() ? nullptr : std::get_if<std::string>(&it->second);
            if (object->kind != "Endpoint" || address == nullptr) {
                continue;
            }
            const std::vector<std::string> parts = absl::StrSplit(*address, ':');
            int port = 0;
            if (parts.size() != 2 || parts[0].empty() || !absl::SimpleAtoi(parts[1], &port) || port < 1 || port > 65535) {
                add(object, "address", absl::StrCat("is not an address: \"", *address, "\""), "write IP:port");
            }
            const auto [owner, isNew] = owners.emplace(*address, objectLabel(object));
            if (!isNew) {
                add(object, "address", absl::StrCat("is already used by ", owner->second, " as its address"),
                    "give each endpoint its own address");
            }
        }
    }

    static const FieldSpec *find(const std::string &kind, const std::string &field)
    {
        for (const FieldSpec &spec : objectSchema()) {
            if (spec.kind == kind && spec.field == field) {
                return &spec;
            }
        }
        return nullptr;
    }

    static std::string fieldNames(const std::string &kind)
    {
        std::vector<std::string> names;
        for (const FieldSpec &spec : objectSchema()) {
            if (spec.kind == kind) {
                names.push_back(spec.field);
            }
        }
        return absl::StrJoin(names, ", ");
    }

    static bool hasType(FieldType type, const FieldValue &value)
    {
        switch (type) {
        case FieldType::Boolean:
            return std::holds_alternative<bool>(value);
        case FieldType::Integer:
            return std::holds_alternative<std::int64_t>(value);
        case FieldType::Number:
            return std::holds_alternative<double>(value) || std::holds_alternative<std::int64_t>(value);
        case FieldType::Text:
            return std::holds_alternative<std::string>(value);
        case FieldType::TextList:
            return std::holds_alternative<std::vector<std::string>>(value);
        }
        return false;
    }

    static double asNumber(const FieldValue &value)
    {
        return std::visit(Overloaded{
                              [](double it) { return it; },
                              [](std::int64_t it) { return static_cast<double>(it); },
                              [](const auto &) { return 0.0; },
                          },
                          value);
    }

    static std::vector<std::string> textListOf(const RawObject &object, const std::string &field)
    {
        const auto it = object->fields.find(field);
        const auto *list = it == object->fields.end() ? nullptr : std::get_if<std::vector<std::string>>(&it->second);
        return list == nullptr ? std::vector<std::string>() : *list;
    }

    const std::vector<RawObject> &m_objects;
    std::set<std::pair<std::string, std::string>> m_known;
    std::vector<ConfigFault> m_faults;
};

/// Reads fields of a validated object into typed members.
class FieldReader
{
public:
    explicit FieldReader(const RawObject &object)
        : m_object(object)
    {
    }

    void read(const char *field, std::string *target) const
    {
        if (const auto *it = find<std::string>(field)) {
            *target = *it;
        }
    }

    void read(const char *field, bool *target) const
    {
        if (const auto *it = find<bool>(field)) {
            *target = *it;
        }
    }

    void read(const char *field, std::int64_t *target) const
    {
        if (const auto *it = find<std::int64_t>(field)) {
            *target = *it;
        }
    }

    void read(const char *field, double *target) const
    {
        if (const auto *it = find<double>(field)) {
            *target = *it;
        } else if (const auto *integer = find<std::int64_t>(field)) {
            *target = static_cast<double>(*integer);
        }
    }

    void read(const char *field, std::vector<std::string> *target) const
    {
        if (const auto *it = find<std::vector<std::string>>(field)) {
            *target = *it;
        }
    }

    template<class Kind>
    void read(const char *field, Name<Kind> *target) const
    {
        if (const auto *it = find<std::string>(field)) {
            *target = Name<Kind>(*it);
        }
    }

private:
    template<class T>
    const T *find(const char *field) const
    {
        const auto it = m_object->fields.find(field);
        return it == m_object->fields.end() ? nullptr : std::get_if<T>(&it->second);
    }

    const RawObject &m_object;
};

Rank makeRank(const RawObject &object)
{
    RankFields fields;
    fields.name = RankName(object->name);
    const FieldReader reader(object);
    reader.read("priority", &fields.priority);
    reader.read("floorShare", &fields.floorShare);
    reader.read("firstTokenMs", &fields.firstTokenMs);
    reader.read("tokenGapMs", &fields.tokenGapMs);
    return Rank(std::move(fields));
}

Service makeService(const RawObject &object)
{
    ServiceFields fields;
    fields.name = ServiceName(object->name);
    const FieldReader reader(object);
    std::string type;
    reader.read("type", &type);
    fields.type = type == "plain" ? ServiceType::Plain : ServiceType::Model;
    reader.read("operations", &fields.operations);
    reader.read("nonIdempotent", &fields.nonIdempotent);
    reader.read("retryable", &fields.retryable);
    reader.read("maxPromptTokens", &fields.maxPromptTokens);
    reader.read("maxOutputTokens", &fields.maxOutputTokens);
    reader.read("callTimeoutMs", &fields.callTimeoutMs);
    reader.read("modelVersion", &fields.modelVersion);
    reader.read("autoRoles", &fields.autoRoles);
    return Service(std::move(fields));
}

Pool makePool(const RawObject &object)
{
    PoolFields fields;
    fields.name = PoolName(object->name);
    const FieldReader reader(object);
    std::string role;
    reader.read("role", &role);
    fields.role = role == "prefill" ? PoolRole::Prefill : role == "decode" ? PoolRole::Decode : PoolRole::Plain;
    reader.read("service", &fields.service);
    reader.read("slots", &fields.slots);
    reader.read("pieces", &fields.pieces);
    reader.read("tokensPerPiece", &fields.tokensPerPiece);
    reader.read("prefillMsPerThousandTokens", &fields.prefillMsPerThousandTokens);
    reader.read("decodeGapMs", &fields.decodeGapMs);
    reader.read("loadedGapMs", &fields.loadedGapMs);
    reader.read("transferMsPerThousandTokens", &fields.transferMsPerThousandTokens);
    reader.read("resultLifetimeMs", &fields.resultLifetimeMs);
    return Pool(std::move(fields));
}

Endpoint makeEndpoint(const RawObject &object)
{
    EndpointFields fields;
    fields.name = object->name;
    const FieldReader reader(object);
    reader.read("pool", &fields.pool);
    reader.read("dataCentre", &fields.dataCentre);
    reader.read("address", &fields.address);
    reader.read("drain", &fields.drain);
    reader.read("checksFencing", &fields.checksFencing);
    return Endpoint(std::move(fields));
}

ConfigSet makeSet(const std::vector<RawObject> &objects)
{
    ConfigSetFields set;
    for (const RawObject &object : objects) {
        const FieldReader reader(object);
        if (object->kind == "DataCentre") {
            DataCentreFields fields{DataCentreName(object->name), {}};
            reader.read("region", &fields.region);
            set.dataCentres.emplace(fields.name, DataCentre(fields));
        } else if (object->kind == "Rank") {
            set.ranks.emplace(RankName(object->name), makeRank(object));
        } else if (object->kind == "Service") {
            set.services.emplace(ServiceName(object->name), makeService(object));
        } else if (object->kind == "Pool") {
            set.pools.emplace(PoolName(object->name), makePool(object));
        } else if (object->kind == "Endpoint") {
            set.endpoints.emplace(object->name, makeEndpoint(object));
        } else if (object->kind == "Workspace") {
            WorkspaceFields fields{WorkspaceName(object->name), 1};
            reader.read("weight", &fields.weight);
            set.workspaces.emplace(fields.name, Workspace(fields));
        }
    }
    return ConfigSet(std::move(set));
}

}

std::variant<ConfigSet, std::vector<ConfigFault>> validateConfig(const std::vector<RawObject> &objects)
{
    Checker checker(objects);
    checker.checkAll();
    std::vector<ConfigFault> faults = checker.takeFaults();
    if (!faults.empty()) {
        return faults;
    }
    return makeSet(objects);
}

}
