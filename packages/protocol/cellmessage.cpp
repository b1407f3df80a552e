#include "protocol/cellmessage.h"

#include "protocol/messagecodec.h"

#include <cereal/types/optional.hpp>

namespace Apricot {

template<class Archive>
void serialize(Archive &archive, EngineRun &it)
{
    archive(it.id, it.promptTokens, it.expectedOutputTokens, it.generatedTokens);
}

template<class Archive>
void serialize(Archive &archive, EngineLoad &it)
{
    archive(it.engine, it.requests, it.pendingPrefillTokens, it.runs);
}

template<class Archive>
void serialize(Archive &archive, WaitingCall &it)
{
    archive(it.service, it.rank, it.promptTokens, it.expectedOutputTokens, it.workspace);
    if (it.workspace != 0) {
        archive(it.workspaceUsage);
    }
    archiveTime(archive, it.waitDeadline);
}

template<class Archive>
void serialize(Archive &archive, EngineEntryFields &it)
{
    archive(it.id, it.service, it.address, it.dataCentre, it.slots, it.startedMs);
    archiveEnum(archive, it.condition, EngineCondition::Leaving);
    archiveEnum(archive, it.stage, EngineStage::Decode);
}

template<class Archive>
void serialize(Archive &archive, WeightedService &it)
{
    archive(it.service, it.weight);
}

template<class Archive>
void serialize(Archive &archive, RouteFields &it)
{
    archive(it.name, it.host, it.pathPrefix, it.resumable, it.maxAttempts, it.rank, it.services, it.anonymous);
    archiveEnum(archive, it.responseMode, ResponseMode::Stream);
    archiveEnum(archive, it.repeatability, Repeatability::AtMostOnce);
    archiveDuration(archive, it.timeout);
    archiveDuration(archive, it.targetLatency);
    archiveDuration(archive, it.maxEventGap);
}

template<class Archive>
void serialize(Archive &archive, ModelEngineSpecFields &it)
{
    archive(it.slots, it.kvCapacityTokens, it.tokensPerEvent);
    archiveDuration(archive, it.handleLifetime);
}

template<class Archive>
void serialize(Archive &archive, RoutedServiceFields &it)
{
    archive(it.name, it.model);
}

template<class Archive>
void serialize(Archive &archive, CallerLimitsFields &it)
{
    archive(it.headerBytes, it.bodyBytes);
    archiveDuration(archive, it.headerTimeout);
    archiveDuration(archive, it.idleTimeout);
}

template<class Archive>
void save(Archive &archive, const KeyDigest &it)
{
    archive(it.high(), it.low());
}

template<class Archive>
void load(Archive &archive, KeyDigest &it)
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    archive(high, low);
    it = KeyDigest(high, low);
}

template<class Archive>
void serialize(Archive &archive, AllowanceFields &it)
{
    archiveEnum(archive, it.unit, AllowanceUnit::Tokens);
    archive(it.ratePerSecond, it.burst, it.defaultTokens);
}

template<class Archive>
void serialize(Archive &archive, RoutedWorkspaceFields &it)
{
    archive(it.name, it.keys, it.rank, it.allowance);
}

template<class Archive>
void serialize(Archive &archive, DesiredStateFields &it)
{
    archive(it.version, it.routes, it.services, it.limits, it.requiresKeys, it.workspaces);
}

template<class Archive>
void serialize(Archive &archive, NodeLiveness &it)
{
    archive(it.node, it.heartbeat, it.callsPerSecond, it.serving, it.leaving, it.reachesStore);
}

/// Reads or writes \a liveness. Its heartbeat number is sent as the difference to \a base, which is short.
template<class Archive>
void archiveRelative(Archive &archive, NodeLiveness &liveness, std::uint64_t base)
{
    auto difference = static_cast<std::int64_t>(liveness.heartbeat - base);
    archive(liveness.node, difference, liveness.callsPerSecond, liveness.serving, liveness.leaving, liveness.reachesStore);
    liveness.heartbeat = base + static_cast<std::uint64_t>(difference);
}

template<class Archive>
void serialize(Archive &archive, EngineLifetime &it)
{
    archive(it.id, it.startedMs);
}

template<class Archive>
void serialize(Archive &archive, BrokenPrompt &it)
{
    archive(it.service, it.engine, it.promptKey, it.parts);
    archiveDuration(archive, it.age);
}

template<class Archive>
void serialize(Archive &archive, ClearedPart &it)
{
    archive(it.part);
    archiveDuration(archive, it.age);
}

template<class Archive>
void save(Archive &archive, const PromptPartSet &it)
{
    archive(it.parts());
}

template<class Archive>
void load(Archive &archive, PromptPartSet &it)
{
    std::vector<PromptPartId> parts;
    archive(parts);
    it = PromptPartSet(std::move(parts));
}

template<class Archive>
void serialize(Archive &archive, QuarantinedParts &it)
{
    archive(it.parts, it.round);
    archiveDuration(archive, it.age);
}

template<class Archive>
void serialize(Archive &archive, PromptReport &it)
{
    archive(it.broken, it.cleared, it.quarantined);
}

template<class Archive>
void serialize(Archive &archive, MembershipGossip &it)
{
    archive(it.sender, it.senderLiveness, it.enginesRevision, it.introductions, it.prompts);
    cereal::size_type count = it.others.size();
    archive(cereal::make_size_tag(count));
    it.others.resize(count);
    for (NodeLiveness &other : it.others) {
        archiveRelative(archive, other, it.senderLiveness.heartbeat);
    }
}

/// Reads or writes \a it. Its epoch is sent as the difference to \a base, which is short.
template<class Archive>
void archiveRelative(Archive &archive, WorkspaceSpending &it, std::uint64_t base)
{
    auto difference = static_cast<std::int64_t>(it.epoch - base);
    archive(it.workspace, difference, it.epochAgeMs, it.charged, it.refunded, it.level);
    it.epoch = base + static_cast<std::uint64_t>(difference);
}

template<class Archive>
void serialize(Archive &archive, LoadReport &it)
{
    archiveTime(archive, it.sentAt);
    archive(it.sender, it.senderLiveness, it.generation, it.enginesRevision, it.engineLoads, it.waitingCalls, it.unreachableEngines,
            it.prompts);
    cereal::size_type count = it.spending.size();
    archive(cereal::make_size_tag(count));
    it.spending.resize(count);
    std::uint64_t base = 0;
    for (WorkspaceSpending &spending : it.spending) {
        archiveRelative(archive, spending, base);
        base = spending.epoch;
    }
}

template<class Archive>
void serialize(Archive &archive, CellState &it)
{
    archive(it.desired, it.enginesRevision, it.knownRevision, it.engines, it.members, it.prompts);
}

std::string encodeCellMessage(const CellMessage &message)
{
    return encodeMessage(message);
}

Result<CellMessage> decodeCellMessage(std::string_view bytes)
{
    return decodeMessage<CellMessage>(bytes, "peer message");
}

std::string encodeCellState(const CellState &state)
{
    return encodeMessage(state);
}

Result<CellState> decodeCellState(std::string_view bytes)
{
    return decodeMessage<CellState>(bytes, "cell state");
}

}
