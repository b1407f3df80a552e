#include "apricotladderd/slicehost.h"

#include "protocol/enginejson.h"
#include "transport/httpclient.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

constexpr absl::Duration tickInterval = absl::Milliseconds(50);
constexpr absl::Duration cancelInterval = absl::Seconds(1);
constexpr absl::Duration cancelTimeout = absl::Milliseconds(500);

/// Retention of a slice after another node became its owner, for coordinators that do not know the new owner yet.
constexpr absl::Duration lostSliceRetention = absl::Seconds(3);

/// Maximum number of queued cancel requests. Further ones are dropped; the orphan detector finds the requests that remain on engines.
constexpr std::size_t maxPendingCancels = 10000;

const RequestId &requestIdOf(const Action &action)
{
    return std::visit([](const auto &it) -> const RequestId & { return it.id; }, action);
}

Pool poolOf(const ConfigSet &config, const ServiceName &service, PoolRole role)
{
    for (const auto &[name, pool] : config->pools) {
        if (pool->service == service && pool->role == role) {
            return pool;
        }
    }
    return Pool::Builder().set(&PoolFields::service, service).set(&PoolFields::role, role).build();
}

}

SliceHost::SliceHost(CellService &cell, CurrentConfig &config, Journal &journal, NodeMetrics &metrics)
    : m_cell(cell)
    , m_config(config)
    , m_journal(journal)
    , m_metrics(metrics)
{
}

void SliceHost::start(LocalActionHandler onLocalActions)
{
    m_onLocalActions = std::move(onLocalActions);
    m_tickTask = std::make_unique<PeriodicTask>("slice-tick", tickInterval, [this] { tick(); });
    m_cancelTask = std::make_unique<PeriodicTask>("slice-cancel", cancelInterval, [this] { sendCancels(); });
}

void SliceHost::stop()
{
    m_tickTask.reset();
    m_cancelTask.reset();
}

void SliceHost::handleEvents(const ServiceName &service, const NodeId &from, const std::vector<Event> &events)
{
    const std::shared_ptr<Slice> slice = findOrCreateSlice(service);
    if (!slice) {
        return;
    }
    ActionsByNode actionsByNode;
    std::vector<RankLimit> limits;
    {
        const MutexLock lock(slice->mutex);
        const absl::Time now = absl::Now();
        for (const Event &event : events) {
            if (const auto *arrival = std::get_if<WorkArrived>(&event)) {
                slice->coordinators[arrival->work->id] = from;
            } else if (const auto *renewal = std::get_if<WorkRenewed>(&event)) {
                slice->coordinators[renewal->work->id] = from;
            }
            routeActions(*slice, slice->scheduler->handle(event, now), &actionsByNode);
        }
        limits = slice->scheduler->limits(now);
    }
    sendActions(service, actionsByNode, limits);
}

std::vector<ServiceName> SliceHost::hostedServices() const
{
    std::vector<ServiceName> services;
    m_slices.forEach([&](const ServiceName &service, const std::shared_ptr<Slice> &) { services.push_back(service); });
    std::sort(services.begin(), services.end());
    return services;
}

SliceCounts SliceHost::counts(const ServiceName &service) const
{
    const std::shared_ptr<Slice> slice = m_slices.find(service);
    if (!slice) {
        return {};
    }
    const MutexLock lock(slice->mutex);
    return slice->scheduler->counts();
}

void SliceHost::handleConfigChange()
{
    for (const ServiceName &service : hostedServices()) {
        const std::shared_ptr<Slice> slice = m_slices.find(service);
        if (!slice) {
            continue;
        }
        std::vector<Endpoint> endpoints;
        std::unique_ptr<SliceScheduler> scheduler = makeScheduler(service, &endpoints);
        if (!scheduler) {
            m_slices.erase(service);
            continue;
        }
        const MutexLock lock(slice->mutex);
        // The state of the old scheduler need not be copied: renewals and resent requests of the coordinators rebuild it in the
        // new scheduler within one renewal interval.
        slice->scheduler = std::move(scheduler);
        slice->endpoints = std::move(endpoints);
    }
}

std::shared_ptr<SliceHost::Slice> SliceHost::findOrCreateSlice(const ServiceName &service)
{
    if (std::shared_ptr<Slice> slice = m_slices.find(service)) {
        return slice;
    }
    std::vector<Endpoint> endpoints;
    std::unique_ptr<SliceScheduler> scheduler = makeScheduler(service, &endpoints);
    if (!scheduler) {
        return nullptr;
    }
    auto slice = std::make_shared<Slice>();
    {
        const MutexLock lock(slice->mutex);
        slice->scheduler = std::move(scheduler);
        slice->endpoints = std::move(endpoints);
    }
    if (m_slices.insert(service, slice)) {
        m_journal.info(RequestId(), "slice.owned", absl::StrCat("slice ", service.text(), " is hosted on this node"));
    }
    return m_slices.find(service);
}

