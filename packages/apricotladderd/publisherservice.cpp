#include "apricotladderd/publisherservice.h"

#include "coordination/configvalidator.h"
#include "coordination/generationtracker.h"
#include "coordination/objectschema.h"
#include "coordination/ownership.h"
#include "protocol/snapshotcodec.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

constexpr absl::Duration publishInterval = absl::Milliseconds(300);
constexpr absl::Duration watchTimeout = absl::Milliseconds(500);

/// Number of nodes that try to acquire the lease. The other nodes make no store calls for it.
constexpr std::size_t maxLeaseCandidates = 3;

std::string configKinds()
{
    return absl::StrJoin(objectKinds(), ",");
}

std::string objectLabel(const StoredObject &object)
{
    return absl::StrCat(object.kind, "/", object.name);
}

}

PublisherService::PublisherService(CellService &cell, StoreClient &store, Journal &journal, NodeMetrics &metrics)
    : m_cell(cell)
    , m_store(store)
    , m_journal(journal)
    , m_metrics(metrics)
    , m_lease(cell.self())
{
}

void PublisherService::start()
{
    m_task = std::make_unique<PeriodicTask>("publisher", publishInterval, [this] { run(); });
}

void PublisherService::stop()
{
    m_task.reset();
}

void PublisherService::run()
{
    // The holder keeps renewing the lease when nodes that precede it in the order join. Only a leaving holder stops renewing.
    const bool leaving = (*m_cell.find(m_cell.self()))->leaving;
    if (isCandidate() || (m_holdsLease && !leaving)) {
        acquireOrRenewLease();
    }
    const bool holds = m_lease.holds(absl::Now());
    if (holds != m_holdsLease) {
        m_journal.info(RequestId(), holds ? "lease.taken" : "lease.lost", absl::StrCat("fencing number ", m_lease.fence()));
        m_upToDate = false;
        m_writtenStatuses.clear();
        m_lastPublicationStatus.clear();
    }
    m_holdsLease = holds;
    m_leaseExpiryMicros = holds ? absl::ToUnixMicros(m_lease.heldUntil()) : 0;
    m_metrics.setLeaseHeld(holds);
    if (holds) {
        publishIfChanged();
    }
}

bool PublisherService::isCandidate() const
{
    const std::vector<NodeId> order = nodesByPreference("publisher", m_cell.owners());
    const auto it = std::find(order.begin(), order.end(), m_cell.self());
    return it != order.end() && static_cast<std::size_t>(it - order.begin()) < maxLeaseCandidates;
}

void PublisherService::acquireOrRenewLease()
{
    const auto read = toVariant<Lease>([&]() -> Result<Lease> {
        BOOST_LEAF_AUTO(object, m_store.get("Lease", "publisher"));
        return object ? decodeLease(*object) : Result<Lease>(Lease());
    });
    const auto *stored = std::get_if<Lease>(&read);
    if (stored == nullptr) {
        return;
    }
    if ((*stored)->holder != m_cell.self()) {
        m_lease.recordLost();
    }
    const absl::Time sentAt = absl::Now();
    const std::optional<Lease> newLease = m_lease.leaseToWrite(*stored, sentAt);
    if (!newLease) {
        return;
    }
    const StoreWriteResult result = m_store.put("Lease", "publisher", (*newLease)->version, encodeLease(*newLease));
    if (const auto *written = std::get_if<StoreWritten>(&result)) {
        m_lease.recordWritten(*newLease, written->version, sentAt);
    } else if (std::holds_alternative<StoreVersionConflict>(result)) {
        m_lease.recordLost();
    }
    // After a lost reply, the next run reads the lease and finds out whether the write took effect.
}

void PublisherService::publishIfChanged()
{
    if (m_upToDate) {
        const auto changes = toVariant<ObjectList>([&] { return m_store.watch(configKinds(), m_seenVersion, watchTimeout); });
        const auto *list = std::get_if<ObjectList>(&changes);
        if (list == nullptr || list->objects.empty()) {
            writePublicationStatus(m_publishedGeneration, m_valid, m_reasons);
            return;
        }
    }
    const auto listed = toVariant<ObjectList>([&] { return m_store.list(configKinds()); });
    const auto *list = std::get_if<ObjectList>(&listed);
    if (list == nullptr) {
        return;
    }
    m_seenVersion = list->version;
    m_upToDate = false;
    if (!list->objects.empty()) {
        publish(list->objects);
    }
}

