#include "coordination/servicepoolmap.h"

#include <utility>

namespace Apricot {

namespace {

std::vector<Grant> grantAll(ServicePool &pool, absl::Time now)
{
    std::vector<Grant> grants = pool.grantCapacity(now);
    const std::vector<Grant> plain = pool.grantPlainCalls(now);
    grants.insert(grants.end(), plain.begin(), plain.end());
    return grants;
}

}

ServicePoolMap::ServicePoolMap(GrantHandler grantHandler)
    : m_grantHandler(std::move(grantHandler))
{
}

void ServicePoolMap::setServices(const std::vector<RoutedService> &services)
{
    for (const RoutedService &service : services) {
        m_pools.update(service->name, [&](ServicePool &pool) { pool.setModel(service->model); });
    }
}

bool ServicePoolMap::apply(const EngineEntry &entry, absl::Time now)
{
    const EngineEntry before = m_entries.find(entry->id);
    if (before == entry) {
        return false;
    }
    if (!before->id.isEmpty() && before->service != entry->service) {
        m_pools.update(before->service, [&](ServicePool &pool) { pool.remove(entry->id); });
    }
    m_entries.update(entry->id, [&](EngineEntry &stored) { stored = entry; });
    m_pools.update(entry->service, [&](ServicePool &pool) { pool.apply(entry); });
    grantCapacity(entry->service, now);
    return true;
}

bool ServicePoolMap::remove(const EngineId &engine)
{
    const EngineEntry entry = m_entries.find(engine);
    if (entry->id.isEmpty()) {
        return false;
    }
    m_entries.erase(engine);
    m_pools.update(entry->service, [&](ServicePool &pool) { pool.remove(engine); });
    return true;
}

std::vector<EngineEntry> ServicePoolMap::entries() const
{
    std::vector<EngineEntry> found;
    m_entries.forEach([&](const EngineId &, const EngineEntry &entry) { found.push_back(entry); });
    return found;
}

void ServicePoolMap::release(const ServiceName &service, const EngineReservation &reservation, absl::Time now)
{
    deliverGrants(m_pools.update(service, [&](ServicePool &pool) {
        pool.release(reservation);
        return grantAll(pool, now);
    }));
}

void ServicePoolMap::grantCapacity(const ServiceName &service, absl::Time now)
{
    deliverGrants(m_pools.update(service, [&](ServicePool &pool) { return grantAll(pool, now); }));
}

void ServicePoolMap::setPeerLoads(const NodeId &node, const std::vector<EngineLoad> &loads, const std::vector<WaitingCall> &waiting,
                                  absl::Time now)
{
    struct PeerReport
    {
        std::vector<EngineLoad> loads;
        std::vector<WaitingCall> waiting;
    };
    std::map<ServiceName, PeerReport> byService;
    m_pools.forEach([&](const ServiceName &service, const ServicePool &) { byService[service]; });
    for (const EngineLoad &load : loads) {
        const EngineEntry entry = m_entries.find(load.engine);
        if (!entry->id.isEmpty()) {
            byService[entry->service].loads.push_back(load);
        }
    }
    for (const WaitingCall &call : waiting) {
        const auto it = byService.find(call.service);
        if (it != byService.end()) {
            it->second.waiting.push_back(call);
        }
    }
    for (const auto &entry : byService) {
        deliverGrants(m_pools.update(entry.first, [&](ServicePool &pool) {
            pool.setPeerLoads(node, entry.second.loads, entry.second.waiting, now);
            return grantAll(pool, now);
        }));
    }
}

void ServicePoolMap::setPeerUnreachableEngines(const NodeId &node, const std::vector<EngineId> &engines, absl::Time now)
{
    std::vector<ServiceName> services;
    m_pools.forEach([&](const ServiceName &service, const ServicePool &) { services.push_back(service); });
    for (const ServiceName &service : services) {
        m_pools.update(service, [&](ServicePool &pool) { pool.setPeerUnreachableEngines(node, engines, now); });
    }
}

std::vector<EngineId> ServicePoolMap::unreachableEngines(absl::Time now) const
{
    std::vector<EngineId> unreachable;
    m_pools.forEach([&](const ServiceName &, const ServicePool &pool) {
        const std::vector<EngineId> found = pool.unreachableEngines(now);
        unreachable.insert(unreachable.end(), found.begin(), found.end());
    });
    return unreachable;
}

std::vector<EngineLoad> ServicePoolMap::ownLoads() const
{
    std::vector<EngineLoad> loads;
    m_pools.forEach([&](const ServiceName &, const ServicePool &pool) {
        const std::vector<EngineLoad> found = pool.ownLoads();
        loads.insert(loads.end(), found.begin(), found.end());
    });
    return loads;
}

std::vector<WaitingCall> ServicePoolMap::ownWaitingCalls(absl::Time now) const
{
    std::vector<WaitingCall> waiting;
    m_pools.forEach([&](const ServiceName &service, const ServicePool &pool) {
        for (WaitingCall &call : pool.ownWaitingCalls(now)) {
            call.service = service;
            waiting.push_back(std::move(call));
        }
    });
    return waiting;
}

std::size_t ServicePoolMap::waiterCount() const
{
    std::size_t sum = 0;
    m_pools.forEach([&](const ServiceName &, const ServicePool &pool) { sum += pool.waiterCount(); });
    return sum;
}

void ServicePoolMap::deliverGrants(const std::vector<Grant> &grants) const
{
    for (const Grant &grant : grants) {
        m_grantHandler(grant);
    }
}

}
