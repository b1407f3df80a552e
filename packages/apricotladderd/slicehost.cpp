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
constexpr absl::Duration cancelLimit = absl::Milliseconds(500);

/// Retention of a slice after another node became its owner, for coordinators that do not know the new owner yet.
constexpr absl::Duration keepLostSlice = absl::Seconds(3);

/// Maximum number of queued cancel orders. Further ones are dropped: the orphan collection cancels these requests.
constexpr std::size_t mostCancels = 10000;

const RequestId &requestOf(const Action &action)
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

void SliceHost::start(LocalDelivery delivery)
{
    m_delivery = std::move(delivery);
    m_ticks = std::make_unique<PeriodicTask>("slice-tick", tickInterval, [this] { tick(); });
    m_cancelTask = std::make_unique<PeriodicTask>("slice-cancel", cancelInterval, [this] { runCancels(); });
}

void SliceHost::stop()
{
    m_ticks.reset();
    m_cancelTask.reset();
}

void SliceHost::handle(const ServiceName &service, const NodeId &from, const std::vector<Event> &events)
{
    const std::shared_ptr<Slice> slice = sliceFor(service);
    if (!slice) {
        return;
    }
    ActionsByNode routed;
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
            addRouted(*slice, slice->scheduler->handle(event, now), &routed);
        }
        limits = slice->scheduler->limits(now);
    }
    deliver(service, routed, limits);
}

std::vector<ServiceName> SliceHost::hosted() const
{
    std::vector<ServiceName> found;
    m_slices.forEach([&](const ServiceName &service, const std::shared_ptr<Slice> &) { found.push_back(service); });
    std::sort(found.begin(), found.end());
    return found;
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

void SliceHost::configChanged()
{
    for (const ServiceName &service : hosted()) {
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
        // The state of the old scheduler need not be copied: renewals and repeated requests of the coordinators rebuild it in the
        // new scheduler within one renewal interval.
        slice->scheduler = std::move(scheduler);
        slice->endpoints = std::move(endpoints);
    }
}

std::shared_ptr<SliceHost::Slice> SliceHost::sliceFor(const ServiceName &service)
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
    settings.careful = true;
    *endpoints = settings.prefillEndpoints;
    endpoints->insert(endpoints->end(), settings.decodeEndpoints.begin(), settings.decodeEndpoints.end());
    auto scheduler = std::make_unique<SliceScheduler>(std::move(settings));
    noteLeaving(*scheduler, *endpoints);
    return scheduler;
}

void SliceHost::noteLeaving(SliceScheduler &scheduler, const std::vector<Endpoint> &endpoints) const
{
    for (const Endpoint &endpoint : endpoints) {
        if (m_cell.isLeavingVm(endpoint->name)) {
            scheduler.handle(EngineLeaving{EngineId(endpoint->name)}, absl::Now());
        }
    }
}

void SliceHost::addRouted(Slice &slice, const Actions &actions, ActionsByNode *routed)
{
    for (const Action &action : actions) {
        if (const auto *cancel = std::get_if<CancelOnEngine>(&action)) {
            cancelOnEngine(*cancel);
            continue;
        }
        const auto it = slice.coordinators.find(requestOf(action));
        if (it != slice.coordinators.end()) {
            (*routed)[it->second].push_back(action);
        }
    }
}

void SliceHost::deliver(const ServiceName &service, const ActionsByNode &routed, const std::vector<RankLimit> &limits)
{
    for (const auto &[node, actions] : routed) {
        if (node == m_cell.self()) {
            m_delivery(service, actions, limits);
        } else {
            m_cell.send(node, OwnerActionsMessage{service, m_cell.self(), m_journal.stamp(), actions, limits});
        }
    }
}

void SliceHost::hostOwnSlices()
{
    // A slice is hosted even if no request for it arrives, so that requests of an earlier owner that still occupy engines are
    // detected.
    const std::shared_ptr<const ConfigSet> config = m_config.current();
    for (const auto &[name, service] : (*config)->services) {
        if (service->type == ServiceType::Model && m_cell.ownerOf(name) == m_cell.self()) {
            sliceFor(name);
        }
    }
}

void SliceHost::tick()
{
    const absl::Time now = absl::Now();
    hostOwnSlices();
    for (const ServiceName &service : hosted()) {
        const std::shared_ptr<Slice> slice = m_slices.find(service);
        if (!slice) {
            continue;
        }
        const bool mine = m_cell.ownerOf(service) == m_cell.self();
        ActionsByNode routed;
        std::vector<RankLimit> limits;
        SliceCounts counts;
        bool expired = false;
        {
            const MutexLock lock(slice->mutex);
            slice->lostAt = mine ? absl::InfiniteFuture() : std::min(slice->lostAt, now);
            expired = now - slice->lostAt > keepLostSlice;
            noteLeaving(*slice->scheduler, slice->endpoints);
            // Only the owner expires requests that are not renewed, as coordinators send renewals to the new owner after a
            // hand-over.
            if (mine) {
                addRouted(*slice, slice->scheduler->handle(Tick{}, now), &routed);
            }
            limits = slice->scheduler->limits(now);
            counts = slice->scheduler->counts();
            if (counts.waiting + counts.prefilling + counts.resultsWaiting + counts.decoding == 0) {
                slice->coordinators.clear();
            }
        }
        m_metrics.setReservedPieces(service.text(), static_cast<double>(counts.reservedPieces));
        m_metrics.setWaiting(service.text(), static_cast<double>(counts.waiting));
        deliver(service, routed, limits);
        if (expired) {
            m_slices.erase(service);
            m_journal.info(RequestId(), "slice.handedOver", absl::StrCat("slice ", service.text(), " is no longer hosted on this node"));
        }
    }
}

void SliceHost::cancelOnEngine(const CancelOnEngine &action)
{
    {
        const MutexLock lock(m_cancelMutex);
        if (m_cancels.size() < mostCancels) {
            m_cancels.push_back(action);
        }
    }
    if (m_cancelTask) {
        m_cancelTask->wake();
    }
}

void SliceHost::runCancels()
{
    while (true) {
        CancelOnEngine cancel;
        {
            const MutexLock lock(m_cancelMutex);
            if (m_cancels.empty()) {
                return;
            }
            cancel = m_cancels.front();
            m_cancels.pop_front();
        }
        const std::shared_ptr<const ConfigSet> config = m_config.current();
        const auto it = (*config)->endpoints.find(cancel.engine.text());
        if (it == (*config)->endpoints.end()) {
            continue;
        }
        HttpCall call;
        call.method = "POST";
        call.url = absl::StrCat("http://", it->second->address, "/v1/cancel");
        call.body = encodeCancel(CancelOrder{cancel.id, cancel.attempt});
        call.limit = cancelLimit;
        HttpClient::call(call);
        m_journal.record(cancel.id, "engine.cancelled", cancel.engine.text());
    }
}

}
