#include "apricotladderd/entry/engines/enginecatalogue.h"

#include "platform/objectreader.h"
#include "platform/wirenames.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Entries that expired during a store outage are registered again within about two seconds; one still missing then is removed.
constexpr absl::Duration expiredEntryGrace = absl::Milliseconds(1800);

/// Removals within this time after an outage may concern entries that only expired during the outage.
constexpr absl::Duration expiryWindow = absl::Milliseconds(2500);

const char *conditionName(EngineCondition condition)
{
    return condition == EngineCondition::Ready ? "ready" : "leaving";
}

const char *stageName(EngineStage stage)
{
    switch (stage) {
    case EngineStage::Plain:
        return "plain";
    case EngineStage::Prefill:
        return "prefill";
    case EngineStage::Decode:
        return "decode";
    }
    return "plain";
}

}

EngineCatalogue::EngineCatalogue(EventLoop &loop, ConnectionPool &pool, EntryContext &context)
    : m_loop(loop)
    , m_context(context)
{
    StoreWatch::Callbacks callbacks;
    callbacks.onChanged = [this](const StoredObject &object) {
        return handleEntry(object);
    };
    callbacks.onRemoved = [this](const std::string &name) {
        m_malformed.remove(name);
        if (m_loop.now() - m_storeRecoveredAt < expiryWindow) {
            scheduleRemoval(EngineId(name));
        } else {
            removeEngine(EngineId(name), "removed from the store");
        }
    };
    callbacks.onListed = [this](const std::set<std::string> &names, bool afterOutage) {
        if (handleList(names, afterOutage)) {
            recordChange(m_watch->revision());
        }
    };
    callbacks.onWatched = [this](std::uint64_t revision) {
        recordChange(revision);
    };
    m_watch = std::make_unique<StoreWatch>(loop, pool, context, std::string(Wire::enginesKind), std::move(callbacks));
}

EngineCatalogue::~EngineCatalogue()
{
    for (const auto &[engine, timer] : m_removals) {
        m_loop.cancel(timer);
    }
}

void EngineCatalogue::start()
{
    m_watch->start();
}

void EngineCatalogue::refresh()
{
    m_watch->refresh();
}

void EngineCatalogue::pause()
{
    m_watch->pause();
}

std::uint64_t EngineCatalogue::knownRevision() const
{
    return std::max(m_watch->revision(), m_peerRevision);
}

void EngineCatalogue::recordChange(std::uint64_t revision)
{
    if (revision > m_changeRevision) {
        m_changeRevision = revision;
        m_context.onLoadsChanged(); // The next report tells the peers.
    }
}

void EngineCatalogue::cancelRemoval(const EngineId &engine)
{
    const auto it = m_removals.find(engine);
    if (it != m_removals.end()) {
        m_loop.cancel(it->second);
        m_removals.erase(it);
    }
}

bool EngineCatalogue::handleEntry(const StoredObject &stored)
{
    const StoreEntry object = parseStoredObject(stored, maxEntrySpecBytes);
    const EngineId id(object.name);
    const auto read = toVariant<EngineEntry>([&] { return readEngineEntry(object); });
    if (const auto *error = std::get_if<Error>(&read)) {
        if (m_malformed.add(object.name, object.revision)) {
            m_context.metrics.countMalformedEntries(std::string(Wire::enginesKind), 1);
            m_context.log.add(LogLevel::Warning, "engine.malformed", RequestId(),
                              {{"entry", MalformedEntries::shortName(object.name)}, {"why", error->message}});
        }
        // Whether the engine of the previous entry still exists is unknown, and it may be leaving.
        if (removeEngine(id, "its entry in the store is malformed")) {
            recordChange(object.revision);
        }
        return false;
    }
    m_malformed.remove(object.name);
    cancelRemoval(id);
    const EngineEntry &entry = std::get<EngineEntry>(read);
    if (m_context.pools.apply(entry, m_loop.now())) {
        recordChange(object.revision);
        m_context.log.add(LogLevel::Info, "engine", RequestId(),
                          {{"engine", entry->id.text()},
                           {"service", entry->service.text()},
                           {"address", entry->address},
                           {"lifetime", entry->startedMs},
                           {"source", std::string("store")},
                           {"state", std::string(conditionName(entry->condition))},
                           {"stage", std::string(stageName(entry->stage))},
                           {"revision", static_cast<std::int64_t>(object.revision)}});
    }
    return true;
}

bool EngineCatalogue::removeEngine(const EngineId &engine, const char *why)
{
    cancelRemoval(engine);
    const bool wasKnown = m_context.pools.remove(engine);
    if (wasKnown) {
        m_context.log.add(LogLevel::Info, "engine.gone", RequestId(), {{"engine", engine.text()}, {"why", std::string(why)}});
    }
    return wasKnown;
}

void EngineCatalogue::scheduleRemoval(const EngineId &engine)
{
    if (!m_removals.contains(engine)) {
        m_removals[engine]
            = m_loop.after(expiredEntryGrace, [this, engine] { removeEngine(engine, "still missing from the store after an outage"); });
    }
}

bool EngineCatalogue::handleList(const std::set<std::string> &names, bool afterOutage)
{
    if (afterOutage) {
        m_storeRecoveredAt = m_loop.now();
    }
    std::size_t known = 0;
    bool hasRemoved = false;
    for (const EngineEntry &entry : m_context.pools.entries()) {
        ++known;
        if (names.contains(entry->id.text())) {
            continue;
        }
        if (afterOutage) {
            scheduleRemoval(entry->id);
        } else {
            removeEngine(entry->id, "missing from the store");
            hasRemoved = true;
        }
    }
    m_context.metrics.setEngines("known", static_cast<double>(known));
    return hasRemoved;
}

void EngineCatalogue::updateFromPeer(const CellState &state, const NodeId &from)
{
    if (state.knownRevision <= knownRevision()) {
        return;
    }
    m_peerRevision = state.knownRevision;
    recordChange(state.enginesRevision);
    std::set<std::string> names;
    for (const EngineEntry &entry : state.engines) {
        names.insert(entry->id.text());
        m_context.pools.apply(entry, m_loop.now());
    }
    handleList(names, false);
    m_context.log.add(LogLevel::Info, "engines.frompeer", RequestId(),
                      {{"from", from.text()},
                       {"engines", static_cast<std::int64_t>(state.engines.size())},
                       {"revision", static_cast<std::int64_t>(state.knownRevision)}});
}

}
