#include "apricotladderd/entry/callers/calleraccount.h"

#include <optional>
#include <sys/resource.h>
#include <utility>

namespace Apricot {

namespace {

/// Requests at these ports have no body, and the largest answer is the state of the deployment for a peer, some 200 KB.
constexpr std::size_t controlBytes = 8 << 20;
constexpr std::size_t controlConnectionBytes = 4 << 20;

/// These ports get a quarter as many connections as that of calls.
constexpr std::size_t controlConnectionsDivisor = 4;

/// How often a connection is chosen anew for a new one that arrives; then the new one is refused.
constexpr int maxTakeAttempts = 3;

/// Removes a connection if \a predicate(connection) is true, and returns it as it was then: another thread may update it between a lookup
/// and the removal.
template<class Predicate>
std::optional<CallerConnection> take(ShardedMap<CallerConnectionId, CallerConnection> &connections, CallerConnectionId id,
                                     const Predicate &predicate)
{
    std::optional<CallerConnection> taken;
    connections.eraseOneIf(id, [&](const CallerConnection &it) {
        if (predicate(it)) {
            taken = it;
        }
        return taken.has_value();
    });
    return taken;
}

}

CallerMemoryLimits callerMemoryLimits(const EntrySettings &settings)
{
    rlimit descriptors{};
    getrlimit(RLIMIT_NOFILE, &descriptors);
    CallerMemoryLimitsFields limits;
    limits.totalBytes = static_cast<std::size_t>(settings->callerBytes);
    limits.addressBytes = static_cast<std::size_t>(settings->callerBytesPerAddress);
    limits.connectionBytes = static_cast<std::size_t>(settings->callerBytesPerConnection);
    limits.connections = settings->callerConnections > 0 ? static_cast<std::size_t>(settings->callerConnections)
                                                         : callerConnectionLimit(static_cast<std::size_t>(descriptors.rlim_cur));
    limits.systemBytes = limits.totalBytes;
    return CallerMemoryLimits(limits);
}

CallerMemoryLimits controlMemoryLimits(const CallerMemoryLimits &callers)
{
    return CallerMemoryLimits(CallerMemoryLimitsFields{controlBytes, controlBytes, controlConnectionBytes,
                                                       callers->connections / controlConnectionsDivisor + 1, controlBytes});
}

CallerAccount::CallerAccount(const CallerMemoryLimits &limits, const std::atomic<std::size_t> &answerBytes)
    : m_limits(limits)
    , m_answerBytes(answerBytes)
{
}

ReadDecision CallerAccount::update(const CallerConnection &connection, bool isNewRequest)
{
    const CallerConnection before
        = m_connections.update(connection->id, [&](CallerConnection &stored) { return std::exchange(stored, connection); });
    const std::size_t ofAddress = charge(connection->address, before->bytes, connection->bytes);
    chargeSystem(before->systemBytes, connection->systemBytes);
    const bool isPreferred = m_preferred.load(std::memory_order_relaxed) == connection->id;
    const CallerMemoryUse use(CallerMemoryUseFields{totalBytes(), ofAddress, isPreferred, systemBytes()});
    return decideRead(m_limits, use, connection, isNewRequest);
}

void CallerAccount::remove(CallerConnectionId connection)
{
    if (const std::optional<CallerConnection> removed = take(m_connections, connection, [](const CallerConnection &) { return true; })) {
        release(*removed);
    }
}

void CallerAccount::release(const CallerConnection &connection)
{
    charge(connection->address, connection->bytes, 0);
    chargeSystem(connection->systemBytes, 0);
}

void CallerAccount::chargeSystem(std::size_t before, std::size_t after)
{
    m_systemBytes.fetch_add(after - before, std::memory_order_relaxed); // Wraps around like the sum in charge().
}

std::size_t CallerAccount::charge(std::uint32_t address, std::size_t before, std::size_t after)
{
    m_bytes.fetch_add(after - before, std::memory_order_relaxed); // Unsigned arithmetic wraps around, so a decrease is correct too.
    const std::size_t ofAddress = m_addressBytes.update(address, [&](std::size_t &bytes) { return bytes += after - before; });
    if (ofAddress == 0) {
        m_addressBytes.eraseOneIf(address, [](std::size_t bytes) { return bytes == 0; });
    }
    return ofAddress;
}

std::vector<CallerConnection> CallerAccount::connections() const
{
    std::vector<CallerConnection> found;
    m_connections.forEach([&](CallerConnectionId, const CallerConnection &it) { found.push_back(it); });
    return found;
}

bool CallerAccount::mayClose(CallerConnectionId connection) const
{
    return m_connections.find(connection)->phase != CallerPhase::Running || mayCloseRunning(m_limits, totalBytes());
}

CallerRelief CallerAccount::relieve(absl::Time now)
{
    const CallerConnectionId preferred = m_preferred.load(std::memory_order_relaxed);
    CallerRelief relief
        = chooseRelief(m_limits, totalBytes(), connections(), preferred == 0 ? std::nullopt : std::optional(preferred), now);
    m_preferred.store(relief->preferred.value_or(0), std::memory_order_relaxed);
    return relief;
}

std::optional<CallerConnectionId> CallerAccount::takeForNewConnection(absl::Time now)
{
    // Other threads go on meanwhile, so that the chosen connection may have been removed or have begun to run its request since.
    for (int attempt = 0; attempt < maxTakeAttempts; ++attempt) {
        const std::optional<CallerConnectionId> chosen = chooseForNewConnection(connections(), now);
        if (!chosen) {
            return std::nullopt;
        }
        const auto mayGo = [](const CallerConnection &it) {
            return it->phase != CallerPhase::Running && it->phase != CallerPhase::Answering;
        };
        if (const std::optional<CallerConnection> removed = take(m_connections, *chosen, mayGo)) {
            release(*removed);
            return chosen;
        }
    }
    return std::nullopt;
}

}
