#include "apricotladderd/entry/heldhandle.h"

#include "apricotladderd/entry/enginerequest.h"
#include "transport/httpfetch.h"

#include <utility>

namespace Apricot {

namespace {

/// An engine that does not hear of it by then frees the handle itself when its time is over.
constexpr absl::Duration releaseTimeout = absl::Milliseconds(500);

}

HeldHandle::HeldHandle(EntryLoop &loop, std::int64_t promptTokens)
    : m_loop(loop)
    , m_promptTokens(promptTokens)
{
}

void HeldHandle::hold(const EngineEntry &engine, const std::string &name)
{
    m_held = Held{engine, name};
}

std::string HeldHandle::source() const
{
    return m_held ? m_held->engine->address + "/" + m_held->name : std::string();
}

void HeldHandle::taken()
{
    if (m_held) {
        m_loop.context().metrics.countHandle("taken");
        m_held.reset();
    }
}

void HeldHandle::release(const char *why)
{
    const std::optional<Held> held = std::exchange(m_held, std::nullopt);
    if (!held) {
        return;
    }
    EntryMetrics &metrics = m_loop.context().metrics;
    metrics.countHandle(why);
    metrics.countTokensReadInVain(static_cast<double>(m_promptTokens));
    ExchangeRequest request;
    request.address = held->engine->address;
    request.poolKey = connectionKey(held->engine);
    request.encodedRequest = encodeHttpRequest(releaseHandleRequest(held->name), {});
    HttpFetch::start(m_loop.events(), m_loop.engines(), std::move(request), releaseTimeout, [&metrics](const FetchResult &end) {
        const bool isFreed = std::holds_alternative<FullResponse>(end);
        metrics.countHandle(isFreed ? "freed" : "not freed");
    });
}

}
