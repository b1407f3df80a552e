#pragma once

#include "protocol/boundedarchive.h"
#include "protocol/peermessage.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

/// Serialization of the state layer's types with cereal. The field order in each function is part of the wire format.
namespace Apricot {

template<class Archive, class Kind>
std::string save_minimal(const Archive &, const Name<Kind> &name)
{
    return name.text();
}

template<class Archive, class Kind>
void load_minimal(const Archive &, Name<Kind> &name, const std::string &text)
{
    name = Name<Kind>(text);
}

template<class Archive, class Fields>
void save(Archive &archive, const Immutable<Fields> &value)
{
    archive(value.fields());
}

template<class Archive, class Fields>
void load(Archive &archive, Immutable<Fields> &value)
{
    Fields fields;
    archive(fields);
    value = Immutable<Fields>(std::move(fields));
}

/// Reads or writes a time as microseconds since the epoch.
template<class Archive>
void archiveTime(Archive &archive, absl::Time &time)
{
    std::int64_t micros = absl::ToUnixMicros(time);
    archive(micros);
    time = absl::FromUnixMicros(micros);
}

/// Reads or writes a duration in microseconds.
template<class Archive>
void archiveDuration(Archive &archive, absl::Duration &duration)
{
    std::int64_t micros = absl::ToInt64Microseconds(duration);
    archive(micros);
    duration = absl::Microseconds(micros);
}

/// Reads or writes an enumeration as one byte. Throws cereal::Exception if the value is greater than \a last.
template<class Archive, class Enum>
void archiveEnum(Archive &archive, Enum &value, Enum last)
{
    auto number = static_cast<std::uint8_t>(value);
    archive(number);
    if (number > static_cast<std::uint8_t>(last)) {
        throw cereal::Exception("the message contains an unknown enumeration value");
    }
    value = static_cast<Enum>(number);
}

template<class Archive>
void serialize(Archive &archive, WorkFields &it)
{
    archive(it.id, it.attempt, it.rank, it.workspace, it.promptTokens, it.maxTokens, it.prefixHash, it.prefixTokens, it.dataCentre,
            it.excludedEngine, it.resumed);
    archiveTime(archive, it.arrivalTime);
}

template<class Archive>
void serialize(Archive &archive, MemberFields &it)
{
    archive(it.id, it.incarnation, it.leaving, it.dataCentre, it.peerAddress, it.datagramAddress, it.callerAddress, it.generation,
            it.processorMillis);
    archiveEnum(archive, it.state, MemberState::Dead);
}

template<class Archive>
void serialize(Archive &archive, MemberClaim &it)
{
    archive(it.id, it.incarnation);
    archiveEnum(archive, it.state, MemberState::Dead);
}

template<class Archive>
void serialize(Archive &archive, HybridTimestamp &it)
{
    archive(it.micros, it.counter);
}

template<class Archive>
void serialize(Archive &archive, RankLimit &it)
{
    archive(it.rank, it.overloaded, it.requestsPerSecond);
}

template<class Archive>
void serialize(Archive &archive, GenerationFields &it)
{
    archive(it.number, it.hash, it.chunks);
}

template<class Archive>
void serialize(Archive &archive, TimelineEvent &it)
{
    archive(it.timestamp, it.node, it.request, it.what, it.detail);
}

template<class Archive>
void serialize(Archive &archive, WorkArrived &it)
{
    archive(it.work);
}

template<class Archive>
void serialize(Archive &archive, PrefillFinished &it)
{
    archive(it.id, it.attempt, it.cachedTokens);
    archiveDuration(archive, it.duration);
}

template<class Archive>
void serialize(Archive &archive, PrefillFailed &it)
{
    archive(it.id, it.attempt);
}

template<class Archive>
void serialize(Archive &archive, DecodeStarted &it)
{
    archive(it.id, it.attempt);
    archiveDuration(archive, it.transferDuration);
}

template<class Archive>
void serialize(Archive &archive, KvTransferFailed &it)
{
    archive(it.id, it.attempt);
}

template<class Archive>
void serialize(Archive &archive, WorkRenewed &it)
{
    archive(it.work, it.prefill, it.decode, it.decoding, it.tokens);
}

template<class Archive>
void serialize(Archive &archive, WorkFinished &it)
{
    archive(it.id, it.attempt, it.tokens);
}

template<class Archive>
void serialize(Archive &archive, WorkCancelled &it)
{
    archive(it.id, it.attempt);
}

template<class Archive>
void serialize(Archive &archive, EngineLost &it)
{
    archive(it.engine);
}

template<class Archive>
void serialize(Archive &archive, EngineRecovered &it)
{
    archive(it.engine);
}

template<class Archive>
void serialize(Archive &archive, EngineLeaving &it)
{
    archive(it.engine);
}

template<class Archive>
void serialize(Archive &archive, EngineReported &it)
{
    archive(it.engine, it.running, it.piecesInUse, it.held, it.cachedPrefixes);
}

template<class Archive>
void serialize(Archive &, Tick &)
{
}

template<class Archive>
void serialize(Archive &archive, StartPrefill &it)
{
    archive(it.id, it.attempt, it.prefill, it.decode);
}

template<class Archive>
void serialize(Archive &archive, StartDecode &it)
{
    archive(it.id, it.attempt, it.prefill, it.decode);
}

template<class Archive>
void serialize(Archive &archive, Refuse &it)
{
    archive(it.id, it.attempt);
    archiveEnum(archive, it.kind, ErrorKind::Internal);
    archiveDuration(archive, it.retryAfter);
}

template<class Archive>
void serialize(Archive &archive, CancelOnEngine &it)
{
    archive(it.id, it.attempt, it.engine);
}

template<class Archive>
void serialize(Archive &archive, HeartbeatMessage &it)
{
    archive(it.sender, it.claims, it.timestamp);
}

template<class Archive>
void serialize(Archive &archive, OwnerEventsMessage &it)
{
    archive(it.service, it.from, it.timestamp, it.events);
}

template<class Archive>
void serialize(Archive &archive, OwnerActionsMessage &it)
{
    archive(it.service, it.from, it.timestamp, it.actions, it.limits);
}

template<class Archive>
void serialize(Archive &archive, SnapshotQuery &it)
{
    archive(it.newerThan);
}

template<class Archive>
void serialize(Archive &archive, TimelineQuery &it)
{
    archive(it.request);
}

template<class Archive>
void serialize(Archive &archive, AttemptStatusQuery &it)
{
    archive(it.attempt);
}

template<class Archive>
void serialize(Archive &archive, SnapshotReply &it)
{
    archive(it.generation, it.snapshot);
}

template<class Archive>
void serialize(Archive &archive, TimelineReply &it)
{
    archive(it.events);
}

template<class Archive>
void serialize(Archive &archive, AttemptStatusReply &it)
{
    archiveEnum(archive, it.status, AttemptStatus::Unknown);
}

}
