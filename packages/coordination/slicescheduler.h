#pragma once

#include "coordination/admissionqueue.h"
#include "coordination/enginerates.h"
#include "coordination/enginetable.h"
#include "coordination/orphanwatch.h"
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

/// Counts for status pages, metrics and tests.
struct SliceCounts
{
    std::size_t waiting = 0;
    std::size_t prefilling = 0;
    std::size_t resultsWaiting = 0;
    std::size_t decoding = 0;
    std::int64_t reservedPieces = 0;

    friend bool operator==(const SliceCounts &, const SliceCounts &) = default;
};

/**
 * \class SliceScheduler
 * \brief The owner of one slice: its queue, its reservations and its choice of engines.
 *
 * A pure machine: handle() maps an event and the present time to actions. All of its state is soft; renewals bring it
 * back after a change of owner.
 */
class SliceScheduler
{
public:
    explicit SliceScheduler(SchedulerSettings settings);

    /// Reacts to one event at \a now.
    Actions handle(const Event &event, absl::Time now);

    /// Limits per rank for coordinators.
    std::vector<RankLimit> limits(absl::Time now) const
    {
        return m_queue.limits(now);
    }

    SliceCounts counts() const;

    const EngineTable &engines() const
    {
        return m_engines;
    }

    /// Whether a reservation of this request is held.
    bool holds(const RequestId &id) const
    {
        return m_flights.contains(id);
    }

private:
    enum class Stage { Prefilling, ResultWaiting, Decoding };

    /// A request that was given engines.
    struct Flight
    {
        Work work;
        std::size_t rank = 0;
        Stage stage = Stage::Prefilling;
        std::optional<std::size_t> prefill; ///< nothing for a request taken over from an earlier owner
        std::size_t decode = 0;
        std::int64_t pieces = 0;
        std::int64_t tokens = 0;
        double prefillMs = 0;
        absl::Time resultExpires = absl::InfiniteFuture();
        absl::Time renewed;
        bool adopted = false; ///< reserved by an earlier owner
    };

    void arrived(const WorkArrived &event, absl::Time now);
    void prefillFinished(const PrefillFinished &event, absl::Time now);
    void prefillFailed(const PrefillFailed &event, absl::Time now);
    void decodeStarted(const DecodeStarted &event);
    void takeoverFailed(const TakeoverFailed &event, absl::Time now);
    void renewed(const WorkRenewed &event, absl::Time now);
    void finished(const WorkFinished &event, absl::Time now);
    void cancelled(const WorkCancelled &event, absl::Time now);
    void engineLost(const EngineLost &event, absl::Time now);
    void engineBack(const EngineBack &event);
    void engineLeaving(const EngineLeaving &event);
    void reported(const EngineReported &event, absl::Time now);
    void tick(absl::Time now);

    /// Finds the flight of exactly this attempt, or nullptr.
    Flight *flightOf(const RequestId &id, std::uint64_t attempt);

    /// Deals with another attempt at the same id; returns whether the new one goes on.
    bool supersede(const Work &work, absl::Time now);
    void enqueue(const Work &work, std::size_t rank, absl::Time now);
    void repeatOrder(const Flight &flight);
    void adopt(const WorkRenewed &event, std::size_t decode, absl::Time now);
    void learnGap(Flight &flight, std::int64_t tokens, absl::Time now);
    void growReservation(Flight &flight);

    void pump(absl::Time now);
    void pumpResults(absl::Time now);
    bool startNext(const SlotForecast &slots, absl::Time now);
    /// Starts one request of the rank; returns false if there is none that can start now.
    bool startFrom(std::size_t rank, const SlotForecast &slots, absl::Time now, bool *poolFull);
    void start(const RequestId &id, std::size_t rank, const Placement &placement, absl::Time now);
    bool isTooLate(const Work &work, std::size_t rank, absl::Time firstToken) const;
    void refuseOverdue(absl::Time now);
    void startAtOnce(const Work &work, std::size_t rank, absl::Time now);
    std::size_t fewestPrefills(const Work &work) const;
    std::optional<std::size_t> decodeForResult(const Flight &flight, absl::Time now) const;
    void takeOver(Flight &flight, std::size_t decode);
    bool takesOverAtOnce() const;
    std::pair<absl::Time, RequestId> resultKey(const Flight &flight) const;

    void release(const RequestId &id, bool cancelOnEngines, absl::Time now);
    void settlePrefill(Flight &flight, absl::Time now);
    void refuse(const Work &work, std::size_t rank, ErrorKind kind, absl::Time now);
    bool isCareful(absl::Time now) const;
    bool mayOverfill() const;
    PlacementRules rulesFor(std::size_t rank, absl::Time now) const;
    SlotForecast slotForecast(absl::Time now) const;
    std::int64_t piecesNeeded(const Work &work) const;
    double capacityPerSecond(absl::Time now) const;
    absl::Time latestStart(const Work &work, std::size_t rank) const;

    SchedulerSettings m_settings;
    EngineTable m_engines;
    AdmissionQueue m_queue;
    std::vector<SizeQuantile> m_sizes; ///< pieces wanted, per rank
    absl::flat_hash_map<RequestId, Flight> m_flights;
    std::int64_t m_adopted = 0; ///< flights that an earlier owner reserved
    std::set<std::pair<absl::Time, RequestId>> m_results; ///< flights whose result waits for a slot, by deadline of the first token
    OrphanWatch m_orphans;
    EngineRates m_rates;
    Actions m_actions;
};

}
