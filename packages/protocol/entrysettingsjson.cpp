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
        {"callerAddress", "text", "IP:port", true, "", 0, 0, "Where callers send their requests."},
        {"readyAddress", "text", "IP:port", true, "", 0, 0, "Where the platform asks whether the node is ready."},
        {"discoveryAddress", "text", "IP:port", true, "", 0, 0, "Where callers ask which addresses to use."},
        {"peerAddress", "text", "IP:port", true, "", 0, 0, "Where other nodes reach it, UDP and TCP."},
        {"metricsAddress", "text", "IP:port", false, "", 0, 0, "Where its metrics are served; empty: nowhere."},
        {"seeds", "list of texts", "IP:port", false, "", 0, 0, "Peer addresses of nodes to meet first; any may be stale."},
        {"storeAddress", "text", "IP:port", true, "", 0, 0, "The platform's store."},
        {"threads", "whole number", "threads", false, "2", 1, 64, "Threads that serve calls."},
        {"addressKeepMs", "whole number", "ms", false, "2000", 100, 60000, "How long callers may keep an answer of discovery."},
        {"drainMs", "whole number", "ms", false, "2000", 1, 600000, "Time in which an engine that leaves must get no more work."},
        {"graceS", "number", "s", false, "8", 1, 3600, "From the request to stop until the process is killed."},
        {"repeatRatio", "number", "repeats a request", false, "0.1", 0, 1, "Repeats to a service for each request, over all nodes."},
        {"repeatHeadroom", "number", "repeats", false, "20", 0, 1000000,
         "Repeats within the window that are always allowed, over all nodes."},
        {"repeatWindowS", "number", "s", false, "10", 1, 600, "Window of the bound on repeats."},
        {"logLevel", "text", "", false, "info", 0, 0, "Least level that is logged: info, warning or error."},
    };
    return specs;
}

Result<EntrySettings> decodeEntrySettings(const std::string &json, const std::map<std::string, std::string> &overrides)
{
    BOOST_LEAF_AUTO(parsed, readSettings(entrySettingSpecs(), json, overrides));
    const EntrySettingsFields standard;
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
        .set(&EntrySettingsFields::threads, jsonInteger(parsed, "threads", standard.threads))
        .set(&EntrySettingsFields::addressKeepMs, jsonInteger(parsed, "addressKeepMs", standard.addressKeepMs))
        .set(&EntrySettingsFields::drainMs, jsonInteger(parsed, "drainMs", standard.drainMs))
        .set(&EntrySettingsFields::graceS, jsonNumber(parsed, "graceS", standard.graceS))
        .set(&EntrySettingsFields::repeatRatio, jsonNumber(parsed, "repeatRatio", standard.repeatRatio))
        .set(&EntrySettingsFields::repeatHeadroom, jsonNumber(parsed, "repeatHeadroom", standard.repeatHeadroom))
        .set(&EntrySettingsFields::repeatWindowS, jsonNumber(parsed, "repeatWindowS", standard.repeatWindowS))
        .set(&EntrySettingsFields::logLevel, jsonText(parsed, "logLevel", standard.logLevel))
        .build();
}

}
