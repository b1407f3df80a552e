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

/// What a node sends to a caller over one connection.
struct CallerPart
{
    enum class Kind { Token, Done, Failed, Broken };
    Kind kind = Kind::Token;
    std::int64_t offset = 0;
    std::string token;
    ErrorKind error = ErrorKind::Internal;
};

using CallerSink = std::function<void(const CallerPart &)>;

/// A completion as a caller asks for it.
struct SimRequest
{
    RequestId id;
    RankName rank;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
};

/**
 * \class SimNode
 * \brief One node of a random run: the real machines of coordination, put together on virtual time.
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

    /// Runs \a function on this node after \a delay: not if it crashed meanwhile, later if it is paused.
    void after(absl::Duration delay, std::function<void()> function);

    /// Wraps a reply from outside in the same way.
    template<class T>
    std::function<void(T)> guard(std::function<void(T)> function)
    {
        return [this, epoch = m_epoch, function = std::move(function)](T value) {
            onNode(epoch, [function, value = std::move(value)] { function(value); });
        };
    }

    /// Takes in a datagram.
    void receive(const std::string &bytes);

    /// A caller's completion; \a offset is its Last-Event-ID. Returns false if the node refuses as draining.
    bool complete(const SimRequest &request, std::int64_t offset, std::uint64_t connection, CallerSink sink);

    /// The caller closed a connection; unless it comes back, its request is given up after a while.
    void connectionClosed(const RequestId &request, std::uint64_t connection);
    void cancel(const RequestId &request);
    bool tap(const IdempotencyKey &key, std::function<void(const TapAnswer &)> done);

    std::uint64_t generation() const;
    Generation generationInForce() const;
    AttemptStatus wordOf(const RequestId &attempt) const;
    bool isIdle() const;
    /// Nodes that this one holds for owners, for the check that all agree in the end.
    std::vector<NodeId> owners() const;

    /// Generation that a peer may take over.
    void offerGeneration(const Generation &generation);

private:
    struct Flow
    {
        SimRequest request;
        CompletionMachine machine;
        StreamAssembler assembler;
        std::int64_t base = 0;
        std::deque<Action> inbox;
        bool awaiting = false;
        std::uint64_t awaitNumber = 0;
        std::uint64_t streamNumber = 0;
        absl::Time lastPart;
        std::optional<WorkRenewed> renewal;
        CallerSink sink;
        std::uint64_t connection = 0; ///< of the caller that reads
        std::optional<CallerPart> end;
    };

    using FlowPointer = std::shared_ptr<Flow>;

    /// All state that a crash loses.
    struct State
    {
        State(Member self, SimNode &node);

        Membership membership;
        GenerationTracker gate;
        LeaseManager lease;
        std::unique_ptr<SliceScheduler> scheduler;
        std::map<RequestId, NodeId> coordinators;
        absl::Time lostAt = absl::InfiniteFuture();
        std::map<RequestId, FlowPointer> flows;
        SimRuns runs;
        RetryBudget retries;
        OutlierDetector outliers;
        RankRateLimiter floodGate;
        std::map<EngineId, int> pollFailures;
        bool draining = false;
    };

    void onNode(std::uint64_t epoch, std::function<void()> function);
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
    void hostEvents(const NodeId &from, const std::vector<Event> &events);
    void routeActions(const Actions &actions);
    void ensureScheduler();
    void noteLeaving();
    void takeOrders(const OwnerActionsMessage &message);

    void advance(const FlowPointer &flow, const CompletionEvent &event);
    void carryOut(const FlowPointer &flow, const CompletionActions &actions);
    void awaitOwner(const FlowPointer &flow, absl::Duration wait);
    StreamReader readerFor(const FlowPointer &flow, const EngineId &engine);
    void takePart(const FlowPointer &flow, const EngineId &engine, std::uint64_t number, const StreamPart &part);
    void watchSilence(const FlowPointer &flow, const EngineId &engine, std::uint64_t number);
    void breakStream(const FlowPointer &flow, const EngineId &engine, StreamFault fault);
    void send(const FlowPointer &flow, const CallerPart &part);
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
