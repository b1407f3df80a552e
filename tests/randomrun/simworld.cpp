#include "randomrun/simworld.h"

#include "state/invariant.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

namespace Apricot::Sim {

namespace {

constexpr std::size_t prefillEngineCount = 3;
constexpr std::size_t decodeEngineCount = 4;
constexpr std::int64_t slots = 6;
constexpr std::int64_t pieces = 400;

constexpr absl::Duration callerInterval = absl::Milliseconds(70);
constexpr absl::Duration faultInterval = absl::Milliseconds(700);
constexpr absl::Duration configChangeInterval = absl::Milliseconds(1500);
constexpr int maxActiveFaults = 2;

constexpr double nonIdempotentFraction = 0.3;
constexpr double cancelFraction = 0.1;
constexpr double disconnectFraction = 0.15;

/// After the last step all faults are repaired. All calls must end within callEndTimeout, and all engine memory must be free after a
/// further memoryReleaseTimeout.
constexpr absl::Duration callEndTimeout = absl::Seconds(60);
constexpr absl::Duration memoryReleaseTimeout = absl::Seconds(5);

constexpr absl::Duration vmListDelay = absl::Seconds(1);

}

SimWorld::SimWorld(const RunPlan &plan)
    : m_plan(plan)
    , m_clock(plan.seed)
    , m_store(m_clock)
    , m_startTime(m_clock.now())
{
    for (std::size_t i = 0; i < prefillEngineCount; ++i) {
        m_prefill.push_back(std::make_unique<SimEngine>(m_clock, EngineId(absl::StrCat("p", i)), slots, pieces));
    }
    for (std::size_t i = 0; i < decodeEngineCount; ++i) {
        m_decode.push_back(std::make_unique<SimEngine>(m_clock, EngineId(absl::StrCat("d", i)), slots, pieces));
    }
    for (std::size_t i = 0; i < plan.nodes; ++i) {
        m_nodes.push_back(std::make_unique<SimNode>(*this, NodeId(absl::StrCat("node-", i)), i));
    }
    Invariants::setHandler([this](std::string_view name, const std::string &values) {
        ++m_violations;
        appendTrace(absl::StrCat("VIOLATION ", std::string(name), ": ", values));
    });
}

SimWorld::~SimWorld()
{
    Invariants::setHandler({});
}

RunReport SimWorld::run()
{
    for (const auto &node : m_nodes) {
        node->boot();
    }
    scheduleCaller();
    scheduleFault();
    scheduleConfigChange();
    while (m_clock.steps() < m_plan.steps && m_clock.step()) { }
    finishRun();
    return checkResults();
}

void SimWorld::finishRun()
{
    m_stopping = true;
    const absl::Time until = m_clock.now() + callEndTimeout;
    while (m_clock.now() < until && (!haveAllCallsEnded() || m_activeFaults > 0) && m_clock.step()) { }
    const absl::Time freeUntil = m_clock.now() + memoryReleaseTimeout;
    while (m_clock.now() < freeUntil && m_clock.step()) { }
}

std::string SimWorld::elapsedSeconds() const
{
    return absl::StrFormat("%.3f", absl::ToDoubleSeconds(m_clock.now() - m_startTime));
}

std::vector<Vm> SimWorld::vms() const
{
    std::vector<Vm> vms;
    for (std::size_t i = 0; i < m_plan.nodes; ++i) {
        const std::string name = absl::StrCat("node-", i);
        vms.emplace_back(VmFields{name, name, false});
    }
    return vms;
}

SchedulerSettings SimWorld::schedulerSettings() const
{
    SchedulerSettings settings;
    settings.prefillPool = Pool::Builder().set(&PoolFields::role, PoolRole::Prefill).build();
    settings.decodePool
        = Pool::Builder().set(&PoolFields::role, PoolRole::Decode).set(&PoolFields::slots, slots).set(&PoolFields::pieces, pieces).build();
    for (const auto &it : m_prefill) {
        settings.prefillEndpoints.push_back(Endpoint::Builder().set(&EndpointFields::name, it->id().text()).build());
    }
    for (const auto &it : m_decode) {
        settings.decodeEndpoints.push_back(Endpoint::Builder().set(&EndpointFields::name, it->id().text()).build());
    }
    const Rank rank = Rank::Builder().set(&RankFields::floorShare, 0.2).build();
    settings.ranks = {rank.with(&RankFields::name, RankName("urgent")),
                      rank.with(&RankFields::name, RankName("other")).with(&RankFields::priority, 1)};
    return settings;
}

SimEngine &SimWorld::engine(const EngineId &id)
{
    for (SimEngine *it : engines()) {
        if (it->id() == id) {
            return *it;
        }
    }
    return *m_decode.front();
}

std::vector<SimEngine *> SimWorld::engines()
{
    std::vector<SimEngine *> found;
    for (const auto &it : m_prefill) {
        found.push_back(it.get());
    }
    for (const auto &it : m_decode) {
        found.push_back(it.get());
    }
    return found;
}

std::vector<SimEngine *> SimWorld::decodeEngines()
{
    std::vector<SimEngine *> found;
    for (const auto &it : m_decode) {
        found.push_back(it.get());
    }
    return found;
}

std::vector<EngineId> SimWorld::leavingEngines() const
{
    std::vector<EngineId> found;
    for (const auto &[engine, since] : m_leaving) {
        if (m_clock.now() - since >= vmListDelay) {
            found.push_back(engine);
        }
    }
    return found;
}

void SimWorld::send(const SimNode &from, const NodeId &to, const std::string &bytes)
{
    for (const auto &node : m_nodes) {
        if (node->id() != to || isCut(from.index(), node->index()) || m_clock.chance(m_lossProbability)) {
            continue;
        }
        const int copies = m_clock.chance(m_duplicateProbability) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const absl::Duration delay
                = m_clock.drawDuration(absl::Milliseconds(0.4), absl::Milliseconds(1.5)) + m_clock.uniform() * m_maxExtraDelay;
            node->after(delay, [node = node.get(), bytes] { node->receive(bytes); });
        }
    }
}

