#pragma once

#include "randomrun/simclock.h"
#include "randomrun/simengine.h"
#include "randomrun/simruns.h"

#include "coordination/completionmachine.h"
#include "coordination/generationtracker.h"
#include "coordination/leasemanager.h"
#include "coordination/membership.h"
#include "coordination/outlierdetector.h"
#include "coordination/rankratelimiter.h"
#include "coordination/retrybudget.h"
#include "coordination/slicescheduler.h"
#include "coordination/streamassembler.h"
#include "protocol/peermessage.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Apricot::Sim {

class SimWorld;

/// One part of a response that a node sends to a caller.
struct ResponsePart
{
    enum class Kind { Token, Done, Failed, Broken };
    Kind kind = Kind::Token;
    std::int64_t offset = 0;
    std::string token;
    ErrorKind error = ErrorKind::Internal;
};

using ResponseHandler = std::function<void(const ResponsePart &)>;

/// Completion request of a caller.
struct SimRequest
{
    RequestId id;
    RankName rank;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
};

/**
 * \class SimNode
 * \brief One node of a random run: the real state machines of coordination/, driven by virtual time.
 */
class SimNode
{
public:
    SimNode(SimWorld &world, NodeId id, std::size_t index);

    const NodeId &id() const
    {
        return m_id;
    }

    std::size_t index() const
    {
        return m_index;
    }

    std::uint64_t epoch() const
    {
        return m_epoch;
    }

    bool isAlive() const
    {
        return m_alive;
    }

    bool isPaused() const
    {
        return m_paused;
    }

    SimClock &clock();

    SimWorld &world()
    {
        return m_world;
    }

    void boot();
    void crash();
    void pause();
    void resume();
    void drain();

    /// Runs \a function on this node after \a delay. Drops it if the node has crashed by then, and defers it while the node is paused.
    void after(absl::Duration delay, std::function<void()> function);

    /// Wraps a callback for a reply from outside the node, with the same rules for crashes and pauses as after().
    template<class T>
    std::function<void(T)> guard(std::function<void(T)> function)
    {
        return [this, epoch = m_epoch, function = std::move(function)](T value) {
            runOnNode(epoch, [function, value = std::move(value)] { function(value); });
        };
    }

    /// Handles a datagram from a peer.
    void receive(const std::string &bytes);

    /// Starts or resumes a caller's completion. \a offset is the caller's Last-Event-ID. Returns false if the node refuses because it is
    /// draining.
    bool complete(const SimRequest &request, std::int64_t offset, std::uint64_t connection, ResponseHandler sink);

    /// Handles the close of a caller's connection. Cancels the request after a timeout unless the caller reconnects.
    void handleConnectionClosed(const RequestId &request, std::uint64_t connection);
    void cancel(const RequestId &request);
    bool startRun(const IdempotencyKey &key, std::function<void(const RunResult &)> done);

    std::uint64_t generation() const;
    Generation currentGeneration() const;
    AttemptStatus attemptStatus(const RequestId &attempt) const;
    bool isIdle() const;
    /// Nodes that this node considers possible slice owners, for the check that all nodes agree at the end of the run.
    std::vector<NodeId> owners() const;

    /// Adopts a configuration generation from a peer or from the store if it is newer than the current one.
    void offerGeneration(const Generation &generation);

private:
    struct Flow
    {
        SimRequest request;
        CompletionMachine machine;
        StreamAssembler assembler;
        std::int64_t baseOffset = 0;
        std::deque<Action> pendingActions;
        bool awaiting = false;
        std::uint64_t awaitNumber = 0;
        std::uint64_t streamNumber = 0;
        absl::Time lastPartTime;
        std::optional<WorkRenewed> renewal;
        ResponseHandler sink;
        std::uint64_t connection = 0; ///< connection of the caller that reads the output
        std::optional<ResponsePart> end;
    };

    using FlowPointer = std::shared_ptr<Flow>;

    /// State that is lost in a crash.
    struct State
    {
        State(Member self, SimNode &node);

        Membership membership;
        GenerationTracker generationTracker;
        LeaseManager lease;
        std::unique_ptr<SliceScheduler> scheduler;
        std::map<RequestId, NodeId> coordinators;
        absl::Time ownershipLostAt = absl::InfiniteFuture();
        std::map<RequestId, FlowPointer> flows;
        SimRuns runs;
        RetryBudget retries;
        OutlierDetector outliers;
        RankRateLimiter rankLimiter;
        std::map<EngineId, int> pollFailures;
        bool draining = false;
    };

    void runOnNode(std::uint64_t epoch, std::function<void()> function);
    void every(absl::Duration interval, std::function<void()> function);
    void heartbeat();
    void tick();
    void renew();
    void pollEngines();
    void publish();
    void watchPointer();
    bool isCandidate(std::string_view job, std::size_t count) const;

    NodeId owner() const;
    void sendOwner(const std::vector<Event> &events);
    void handleOwnerEvents(const NodeId &from, const std::vector<Event> &events);
    void routeActions(const Actions &actions);
    void ensureScheduler();
    void passLeavingEngines();
    void handleOwnerActions(const OwnerActionsMessage &message);

    void advance(const FlowPointer &flow, const CompletionEvent &event);
    void executeActions(const FlowPointer &flow, const CompletionActions &actions);
    void awaitOwner(const FlowPointer &flow, absl::Duration wait);
    StreamPartHandler makeStreamReader(const FlowPointer &flow, const EngineId &engine);
    void handleStreamPart(const FlowPointer &flow, const EngineId &engine, std::uint64_t number, const StreamPart &part);
    void watchIdleTimeout(const FlowPointer &flow, const EngineId &engine, std::uint64_t number);
    void handleStreamFailure(const FlowPointer &flow, const EngineId &engine, StreamFault fault);
    void send(const FlowPointer &flow, const ResponsePart &part);
    FlowPointer makeFlow(const SimRequest &request, std::int64_t offset);

    SimWorld &m_world;
    NodeId m_id;
    std::size_t m_index;
    bool m_alive = false;
    bool m_paused = false;
    std::uint64_t m_epoch = 0;
    std::vector<std::function<void()>> m_deferred;
    std::unique_ptr<State> m_state;
};

}
