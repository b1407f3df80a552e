#include "randomrun/simnode.h"

#include "randomrun/simworld.h"

#include "coordination/ownership.h"
#include "state/invariant.h"
#include "state/overloaded.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace Apricot::Sim {

namespace {

const ServiceName service("summarizer");

constexpr absl::Duration tickInterval = absl::Milliseconds(50);
constexpr absl::Duration pollInterval = absl::Milliseconds(250);
constexpr absl::Duration publishInterval = absl::Milliseconds(300);
constexpr absl::Duration watchInterval = absl::Milliseconds(500);
constexpr absl::Duration idleTimeout = absl::Seconds(1);
constexpr absl::Duration idleCheckInterval = absl::Milliseconds(250);

/// How long a node keeps the request of a disconnected caller, so that the caller can resume.
constexpr absl::Duration resumeTimeout = absl::Seconds(2);

constexpr absl::Duration lostSliceRetention = absl::Seconds(3);
constexpr absl::Duration addressRetention = absl::Seconds(3);
constexpr int failuresUntilLost = 2;

}

SimNode::State::State(Member self, SimNode &node)
    : membership(std::move(self))
    , lease(node.id())
    , runs(node)
{
}

SimNode::SimNode(SimWorld &world, NodeId id, std::size_t index)
    : m_world(world)
    , m_id(std::move(id))
    , m_index(index)
{
}

SimClock &SimNode::clock()
{
    return m_world.clock();
}

void SimNode::boot()
{
    m_alive = true;
    m_paused = false;
    ++m_epoch;
    const Member self = Member::Builder()
                            .set(&MemberFields::id, m_id)
                            .set(&MemberFields::incarnation, static_cast<std::uint64_t>(absl::ToUnixMillis(clock().now())))
                            .set(&MemberFields::peerAddress, m_id.text())
                            .set(&MemberFields::callerAddress, m_id.text())
                            .build();
    m_state = std::make_unique<State>(self, *this);
    m_state->membership.setVmList(m_world.vms(), clock().now());
    every(MembershipTimes::heartbeatInterval, [this] { heartbeat(); });
    every(tickInterval, [this] { tick(); });
    every(SchedulerTimings::renewalInterval, [this] { renew(); });
    every(pollInterval, [this] { pollEngines(); });
    every(publishInterval, [this] { publish(); });
    every(watchInterval, [this] { watchPointer(); });
}

void SimNode::crash()
{
    m_alive = false;
    m_paused = false;
    ++m_epoch;
    m_deferred.clear();
    for (const auto &[id, flow] : m_state->flows) {
        if (flow->sink && !flow->end) {
            send(flow, ResponsePart{ResponsePart::Kind::Broken});
        }
    }
    // Callbacks of this epoch still hold pointers to this state, so it is retained until the end of the run. guard() prevents them
    // from running.
    m_world.retainUntilEnd(std::shared_ptr<void>(m_state.release(), [](void *state) { delete static_cast<State *>(state); }));
}

void SimNode::pause()
{
    m_paused = true;
}

void SimNode::resume()
{
    m_paused = false;
    std::vector<std::function<void()>> deferred;
    deferred.swap(m_deferred);
    for (const std::function<void()> &it : deferred) {
        it();
    }
}

void SimNode::drain()
{
    m_state->membership.setLeaving();
    after(addressRetention, [this] { m_state->draining = true; });
}

void SimNode::runOnNode(std::uint64_t epoch, std::function<void()> function)
{
    if (!m_alive || epoch != m_epoch) {
        return;
    }
    if (m_paused) {
        m_deferred.push_back([this, epoch, function = std::move(function)] { runOnNode(epoch, function); });
        return;
    }
    function();
}

void SimNode::after(absl::Duration delay, std::function<void()> function)
{
    clock().after(delay, [this, epoch = m_epoch, function = std::move(function)] { runOnNode(epoch, function); });
}