void SimWorld::sendToCaller(const ResponseHandler &sink, const ResponsePart &part)
{
    if (sink) {
        // The constant delay preserves the order of the parts on a connection.
        m_clock.after(absl::Milliseconds(1), [sink, part] { sink(part); });
    }
}

SimNode *SimWorld::pickNodeForCaller()
{
    return m_nodes[m_clock.drawIndex(m_nodes.size())].get();
}

void SimWorld::requestGeneration(SimNode &from, const NodeId &peer)
{
    for (const auto &node : m_nodes) {
        if (node->id() != peer || isCut(from.index(), node->index())) {
            continue;
        }
        auto answer = from.guard<Generation>([&from](const Generation &generation) { from.offerGeneration(generation); });
        node->after(absl::Milliseconds(1), [this, node = node.get(), answer] {
            const Generation generation = node->currentGeneration();
            if (generation->number > 0) {
                m_clock.after(m_clock.drawDuration(absl::Milliseconds(1), absl::Milliseconds(400)),
                              [answer, generation] { answer(generation); });
            }
        });
    }
}

void SimWorld::requestAttemptStatus(SimNode &from, const NodeId &peer, const RequestId &attempt, std::function<void(AttemptStatus)> done)
{
    auto answered = std::make_shared<bool>(false);
    const auto once = [answered, done = std::move(done)](AttemptStatus status) {
        if (!*answered) {
            *answered = true;
            done(status);
        }
    };
    m_clock.after(absl::Milliseconds(500), [once] { once(AttemptStatus::Unknown); });
    for (const auto &node : m_nodes) {
        if (node->id() == peer && !isCut(from.index(), node->index())) {
            node->after(absl::Milliseconds(1), [this, node = node.get(), attempt, once] {
                const AttemptStatus status = node->attemptStatus(attempt);
                m_clock.after(absl::Milliseconds(1), [once, status] { once(status); });
            });
        }
    }
}

void SimWorld::callService(const IdempotencyKey &key, std::function<void(ServiceCallOutcome)> done)
{
    if (m_serviceDown) {
        m_clock.after(absl::Milliseconds(1), [done = std::move(done)] { done(ServiceCallOutcome::NotSent); });
        return;
    }
    m_clock.after(absl::Milliseconds(2), [this, key, done = std::move(done)] {
        const int runs = ++m_runs[key];
        APRICOT_INVARIANT(runs == 1, "runs-at-most-once", absl::StrCat(key.text(), " ran ", runs, " times"));
        const bool lost = m_serviceLosesReplies && m_clock.chance(0.4);
        m_clock.after(lost ? absl::Seconds(1) : absl::Milliseconds(3),
                      [done, lost] { done(lost ? ServiceCallOutcome::Lost : ServiceCallOutcome::Answered); });
    });
}

