#include "coordination/callermemory.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <tuple>

namespace Apricot {

namespace {

/// A preferred connection without progress for this time loses the preference: it may have sent all that it will send, and others wait.
constexpr absl::Duration preferenceTime = absl::Milliseconds(200);

/// Fraction of a limit above which reading pauses. The rest is for small requests and for one large request at a time: 3/8 of the default
/// limits hold a body of 4 MiB twice, as received and as it is sent to an engine.
constexpr double pauseFraction = 0.625;

/// Stalled connections are closed until the use is below this fraction. Those that wait would otherwise use up at once what one closed
/// connection leaves, and clients that stop short of their end would get through one at a time.
constexpr double stalledTargetFraction = 0.5;

/// Maximum fraction in use at which a connection becomes the preferred one: a body of 4 MiB in both copies must still fit.
constexpr double preferFraction = 0.7;

/// Fraction of a limit above which new requests are refused at their head.
constexpr double refuseFraction = 0.875;

/// Requests up to this size are read above the pause level, so that ordinary calls are served while large ones wait.
constexpr std::size_t smallRequestBytes = 64 * 1024;

/// Above this fraction of the limit connections are closed even though engines may be running their requests.
constexpr double emergencyFraction = 1.25;

/// A connection that could send or receive and has not for this long makes no progress. A retransmission after a loss takes 0.2 to 0.6 s.
constexpr absl::Duration stallTime = absl::Seconds(1);

/// The same for a caller that reads an answer. A peer with a closed window announces room again only once a large part of its receive
/// buffer is free, so that one which reads steadily seems to pause for seconds.
constexpr absl::Duration readStallTime = absl::Seconds(8);

/// Part of the connections that is for those whose request is refused for lack of a place, as a divisor.
constexpr std::size_t refusedConnectionsDivisor = 16;

/// Connections that hold less than this are not closed: closing them all would free little.
constexpr std::size_t minClosedBytes = 6 * 1024;

/// Descriptors that the platform reserves for files.
constexpr std::size_t fileDescriptors = 200;
constexpr std::size_t minConnections = 16;
constexpr std::size_t maxConnections = 10'000;

std::size_t part(std::size_t limit, double fraction)
{
    return static_cast<std::size_t>(static_cast<double>(limit) * fraction);
}

/// Order in which groups of connections are closed.
enum class CloseOrder : std::uint8_t { Stalled, Progressing, Running };

/// Order in which groups of connections give way to new ones.
enum class ReplaceOrder : std::uint8_t { Unproven, Idle, Other };

/// Time without progress. A connection that is held back could not make any, so that it does not count as stalled.
absl::Duration stalledFor(const CallerConnection &connection, absl::Time now)
{
    return connection->isHeldBack ? absl::ZeroDuration() : now - connection->lastProgress;
}

CloseOrder closeOrderOf(const CallerConnection &connection, absl::Time now)
{
    if (connection->phase == CallerPhase::Running) {
        return CloseOrder::Running;
    }
    const absl::Duration allowed = connection->phase == CallerPhase::Answering ? readStallTime : stallTime;
    return stalledFor(connection, now) >= allowed ? CloseOrder::Stalled : CloseOrder::Progressing;
}

/// Bytes in use above which connections of a group are closed, for a limit of \a limit bytes.
std::size_t closeLevel(CloseOrder order, std::size_t limit)
{
    switch (order) {
    case CloseOrder::Stalled:
        return part(limit, pauseFraction);
    case CloseOrder::Progressing:
        return limit;
    case CloseOrder::Running:
        return part(limit, emergencyFraction);
    }
    return limit;
}

/// Whether a connection of a group is closed while \a remaining bytes are left of \a initial ones.
bool mustClose(CloseOrder order, std::size_t limit, std::size_t initial, std::size_t remaining)
{
    const std::size_t level = closeLevel(order, limit);
    const std::size_t target = order == CloseOrder::Stalled ? part(limit, stalledTargetFraction) : level;
    return initial > level && remaining > target;
}

/// Adds to \a closed the connections that must end so that the system holds no more than its limit for the others.
void closeForSystemBytes(const CallerMemoryLimits &limits, const std::vector<CallerConnection> &connections, absl::Time now,
                         std::vector<CallerConnectionId> &closed)
{
    std::size_t remaining = 0;
    std::vector<const CallerConnection *> candidates;
    for (const CallerConnection &it : connections) {
        const bool isClosed = std::find(closed.begin(), closed.end(), it->id) != closed.end();
        remaining += isClosed ? 0 : it->systemBytes;
        if (!isClosed && it->phase != CallerPhase::Running && it->systemBytes > 0) {
            candidates.push_back(&it);
        }
    }
    if (remaining <= limits->systemBytes) {
        return;
    }
    const auto weight = [now](const CallerConnection &it) {
        return static_cast<double>(it->systemBytes) * absl::ToDoubleSeconds(stalledFor(it, now) + stallTime);
    };
    std::sort(candidates.begin(), candidates.end(), [&](const CallerConnection *left, const CallerConnection *right) {
        return std::tuple(-weight(*left), (*left)->id) < std::tuple(-weight(*right), (*right)->id);
    });
    for (auto it = candidates.begin(); it != candidates.end() && remaining > limits->systemBytes; ++it) {
        closed.push_back((**it)->id);
        remaining -= (**it)->systemBytes;
    }
}

}

ReadDecision decideRead(const CallerMemoryLimits &limits, const CallerMemoryUse &use, const CallerConnection &connection, bool isNewRequest)
{
    const bool isReceiving = connection->phase == CallerPhase::Receiving;
    if (isReceiving && connection->bytes > limits->connectionBytes) {
        return RefuseRequest{CallerLimit::Connection};
    }
    const bool isSmall = connection->bytes <= smallRequestBytes;
    const double admitFraction = isSmall ? refuseFraction : 1;
    if (isReceiving && isNewRequest && use->systemBytes > part(limits->systemBytes, refuseFraction)) {
        return RefuseRequest{CallerLimit::System};
    }
    if (isReceiving && isNewRequest && use->totalBytes > part(limits->totalBytes, admitFraction)) {
        return RefuseRequest{CallerLimit::Total};
    }
    if (isReceiving && isNewRequest && use->addressBytes > part(limits->addressBytes, admitFraction)) {
        return RefuseRequest{CallerLimit::Address};
    }
    const bool mayExceedPauseLevel = isSmall || use->isPreferred;
    const double readFraction = mayExceedPauseLevel ? 1 : pauseFraction;
    const bool fits
        = use->totalBytes <= part(limits->totalBytes, readFraction) && use->addressBytes <= part(limits->addressBytes, readFraction);
    return fits ? ReadDecision(ReadOn{}) : ReadDecision(PauseReading{});
}

bool needsRelief(const CallerMemoryLimits &limits, std::size_t totalBytes, std::size_t systemBytes)
{
    return totalBytes > part(limits->totalBytes, pauseFraction) || systemBytes > part(limits->systemBytes, refuseFraction);
}

bool mayCloseRunning(const CallerMemoryLimits &limits, std::size_t totalBytes)
{
    return totalBytes > closeLevel(CloseOrder::Running, limits->totalBytes);
}

CallerRelief chooseRelief(const CallerMemoryLimits &limits, std::size_t totalBytes, const std::vector<CallerConnection> &connections,
                          std::optional<CallerConnectionId> preferred, absl::Time now)
{
    std::vector<const CallerConnection *> ordered;
    absl::flat_hash_map<std::uint32_t, std::size_t> addressBytes;
    for (const CallerConnection &it : connections) {
        ordered.push_back(&it);
        addressBytes[it->address] += it->bytes;
    }
    const auto weight = [now](const CallerConnection &it) {
        return static_cast<double>(it->bytes) * absl::ToDoubleSeconds(stalledFor(it, now) + stallTime);
    };
    std::sort(ordered.begin(), ordered.end(), [&](const CallerConnection *left, const CallerConnection *right) {
        return std::tuple(closeOrderOf(*left, now), (*left)->id == preferred, -weight(*left), (*left)->id)
            < std::tuple(closeOrderOf(*right, now), (*right)->id == preferred, -weight(*right), (*right)->id);
    });
    const absl::flat_hash_map<std::uint32_t, std::size_t> initialAddressBytes = addressBytes;
    CallerReliefFields relief;
    std::size_t remaining = totalBytes;
    const CallerConnection *candidate = nullptr;
    bool hasActive = false; // A large request is being read: it makes progress, or will count as stalled soon.
    for (const CallerConnection *it : ordered) {
        const CloseOrder order = closeOrderOf(*it, now);
        std::size_t &ofAddress = addressBytes[(*it)->address];
        const bool isOver = mustClose(order, limits->totalBytes, totalBytes, remaining)
            || (order != CloseOrder::Running && mustClose(order, limits->addressBytes, initialAddressBytes.at((*it)->address), ofAddress));
        if ((*it)->bytes >= minClosedBytes && isOver) {
            relief.closed.push_back((*it)->id);
            remaining -= std::min(remaining, (*it)->bytes);
            ofAddress -= (*it)->bytes;
            continue;
        }
        const bool isReceiving = (*it)->phase == CallerPhase::Receiving;
        if ((*it)->id == preferred && isReceiving && now - (*it)->lastProgress < preferenceTime) {
            relief.preferred = preferred; // Bodies that took turns would all grow, until there is room for none.
        }
        hasActive = hasActive || (isReceiving && !(*it)->isHeldBack && (*it)->bytes > smallRequestBytes);
        if (isReceiving && (*it)->isHeldBack && (candidate == nullptr || (*it)->bytes > (*candidate)->bytes)) {
            candidate = it; // The largest one is closest to its end.
        }
    }
    const auto hasRoom = [&](const CallerConnection &it) {
        return remaining <= part(limits->totalBytes, preferFraction)
            && addressBytes[it->address] <= part(limits->addressBytes, preferFraction);
    };
    // If no other one is being read, one must go on even without room: they would all wait for each other.
    if (!relief.preferred && candidate != nullptr && (!hasActive || hasRoom(*candidate))) {
        relief.preferred = (*candidate)->id;
    }
    closeForSystemBytes(limits, connections, now, relief.closed);
    return CallerRelief(relief);
}

std::optional<CallerConnectionId> chooseForNewConnection(const std::vector<CallerConnection> &connections, absl::Time now)
{
    const auto unproven = std::count_if(connections.begin(), connections.end(), [](const CallerConnection &it) {
        return !it->hasCompletedRequest && it->phase != CallerPhase::Running && it->phase != CallerPhase::Answering;
    });
    // Silent connections that are opened faster than they count as silent must not displace everybody.
    const bool isFlood = 2 * static_cast<std::size_t>(unproven) > connections.size();
    const auto order = [&](const CallerConnection &it) {
        if (!it->hasCompletedRequest) {
            const bool isSilent = stalledFor(it, now) >= stallTime;
            return isSilent || (isFlood && !it->isHeldBack) ? ReplaceOrder::Unproven : ReplaceOrder::Other;
        }
        return it->phase == CallerPhase::Idle ? ReplaceOrder::Idle : ReplaceOrder::Other;
    };
    const CallerConnection *chosen = nullptr;
    const auto key = [&](const CallerConnection &it) {
        return std::tuple(order(it), it->lastProgress, it->id);
    };
    for (const CallerConnection &it : connections) {
        const bool mayGo = it->phase != CallerPhase::Running && it->phase != CallerPhase::Answering;
        if (mayGo && (chosen == nullptr || key(it) < key(*chosen))) {
            chosen = &it;
        }
    }
    return chosen == nullptr ? std::nullopt : std::optional((*chosen)->id);
}

std::size_t admittedConnections(const CallerMemoryLimits &limits)
{
    return limits->connections - limits->connections / refusedConnectionsDivisor;
}

std::size_t callerConnectionLimit(std::size_t descriptors)
{
    const std::size_t free = descriptors > fileDescriptors ? descriptors - fileDescriptors : 0;
    return std::clamp(free / 2, minConnections, maxConnections);
}

}