void SimNode::every(absl::Duration interval, std::function<void()> function)
{
    // Random jitter on the interval prevents the nodes from acting at the same moments.
    after(interval * (0.9 + 0.2 * clock().uniform()), [this, interval, function = std::move(function)] {
        function();
        every(interval, function);
    });
}

void SimNode::heartbeat()
{
    Membership &membership = m_state->membership;
    membership.tick(clock().now());
    membership.setGeneration(m_state->generationTracker.current()->number);
    const std::string bytes = encodePeerMessage(HeartbeatMessage{membership.self(), membership.claims(), {}});
    for (const HeartbeatTarget &target : membership.heartbeatTargets(clock().now())) {
        m_world.send(*this, NodeId(target.address), bytes);
    }
}

void SimNode::receive(const std::string &bytes)
{
    const auto decoded = toVariant<PeerMessage>([&] { return decodePeerMessage(bytes); });
    const auto *message = std::get_if<PeerMessage>(&decoded);
    APRICOT_INVARIANT(message != nullptr, "own-messages-decode", m_id.text());
    if (message == nullptr) {
        return;
    }
    std::visit(Overloaded{
                   [&](const HeartbeatMessage &it) {
                       m_state->membership.handleHeartbeat(it.sender, it.claims, clock().now());
                       if (it.sender->generation != m_state->generationTracker.current()->number) {
                           m_world.requestGeneration(*this, it.sender->id);
                       }
                   },
                   [&](const OwnerEventsMessage &it) { handleOwnerEvents(it.from, it.events); },
                   [&](const OwnerActionsMessage &it) {
                       if (!it.isStale(clock().now())) {
                           handleOwnerActions(it);
                       }
                   },
               },
               *message);
}

NodeId SimNode::owner() const
{
    return ownerOf(service.text(), m_state->membership.owners());
}

void SimNode::sendOwner(const std::vector<Event> &events)
{
    const NodeId to = owner();
    if (to == m_id || to.isEmpty()) {
        handleOwnerEvents(m_id, events);
    } else {
        m_world.send(*this, to, encodePeerMessage(OwnerEventsMessage{service, m_id, {}, events}));
    }
}

void SimNode::ensureScheduler()
{
    if (m_state->scheduler == nullptr) {
        SchedulerSettings settings = m_world.schedulerSettings();
        settings.startedAt = clock().now();
        settings.conservativeStart = true;
        m_state->scheduler = std::make_unique<SliceScheduler>(std::move(settings));
        passLeavingEngines();
    }
}

void SimNode::passLeavingEngines()
{
    for (const EngineId &engine : m_world.leavingEngines()) {
        m_state->scheduler->handle(EngineLeaving{engine}, clock().now());
    }
}

void SimNode::handleOwnerEvents(const NodeId &from, const std::vector<Event> &events)
{
    ensureScheduler();
    for (const Event &event : events) {
        if (const auto *arrival = std::get_if<WorkArrived>(&event)) {
            m_state->coordinators[arrival->work->id] = from;
        } else if (const auto *renewal = std::get_if<WorkRenewed>(&event)) {
            m_state->coordinators[renewal->work->id] = from;
        }
        routeActions(m_state->scheduler->handle(event, clock().now()));
    }
}

void SimNode::routeActions(const Actions &actions)
{
    for (const Action &action : actions) {
        if (const auto *cancel = std::get_if<CancelOnEngine>(&action)) {
            m_world.engine(cancel->engine).cancel(cancel->id, cancel->attempt);
            continue;
        }
        const RequestId &request = std::visit([](const auto &it) -> const RequestId & { return it.id; }, action);
        const auto it = m_state->coordinators.find(request);
        if (it == m_state->coordinators.end()) {
            continue;
        }
        const OwnerActionsMessage message{
            service, m_id, HybridTimestamp{absl::ToUnixMicros(clock().now()), 0}, {action}, m_state->scheduler->limits(clock().now())};
        if (it->second == m_id) {
            // As on a real node, the flow receives the action after the current event has been handled.
            after(absl::ZeroDuration(), [this, message] { handleOwnerActions(message); });
        } else {
            m_world.send(*this, it->second, encodePeerMessage(message));
        }
    }
}