std::unique_ptr<SliceScheduler> SliceHost::makeScheduler(const ServiceName &service, std::vector<Endpoint> *endpoints) const
{
    const std::shared_ptr<const ConfigSet> config = m_config.current();
    const auto it = (*config)->services.find(service);
    if (it == (*config)->services.end() || it->second->type != ServiceType::Model) {
        return nullptr;
    }
    SchedulerSettings settings;
    settings.prefillPool = poolOf(*config, service, PoolRole::Prefill);
    settings.decodePool = poolOf(*config, service, PoolRole::Decode);
    settings.prefillEndpoints = endpointsOf(*config, service, PoolRole::Prefill);
    settings.decodeEndpoints = endpointsOf(*config, service, PoolRole::Decode);
    for (const auto &[name, rank] : (*config)->ranks) {
        settings.ranks.push_back(rank);
    }
    for (const auto &[name, workspace] : (*config)->workspaces) {
        settings.weights[name] = workspace->weight;
    }
    settings.startedAt = absl::Now();
    settings.conservativeStart = true;
    *endpoints = settings.prefillEndpoints;
    endpoints->insert(endpoints->end(), settings.decodeEndpoints.begin(), settings.decodeEndpoints.end());
    auto scheduler = std::make_unique<SliceScheduler>(std::move(settings));
    reportLeavingEngines(*scheduler, *endpoints);
    return scheduler;
}

void SliceHost::reportLeavingEngines(SliceScheduler &scheduler, const std::vector<Endpoint> &endpoints) const
{
    for (const Endpoint &endpoint : endpoints) {
        if (m_cell.isLeavingVm(endpoint->name)) {
            scheduler.handle(EngineLeaving{EngineId(endpoint->name)}, absl::Now());
        }
    }
}

void SliceHost::routeActions(Slice &slice, const Actions &actions, ActionsByNode *actionsByNode)
{
    for (const Action &action : actions) {
        if (const auto *cancel = std::get_if<CancelOnEngine>(&action)) {
            enqueueCancel(*cancel);
            continue;
        }
        const auto it = slice.coordinators.find(requestIdOf(action));
        if (it != slice.coordinators.end()) {
            (*actionsByNode)[it->second].push_back(action);
        }
    }
}

void SliceHost::sendActions(const ServiceName &service, const ActionsByNode &actionsByNode, const std::vector<RankLimit> &limits)
{
    for (const auto &[node, actions] : actionsByNode) {
        if (node == m_cell.self()) {
            m_onLocalActions(service, actions, limits);
        } else {
            m_cell.send(node, OwnerActionsMessage{service, m_cell.self(), m_journal.nextTimestamp(), actions, limits});
        }
    }
}

void SliceHost::createOwnedSlices()
{
    // A slice is hosted even if no request for it arrives, so that requests of an earlier owner that still occupy engines are
    // detected.
    const std::shared_ptr<const ConfigSet> config = m_config.current();
    for (const auto &[name, service] : (*config)->services) {
        if (service->type == ServiceType::Model && m_cell.ownerOf(name) == m_cell.self()) {
            findOrCreateSlice(name);
        }
    }
}

void SliceHost::tick()
{
    const absl::Time now = absl::Now();
    createOwnedSlices();
    for (const ServiceName &service : hostedServices()) {
        const std::shared_ptr<Slice> slice = m_slices.find(service);
        if (!slice) {
            continue;
        }
        const bool isOwner = m_cell.ownerOf(service) == m_cell.self();
        ActionsByNode actionsByNode;
        std::vector<RankLimit> limits;
        SliceCounts counts;
        bool expired = false;
        {
            const MutexLock lock(slice->mutex);
            slice->ownershipLostAt = isOwner ? absl::InfiniteFuture() : std::min(slice->ownershipLostAt, now);
            expired = now - slice->ownershipLostAt > lostSliceRetention;
            reportLeavingEngines(*slice->scheduler, slice->endpoints);
            // Only the owner expires requests that are not renewed, as coordinators send renewals to the new owner after a
            // hand-over.
            if (isOwner) {
                routeActions(*slice, slice->scheduler->handle(Tick{}, now), &actionsByNode);
            }
            limits = slice->scheduler->limits(now);
            counts = slice->scheduler->counts();
            if (counts.waiting + counts.prefilling + counts.awaitingSlot + counts.decoding == 0) {
                slice->coordinators.clear();
            }
        }
        m_metrics.setReservedPieces(service.text(), static_cast<double>(counts.reservedPieces));
        m_metrics.setWaitingRequests(service.text(), static_cast<double>(counts.waiting));
        sendActions(service, actionsByNode, limits);
        if (expired) {
            m_slices.erase(service);
            m_journal.info(RequestId(), "slice.handedOver", absl::StrCat("slice ", service.text(), " is no longer hosted on this node"));
        }
    }
}

void SliceHost::enqueueCancel(const CancelOnEngine &action)
{
    {
        const MutexLock lock(m_cancelMutex);
        if (m_pendingCancels.size() < maxPendingCancels) {
            m_pendingCancels.push_back(action);
        }
    }
    if (m_cancelTask) {
        m_cancelTask->wake();
    }
}

void SliceHost::sendCancels()
{
    while (true) {
        CancelOnEngine cancel;
        {
            const MutexLock lock(m_cancelMutex);
            if (m_pendingCancels.empty()) {
                return;
            }
            cancel = m_pendingCancels.front();
            m_pendingCancels.pop_front();
        }
        const std::shared_ptr<const ConfigSet> config = m_config.current();
        const auto it = (*config)->endpoints.find(cancel.engine.text());
        if (it == (*config)->endpoints.end()) {
            continue;
        }
        HttpCall call;
        call.method = "POST";
        call.url = absl::StrCat("http://", it->second->address, "/v1/cancel");
        call.body = encodeCancelRequest(CancelRequest{cancel.id, cancel.attempt});
        call.timeout = cancelTimeout;
        call.maxBodyBytes = maxEngineMessageBytes;
        HttpClient::call(call);
        m_journal.record(cancel.id, "engine.cancelled", cancel.engine.text());
    }
}

}
