#include "apricotladderd/entry/ownedkvhandle.h"

#include "apricotladderd/entry/enginerequest.h"
#include "transport/httpquestion.h"

#include <utility>

namespace Apricot {

namespace {

/// Timeout of the release request. If the request fails, the engine frees the handle itself when its lifetime ends.
constexpr absl::Duration releaseTimeout = absl::Milliseconds(500);

}

OwnedKvHandle::OwnedKvHandle(EntryLoop &loop, std::int64_t promptTokens)
    : m_loop(loop)
    , m_promptTokens(promptTokens)
{
}

void OwnedKvHandle::hold(const EngineEntry &engine, const std::string &name)
{
    m_held = Held{engine, name};
}

std::string OwnedKvHandle::source() const
{
    return m_held ? m_held->engine->address + "/" + m_held->name : std::string();
}

void OwnedKvHandle::taken()
{
    if (m_held) {
        m_loop.context().metrics.countHandle("taken");
        m_held.reset();
    }
}

void OwnedKvHandle::release(const char *why)
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
    request.key = connectionKey(held->engine);
    request.bytes = encodeHttpRequest(releaseHandleRequest(held->name), {});
    HttpQuestion::ask(m_loop.events(), m_loop.engines(), std::move(request), releaseTimeout, [&metrics](const QuestionEnd &end) {
        const bool isFreed = std::holds_alternative<WholeAnswer>(end);
        metrics.countHandle(isFreed ? "freed" : "not freed");
    });
}

}
