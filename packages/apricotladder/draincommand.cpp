#include "apricotladder/commands.h"
#include "apricotladder/storeaccess.h"
#include "protocol/jsonreader.h"

#include <iostream>

namespace Apricot {

namespace {

int drainNode(const std::string &url)
{
    HttpCall call;
    call.method = "POST";
    call.url = url + "/v1/drain";
    const HttpReply reply = HttpClient::call(call);
    if (reply.outcome != CallOutcome::Answered || reply.status != 200) {
        std::cout << url << ": the drain request failed: " << reply.errorMessage << "\n";
        return ExitUnreachable;
    }
    std::cout << url << ": leaving; the process exits when its last call has ended, at the latest after drainSeconds of its settings\n";
    return ExitOk;
}

}

int runDrain(const CommandArguments &arguments)
{
    if (arguments.has("node")) {
        return drainNode(arguments.flag("node"));
    }
    if (arguments.names.empty()) {
        std::cout << "drain: specify an endpoint, or a node with --node\n";
        return ExitUsage;
    }
    const StoreAccess store(arguments.flag("store"));
    const std::string name = arguments.names.front();
    const auto read = toVariant<std::optional<StoredObject>>([&] { return store.get("Endpoint", name); });
    if (const auto *error = std::get_if<Error>(&read)) {
        std::cout << error->message << "\n";
        return ExitUnreachable;
    }
    const auto &object = std::get<std::optional<StoredObject>>(read);
    if (!object) {
        std::cout << "Endpoint/" << name << ": does not exist; see apricotladder status\n";
        return ExitFaults;
    }
    Json spec = parseJson(object->spec);
    spec["drain"] = !arguments.has("undo");
    if (store.put("Endpoint", name, object->version, jsonDump(spec)) != StoreAccess::WriteResult::Written) {
        std::cout << "Endpoint/" << name << ": was edited in the meantime, or the store did not answer; run the command again\n";
        return ExitFaults;
    }
    std::cout << "Endpoint/" << name
              << (arguments.has("undo") ? ": accepts new work again once this is in force\n"
                                        : ": gets no new work once this is in force; its streams continue\n");
    return ExitOk;
}

}