void SimWorld::retainUntilEnd(std::shared_ptr<void> state)
{
    m_crashedStates.push_back(std::move(state));
}

void SimWorld::scheduleCaller()
{
    m_clock.after(callerInterval * m_clock.uniform() * 2, [this] {
        if (m_stopping) {
            return;
        }
        const std::string name = absl::StrCat("r", m_callers.size() + m_runCallers.size());
        if (m_clock.chance(nonIdempotentFraction)) {
            auto runCaller = std::make_shared<SimRunCaller>(*this, IdempotencyKey(name), 1 + static_cast<int>(m_clock.drawIndex(3)));
            m_runCallers.push_back(runCaller);
            runCaller->start();
        } else {
            const CallerBehaviour behaviour = drawBehaviour();
            // Callers that cancel or disconnect get a long output, so that engine memory that is not released shows up as orphaned.
            const bool isLong = behaviour == CallerBehaviour::Cancels || behaviour == CallerBehaviour::Disconnects;
            const SimRequest request{RequestId(name), RankName(m_clock.chance(0.5) ? "urgent" : "other"),
                                     50 + static_cast<std::int64_t>(m_clock.drawIndex(1500)), isLong ? 2000 : 200};
            auto caller = std::make_shared<SimCaller>(*this, request, behaviour);
            m_callers.push_back(caller);
            caller->start();
        }
        scheduleCaller();
    });
}

CallerBehaviour SimWorld::drawBehaviour()
{
    const double drawn = m_clock.uniform();
    if (drawn < cancelFraction) {
        return CallerBehaviour::Cancels;
    }
    if (drawn < 2 * cancelFraction) {
        return CallerBehaviour::Disconnects;
    }
    return drawn < 2 * cancelFraction + disconnectFraction ? CallerBehaviour::DisconnectsAndResumes : CallerBehaviour::Stays;
}

void SimWorld::scheduleFault()
{
    m_clock.after(faultInterval * m_clock.uniform() * 2, [this] {
        if (m_stopping) {
            return;
        }
        if (m_activeFaults < maxActiveFaults) {
            injectFault();
        }
        scheduleFault();
    });
}

void SimWorld::injectFault()
{
    auto [name, repair] = drawFault();
    if (!repair) {
        return;
    }
    ++m_faultCounts[name];
    ++m_activeFaults;
    appendTrace("fault " + name);
    m_clock.after(m_clock.drawDuration(absl::Milliseconds(300), absl::Seconds(5)), [this, name = name, repair = std::move(repair)] {
        appendTrace("end of " + name);
        repair();
        --m_activeFaults;
    });
}

std::pair<std::string, SimWorld::Repair> SimWorld::drawFault()
{
    switch (m_clock.drawIndex(15)) {
    case 0:
        return {"crashNode", crashNode()};
    case 1:
        return {"pauseNode", pauseNode()};
    case 2:
        return {"partition", partition()};
    case 3:
        m_lossProbability = 0.3;
        return {"loss", [this] {
                    m_lossProbability = 0;
                }};
    case 4:
        m_duplicateProbability = 0.5;
        return {"duplicates", [this] {
                    m_duplicateProbability = 0;
                }};
    case 5:
        m_maxExtraDelay = absl::Milliseconds(300);
        return {"delay", [this] {
                    m_maxExtraDelay = absl::ZeroDuration();
                }};
    case 6:
        m_store.setOutage(true);
        return {"storeOutage", [this] {
                    m_store.setOutage(false);
                }};
    case 7:
        m_store.setSlow(true);
        return {"storeSlow", [this] {
                    m_store.setSlow(false);
                }};
    case 8:
        m_store.setLosesReplies(true);
        return {"storeLosesReplies", [this] {
                    m_store.setLosesReplies(false);
                }};
    case 9:
        return {"killEngine", killEngine()};
    case 10:
        engines()[m_clock.drawIndex(engines().size())]->stallConnections();
        return {"silentConnections", [] {
                }};
    case 11:
        m_decode[m_clock.drawIndex(m_decode.size())]->stallTransfers(m_clock.now() + absl::Seconds(1));
        return {"stalledTransfer", [] {
                }};
    case 12:
        return {"engineLeaves", startEngineLeaving()};
    case 13:
        return {"drainNode", drainNode()};
    default:
        m_serviceLosesReplies = true;
        m_serviceDown = m_clock.chance(0.3);
        return {"serviceFails", [this] {
                    m_serviceLosesReplies = false;
                    m_serviceDown = false;
                }};
    }
}

