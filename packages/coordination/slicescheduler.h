#pragma once

#include "coordination/admissionqueue.h"
#include "coordination/enginerates.h"
#include "coordination/enginetable.h"
#include "coordination/orphandetector.h"
#include "coordination/placement.h"
#include "coordination/schedulersettings.h"
#include "coordination/sizequantile.h"
#include "state/action.h"
#include "state/event.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Apricot {

/// Request and reservation counts of a slice, for status pages, metrics and tests.
struct SliceCounts
{
    std::size_t waiting = 0;
    std::size_t prefilling = 0;
    std::size_t awaitingSlot = 0;
    std::size_t decoding = 0;
    std::int64_t reservedPieces = 0;

    friend bool operator==(const SliceCounts &, const SliceCounts &) = default;
};

/**
 * \class SliceScheduler
 * \brief Schedules the requests of one slice: keeps the queue and the reservations, and chooses the engines.
 *
 * A deterministic state machine without I/O: handle() maps an event and the current time to actions. Its state is not
 * persisted; after a change of owner, the renewals of the coordinators restore it.
 */
class SliceScheduler
{
public:
    explicit SliceScheduler(SchedulerSettings settings);

    /// Handles one event at \a now and returns the resulting actions.
    Actions handle(const Event &event, absl::Time now);

    /// Returns the current limit of each rank, to be sent to the coordinators.
    std::vector<RankLimit> limits(absl::Time now) const
    {
        return m_queue.limits(now);
    }

    SliceCounts counts() const;

    const EngineTable &engines() const
    {
        return m_engines;
    }

    /// Whether the request holds a reservation.
    bool hasReservation(const RequestId &id) const
    {
        return m_activeRequests.contains(id);
    }

private:
    enum class Stage { Prefilling, AwaitingSlot, Decoding };

    /// A request to which engines are assigned.
    struct ActiveRequest
    {
        Work work;
        std::size_t rank = 0;
        Stage stage = Stage::Prefilling;
        std::optional<std::size_t> prefill; ///< empty if the request was adopted from an earlier owner and its engine is unknown
        std::size_t decode = 0;
        std::int64_t pieces = 0;
        std::int64_t tokens = 0;
        double prefillMs = 0;
        absl::Time resultExpiry = absl::InfiniteFuture();
        absl::Time lastRenewal;
        bool adopted = false; ///< whether an earlier owner made the reservation
    };

    void handleWorkArrived(const WorkArrived &event, absl::Time now);
    void handlePrefillFinished(const PrefillFinished &event, absl::Time now);
    void handlePrefillFailed(const PrefillFailed &event, absl::Time now);
    void handleDecodeStarted(const DecodeStarted &event);
    void handleKvTransferFailed(const KvTransferFailed &event, absl::Time now);
    void handleWorkRenewed(const WorkRenewed &event, absl::Time now);
    void handleWorkFinished(const WorkFinished &event, absl::Time now);
    void handleWorkCancelled(const WorkCancelled &event, absl::Time now);
    void handleEngineLost(const EngineLost &event, absl::Time now);
    void handleEngineRecovered(const EngineRecovered &event);
    void handleEngineLeaving(const EngineLeaving &event);
    void handleEngineReported(const EngineReported &event, absl::Time now);
    void handleTick(absl::Time now);

    /// Returns the active request with exactly this attempt, or nullptr.
    ActiveRequest *findActiveRequest(const RequestId &id, std::uint64_t attempt);

    /// Handles an earlier attempt with the same id, if there is one. Returns whether the new attempt proceeds.
    bool supersedeEarlierAttempt(const Work &work, absl::Time now);
    void enqueue(const Work &work, std::size_t rank, absl::Time now);
    void emitStartAction(const ActiveRequest &request);
    void adopt(const WorkRenewed &event, std::size_t decode, absl::Time now);
    void updateTokenGap(ActiveRequest &request, std::int64_t tokens, absl::Time now);
    void extendReservation(ActiveRequest &request);

    void dispatch(absl::Time now);
    void dispatchResults(absl::Time now);
    bool startNext(const SlotForecast &slots, absl::Time now);
    /// Starts one request of the rank. Returns false if none can start now.
    bool startFromRank(std::size_t rank, const SlotForecast &slots, absl::Time now, bool *poolFull);
    void start(const RequestId &id, std::size_t rank, const Placement &placement, absl::Time now);
    bool missesTarget(const Work &work, std::size_t rank, absl::Time firstToken) const;
    void refuseOverdue(absl::Time now);
    void startImmediately(const Work &work, std::size_t rank, absl::Time now);
    std::size_t leastLoadedPrefill(const Work &work) const;
    std::optional<std::size_t> selectDecode(const ActiveRequest &request, absl::Time now) const;
    void startDecode(ActiveRequest &request, std::size_t decode);
    bool startsDecodeImmediately() const;
    std::pair<absl::Time, RequestId> resultKey(const ActiveRequest &request) const;

    void release(const RequestId &id, bool cancelOnEngines, absl::Time now);
    void releasePrefill(ActiveRequest &request, absl::Time now);
    void refuse(const Work &work, std::size_t rank, ErrorKind kind, absl::Time now);
    bool usesReportedUsage(absl::Time now) const;
    bool mayOvercommit() const;
    PlacementRules placementRules(std::size_t rank, absl::Time now) const;
    SlotForecast slotForecast(absl::Time now) const;
    std::int64_t piecesNeeded(const Work &work) const;
    double capacityPerSecond(absl::Time now) const;
    absl::Time latestStart(const Work &work, std::size_t rank) const;

    SchedulerSettings m_settings;
    EngineTable m_engines;
    AdmissionQueue m_queue;
    std::vector<SizeQuantile> m_requestPieces; ///< distribution of the pieces that requests need, per rank
    absl::flat_hash_map<RequestId, ActiveRequest> m_activeRequests;
    std::int64_t m_adoptedCount = 0; ///< number of active requests whose reservation was made by an earlier owner
    std::set<std::pair<absl::Time, RequestId>> m_pendingResults; ///< results waiting for a slot, by first token deadline
    OrphanDetector m_orphanDetector;
    EngineRates m_rates;
    Actions m_actions;
};

}
