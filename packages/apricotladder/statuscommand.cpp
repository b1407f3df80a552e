#include "apricotladder/commands.h"
#include "apricotladder/storeaccess.h"
#include "coordination/objectschema.h"
#include "protocol/jsonreader.h"
#include "protocol/timelinejson.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <iostream>

namespace Apricot {

namespace {

/// One row of the human-readable table.
struct StatusRow
{
    std::string object;
    std::uint64_t version = 0;
    std::string condition; ///< valid, invalid or pending
    std::vector<std::string> reasons;
};

std::vector<StatusRow> makeRows(const ObjectList &list)
{
    std::vector<StatusRow> rows;
    for (const StoredObject &object : list.objects) {
        StatusRow row{absl::StrCat(object.kind, "/", object.name), object.version, "pending", {}};
        const auto decoded = toVariant<ObjectStatus>([&] { return decodeObjectStatus(object.status); });
        const auto *status = std::get_if<ObjectStatus>(&decoded);
        if (status != nullptr && status->observedVersion == object.version) {
            row.condition = status->valid ? "valid" : "invalid";
            row.reasons = status->reasons;
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

/// Returns the publication status of the current generation; empty if it cannot be read.
ObjectStatus readPublicationStatus(const StoreAccess &store)
{
    const auto read = toVariant<ObjectStatus>([&]() -> Result<ObjectStatus> {
        BOOST_LEAF_AUTO(object, store.get("Pointer", "current"));
        return object && !object->status.empty() ? decodeObjectStatus(object->status) : Result<ObjectStatus>(ObjectStatus());
    });
    const auto *status = std::get_if<ObjectStatus>(&read);
    return status == nullptr ? ObjectStatus() : *status;
}

void printTable(const ObjectStatus &publication, const std::vector<StatusRow> &rows)
{
    std::cout << absl::StreamFormat("generation %d in force on %d of %d nodes; the set in the store is %s\n", publication.generation,
                                    publication.nodesInForce, publication.nodesKnown,
                                    publication.valid ? "valid" : "NOT valid: the older generation stays in force");
    std::cout << absl::StreamFormat("%-40s %8s  %s\n", "OBJECT", "VERSION", "CONDITION");
    for (const StatusRow &row : rows) {
        std::cout << absl::StreamFormat("%-40s %8d  %s\n", row.object, row.version, row.condition);
        for (const std::string &reason : row.reasons) {
            std::cout << "    " << reason << "\n";
        }
    }
}

void printJson(const ObjectStatus &publication, const std::vector<StatusRow> &rows)
{
    Json objects = Json::array();
    for (const StatusRow &row : rows) {
        objects.push_back(Json{{"object", row.object}, {"version", row.version}, {"condition", row.condition}, {"reasons", row.reasons}});
    }
    std::cout << jsonDump(Json{{"generation", publication.generation},
                               {"valid", publication.valid},
                               {"nodesInForce", publication.nodesInForce},
                               {"nodesKnown", publication.nodesKnown},
                               {"objects", std::move(objects)}})
              << "\n";
}

int printNode(const std::string &url, bool json)
{
    HttpCall call;
    call.url = url + "/v1/status";
    const HttpReply reply = HttpClient::call(call);
    const auto decoded = toVariant<NodeStatus>([&] { return decodeNodeStatus(reply.body); });
    const auto *status = std::get_if<NodeStatus>(&decoded);
    if (reply.outcome != CallOutcome::Answered || status == nullptr) {
        std::cout << url << ": cannot read the status of the node: " << reply.errorMessage << "\n";
        return ExitUnreachable;
    }
    if (json) {
        std::cout << reply.body << "\n";
        return ExitOk;
    }
    std::cout << absl::StreamFormat("node %s: generation %d, %d calls in progress, lease %s, %d violated invariants\n", status->node.text(),
                                    status->generation, status->activeCalls, status->leaseHeld ? "held" : "not held", status->violations);
    for (const Member &member : status->members) {
        const char *state = member->state == MemberState::Alive ? "alive" : member->state == MemberState::Suspect ? "suspect" : "dead";
        std::cout << absl::StreamFormat("  %-16s %-8s%s %-12s generation %d\n", member->id.text(), state, member->leaving ? " leaving" : "",
                                        member->dataCentre.text(), member->generation);
    }
    for (const SliceStatus &slice : status->slices) {
        std::cout << absl::StreamFormat("  slice %-12s waiting %d prefilling %d decoding %d pieces %d\n", slice.service.text(),
                                        slice.waiting, slice.prefilling, slice.decoding, slice.reservedPieces);
    }
    return ExitOk;
}

}

int runStatus(const CommandArguments &arguments)
{
    if (arguments.has("node")) {
        return printNode(arguments.flag("node"), arguments.has("json"));
    }
    const StoreAccess store(arguments.flag("store"));
    const auto listed = toVariant<ObjectList>([&] { return store.list(absl::StrJoin(objectKinds(), ",")); });
    if (const auto *error = std::get_if<Error>(&listed)) {
        std::cout << error->message << "\n";
        return ExitUnreachable;
    }
    const std::vector<StatusRow> rows = makeRows(std::get<ObjectList>(listed));
    const ObjectStatus publication = readPublicationStatus(store);
    if (arguments.has("json")) {
        printJson(publication, rows);
    } else {
        printTable(publication, rows);
    }
    return ExitOk;
}

int runAddress(const CommandArguments &arguments)
{
    HttpCall call;
    call.url = absl::StrCat(arguments.flag("node"), "/v1/address?service=", arguments.names.front(),
                            "&dataCentre=", arguments.flag("data-centre"));
    const HttpReply reply = HttpClient::call(call);
    if (reply.outcome != CallOutcome::Answered) {
        std::cout << arguments.flag("node") << ": does not answer: " << reply.errorMessage << "; try another node\n";
        return ExitUnreachable;
    }
    std::cout << reply.body << "\n";
    return reply.status == 200 ? ExitOk : ExitFaults;
}

}
