#include "soak/soakplatform.h"

#include <absl/strings/str_cat.h>

#include <functional>
#include <iterator>
#include <utility>

namespace Apricot {

namespace {

constexpr int slots = 16;

/// How long an engine continues to serve after it has announced that it is leaving.
constexpr absl::Duration leavingTime = absl::Milliseconds(2500);

/// How long the store lists a leaving engine as ready if only its answers say that it leaves.
const absl::Duration unlistedLeavingTime = 3 * drainTime;

/// Engines of the second services, which the steps do not name.
constexpr std::size_t secondPlainEngines = 2;
constexpr std::size_t secondModelEngines = 4;

}

SoakPlatform::SoakPlatform(EventLoop &loop, SoakLedger &ledger, const SoakSize &size)
    : m_loop(loop)
    , m_ledger(ledger)
{
    m_store.put("config", "main", encodeDesiredState(m_desired, slots));
    for (std::size_t i = 0; i < size.nodes; ++i) {
        m_storePaths.push_back(std::make_unique<LoopbackProxy>(loop, m_store.address()));
    }
    // Of seven engines, three send complete responses, two run prefill and two run decode.
    static constexpr const char *phases[] = {"", "decode", "prefill", "", "decode", "prefill", ""};
    for (std::size_t i = 0; i < size.engines; ++i) {
        const std::string phase = phases[i % std::size(phases)];
        addEngine(SoakEngineIdentity{absl::StrCat("engine-", i), phase.empty() ? "desk" : "model", phase, 0});
    }
    if (size.profile != SoakProfile::Faults) {
        for (std::size_t i = 0; i < secondPlainEngines; ++i) {
            addEngine(SoakEngineIdentity{absl::StrCat("desk-2-engine-", i), "desk-2", "", 0});
        }
        for (std::size_t i = 0; i < secondModelEngines; ++i) {
            addEngine(SoakEngineIdentity{absl::StrCat("model-2-engine-", i), "model-2", i % 2 == 0 ? "decode" : "prefill", 0});
        }
    }
}

SoakPlatform::~SoakPlatform() = default;

std::string SoakPlatform::storeAddress(std::size_t node) const
{
    return m_storePaths.at(node)->address();
}

void SoakPlatform::setStorePathFault(std::size_t node, PathFault fault)
{
    m_storePaths.at(node)->setFault(fault);
}

void SoakPlatform::setEnginePathFault(std::size_t engine, PathFault fault)
{
    m_engines.at(engine).path->setFault(fault);
}

void SoakPlatform::addEngine(const SoakEngineIdentity &identity)
{
    m_engines.push_back(EngineEntry{identity, nullptr, nullptr});
    startEngine(m_engines.back());
    registerEngine(m_engines.back(), "ready");
}

void SoakPlatform::startEngine(EngineEntry &entry)
{
    ++entry.identity.incarnation;
    entry.engine = std::make_unique<SoakEngine>(entry.identity, m_ledger, m_requestCount);
    if (entry.path) {
        entry.path->setTarget(entry.engine->address());
    } else {
        entry.path = std::make_unique<LoopbackProxy>(m_loop, entry.engine->address());
    }
}

void SoakPlatform::registerEngine(const EngineEntry &entry, const char *state)
{
    Json spec{{"service", entry.identity.service}, {"address", entry.path->address()}, {"zone", "here"}, {"slots", slots}, {"state", state},
              {"born", entry.identity.incarnation}};
    if (!entry.identity.phase.empty()) {
        spec["phase"] = entry.identity.phase;
    }
    m_store.put("servers", entry.identity.id, spec);
}

void SoakPlatform::replaceEngine(std::size_t engine)
{
    registerEngine(m_engines.at(engine), "draining");
    startSuccessor(engine, leavingTime);
}

void SoakPlatform::leaveUnlisted(std::size_t engine)
{
    startSuccessor(engine, unlistedLeavingTime);
}

void SoakPlatform::startSuccessor(std::size_t engine, absl::Duration removalDelay)
{
    EngineEntry &entry = m_engines.at(engine);
    entry.engine->announceLeaving();
    const std::string leavingId = entry.identity.id;
    m_leavingEngines.push_back(std::move(entry.engine));
    m_leavingPaths.push_back(std::move(entry.path));
    entry.identity.id = absl::StrCat("engine-", engine, "-", entry.identity.incarnation);
    entry.path = nullptr;
    startEngine(entry);
    registerEngine(entry, "ready");
    m_loop.after(removalDelay, [this, leavingId] { m_store.remove("servers", leavingId); });
}

void SoakPlatform::backOffEngine(std::size_t engine, absl::Duration duration)
{
    m_engines.at(engine).engine->backOff(duration);
}

void SoakPlatform::crashEngine(std::size_t engine)
{
    EngineEntry &entry = m_engines.at(engine);
    entry.engine.reset();
    startEngine(entry);
    registerEngine(entry, "ready");
}

void SoakPlatform::silenceEngine(std::size_t engine, absl::Duration duration)
{
    m_engines.at(engine).engine->fallSilent(duration);
}

void SoakPlatform::breakAnswers(std::size_t engine, BreakOff manner, absl::Duration duration)
{
    m_engines.at(engine).engine->breakAnswers(manner, duration);
}

SoakDesiredState SoakPlatform::changeDesiredState(const DesiredChange &change)
{
    m_desired = withChange(m_desired, change);
    m_store.put("config", "main", encodeDesiredState(m_desired, slots));
    return m_desired;
}

}
