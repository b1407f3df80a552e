#include "apricotladderd/fleetservice.h"

#include "protocol/fleetjson.h"
#include "transport/httpclient.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>

namespace Apricot {

namespace {

constexpr absl::Duration reconcileInterval = absl::Seconds(1);
constexpr absl::Duration engineTimeout = absl::Milliseconds(300);

const std::string engineWishKind = "EngineWish";
const std::string roleChangeKind = "RoleChange";

}

FleetService::FleetService(CellService &cell, CurrentConfig &config, StoreClient &store, PublisherService &publisher, Journal &journal)
    : m_cell(cell)
    , m_config(config)
    , m_store(store)
    , m_publisher(publisher)
    , m_journal(journal)
{
}

void FleetService::start()
{
    m_task = std::make_unique<PeriodicTask>("fleet", reconcileInterval, [this] { run(); });
}

void FleetService::stop()
{
    m_task.reset();
}

void FleetService::run()
{
    const absl::Time now = absl::Now();
    const bool holdsLease = m_publisher.holdsLease();
    if (holdsLease && !m_objectsLoaded) {
        loadObjects(now);
    }
    m_objectsLoaded = holdsLease && m_objectsLoaded;
    if (!m_objectsLoaded) {
        return;
    }
    const std::shared_ptr<const ConfigSet> config = m_config.current();
    for (const auto &[name, service] : (*config)->services) {
        if (service->type == ServiceType::Model && service->autoRoles) {
            balanceRoles(*config, service, now);
        }
    }
    reconcileEngines(*config, now);
}

void FleetService::loadObjects(absl::Time now)
{
    const auto listed = toVariant<ObjectList>([&] { return m_store.list(engineWishKind + "," + roleChangeKind); });
    const auto *list = std::get_if<ObjectList>(&listed);
    if (list == nullptr) {
        return;
    }
    m_cachedObjects.clear();
    m_changes.clear();
    m_balancers.clear();
    for (const StoredObject &object : list->objects) {
        m_cachedObjects[absl::StrCat(object.kind, "/", object.name)] = CachedObject{object.version, object.spec};
        if (object.kind == roleChangeKind) {
            // A role change that an earlier lease holder began is continued from its stored phase.
            const auto change = toVariant<RoleChange>([&] { return decodeRoleChange(object); });
            const auto *it = std::get_if<RoleChange>(&change);
            if (it != nullptr && (*it)->phase != RoleChangePhase::Done) {
                m_changes.emplace(ServiceName(object.name), *it);
            }
        }
    }
    m_roleOrders.recordLeaseAcquired(now);
    m_objectsLoaded = true;
}

void FleetService::reconcileEngines(const ConfigSet &config, absl::Time now)
{
    for (const auto &[name, endpoint] : config->endpoints) {
        const auto pool = config->pools.find(endpoint->pool);
        if (pool == config->pools.end() || pool->second->role == PoolRole::Plain) {
            continue;
        }
        const Service &service = config->services.at(pool->second->service);
        const bool isManaged
            = service->autoRoles || !service->modelVersion.empty() || m_cachedObjects.contains(absl::StrCat(engineWishKind, "/", name));
        if (isManaged) {
            reconcileEngine(endpoint, pool->second, service, now);
        }
    }
}

void FleetService::reconcileEngine(const Endpoint &endpoint, const Pool &pool, const Service &service, absl::Time now)
{
    const std::string engineWish = encodeEngineWish(roleName(pool->role), service->name.text(), service->modelVersion);
    const auto cached = m_cachedObjects.find(absl::StrCat(engineWishKind, "/", endpoint->name));
    const bool written = cached != m_cachedObjects.end() && jsonEquals(cached->second.spec, engineWish);
    const DesiredRole desired = DesiredRole::Builder()
                                    .set(&DesiredRoleFields::endpoint, endpoint->name)
                                    .set(&DesiredRoleFields::role, pool->role)
                                    .set(&DesiredRoleFields::model, service->name.text())
                                    .set(&DesiredRoleFields::modelVersion, service->modelVersion)
                                    .set(&DesiredRoleFields::fence, written ? cached->second.version : 0)
                                    .build();
    const std::optional<ReportedRole> reported = written ? fetchRole(endpoint) : ReportedRole();
    if (!reported) {
        return;
    }
    switch (m_roleOrders.decide(desired, *reported, m_publisher.leaseExpiry(), now)) {
    case OrderStep::WriteIntent:
        writeObject(engineWishKind, endpoint->name, engineWish);
        break;
    case OrderStep::Send:
        sendRoleOrder(endpoint, desired);
        break;
    case OrderStep::UpToDate:
    case OrderStep::Wait:
        break;
    }
}

std::optional<ReportedRole> FleetService::fetchRole(const Endpoint &endpoint) const
{
    HttpCall call;
    call.url = absl::StrCat("http://", endpoint->address, "/v1/orders");
    call.timeout = engineTimeout;
    call.maxBodyBytes = maxEngineMessageBytes;
    const HttpReply reply = HttpClient::call(call);
    const auto decoded = toVariant<RoleOrder>([&] { return decodeRoleOrder(reply.body); });
    const auto *order = std::get_if<RoleOrder>(&decoded);
    if (reply.outcome != CallOutcome::Answered || reply.status != 200 || order == nullptr) {
        return std::nullopt;
    }
    return ReportedRole{order->role, order->model, order->modelVersion, order->fence};
}

void FleetService::sendRoleOrder(const Endpoint &endpoint, const DesiredRole &desired)
{
    HttpCall call;
    call.method = "POST";
    call.url = absl::StrCat("http://", endpoint->address, "/v1/orders");
    call.body = encodeRoleOrder(RoleOrder{roleName(desired->role), desired->model, desired->modelVersion, desired->fence});
    call.timeout = RoleOrderReconciler::sendTimeout;
    call.maxBodyBytes = maxEngineMessageBytes;
    call.dedicatedConnection = true;
    const HttpReply reply = HttpClient::call(call);
    m_journal.info(
        RequestId(), "engine.ordered",
        absl::StrCat(endpoint->name, " to role ", roleName(desired->role), " fencing number ", desired->fence, " status ", reply.status));
}

void FleetService::balanceRoles(const ConfigSet &config, const Service &service, absl::Time now)
{
    const bool inProgress = m_changes.contains(service->name);
    const PoolUtilization prefill = poolUtilization(config, service, PoolRole::Prefill);
    const PoolUtilization decode = poolUtilization(config, service, PoolRole::Decode);
    const std::optional<RoleProposal> proposal = m_balancers[service->name].observe(prefill, decode, inProgress, now);
    if (inProgress) {
        advanceChange(config, service, now);
    } else if (proposal) {
        beginChange(config, service, *proposal);
    }
}

void FleetService::beginChange(const ConfigSet &config, const Service &service, const RoleProposal &proposal)
{
    for (const Endpoint &endpoint : endpointsOf(config, service->name, proposal.from)) {
        if (endpoint->drain) {
            continue;
        }
        for (const auto &[name, pool] : config->pools) {
            if (pool->service == service->name && pool->role == proposal.to) {
                const RoleChange change = RoleChange::Builder()
                                              .set(&RoleChangeFields::endpoint, endpoint->name)
                                              .set(&RoleChangeFields::toPool, name)
                                              .set(&RoleChangeFields::toRole, proposal.to)
                                              .build();
                if (writeObject(roleChangeKind, service->name.text(), encodeRoleChange(change))) {
                    m_changes.insert_or_assign(service->name, change);
                    m_journal.info(RequestId(), "role.changeBegun", absl::StrCat(endpoint->name, " to pool ", name.text()));
                }
                return;
            }
        }
    }
}

void FleetService::advanceChange(const ConfigSet &config, const Service &service, absl::Time /*now*/)
{
    const RoleChange change = m_changes.at(service->name);
    const auto endpoint = config->endpoints.find(change->endpoint);
    if (endpoint == config->endpoints.end()) {
        // An operator removed the endpoint, so the role change ends.
        writeObject(roleChangeKind, service->name.text(), encodeRoleChange(change.with(&RoleChangeFields::phase, RoleChangePhase::Done)));
        m_changes.erase(service->name);
        return;
    }
    RoleChangeObservation observation;
    observation.endpoint = endpoint->second;
    observation.activeOnAllNodes = isActiveOnAllNodes();
    const std::optional<EngineReported> report = fetchReport(endpoint->second);
    observation.engineIsEmpty = report && report->running == 0 && report->piecesInUse == 0;
    const auto engineWish = m_cachedObjects.find(absl::StrCat(engineWishKind, "/", change->endpoint));
    const std::optional<ReportedRole> role = fetchRole(endpoint->second);
    observation.roleActive = engineWish != m_cachedObjects.end() && role && role->role == roleName(change->toRole)
        && role->fence == engineWish->second.version;
    const RoleChangeDecision decision = nextRoleChangeStep(change, observation);
    bool written = true;
    switch (decision.step) {
    case RoleChangeStep::WriteDrain:
        written = writeEndpoint(change->endpoint, "drain", "true");
        break;
    case RoleChangeStep::WritePool:
        written = writeEndpoint(change->endpoint, "pool", change->toPool.text());
        break;
    case RoleChangeStep::WriteUndrain:
        written = writeEndpoint(change->endpoint, "drain", "false");
        break;
    case RoleChangeStep::Nothing:
    case RoleChangeStep::SendOrders:
        break; // reconcileEngines() sends the role order for the pool that the endpoint is in.
    }
    if (!written || decision.change == change || !writeObject(roleChangeKind, service->name.text(), encodeRoleChange(decision.change))) {
        return;
    }
    m_changes.insert_or_assign(service->name, decision.change);
    if (decision.change->phase == RoleChangePhase::Done) {
        m_changes.erase(service->name);
        m_journal.info(RequestId(), "role.changed", absl::StrCat(change->endpoint, " is in pool ", change->toPool.text()));
    }
}

PoolUtilization FleetService::poolUtilization(const ConfigSet &config, const Service &service, PoolRole role) const
{
    PoolUtilization result;
    for (const Endpoint &endpoint : endpointsOf(config, service->name, role)) {
        const std::optional<EngineReported> report = endpoint->drain ? std::nullopt : fetchReport(endpoint);
        if (report) {
            const double slots = role == PoolRole::Decode ? static_cast<double>(config->pools.at(endpoint->pool)->slots) : 1.0;
            result.utilization += std::min(static_cast<double>(report->running) / slots, 1.0);
            ++result.engines;
        }
    }
    result.utilization = result.engines > 0 ? result.utilization / static_cast<double>(result.engines) : 0;
    return result;
}

std::optional<EngineReported> FleetService::fetchReport(const Endpoint &endpoint) const
{
    HttpCall call;
    call.url = absl::StrCat("http://", endpoint->address, "/v1/report");
    call.timeout = engineTimeout;
    call.maxBodyBytes = maxEngineMessageBytes;
    const HttpReply reply = HttpClient::call(call);
    const auto decoded = toVariant<EngineReported>([&] { return decodeEngineReport(reply.body, EngineId(endpoint->name)); });
    const auto *report = std::get_if<EngineReported>(&decoded);
    return reply.outcome == CallOutcome::Answered && reply.status == 200 && report != nullptr ? std::optional(*report) : std::nullopt;
}

bool FleetService::isActiveOnAllNodes() const
{
    const std::uint64_t generation = m_config.generation()->number;
    const std::vector<Member> members = m_cell.members();
    return std::all_of(members.begin(), members.end(),
                       [&](const Member &it) { return it->state == MemberState::Dead || it->generation >= generation; });
}

bool FleetService::writeEndpoint(const std::string &name, const std::string &field, const std::string &value)
{
    const auto read = toVariant<std::optional<StoredObject>>([&] { return m_store.get("Endpoint", name); });
    const auto *object = std::get_if<std::optional<StoredObject>>(&read);
    if (object == nullptr || !*object) {
        return false;
    }
    // If an operator edits the object in the meantime, the conditional write fails, and the next run reads the object again.
    return std::holds_alternative<StoreWritten>(
        m_store.put("Endpoint", name, (*object)->version, withField((*object)->spec, field, value)));
}

bool FleetService::writeObject(const std::string &kind, const std::string &name, const std::string &spec)
{
    CachedObject &cached = m_cachedObjects[absl::StrCat(kind, "/", name)];
    const StoreWriteResult result = m_store.put(kind, name, cached.version, spec);
    if (const auto *written = std::get_if<StoreWritten>(&result)) {
        cached = CachedObject{written->version, spec};
        return true;
    }
    // Another lease holder wrote the object, the write failed, or the reply was lost. The objects are read again before the next attempt.
    m_objectsLoaded = false;
    return false;
}

}