SimNode *SimWorld::pickNode(bool alive)
{
    SimNode *node = m_nodes[m_clock.drawIndex(m_nodes.size())].get();
    return node->isAlive() == alive && !node->isPaused() ? node : nullptr;
}

SimWorld::Repair SimWorld::crashNode()
{
    SimNode *node = pickNode(true);
    if (node == nullptr) {
        return {};
    }
    node->crash();
    return [node] {
        node->boot();
    };
}

SimWorld::Repair SimWorld::pauseNode()
{
    SimNode *node = pickNode(true);
    if (node == nullptr) {
        return {};
    }
    node->pause();
    return [node] {
        if (node->isAlive()) {
            node->resume();
        }
    };
}

SimWorld::Repair SimWorld::partition()
{
    const std::size_t cut = 1 + m_clock.drawIndex(m_nodes.size() - 1);
    for (std::size_t a = 0; a < cut; ++a) {
        for (std::size_t b = cut; b < m_nodes.size(); ++b) {
            m_cutLinks.emplace(a, b);
        }
    }
    return [this] {
        m_cutLinks.clear();
    };
}

SimWorld::Repair SimWorld::drainNode()
{
    SimNode *node = pickNode(true);
    if (node == nullptr) {
        return {};
    }
    node->drain();
    const std::uint64_t epoch = node->epoch();
    return [this, node, epoch] {
        m_clock.after(absl::Seconds(3), [this, node, epoch] { replaceWhenIdle(node, epoch); });
    };
}

void SimWorld::replaceWhenIdle(SimNode *node, std::uint64_t epoch)
{
    // A draining process exits when its last call has ended, and a new process replaces it.
    if (!node->isAlive() || node->epoch() != epoch) {
        return;
    }
    if (node->isPaused() || !node->isIdle()) {
        m_clock.after(absl::Milliseconds(500), [this, node, epoch] { replaceWhenIdle(node, epoch); });
        return;
    }
    node->crash();
    node->boot();
}

SimWorld::Repair SimWorld::killEngine()
{
    SimEngine *engine = engines()[m_clock.drawIndex(engines().size())];
    if (!engine->isAlive()) {
        return {};
    }
    engine->kill();
    return [engine] {
        engine->restart();
    };
}

SimWorld::Repair SimWorld::startEngineLeaving()
{
    if (!m_leaving.empty()) {
        return {};
    }
    SimEngine *engine = engines()[m_clock.drawIndex(engines().size())];
    engine->setLeaving(m_clock.now());
    m_leaving[engine->id()] = m_clock.now();
    return [] {
    };
}

void SimWorld::scheduleConfigChange()
{
    m_clock.after(configChangeInterval * m_clock.uniform() * 2, [this] {
        if (!m_stopping) {
            m_desiredConfig = absl::StrCat("config-", ++m_configNumber);
            scheduleConfigChange();
        }
    });
}

bool SimWorld::isCut(std::size_t a, std::size_t b) const
{
    return m_cutLinks.contains({std::min(a, b), std::max(a, b)});
}

bool SimWorld::haveAllCallsEnded() const
{
    const bool callers
        = std::all_of(m_callers.begin(), m_callers.end(), [](const auto &it) { return it->outcome() != CallerOutcome::Open; });
    const bool runCallers = std::all_of(m_runCallers.begin(), m_runCallers.end(), [](const auto &it) {
        return std::find(it->outcomes().begin(), it->outcomes().end(), CallerOutcome::Open) == it->outcomes().end();
    });
    return callers && runCallers;
}

