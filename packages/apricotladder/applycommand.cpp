#include "apricotladder/commands.h"
#include "apricotladder/configdirectory.h"
#include "apricotladder/storeaccess.h"
#include "protocol/fleetjson.h"

#include <iostream>

namespace Apricot {

namespace {

/// How often a write whose reply was lost is settled by reading back.
constexpr int mostReadBacks = 5;

/// Writes one object; returns an exit code and says what happened.
int applyObject(const StoreAccess &store, const StoredObject &object)
{
    const std::string label = object.kind + "/" + object.name;
    for (int i = 0; i < mostReadBacks; ++i) {
        const auto read = collect<std::optional<StoredObject>>([&] { return store.get(object.kind, object.name); });
        if (const auto *error = std::get_if<Error>(&read)) {
            std::cout << label << ": " << error->message << "\n";
            return ExitUnreachable;
        }
        const auto &current = std::get<std::optional<StoredObject>>(read);
        if (current && jsonEquals(current->spec, object.spec)) {
            std::cout << label << (i == 0 ? ": unchanged\n" : ": written\n");
            return ExitOk;
        }
        const std::uint64_t seen = current ? current->version : 0;
        // A version in the file says on which state the edit is based: a newer one in the store is never overwritten.
        if (object.version != 0 && object.version != seen) {
            std::cout << label << ": conflict: the file is based on version " << object.version << ", the store has " << seen
                      << "; merge the two edits\n";
            return ExitFaults;
        }
        switch (store.put(object.kind, object.name, seen, object.spec)) {
        case StoreAccess::WriteEnd::Written:
            std::cout << label << ": written\n";
            return ExitOk;
        case StoreAccess::WriteEnd::Conflict:
            std::cout << label << ": conflict: another edit came in between; look at it and apply again\n";
            return ExitFaults;
        case StoreAccess::WriteEnd::Unknown:
            break; // Read back: it may have taken effect.
        case StoreAccess::WriteEnd::Failed:
            std::cout << label << ": the store refused the write; try again later\n";
            return ExitUnreachable;
        }
    }
    std::cout << label << ": unknown whether it was written; run apply again\n";
    return ExitUnreachable;
}

}

int runApply(const CommandArguments &arguments)
{
    const ConfigDirectory directory = readConfigDirectory(arguments.names.front());
    const std::vector<std::string> faults = faultsOf(directory);
    if (!faults.empty() && !arguments.has("force")) {
        for (const std::string &line : faults) {
            std::cout << line << "\n";
        }
        std::cout << faults.size()
                  << " faults; nothing was written (--force writes the objects all the same; the nodes will not put them in force)\n";
        return ExitFaults;
    }
    const StoreAccess store(arguments.flag("store"));
    int worst = ExitOk;
    for (const StoredObject &object : directory.objects) {
        worst = std::max(worst, applyObject(store, object));
    }
    return worst;
}

}