void SimNode::handleOwnerActions(const OwnerActionsMessage &message)
{
    m_state->rankLimiter.update(message.limits, m_state->membership.owners().size(), clock().now());
    for (const Action &action : message.actions) {
        const RequestId &request = std::visit([](const auto &it) -> const RequestId & { return it.id; }, action);
        const auto it = m_state->flows.find(request);
        if (it == m_state->flows.end() || it->second->end) {
            continue;
        }
        const FlowPointer flow = it->second;
        if (flow->awaiting) {
            flow->awaiting = false;
            advance(flow, OwnerActionReceived{action});
        } else {
            flow->pendingActions.push_back(action);
        }
    }
}

void SimNode::tick()
{
    const bool mine = owner() == m_id;
    if (mine) {
        ensureScheduler();
    }
    if (m_state->scheduler == nullptr) {
        return;
    }
    const absl::Time now = clock().now();
    m_state->ownershipLostAt = mine ? absl::InfiniteFuture() : std::min(m_state->ownershipLostAt, now);
    passLeavingEngines();
    if (mine) {
        routeActions(m_state->scheduler->handle(Tick{}, now));
    } else if (now - m_state->ownershipLostAt > lostSliceRetention) {
        m_state->scheduler.reset();
        m_state->coordinators.clear();
    }
}

void SimNode::renew()
{
    std::vector<Event> events;
    for (const auto &[id, flow] : m_state->flows) {
        if (flow->renewal) {
            events.emplace_back(*flow->renewal);
        }
    }
    if (!events.empty()) {
        sendOwner(events);
    }
}

void SimNode::pollEngines()
{
    if (m_state->scheduler == nullptr || owner() != m_id) {
        return;
    }
    for (SimEngine *engine : m_world.engines()) {
        EngineReported report;
        int &failures = m_state->pollFailures[engine->id()];
        if (!engine->report(&report)) {
            if (++failures >= failuresUntilLost) {
                routeActions(m_state->scheduler->handle(EngineLost{engine->id()}, clock().now()));
            }
            continue;
        }
        if (failures >= failuresUntilLost) {
            routeActions(m_state->scheduler->handle(EngineRecovered{engine->id()}, clock().now()));
        }
        failures = 0;
        routeActions(m_state->scheduler->handle(report, clock().now()));
    }
}

bool SimNode::isCandidate(std::string_view job, std::size_t count) const
{
    const std::vector<NodeId> order = nodesByPreference(job, m_state->membership.owners());
    const auto it = std::find(order.begin(), order.end(), m_id);
    return it != order.end() && static_cast<std::size_t>(it - order.begin()) < count;
}

void SimNode::publish()
{
    if (!isCandidate("publisher", 3)) {
        return;
    }
    SimStore &store = m_world.store();
    store.readLease(guard<std::optional<Lease>>([this, &store](std::optional<Lease> stored) {
        if (!stored) {
            return;
        }
        if ((*stored)->holder != m_id) {
            m_state->lease.recordLost();
        }
        const absl::Time sentAt = clock().now();
        const std::optional<Lease> wanted = m_state->lease.leaseToWrite(*stored, sentAt);
        if (!wanted) {
            return;
        }
        store.writeLease(*wanted,
                         [this, wanted = *wanted, sentAt,
                          run = guard<std::pair<WriteOutcome, std::uint64_t>>(
                              [this, wanted = *wanted, sentAt](std::pair<WriteOutcome, std::uint64_t> end) {
                                  if (end.first == WriteOutcome::Written) {
                                      m_state->lease.recordWritten(wanted, end.second, sentAt);
                                  } else if (end.first == WriteOutcome::Conflict) {
                                      m_state->lease.recordLost();
                                  }
                              })](WriteOutcome end, std::uint64_t version) {
                             run({end, version});
                         });
    }));
    if (!m_state->lease.holds(clock().now())) {
        return;
    }
    const Lease &storedLease = store.lease();
    APRICOT_INVARIANT(storedLease->holder == m_id && clock().now() < absl::FromUnixMillis(storedLease->untilMs), "no-act-after-lease",
                      m_id.text());
    const std::string content = m_world.desiredConfig();
    store.readPointer([this, content, &store,
                       run = guard<std::pair<std::optional<Generation>, std::uint64_t>>(
                           [this, content, &store](std::pair<std::optional<Generation>, std::uint64_t> read) {
                               const std::optional<Generation> next = read.first ? nextGeneration(*read.first, content, 1) : std::nullopt;
                               if (next) {
                                   store.writePointer(*next, read.second, [](WriteOutcome, std::uint64_t) {});
                               }
                           })](std::optional<Generation> pointer, std::uint64_t version) {
        run({std::move(pointer), version});
    });
}