RunReport SimWorld::checkResults()
{
    RunReport report;
    report.steps = m_clock.steps();
    report.faults = m_faultCounts;
    checkCalls(&report);
    checkRunRecords(&report);
    std::string heldRequests;
    for (SimEngine *engine : engines()) {
        report.orphanPieces += engine->piecesInUse();
        EngineReported engineReport;
        engine->report(&engineReport);
        for (const RequestId &id : engineReport.held) {
            absl::StrAppend(&heldRequests, " ", id.text(), " on ", engine->id().text());
        }
    }
    APRICOT_INVARIANT(report.orphanPieces == 0, "no-orphan-pieces", absl::StrCat(report.orphanPieces, heldRequests));
    for (const auto &node : m_nodes) {
        const bool current = !node->isAlive() || node->currentGeneration()->hash == m_desiredConfig;
        APRICOT_INVARIANT(current, "configuration-in-force-everywhere",
                          absl::StrCat(node->id().text(), " has ", node->generation(), " ", node->currentGeneration()->hash, " wanted ",
                                       m_desiredConfig));
    }
    for (const auto &node : m_nodes) {
        const bool agrees = !node->isAlive() || node->owners() == m_nodes.front()->owners();
        APRICOT_INVARIANT(agrees, "members-agree",
                          absl::StrCat(node->id().text(), " sees ", node->owners().size(), ", ", m_nodes.front()->id().text(), " sees ",
                                       m_nodes.front()->owners().size()));
    }
    report.violations = m_violations;
    report.trace = m_trace;
    if (m_violations > 0) {
        for (const auto &caller : m_callers) {
            report.trace.insert(report.trace.end(), caller->trace().begin(), caller->trace().end());
        }
        for (const auto &runCaller : m_runCallers) {
            report.trace.insert(report.trace.end(), runCaller->trace().begin(), runCaller->trace().end());
        }
        std::stable_sort(report.trace.begin(), report.trace.end(),
                         [](const std::string &a, const std::string &b) { return std::stod(a) < std::stod(b); });
    }
    return report;
}

void SimWorld::checkCalls(RunReport *report) const
{
    const auto count = [&](CallerOutcome outcome, const std::string &name) {
        ++report->requests;
        report->answered += outcome == CallerOutcome::Answered ? 1 : 0;
        report->notRun += outcome == CallerOutcome::NotRun ? 1 : 0;
        report->mayHaveRun += outcome == CallerOutcome::MayHaveRun ? 1 : 0;
        APRICOT_INVARIANT(outcome != CallerOutcome::Open, "every-call-ends", name);
    };
    for (const auto &caller : m_callers) {
        count(caller->outcome(), caller->request().id.text());
        report->resumed += caller->resumes();
    }
    for (const auto &runCaller : m_runCallers) {
        bool onlyNotRun = true;
        for (const CallerOutcome outcome : runCaller->outcomes()) {
            count(outcome, runCaller->key().text());
            onlyNotRun = onlyNotRun && outcome == CallerOutcome::NotRun;
        }
        const auto runs = m_runs.find(runCaller->key());
        const int ran = runs == m_runs.end() ? 0 : runs->second;
        report->duplicateRuns += std::max(0, ran - 1);
        const bool isFalseNotRun = onlyNotRun && ran > 0;
        report->falseNotRun += isFalseNotRun ? 1 : 0;
        APRICOT_INVARIANT(!isFalseNotRun, "not-run-is-true", runCaller->key().text());
    }
}

void SimWorld::checkRunRecords(RunReport * /*report*/)
{
    for (const auto &[name, page] : m_store.pages()) {
        for (const auto &[key, record] : page->records) {
            if (record->state != RunState::Dispatching) {
                continue;
            }
            // A record may stay in the Dispatching state only if its creator has crashed.
            for (const auto &node : m_nodes) {
                const bool knowsAttempt
                    = node->isAlive() && node->id() == record->node && node->attemptStatus(record->creator) != AttemptStatus::Unknown;
                APRICOT_INVARIANT(!knowsAttempt, "run-record-settled", absl::StrCat(key.text(), " by ", record->creator.text()));
            }
        }
    }
}

void SimWorld::appendTrace(const std::string &text)
{
    m_trace.push_back(absl::StrCat(elapsedSeconds(), " ", text));
}

std::string reportLine(const RunPlan &plan, const RunReport &report)
{
    std::string faults;
    for (const auto &[name, n] : report.faults) {
        absl::StrAppend(&faults, faults.empty() ? "" : ",", "\"", name, "\":", n);
    }
    return absl::StrCat("{\"seed\":", plan.seed, ",\"steps\":", report.steps, ",\"requests\":", report.requests,
                        ",\"answered\":", report.answered, ",\"notRun\":", report.notRun, ",\"mayHaveRun\":", report.mayHaveRun,
                        ",\"resumed\":", report.resumed, ",\"violations\":", report.violations, ",\"duplicateRuns\":", report.duplicateRuns,
                        ",\"falseNotRun\":", report.falseNotRun, ",\"orphanPieces\":", report.orphanPieces, ",\"faults\":{", faults, "}}");
}

}
