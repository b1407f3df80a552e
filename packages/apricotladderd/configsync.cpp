#include "apricotladderd/configsync.h"

#include "coordination/ownership.h"
#include "protocol/snapshotcodec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Apricot {

namespace {

constexpr absl::Duration pullInterval = absl::Seconds(1);
constexpr absl::Duration watchInterval = absl::Milliseconds(200);
constexpr absl::Duration watchTimeout = absl::Seconds(5);
constexpr absl::Duration peerQueryTimeout = absl::Seconds(2);

/// Number of nodes in each data centre that watch the store.
constexpr std::size_t watchersPerDataCentre = 2;

}

ConfigSync::ConfigSync(CellService &cell, CurrentConfig &config, StoreClient &store, Journal &journal)
    : m_cell(cell)
    , m_config(config)
    , m_store(store)
    , m_journal(journal)
{
}

void ConfigSync::start(std::function<void()> onChanged)
{
    m_onChanged = std::move(onChanged);
    m_pullTask = std::make_unique<PeriodicTask>("config-pull", pullInterval, [this] { pull(); });
    m_watchTask = std::make_unique<PeriodicTask>("config-watch", watchInterval, [this] { watch(); });
}

void ConfigSync::stop()
{
    m_pullTask.reset();
    m_watchTask.reset();
}

void ConfigSync::handleNewerGeneration()
{
    if (m_pullTask) {
        m_pullTask->wake();
    }
}

void ConfigSync::pull()
{
    m_store.setNodeCount(m_cell.members().size());
    if (pullFromPeers() || m_config.generation()->number != 0) {
        return;
    }
    // No peer has a newer configuration and this node has none, so it reads the pointer in the store: it may be the first node.
    const auto pointer = toVariant<Generation>([&] { return readPointer(); });
    if (const auto *generation = std::get_if<Generation>(&pointer); generation != nullptr && m_config.isNewer(*generation)) {
        fetch(*generation);
    }
}

bool ConfigSync::pullFromPeers()
{
    std::vector<Member> members = m_cell.members();
    std::sort(members.begin(), members.end(), [](const Member &a, const Member &b) { return a->generation > b->generation; });
    for (const Member &member : members) {
        const std::uint64_t own = m_config.generation()->number;
        if (member->id == m_cell.self() || member->state == MemberState::Dead || member->generation <= own) {
            continue;
        }
        const auto reply = toVariant<PeerReply>([&] { return m_cell.query(member, SnapshotQuery{own}, peerQueryTimeout); });
        const auto *answered = std::get_if<PeerReply>(&reply);
        const auto *snapshot = answered == nullptr ? nullptr : std::get_if<SnapshotReply>(answered);
        if (snapshot != nullptr && m_config.isNewer(snapshot->generation)) {
            activate(snapshot->generation, snapshot->snapshot);
            return true;
        }
    }
    return false;
}

void ConfigSync::watch()
{
    if (!isWatcher()) {
        m_watchVersion = 0;
        return;
    }
    const auto changes = toVariant<ObjectList>([&] { return m_store.watch("Pointer", m_watchVersion, watchTimeout); });
    const auto *list = std::get_if<ObjectList>(&changes);
    if (list == nullptr) {
        return;
    }
    bool fetched = true;
    for (const StoredObject &object : list->objects) {
        const auto decoded = toVariant<Generation>([&] { return decodeGeneration(object); });
        const auto *generation = std::get_if<Generation>(&decoded);
        if (generation != nullptr && m_config.isNewer(*generation)) {
            fetched = fetch(*generation) && fetched;
        }
    }
    // If a fetch failed, the version stays, so the next watch returns the same change again.
    m_watchVersion = fetched ? list->version : m_watchVersion;
}

bool ConfigSync::isWatcher() const
{
    const std::optional<Member> self = m_cell.find(m_cell.self());
    std::vector<NodeId> candidates;
    for (const Member &member : m_cell.members()) {
        if (member->state != MemberState::Dead && !member->leaving && member->dataCentre == (*self)->dataCentre) {
            candidates.push_back(member->id);
        }
    }
    candidates = nodesByPreference("config-watch", candidates);
    candidates.resize(std::min(candidates.size(), watchersPerDataCentre));
    return std::find(candidates.begin(), candidates.end(), m_cell.self()) != candidates.end();
}

Result<Generation> ConfigSync::readPointer()
{
    BOOST_LEAF_AUTO(object, m_store.get("Pointer", "current"));
    return object ? decodeGeneration(*object) : Result<Generation>(Generation());
}

bool ConfigSync::fetch(const Generation &generation)
{
    const auto snapshot = toVariant<std::string>([&]() -> Result<std::string> {
        std::string text;
        for (std::uint64_t i = 0; i < generation->chunks; ++i) {
            BOOST_LEAF_AUTO(object, m_store.get("Snapshot", chunkName(generation->hash, i)));
            if (!object) {
                return fail(
                    ErrorKind::StoreUnavailable,
                    absl::StrCat("Snapshot/", chunkName(generation->hash, i), " is missing in the store; the fetch will be retried"));
            }
            BOOST_LEAF_AUTO(chunk, decodeChunk(*object));
            text += chunk;
        }
        return text;
    });
    const auto *text = std::get_if<std::string>(&snapshot);
    if (text == nullptr) {
        m_journal.warning(RequestId(), "config.fetchFailed", std::get<Error>(snapshot).message);
        return false;
    }
    activate(generation, *text);
    return true;
}

void ConfigSync::activate(const Generation &generation, const std::string &snapshot)
{
    if (m_config.tryActivate(generation, snapshot)) {
        m_cell.setGeneration(generation->number);
        m_onChanged();
    }
}

}
