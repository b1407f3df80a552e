#include "apricotladderd/entry/calls/ownedkvhandle.h"

#include "apricotladderd/entry/engines/enginenotices.h"
#include "apricotladderd/entry/engines/enginerequest.h"
#include "transport/httpfetch.h"

#include <utility>

namespace Apricot {

namespace {

/// Timeout of the release request. If the request fails, the engine releases the handle itself when its lifetime ends.
constexpr absl::Duration releaseTimeout = absl::Milliseconds(500);

/// Longest answer to a release, bytes; its body is not used.
constexpr std::size_t maxReleaseAnswerBytes = 16 * 1024;

}

OwnedKvHandle::OwnedKvHandle(EntryLoop &loop, std::int64_t promptTokens)
    : m_loop(loop)
    , m_promptTokens(promptTokens)
{
}

void OwnedKvHandle::set(const EngineEntry &engine, const std::string &name, absl::Time expiry)
{
    m_handle = Handle{engine, name, expiry};
}

bool OwnedKvHandle::isFresh(absl::Time now) const
{
    if (!m_handle) {
        return false;
    }
    EntryContext &context = m_loop.context();
    const std::optional<absl::Time> leavingSince
        = context.pools.withPool(m_handle->engine->service, [&](const ServicePool &pool) { return pool.leavingSince(m_handle->engine); });
    return now < usableUntil(m_handle->expiry, leavingSince, absl::Milliseconds(context.settings->drainMs));
}

std::string OwnedKvHandle::source() const
{
    return m_handle ? m_handle->engine->address + "/" + m_handle->name : std::string();
}

void OwnedKvHandle::markFetched()
{
    if (m_handle) {
        m_loop.context().metrics.countHandle("taken");
        m_handle.reset();
    }
}

void OwnedKvHandle::release(const char *why)
{
    const std::optional<Handle> handle = std::exchange(m_handle, std::nullopt);
    if (!handle) {
        return;
    }
    EntryMetrics &metrics = m_loop.context().metrics;
    metrics.countHandle(why);
    metrics.countWastedPrefillTokens(static_cast<double>(m_promptTokens));
    const absl::Time now = m_loop.events().now();
    if (m_loop.context().pools.withPool(handle->engine->service,
                                        [&](const ServicePool &pool) { return pool.isBackingOff(handle->engine->id, now); })) {
        metrics.countHandle("not freed");
        return;
    }
    ExchangeRequest request;
    request.address = handle->engine->address;
    request.poolKey = connectionKey(handle->engine);
    request.encodedRequest = encodeHttpRequest(releaseHandleRequest(handle->name), {});
    observeEngineNotices(m_loop, handle->engine, RequestId(), request);
    HttpFetch::start(m_loop.events(), m_loop.engines(), std::move(request), releaseTimeout, maxReleaseAnswerBytes,
                     [&metrics](const FetchResult &result) {
                         const bool isReleased = std::holds_alternative<FullResponse>(result);
                         metrics.countHandle(isReleased ? "freed" : "not freed");
                     });
}

}
