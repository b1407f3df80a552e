#include "apricotladderd/fleetservice.h"

#include "protocol/fleetjson.h"
#include "transport/httpclient.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>

namespace Apricot {

namespace {

constexpr absl::Duration interval = absl::Seconds(1);
constexpr absl::Duration engineLimit = absl::Milliseconds(300);

const std::string wishKind = "EngineWish";
const std::string changeKind = "RoleChange";

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
    m_task = std::make_unique<PeriodicTask>("fleet", interval, [this] { run(); });
}

void FleetService::stop()
{
    m_task.reset();
}

void FleetService::run()
{
    const absl::Time now = absl::Now();
    const bool holds = m_publisher.holdsLease();
    if (holds && !m_held) {
        takeLease(now);
    }
    m_held = holds && m_held;
    if (!m_held) {
        return;
    }
    const std::shared_ptr<const ConfigSet> config = m_config.current();
    for (const auto &[name, service] : (*config)->services) {
        if (service->type == ServiceType::Model && service->autoRoles) {
            balance(*config, service, now);
        }
    }
    keepOrders(*config, now);
}

void FleetService::takeLease(absl::Time now)
{
    const auto listed = collect<ObjectList>([&] { return m_store.list(wishKind + "," + changeKind); });
    const auto *list = std::get_if<ObjectList>(&listed);
    if (list == nullptr) {
        return;
    }
    m_kept.clear();
    m_changes.clear();
    m_balancers.clear();
    for (const StoredObject &object : list->objects) {
        m_kept[absl::StrCat(object.kind, "/", object.name)] = Kept{object.version, object.spec};
        if (object.kind == changeKind) {
            // A role change that an earlier lease holder began is continued from its stored phase.
            const auto change = collect<RoleChange>([&] { return decodeRoleChange(object); });
            const auto *it = std::get_if<RoleChange>(&change);
            if (it != nullptr && (*it)->phase != RoleChangePhase::Done) {
                m_changes.emplace(ServiceName(object.name), *it);
            }
        }
    }
    m_orders.leaseTaken(now);
    m_held = true;
}

void FleetService::keepOrders(const ConfigSet &config, absl::Time now)
{
    for (const auto &[name, endpoint] : config->endpoints) {
        const auto pool = config->pools.find(endpoint->pool);
        if (pool == config->pools.end() || pool->second->role == PoolRole::Plain) {
            continue;
        }
        const Service &service = config->services.at(pool->second->service);
        const bool isOrdered = service->autoRoles || !service->modelVersion.empty() || m_kept.contains(absl::StrCat(wishKind, "/", name));
        if (isOrdered) {
            keepOrder(endpoint, pool->second, service, now);
        }
    }
}

void FleetService::keepOrder(const Endpoint &endpoint, const Pool &pool, const Service &service, absl::Time now)
{
    const std::string wish = encodeWish(roleName(pool->role), service->name.text(), service->modelVersion);
    const auto kept = m_kept.find(absl::StrCat(wishKind, "/", endpoint->name));
    const bool written = kept != m_kept.end() && sameJson(kept->second.spec, wish);
    const WantedRole wanted = WantedRole::Builder()
                                  .set(&WantedRoleFields::endpoint, endpoint->name)
                                  .set(&WantedRoleFields::role, pool->role)
                                  .set(&WantedRoleFields::model, service->name.text())
                                  .set(&WantedRoleFields::modelVersion, service->modelVersion)
                                  .set(&WantedRoleFields::fence, written ? kept->second.version : 0)
                                  .build();
    const std::optional<ReportedRole> reported = written ? reportedRole(endpoint) : ReportedRole();
    if (!reported) {
        return;
    }
    switch (m_orders.decide(wanted, *reported, m_publisher.leaseUntil(), now)) {
    case OrderStep::WriteIntent:
        keep(wishKind, endpoint->name, wish);
        break;
    case OrderStep::Send:
        sendOrder(endpoint, wanted);
        break;
    case OrderStep::InForce:
    case OrderStep::Wait:
        break;
    }
}

std::optional<ReportedRole> FleetService::reportedRole(const Endpoint &endpoint) const
{
    HttpCall call;
    call.url = absl::StrCat("http://", endpoint->address, "/v1/orders");
    call.limit = engineLimit;
    const HttpReply reply = HttpClient::call(call);
    const auto decoded = collect<EngineOrder>([&] { return decodeEngineOrder(reply.body); });
    const auto *order = std::get_if<EngineOrder>(&decoded);
    if (reply.end != CallEnd::Answered || reply.status != 200 || order == nullptr) {
        return std::nullopt;
    }
    return ReportedRole{order->role, order->model, order->modelVersion, order->fence};
}

void FleetService::sendOrder(const Endpoint &endpoint, const WantedRole &wanted)
{
    HttpCall call;
    call.method = "POST";
    call.url = absl::StrCat("http://", endpoint->address, "/v1/orders");
    call.body = encodeEngineOrder(EngineOrder{roleName(wanted->role), wanted->model, wanted->modelVersion, wanted->fence});
    call.limit = OrderKeeper::sendDeadline;
    call.ownConnection = true;
    const HttpReply reply = HttpClient::call(call);
    m_journal.info(RequestId(), "engine.ordered",
                   absl::StrCat(endpoint->name, " to ", roleName(wanted->role), " fence ", wanted->fence, " status ", reply.status));
}

void FleetService::balance(const ConfigSet &config, const Service &service, absl::Time now)
{
    const bool underWay = m_changes.contains(service->name);
    const PoolUse prefill = useOf(config, service, PoolRole::Prefill);
    const PoolUse decode = useOf(config, service, PoolRole::Decode);
    const std::optional<RoleProposal> proposal = m_balancers[service->name].observe(prefill, decode, underWay, now);
    if (underWay) {
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
                if (keep(changeKind, service->name.text(), encodeRoleChange(change))) {
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
        keep(changeKind, service->name.text(), encodeRoleChange(change.with(&RoleChangeFields::phase, RoleChangePhase::Done)));
        m_changes.erase(service->name);
        return;
    }
    RoleChangeView view;
    view.endpoint = endpoint->second;
    view.inForceEverywhere = inForceEverywhere();
    const std::optional<EngineReported> report = reportOf(endpoint->second);
    view.engineIsEmpty = report && report->running == 0 && report->piecesInUse == 0;
    const auto wish = m_kept.find(absl::StrCat(wishKind, "/", change->endpoint));
    const std::optional<ReportedRole> role = reportedRole(endpoint->second);
    view.roleInForce = wish != m_kept.end() && role && role->role == roleName(change->toRole) && role->fence == wish->second.version;
    const RoleChangeDecision decision = stepRoleChange(change, view);
    bool written = true;
    switch (decision.step) {
    case RoleChangeStep::WriteDrain:
        written = writeEndpoint(change->endpoint, "drain", "true");
        break;
    case RoleChangeStep::WritePool:
        written = writeEndpoint(change->endpoint, "pool", change->toPool.text());
        break;
    case RoleChangeStep::WriteOpen:
        written = writeEndpoint(change->endpoint, "drain", "false");
        break;
    case RoleChangeStep::Nothing:
    case RoleChangeStep::SendOrders:
        break; // reconcileEngines() sends the order for the pool that the endpoint is in.
    }
    if (!written || decision.change == change || !keep(changeKind, service->name.text(), encodeRoleChange(decision.change))) {
        return;
    }
    m_changes.insert_or_assign(service->name, decision.change);
    if (decision.change->phase == RoleChangePhase::Done) {
        m_changes.erase(service->name);
        m_journal.info(RequestId(), "role.changed", absl::StrCat(change->endpoint, " is in pool ", change->toPool.text()));
    }
}

PoolUse FleetService::useOf(const ConfigSet &config, const Service &service, PoolRole role) const
{
    PoolUse use;
    for (const Endpoint &endpoint : endpointsOf(config, service->name, role)) {
        const std::optional<EngineReported> report = endpoint->drain ? std::nullopt : reportOf(endpoint);
        if (report) {
            const double places = role == PoolRole::Decode ? static_cast<double>(config->pools.at(endpoint->pool)->slots) : 1.0;
            use.busy += std::min(static_cast<double>(report->running) / places, 1.0);
            ++use.engines;
        }
    }
    use.busy = use.engines > 0 ? use.busy / static_cast<double>(use.engines) : 0;
    return use;
}

std::optional<EngineReported> FleetService::reportOf(const Endpoint &endpoint) const
{
    HttpCall call;
    call.url = absl::StrCat("http://", endpoint->address, "/v1/report");
    call.limit = engineLimit;
    const HttpReply reply = HttpClient::call(call);
    const auto decoded = collect<EngineReported>([&] { return decodeEngineReport(reply.body, EngineId(endpoint->name)); });
    const auto *report = std::get_if<EngineReported>(&decoded);
    return reply.end == CallEnd::Answered && reply.status == 200 && report != nullptr ? std::optional(*report) : std::nullopt;
}

bool FleetService::inForceEverywhere() const
{
    const std::uint64_t generation = m_config.generation()->number;
    const std::vector<Member> members = m_cell.members();
    return std::all_of(members.begin(), members.end(),
                       [&](const Member &it) { return it->state == MemberState::Dead || it->generation >= generation; });
}

bool FleetService::writeEndpoint(const std::string &name, const std::string &field, const std::string &value)
{
    const auto read = collect<std::optional<StoredObject>>([&] { return m_store.get("Endpoint", name); });
    const auto *object = std::get_if<std::optional<StoredObject>>(&read);
    if (object == nullptr || !*object) {
        return false;
    }
    // If an operator edits the object in the meantime, the conditional write fails, and the next run reads the object again.
    return std::holds_alternative<StoreWritten>(
        m_store.put("Endpoint", name, (*object)->version, withField((*object)->spec, field, value)));
}

bool FleetService::keep(const std::string &kind, const std::string &name, const std::string &spec)
{
    Kept &kept = m_kept[absl::StrCat(kind, "/", name)];
    const StoreWriteEnd end = m_store.put(kind, name, kept.version, spec);
    if (const auto *written = std::get_if<StoreWritten>(&end)) {
        kept = Kept{written->version, spec};
        return true;
    }
    // Another lease holder wrote the object, or the reply was lost. The objects are read again before the next attempt.
    m_held = false;
    return false;
}

}
