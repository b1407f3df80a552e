#include "protocol/settingsjson.h"

namespace Apricot {

const std::vector<SettingSpec> &settingSpecs()
{
    static const std::vector<SettingSpec> specs{
        {"node", "text", "", true, "", 0, 0, "Name of the node; must be the name of its VM in the VM list."},
        {"dataCentre", "text", "", true, "", 0, 0, "Data centre that the node runs in."},
        {"peerAddress", "text", "IP:port", true, "", 0, 0, "Address for messages from other nodes, UDP and TCP."},
        {"datagramListenAddress", "text", "IP:port", false, "", 0, 0,
         "Address that the UDP socket binds to, if it differs from peerAddress because of address translation."},
        {"callerAddress", "text", "IP:port", true, "", 0, 0, "HTTP address for callers and operators."},
        {"storeUrl", "text", "URL", true, "", 0, 0, "Base URL of the platform's object API."},
        {"vmListUrl", "text", "URL", true, "", 0, 0, "URL of the platform's VM list."},
        {"peerKeys", "list of texts", "hex", true, "", 0, 0,
         "Keys that authenticate messages between nodes, 64 hex digits each; the first one signs, all are accepted."},
        {"maxBodyBytes", "whole number", "bytes", false, "1048576", 1024, 67108864, "Maximum size of a caller's request body."},
        {"ringEvents", "whole number", "events", false, "20000", 100, 1000000, "Number of events kept for the timeline."},
        {"storeTimeoutMs", "whole number", "ms", false, "1000", 50, 60000, "Timeout of one call to the store."},
        {"runTimeoutMs", "whole number", "ms", false, "2000", 100, 60000,
         "Maximum time that a non-idempotent call waits for its run record."},
        {"silenceMs", "whole number", "ms", false, "1000", 100, 60000,
         "A stream that receives no data for this long is resumed on a new connection."},
        {"drainSeconds", "whole number", "s", false, "30", 1, 3600, "Maximum time until a leaving node ends its process."},
        {"logLevel", "text", "", false, "info", 0, 0, "Minimum severity that is logged: info, warning or error."},
        {"endOnViolation", "flag", "", false, "false", 0, 0,
         "End the process when an internal invariant check fails, instead of only counting it."},
    };
    return specs;
}

Result<NodeSettings> decodeSettings(const std::string &json, const std::map<std::string, std::string> &overrides)
{
    BOOST_LEAF_AUTO(parsed, readSettings(settingSpecs(), json, overrides));
    const NodeSettingsFields defaults;
    return NodeSettings::Builder()
        .set(&NodeSettingsFields::node, NodeId(jsonText(parsed, "node")))
        .set(&NodeSettingsFields::dataCentre, DataCentreName(jsonText(parsed, "dataCentre")))
        .set(&NodeSettingsFields::peerAddress, jsonText(parsed, "peerAddress"))
        .set(&NodeSettingsFields::datagramListenAddress, jsonText(parsed, "datagramListenAddress"))
        .set(&NodeSettingsFields::callerAddress, jsonText(parsed, "callerAddress"))
        .set(&NodeSettingsFields::storeUrl, jsonText(parsed, "storeUrl"))
        .set(&NodeSettingsFields::vmListUrl, jsonText(parsed, "vmListUrl"))
        .set(&NodeSettingsFields::peerKeys, jsonTexts(parsed, "peerKeys"))
        .set(&NodeSettingsFields::maxBodyBytes, jsonInteger(parsed, "maxBodyBytes", defaults.maxBodyBytes))
        .set(&NodeSettingsFields::ringEvents, jsonInteger(parsed, "ringEvents", defaults.ringEvents))
        .set(&NodeSettingsFields::storeTimeoutMs, jsonInteger(parsed, "storeTimeoutMs", defaults.storeTimeoutMs))
        .set(&NodeSettingsFields::runTimeoutMs, jsonInteger(parsed, "runTimeoutMs", defaults.runTimeoutMs))
        .set(&NodeSettingsFields::silenceMs, jsonInteger(parsed, "silenceMs", defaults.silenceMs))
        .set(&NodeSettingsFields::drainSeconds, jsonInteger(parsed, "drainSeconds", defaults.drainSeconds))
        .set(&NodeSettingsFields::logLevel, jsonText(parsed, "logLevel", defaults.logLevel))
        .set(&NodeSettingsFields::endOnViolation, jsonFlag(parsed, "endOnViolation", defaults.endOnViolation))
        .build();
}

}