void SimNode::watchPointer()
{
    if (!isCandidate("config-watch", 2)) {
        return;
    }
    m_world.store().readPointer([this, run = guard<std::optional<Generation>>([this](std::optional<Generation> pointer) {
                                           if (pointer && (*pointer)->number > 0) {
                                               offerGeneration(*pointer);
                                           }
                                       })](std::optional<Generation> pointer, std::uint64_t) { run(std::move(pointer)); });
}

void SimNode::offerGeneration(const Generation &generation)
{
    m_state->generationTracker.tryAdvance(generation);
}

std::uint64_t SimNode::generation() const
{
    return m_state->generationTracker.current()->number;
}

Generation SimNode::currentGeneration() const
{
    return m_state->generationTracker.current();
}

AttemptStatus SimNode::attemptStatus(const RequestId &attempt) const
{
    return m_state->runs.attemptStatus(attempt);
}

bool SimNode::isIdle() const
{
    const bool flowsEnded
        = std::all_of(m_state->flows.begin(), m_state->flows.end(), [](const auto &it) { return it.second->end.has_value(); });
    return flowsEnded && !m_state->runs.hasWork();
}

std::vector<NodeId> SimNode::owners() const
{
    return m_state->membership.owners();
}

bool SimNode::startRun(const IdempotencyKey &key, std::function<void(const RunResult &)> done)
{
    if (m_state->draining) {
        return false;
    }
    m_state->runs.startAttempt(key, std::move(done));
    return true;
}

void SimNode::handleConnectionClosed(const RequestId &request, std::uint64_t connection)
{
    after(resumeTimeout, [this, request, connection] {
        const auto it = m_state->flows.find(request);
        if (it != m_state->flows.end() && it->second->connection == connection) {
            cancel(request);
        }
    });
}

bool SimNode::complete(const SimRequest &request, std::int64_t offset, std::uint64_t connection, ResponseHandler sink)
{
    const auto known = m_state->flows.find(request.id);
    const bool failed = known != m_state->flows.end() && known->second->end && known->second->end->kind == ResponsePart::Kind::Failed;
    if (known != m_state->flows.end() && !failed && offset >= known->second->baseOffset) {
        // A repeated request gets the same output, starting at the offset that it asks for.
        const FlowPointer flow = known->second;
        flow->sink = std::move(sink);
        flow->connection = connection;
        for (std::int64_t i = offset; i < flow->baseOffset + flow->assembler.nextOffset(); ++i) {
            send(flow,
                 ResponsePart{ResponsePart::Kind::Token, i, flow->assembler.tokens()[static_cast<std::size_t>(i - flow->baseOffset)]});
        }
        if (flow->end) {
            send(flow, *flow->end);
        }
        return true;
    }
    if (m_state->draining) {
        return false;
    }
    const FlowPointer flow = makeFlow(request, offset);
    flow->sink = std::move(sink);
    flow->connection = connection;
    m_state->flows[request.id] = flow;
    if (!m_state->rankLimiter.tryAcquire(request.rank, clock().now())) {
        executeActions(flow, {AnswerFailed{ErrorKind::RateLimited, absl::Seconds(1), {}}});
        return true;
    }
    executeActions(flow, offset > 0 ? flow->machine.startResume(clock().now()) : flow->machine.start(clock().now()));
    return true;
}

