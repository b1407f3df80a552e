#include "protocol/entrysettingsjson.h"

namespace Apricot {

namespace {

double jsonNumber(const Json &json, const char *key, double fallback)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_number() ? it->get<double>() : fallback;
}

}

const std::vector<SettingSpec> &entrySettingSpecs()
{
    static const std::vector<SettingSpec> specs{
        {"node", "text", "", true, "", 0, 0, "Name of the node."},
        {"dataCentre", "text", "", true, "", 0, 0, "Data centre that the node runs in."},
        {"callerAddress", "text", "IP:port", true, "", 0, 0, "Address for requests of callers."},
        {"readyAddress", "text", "IP:port", true, "", 0, 0, "Address of the readiness check that the platform calls."},
        {"discoveryAddress", "text", "IP:port", true, "", 0, 0,
         "Address of the discovery service, which tells callers the addresses to use."},
        {"peerAddress", "text", "IP:port", true, "", 0, 0, "Address for messages from other nodes, UDP and TCP."},
        {"metricsAddress", "text", "IP:port", false, "", 0, 0, "Address of the metrics endpoint; empty disables it."},
        {"seeds", "list of texts", "IP:port", false, "", 0, 0,
         "Peer addresses of the nodes to contact first; some of them may be out of date."},
        {"storeAddress", "text", "IP:port", true, "", 0, 0, "Address of the platform's store."},
        {"threads", "whole number", "threads", false, "2", 1, 64, "Number of threads that serve calls."},
        {"addressKeepMs", "whole number", "ms", false, "2000", 100, 60000, "How long callers may cache a discovery response."},
        {"drainMs", "whole number", "ms", false, "2000", 1, 600000, "Time after which a leaving engine must receive no new calls."},
        {"configApplyMs", "whole number", "ms", false, "2000", 1, 600000,
         "Time after which a change of the desired state must be in force."},
        {"graceS", "number", "s", false, "8", 1, 3600, "Time between the platform's stop request and its forced end of the process."},
        {"repeatRatio", "number", "repeats a request", false, "0.1", 0, 1,
         "Maximum ratio of retries to requests for each service, over all nodes."},
        {"repeatHeadroom", "number", "repeats", false, "20", 0, 1000000,
         "Retries that are always allowed within the window, over all nodes."},
        {"repeatWindowS", "number", "s", false, "10", 1, 600, "Time window of the retry limit."},
        {"allowanceWindowS", "number", "s", false, "8", 1, 600, "Time window of the limits of workspaces."},
        {"allowanceOverage", "number", "fraction", false, "0", 0, 1,
         "Part by which all nodes together may exceed a workspace's limit in a window; 0 keeps the limit strictly."},
        {"allowanceHeadroom", "number", "tokens or requests", false, "0", 0, 1000000000,
         "Amount by which all nodes together may exceed a workspace's limit in a window."},
        {"processorShare", "number", "cores", false, "1", 0, 1000,
         "Processor cores that the node may use. Callers are directed to the nodes with the most, as many as the load needs."},
        {"callerBytes", "whole number", "bytes", false, "33554432", 1048576, 1099511627776,
         "Memory that the node may use for its callers: connections, requests, answers and what waits to be sent."},
        {"callerBytesPerAddress", "whole number", "bytes", false, "29360128", 65536, 1099511627776,
         "The same for all callers of one IP address."},
        {"callerBytesPerConnection", "whole number", "bytes", false, "16777216", 65536, 1099511627776,
         "The same for one connection; a request body counts twice."},
        {"callerConnections", "whole number", "connections", false, "0", 0, 1000000,
         "Maximum number of connections of callers; 0: half of the descriptors that files leave, at most 10,000."},
        {"callerReceiveS", "number", "s", false, "60", 1, 86400,
         "Maximum time to receive a whole request, also while its bytes keep arriving."},
        {"logLevel", "text", "", false, "info", 0, 0, "Minimum severity that is logged: info, warning or error."},
    };
    return specs;
}

Result<EntrySettings> decodeEntrySettings(const std::string &json, const std::map<std::string, std::string> &overrides)
{
    BOOST_LEAF_AUTO(parsed, readSettings(entrySettingSpecs(), json, overrides));
    const EntrySettingsFields defaults;
    return EntrySettings::Builder()
        .set(&EntrySettingsFields::node, NodeId(jsonText(parsed, "node")))
        .set(&EntrySettingsFields::dataCentre, DataCentreName(jsonText(parsed, "dataCentre")))
        .set(&EntrySettingsFields::callerAddress, jsonText(parsed, "callerAddress"))
        .set(&EntrySettingsFields::readyAddress, jsonText(parsed, "readyAddress"))
        .set(&EntrySettingsFields::discoveryAddress, jsonText(parsed, "discoveryAddress"))
        .set(&EntrySettingsFields::peerAddress, jsonText(parsed, "peerAddress"))
        .set(&EntrySettingsFields::metricsAddress, jsonText(parsed, "metricsAddress"))
        .set(&EntrySettingsFields::seeds, jsonTexts(parsed, "seeds"))
        .set(&EntrySettingsFields::storeAddress, jsonText(parsed, "storeAddress"))
        .set(&EntrySettingsFields::threads, jsonInteger(parsed, "threads", defaults.threads))
        .set(&EntrySettingsFields::addressKeepMs, jsonInteger(parsed, "addressKeepMs", defaults.addressKeepMs))
        .set(&EntrySettingsFields::drainMs, jsonInteger(parsed, "drainMs", defaults.drainMs))
        .set(&EntrySettingsFields::configApplyMs, jsonInteger(parsed, "configApplyMs", defaults.configApplyMs))
        .set(&EntrySettingsFields::graceS, jsonNumber(parsed, "graceS", defaults.graceS))
        .set(&EntrySettingsFields::repeatRatio, jsonNumber(parsed, "repeatRatio", defaults.repeatRatio))
        .set(&EntrySettingsFields::repeatHeadroom, jsonNumber(parsed, "repeatHeadroom", defaults.repeatHeadroom))
        .set(&EntrySettingsFields::repeatWindowS, jsonNumber(parsed, "repeatWindowS", defaults.repeatWindowS))
        .set(&EntrySettingsFields::allowanceWindowS, jsonNumber(parsed, "allowanceWindowS", defaults.allowanceWindowS))
        .set(&EntrySettingsFields::allowanceOverage, jsonNumber(parsed, "allowanceOverage", defaults.allowanceOverage))
        .set(&EntrySettingsFields::allowanceHeadroom, jsonNumber(parsed, "allowanceHeadroom", defaults.allowanceHeadroom))
        .set(&EntrySettingsFields::processorShare, jsonNumber(parsed, "processorShare", defaults.processorShare))
        .set(&EntrySettingsFields::callerBytes, jsonInteger(parsed, "callerBytes", defaults.callerBytes))
        .set(&EntrySettingsFields::callerBytesPerAddress, jsonInteger(parsed, "callerBytesPerAddress", defaults.callerBytesPerAddress))
        .set(&EntrySettingsFields::callerBytesPerConnection,
             jsonInteger(parsed, "callerBytesPerConnection", defaults.callerBytesPerConnection))
        .set(&EntrySettingsFields::callerConnections, jsonInteger(parsed, "callerConnections", defaults.callerConnections))
        .set(&EntrySettingsFields::callerReceiveS, jsonNumber(parsed, "callerReceiveS", defaults.callerReceiveS))
        .set(&EntrySettingsFields::logLevel, jsonText(parsed, "logLevel", defaults.logLevel))
        .build();
}

}
