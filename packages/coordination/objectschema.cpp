#include "coordination/objectschema.h"

#include <algorithm>

namespace Apricot {

const std::vector<FieldSpec> &objectSchema()
{
    using enum FieldType;
    static const std::vector<FieldSpec> schema{
        {"DataCentre", "region", Text, "", true, "", 0, 0, "", "", "Region in which the data centre is located."},
        {"Rank", "priority", Integer, "", true, "", 0, 99, "", "", "Order of service; 0 is the most urgent."},
        {"Rank", "floorShare", Number, "fraction of engine time", false, "0", 0, 1, "", "",
         "Guaranteed fraction while another rank overloads the service."},
        {"Rank", "firstTokenMs", Integer, "ms", false, "1200", 10, 600000, "", "", "Target time to the first token."},
        {"Rank", "tokenGapMs", Integer, "ms", false, "25", 1, 10000, "", "", "Target gap between tokens."},
        {"Service", "type", Text, "", true, "", 0, 0, "model|plain", "", "Whether engines serve a model or endpoints answer plain calls."},
        {"Service", "operations", TextList, "", false, "", 0, 0, "", "", "Operations of a plain service."},
        {"Service", "nonIdempotent", TextList, "", false, "", 0, 0, "", "", "Operations that run at most once per Idempotency-Key."},
        {"Service", "retryable", TextList, "", false, "", 0, 0, "", "", "Operations that may be sent again after an unknown outcome."},
        {"Service", "maxPromptTokens", Integer, "tokens", false, "20000", 1, 1000000, "", "", "Maximum length of a prompt."},
        {"Service", "maxOutputTokens", Integer, "tokens", false, "400", 1, 100000, "", "", "Maximum length of an output."},
        {"Service", "callTimeoutMs", Integer, "ms", false, "2000", 10, 600000, "", "", "Timeout of a plain call."},
        {"Service", "modelVersion", Text, "", false, "none", 0, 0, "", "", "Version of the model that engines are ordered to load."},
        {"Service", "autoRoles", Boolean, "", false, "false", 0, 0, "", "",
         "Whether engines change between prefill and decode with the measured load."},
        {"Pool", "service", Text, "", true, "", 0, 0, "", "Service", "Service that the pool serves."},
        {"Pool", "role", Text, "", true, "", 0, 0, "prefill|decode|plain", "", "Work that the endpoints of the pool perform."},
        {"Pool", "slots", Integer, "requests", false, "20", 1, 10000, "", "", "Requests that one engine decodes concurrently."},
        {"Pool", "pieces", Integer, "pieces", false, "2000", 1, 10000000, "", "", "KV cache memory of one engine."},
        {"Pool", "tokensPerPiece", Integer, "tokens", false, "16", 1, 4096, "", "", "Tokens that one piece holds."},
        {"Pool", "prefillMsPerThousandTokens", Number, "ms", false, "66", 0.01, 60000, "", "", "Initial estimate of the prefill time."},
        {"Pool", "decodeGapMs", Number, "ms", false, "15", 0.01, 10000, "", "", "Gap between tokens on an unloaded engine."},
        {"Pool", "loadedGapMs", Number, "ms", false, "22", 0.01, 10000, "", "", "Gap between tokens with all slots in use."},
        {"Pool", "transferMsPerThousandTokens", Number, "ms", false, "8", 0, 60000, "", "", "Initial estimate of the KV transfer time."},
        {"Pool", "resultLifetimeMs", Integer, "ms", false, "800", 10, 600000, "", "", "How long an engine keeps the result of a prefill."},
        {"Endpoint", "pool", Text, "", true, "", 0, 0, "", "Pool", "Pool that the endpoint belongs to."},
        {"Endpoint", "dataCentre", Text, "", true, "", 0, 0, "", "DataCentre", "Data centre in which it runs."},
        {"Endpoint", "address", Text, "IP:port", true, "", 0, 0, "", "", "Address on which it listens."},
        {"Endpoint", "drain", Boolean, "", false, "false", 0, 0, "", "", "Assign no new work and let running streams end."},
        {"Endpoint", "checksFencing", Boolean, "", false, "false", 0, 0, "", "",
         "Whether it refuses orders with an outdated fencing number."},
        {"Workspace", "weight", Number, "", false, "1", 0.01, 1000, "", "", "Weight relative to the other workspaces of the same rank."},
    };
    return schema;
}

std::vector<std::string> objectKinds()
{
    std::vector<std::string> kinds;
    for (const FieldSpec &spec : objectSchema()) {
        if (std::find(kinds.begin(), kinds.end(), spec.kind) == kinds.end()) {
            kinds.push_back(spec.kind);
        }
    }
    return kinds;
}

std::string fieldTypeName(FieldType type)
{
    switch (type) {
    case FieldType::Boolean:
        return "true or false";
    case FieldType::Integer:
        return "a whole number";
    case FieldType::Number:
        return "a number";
    case FieldType::Text:
        return "a text";
    case FieldType::TextList:
        return "a list of texts";
    }
    return "a text";
}

}