SimNode::FlowPointer SimNode::makeFlow(const SimRequest &request, std::int64_t offset)
{
    CompletionPlan plan;
    plan.targetLatency = absl::Milliseconds(1200);
    plan.resultLifetime = absl::Milliseconds(800);
    plan.baseTokens = offset;
    for (SimEngine *engine : m_world.decodeEngines()) {
        plan.decodeEngines.push_back(engine->id());
    }
    plan.work = Work::Builder()
                    .set(&WorkFields::id, request.id)
                    .set(&WorkFields::attempt, static_cast<std::uint64_t>(absl::ToUnixMillis(clock().now())))
                    .set(&WorkFields::rank, request.rank)
                    .set(&WorkFields::promptTokens, request.promptTokens)
                    .set(&WorkFields::maxTokens, request.maxTokens)
                    .set(&WorkFields::arrivalTime, clock().now())
                    .build();
    return std::make_shared<Flow>(Flow{request, CompletionMachine(plan), {}, offset, {}, false, 0, 0, clock().now(), {}, {}, 0, {}});
}

void SimNode::cancel(const RequestId &request)
{
    const auto it = m_state->flows.find(request);
    if (it != m_state->flows.end() && !it->second->end) {
        ++it->second->streamNumber;
        advance(it->second, CallerCancelled{});
    }
}

void SimNode::advance(const FlowPointer &flow, const CompletionEvent &event)
{
    executeActions(flow, flow->machine.handle(event, clock().now()));
}

void SimNode::executeActions(const FlowPointer &flow, const CompletionActions &actions)
{
    const SimRequest &request = flow->request;
    for (const CompletionAction &action : actions) {
        std::visit(
            Overloaded{
                [&](const NotifyOwner &it) { sendOwner({it.event}); },
                [&](const AwaitOwnerAction &it) { awaitOwner(flow, it.wait); },
                [&](const RunPrefill &it) {
                    const std::int64_t tokens = request.promptTokens + flow->assembler.nextOffset();
                    auto done = guard<std::pair<std::string, absl::Duration>>(
                        [this, flow, attempt = it.attempt](const std::pair<std::string, absl::Duration> &result) {
                            if (attempt != flow->machine.attempt()) {
                                return;
                            }
                            advance(flow,
                                    result.first.empty() ? CompletionEvent(PrefillUnreachable{})
                                                         : CompletionEvent(PrefillReturned{result.first, result.second, 0}));
                        });
                    m_world.engine(it.engine).prefill(request.id, tokens, [done](std::string handle, absl::Duration took) {
                        done({std::move(handle), took});
                    });
                },
                [&](const OpenStream &it) {
                    const std::int64_t tokens = request.promptTokens + flow->assembler.nextOffset();
                    m_world.engine(it.decode).decode(request.id, it.attempt, m_world.engine(it.prefill), it.handle, tokens,
                                                     request.maxTokens, it.offset, makeStreamReader(flow, it.decode));
                },
                [&](const ResumeStream &it) { m_world.engine(it.decode).resume(request.id, it.offset, makeStreamReader(flow, it.decode)); },
                [&](const CancelEngines &it) {
                    for (const EngineId &engine : it.engines) {
                        m_world.engine(engine).cancel(request.id, it.attempt);
                    }
                },
                [&](const SetRenewal &it) { flow->renewal = it.renewal; },
                [&](const RequestRetry &) {
                    after(absl::ZeroDuration(),
                          [this, flow] { advance(flow, RetryBudgetAnswered{m_state->retries.trySpend(clock().now())}); });
                },
                [&](const WaitBeforeRetry &it) { after(it.length, [this, flow] { advance(flow, RetryWaitElapsed{}); }); },
                [&](const AnswerComplete &) {
                    flow->end = ResponsePart{ResponsePart::Kind::Done, flow->baseOffset + flow->assembler.nextOffset()};
                    send(flow, *flow->end);
                },
                [&](const AnswerFailed &it) {
                    flow->end = ResponsePart{ResponsePart::Kind::Failed, 0, {}, it.kind};
                    send(flow, *flow->end);
                },
            },
            action);
    }
}