void PublisherService::publish(const std::vector<StoredObject> &objects)
{
    std::vector<RawObject> rawObjects;
    std::map<std::string, std::vector<std::string>> reasons;
    for (const StoredObject &object : objects) {
        const auto decoded = toVariant<RawObject>([&] { return rawObjectOf(object); });
        if (const auto *raw = std::get_if<RawObject>(&decoded)) {
            rawObjects.push_back(*raw);
        } else {
            reasons[objectLabel(object)].push_back(std::get<Error>(decoded).message);
        }
    }
    const auto checked = validateConfig(rawObjects);
    if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&checked)) {
        for (const ConfigFault &fault : *faults) {
            reasons[fault.object].push_back(absl::StrCat(fault.field, ": ", fault.problem, "; ", fault.remedy));
        }
    }
    const auto pointer = toVariant<std::pair<std::uint64_t, Generation>>([&]() -> Result<std::pair<std::uint64_t, Generation>> {
        BOOST_LEAF_AUTO(object, m_store.get("Pointer", "current"));
        if (!object) {
            return std::pair<std::uint64_t, Generation>{0, Generation()};
        }
        BOOST_LEAF_AUTO(generation, decodeGeneration(*object));
        return std::pair(object->version, generation);
    });
    const auto *current = std::get_if<std::pair<std::uint64_t, Generation>>(&pointer);
    if (current == nullptr) {
        return;
    }
    m_publishedGeneration = current->second;
    m_valid = reasons.empty();
    m_reasons.clear();
    for (const auto &[object, list] : reasons) {
        m_reasons.push_back(absl::StrCat(object, ": ", absl::StrJoin(list, " | ")));
    }
    if (m_valid) {
        const std::string snapshot = encodeSnapshot(objects);
        const std::optional<Generation> next = nextGeneration(current->second, snapshotHash(snapshot), splitSnapshot(snapshot).size());
        if (next) {
            if (!writeSnapshot(snapshot, *next)) {
                return;
            }
            const StoreWriteResult result = m_store.put("Pointer", "current", current->first, encodeGeneration(*next));
            if (!std::holds_alternative<StoreWritten>(result)) {
                // The reply was lost or the write refused. The next run reads the pointer again.
                return;
            }
            m_publishedGeneration = *next;
            m_journal.info(RequestId(), "config.published",
                           absl::StrCat("generation ", (*next)->number, " with ", objects.size(), " objects"));
        }
    } else {
        m_journal.warning(RequestId(), "config.rejected", absl::StrJoin(m_reasons, " / "));
    }
    writeStatuses(objects, reasons, m_publishedGeneration);
    writePublicationStatus(m_publishedGeneration, m_valid, m_reasons);
    m_upToDate = true;
}

bool PublisherService::writeSnapshot(const std::string &snapshot, const Generation &next)
{
    const std::vector<std::string> chunks = splitSnapshot(snapshot);
    for (std::size_t i = 0; i < chunks.size(); ++i) {
        // The name of a chunk contains the hash of its content, so an existing chunk is identical.
        const StoreWriteResult result = m_store.put("Snapshot", chunkName(next->hash, i), 0, encodeChunk(chunks[i]));
        if (!std::holds_alternative<StoreWritten>(result) && !std::holds_alternative<StoreVersionConflict>(result)) {
            return false;
        }
    }
    return true;
}

void PublisherService::writeStatuses(const std::vector<StoredObject> &objects,
                                     const std::map<std::string, std::vector<std::string>> &reasons, const Generation &generation)
{
    for (const StoredObject &object : objects) {
        ObjectStatus status;
        status.observedVersion = object.version;
        const auto it = reasons.find(objectLabel(object));
        status.valid = it == reasons.end();
        status.reasons = status.valid ? std::vector<std::string>() : it->second;
        status.generation = generation->number;
        const auto old = toVariant<ObjectStatus>([&] { return decodeObjectStatus(object.status); });
        if (const auto *known = std::get_if<ObjectStatus>(&old)) {
            // The status keeps the generation that was active when this version was first validated, so an otherwise equal status is
            // not written again.
            const bool same
                = known->observedVersion == status.observedVersion && known->valid == status.valid && known->reasons == status.reasons;
            if (same) {
                continue;
            }
        }
        const std::string text = encodeObjectStatus(status);
        std::string &written = m_writtenStatuses[objectLabel(object)];
        if (written != text && std::holds_alternative<StoreWritten>(m_store.putStatus(object.kind, object.name, text))) {
            written = text;
        }
    }
}

void PublisherService::writePublicationStatus(const Generation &generation, bool valid, const std::vector<std::string> &reasons)
{
    if (generation->number == 0) {
        // The pointer object does not exist yet, so its status cannot be written.
        return;
    }
    ObjectStatus status;
    status.valid = valid;
    status.reasons = reasons;
    status.generation = generation->number;
    for (const Member &member : m_cell.members()) {
        if (member->state != MemberState::Dead) {
            ++status.nodesKnown;
            status.nodesInForce += member->generation >= generation->number ? 1 : 0;
        }
    }
    const std::string text = encodeObjectStatus(status);
    if (text != m_lastPublicationStatus && std::holds_alternative<StoreWritten>(m_store.putStatus("Pointer", "current", text))) {
        m_lastPublicationStatus = text;
    }
}

}