void SimNode::awaitOwner(const FlowPointer &flow, absl::Duration wait)
{
    if (!flow->pendingActions.empty()) {
        const Action action = flow->pendingActions.front();
        flow->pendingActions.pop_front();
        after(absl::ZeroDuration(), [this, flow, action] { advance(flow, OwnerActionReceived{action}); });
        return;
    }
    flow->awaiting = true;
    const std::uint64_t number = ++flow->awaitNumber;
    after(wait, [this, flow, number] {
        if (flow->awaiting && flow->awaitNumber == number) {
            flow->awaiting = false;
            advance(flow, OwnerActionTimedOut{});
        }
    });
}

StreamPartHandler SimNode::makeStreamReader(const FlowPointer &flow, const EngineId &engine)
{
    const std::uint64_t number = ++flow->streamNumber;
    flow->lastPartTime = clock().now();
    watchIdleTimeout(flow, engine, number);
    return guard<StreamPart>([this, flow, engine, number](const StreamPart &part) { handleStreamPart(flow, engine, number, part); });
}

void SimNode::handleStreamPart(const FlowPointer &flow, const EngineId &engine, std::uint64_t number, const StreamPart &part)
{
    if (number != flow->streamNumber || flow->end) {
        return;
    }
    flow->lastPartTime = clock().now();
    const std::int64_t next = flow->baseOffset + flow->assembler.nextOffset();
    switch (part.kind) {
    case StreamPart::Kind::Opened:
        advance(flow, StreamOpened{absl::Milliseconds(1), part.attempt, part.promptTokens, part.maxTokens});
        break;
    case StreamPart::Kind::Token:
        if (part.offset > next) {
            handleStreamFailure(flow, engine, StreamFault::Interrupted);
        } else if (flow->assembler.tryAppend(part.offset - flow->baseOffset, part.token)) {
            send(flow, ResponsePart{ResponsePart::Kind::Token, next, part.token});
            advance(flow, StreamAdvanced{next + 1});
        }
        break;
    case StreamPart::Kind::Done:
        ++flow->streamNumber;
        if (part.offset == next) {
            advance(flow, StreamFinished{});
        } else {
            advance(flow, StreamFailed{StreamFault::Interrupted, FailureAction::ReconnectAndResume});
        }
        break;
    case StreamPart::Kind::Broken:
        handleStreamFailure(flow, engine, StreamFault::Interrupted);
        break;
    case StreamPart::Kind::Refused:
        handleStreamFailure(flow, engine, StreamFault::Refused);
        break;
    case StreamPart::Kind::NotConnected:
        handleStreamFailure(flow, engine, StreamFault::NotConnected);
        break;
    }
}

void SimNode::watchIdleTimeout(const FlowPointer &flow, const EngineId &engine, std::uint64_t number)
{
    after(idleCheckInterval, [this, flow, engine, number] {
        if (number != flow->streamNumber || flow->end) {
            return;
        }
        if (clock().now() - flow->lastPartTime > idleTimeout) {
            handleStreamFailure(flow, engine, StreamFault::Interrupted);
        } else {
            watchIdleTimeout(flow, engine, number);
        }
    });
}

void SimNode::handleStreamFailure(const FlowPointer &flow, const EngineId &engine, StreamFault fault)
{
    ++flow->streamNumber;
    const FailureAction failureAction = fault == StreamFault::NotConnected ? m_state->outliers.recordConnectFailure(engine, clock().now())
                                                                           : m_state->outliers.recordStalledConnection(engine);
    advance(flow, StreamFailed{fault, failureAction});
}

void SimNode::send(const FlowPointer &flow, const ResponsePart &part)
{
    m_world.sendToCaller(flow->sink, part);
}

}
