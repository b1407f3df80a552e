#include "apricotladderd/entry/streamcall.h"

#include "apricotladderd/entry/enginerequest.h"
#include "apricotladderd/entry/erroranswer.h"
#include "state/abslview.h"
#include "state/overloaded.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Maximum wait for capacity, as a multiple of the route's target latency. After a longer wait the first event would miss
/// the target, so the call is refused with a Retry-After that outlasts the burst. A late retry has already missed its target
/// and may wait longer, because only its complete answer can still arrive in time.
constexpr double patienceInTargets = 0.65;
constexpr double patienceOfLateInTargets = 3;

/// Upper bound of the wait for capacity: callers abandon a stream after two seconds or more without data.
constexpr absl::Duration mostPatience = absl::Milliseconds(2200);

/// Maximum wait of an interrupted stream for capacity on another engine: callers disconnect after two seconds without data.
constexpr absl::Duration patienceForResumption = absl::Milliseconds(900);

/// A call is refused without waiting only if its expected wait exceeds this: a shorter estimate is based on few calls.
constexpr absl::Duration leastHopelessWait = absl::Milliseconds(1500);

/// Retry-After of a refused call: short after an engine failure, long and with random jitter when capacity is missing.
constexpr absl::Duration comeBackSoon = absl::Milliseconds(50);
constexpr absl::Duration comeBackLater = absl::Milliseconds(2500);
constexpr absl::Duration comeBackSpread = absl::Milliseconds(1800);

/// Prefill timeout, as a fraction of the route's target latency. After it the decode engine computes the prefill itself if
/// its other streams tolerate that, or another prefill engine is tried.
constexpr double slowPrefillPart = 0.75;

/// Stall timeout of a resumable stream, as a multiple of the route's maximum event gap, and its lower bound.
constexpr double silencePauses = 3;
constexpr absl::Duration leastSilence = absl::Milliseconds(900);

/// Bytes not yet sent to the caller above which reading from the engine pauses.
constexpr std::size_t mostUnsent = 256 * 1024;

/// Minimum time left before the deadline for another attempt.
constexpr absl::Duration leastTimeForTry = absl::Milliseconds(300);

}

StreamCall::StreamCall(EntryLoop &loop, HttpServerConnection::Self caller, CallFacts facts, HttpRequestHead head, std::string body)
    : m_loop(loop)
    , m_caller(std::move(caller))
    , m_facts(std::move(facts))
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_reservation(loop.context(), m_facts.service)
    , m_handle(loop, m_facts.call->promptTokens)
{
}

void StreamCall::start()
{
    if (m_loop.context().phase.load(std::memory_order_relaxed) == LeavePhase::Closing) {
        refuse(ErrorKind::Draining, comeBackSoon);
        return;
    }
    const absl::Duration left = m_facts.deadline() - m_loop.events().now();
    const std::shared_ptr<StreamCall> self = shared_from_this();
    m_caller->setGone([self] { self->callerGone(); });
    m_deadlineTimer = m_loop.events().after(left, [self] { self->timeIsUp(); });
    const double targets = m_facts.isLate ? patienceOfLateInTargets : patienceInTargets;
    askForRoom(std::min(m_facts.route->target * targets, mostPatience));
}

ModelDemand StreamCall::demand(absl::Duration patience) const
{
    EntryContext &context = m_loop.context();
    const std::int64_t perEvent = context.pools.withPool(m_facts.service, [](const ServicePool &pool) { return pool.tokensPerEvent(); });
    ModelDemand demand;
    demand.nearTo = context.settings->dataCentre;
    demand.promptTokens = m_facts.call->promptTokens;
    demand.madeTokens = m_events.count() * perEvent;
    demand.hintedTokens = m_facts.call->likelyOutputTokens;
    demand.mostTokens = m_facts.call->mostOutputTokens;
    demand.rank = m_facts.route->rank;
    demand.target = m_facts.route->target;
    demand.longestPause = m_facts.route->longestPause;
    demand.patience = patience;
    demand.avoided = m_avoided;
    demand.luck = m_loop.randomBits();
    return demand;
}

void StreamCall::askForRoom(absl::Duration patience)
{
    EntryContext &context = m_loop.context();
    const absl::Time now = m_loop.events().now();
    const ModelDemand demand = this->demand(patience);
    const std::optional<ModelPlacement> placement
        = context.pools.withPool(m_facts.service, [&](ServicePool &pool) { return pool.placeArrival(demand, now); });
    if (placement) {
        roomFound(*placement);
        return;
    }
    const absl::Duration expected
        = context.pools.withPool(m_facts.service, [&](ServicePool &pool) { return pool.expectedWait(demand, now); });
    if (!m_streamBegun && expected > std::max(patience, leastHopelessWait)) {
        noRoom();
        return;
    }
    const std::shared_ptr<StreamCall> self = shared_from_this();
    m_waiter = m_loop.addWaiter([self](const ModelPlacement &it) { self->roomFound(it); });
    m_waitTimer = m_loop.events().after(patience, [self] { self->noRoom(); });
    context.pools.withPool(m_facts.service, [&](ServicePool &pool) { pool.wait(m_waiter, demand, now); });
    context.pools.grantRoom(m_facts.service, now);
    context.onLoadsChanged();
}

void StreamCall::roomFound(const ModelPlacement &placement)
{
    m_loop.events().cancel(std::exchange(m_waitTimer, 0));
    m_waiter = 0;
    m_placement = placement;
    m_placedAt = m_loop.events().now();
    m_basis = placement.basis;
    m_reservation.adopt(placement);
    if (!placement.prefill || m_streamBegun) {
        startDecode();
    } else if (m_handle.hasHandle()) {
        // The prefill is complete and only its decode engine was lost: the newly placed prefill engine is not needed.
        m_reservation.release((*placement.prefill)->id, m_loop.events().now());
        startDecode();
    } else if (m_prefillsSent > 0 && !spendRepeat()) {
        refuse(ErrorKind::NoCapacity, comeBackSoon);
    } else {
        startPrefill();
    }
}

void StreamCall::giveUpPlacement(EngineId failed)
{
    m_avoided.push_back(std::move(failed));
    m_reservation.releaseAll(m_loop.events().now());
    m_placement.reset();
}

void StreamCall::noRoom()
{
    m_waitTimer = 0;
    if (m_streamBegun) {
        breakOff("no engine to resume at");
        return;
    }
    // The jitter prevents calls that were refused in one burst from retrying at the same moment.
    refuse(m_wasSent ? ErrorKind::AnswerIncomplete : ErrorKind::NoCapacity, comeBackLater + comeBackSpread * m_loop.random());
}

EngineRequestOptions StreamCall::termsFor(const EngineEntry &engine) const
{
    EngineRequestOptions terms;
    terms.engine = engine->id;
    terms.timeLeft = m_facts.deadline() - m_loop.events().now();
    terms.rank = m_facts.route->rank;
    return terms;
}

ExchangeRequest StreamCall::requestTo(const EngineEntry &engine, const EngineRequestOptions &terms) const
{
    ExchangeRequest request = exchangeWith(engine, m_head, m_body, terms, m_facts.call->attempt);
    // Always a new connection: a handshake costs far less than a generation that is lost on a kept connection which its
    // engine has just closed.
    request.mostIdle = absl::ZeroDuration();
    request.keepFor = absl::ZeroDuration();
    return request;
}

void StreamCall::startPrefill()
{
    const EngineEntry engine = *m_placement->prefill;
    m_stageSince = m_loop.events().now();
    EngineRequestOptions terms = termsFor(engine);
    terms.prefillOnly = true;
    m_prefill = HttpQuestion::ask(m_loop.events(), m_loop.engines(), requestTo(engine, terms), m_facts.route->target * slowPrefillPart,
                                  [self = shared_from_this()](const QuestionEnd &end) { self->prefillEnded(end); });
}

void StreamCall::prefillEnded(const QuestionEnd &end)
{
    std::visit(Overloaded{
                   [&](Unanswered why) { prefillUnanswered(why); },
                   [&](const WholeAnswer &answer) {
                       notePrefillSent();
                       prefillAnswered(answer);
                   },
               },
               end);
}

void StreamCall::notePrefillSent()
{
    m_arrivals += m_prefillsSent > 0 ? 1 : 0;
    ++m_prefillsSent;
}

void StreamCall::prefillUnanswered(Unanswered why)
{
    if (why == Unanswered::NoConnection) {
        afterFailedPrefill(EngineResult::Unreachable, unansweredText(why));
        return;
    }
    notePrefillSent();
    if (why == Unanswered::TooLate) {
        m_loop.context().metrics.countWastedPrefillTokens(static_cast<double>(m_facts.call->promptTokens));
    }
    afterFailedPrefill(EngineResult::Failed, unansweredText(why));
}

void StreamCall::prefillAnswered(const WholeAnswer &answer)
{
    const EngineEntry engine = *m_placement->prefill;
    const std::optional<PrefillHandle> result = answer.head.status == statusOk ? readPrefillHandle(answer.body) : std::nullopt;
    if (!result) {
        m_prefillCounts = true;
        const bool isRefusal = provesNotRun(answer.head.status, readEngineResponse(answer.head));
        afterFailedPrefill(isRefusal ? EngineResult::Refused : EngineResult::Failed, isRefusal ? "declined" : "failed");
        return;
    }
    const absl::Time now = m_loop.events().now();
    m_loop.context().pools.withPool(m_facts.service, [&](ServicePool &pool) {
        const double units = static_cast<double>(std::max<std::int64_t>(1, m_facts.call->promptTokens));
        pool.noteResult(engine->id, EngineResult::Good, now);
        pool.noteCost(engine->id, units, now - m_stageSince, now);
    });
    m_loop.context().metrics.countAttempt("prefill", "good");
    m_handle.set(engine, result->handle);
    m_reservation.release(engine->id, now);
    startDecode();
}

void StreamCall::afterFailedPrefill(EngineResult result, const char *why)
{
    const EngineEntry engine = *m_placement->prefill;
    m_reservation.recordResult(engine->id, result, m_loop.events().now());
    m_loop.context().metrics.countAttempt("prefill", why);
    m_loop.context().log.add(LogLevel::Info, "call.prefillfailed", m_facts.call->attempt,
                             {{"engine", engine->id.text()}, {"why", std::string(why)}});
    m_reservation.release(engine->id, m_loop.events().now());
    // A prefill alone does not count as running the call, so a refusal that reports "not run" is still correct here.
    if (m_prefillCounts && !spendRepeat()) {
        refuse(ErrorKind::NoCapacity, comeBackSoon);
        return;
    }
    const ModelDemand demand = this->demand(absl::ZeroDuration());
    const EngineId decode = m_placement->decode->id;
    const bool bearsIt = m_loop.context().pools.withPool(
        m_facts.service, [&](const ServicePool &pool) { return pool.bearsReading(decode, demand, m_loop.events().now()); });
    if (bearsIt || !mayPrefillAgain()) {
        readAtDecodeEngine();
        return;
    }
    // A prefill at the decode engine would delay the events of its other streams by more than their routes allow.
    giveUpPlacement(engine->id);
    askForRoom(m_facts.route->target);
}

bool StreamCall::mayPrefillAgain() const
{
    // The first prefill does not count as an attempt; every further one does.
    return m_prefillsSent == 0 || m_arrivals + 1 < m_facts.route->mostAttempts;
}

void StreamCall::readAtDecodeEngine()
{
    m_placement->prefill.reset();
    m_reservation.add(EngineShare{m_placement->decode->id, 0, m_facts.call->promptTokens, std::nullopt});
    startDecode();
}

void StreamCall::startDecode()
{
    const EngineEntry engine = m_placement->decode;
    EntryContext &context = m_loop.context();
    const bool isReady = context.pools.withPool(m_facts.service, [&](ServicePool &pool) { return pool.isReady(engine); });
    if (!isReady) {
        giveUpPlacement(engine->id);
        askForRoom(m_facts.route->target);
        return;
    }
    m_stageSince = m_loop.events().now();
    m_lastDecode = engine->id;
    m_wasSent = false;
    m_answerHead = {};
    m_answerBody.clear();
    m_isStream = false;
    EngineRequestOptions terms = termsFor(engine);
    terms.kvSource = m_handle.source();
    terms.lastEventId = m_events.lastId();
    const std::shared_ptr<StreamCall> self = shared_from_this();
    HttpExchange::Callbacks callbacks;
    callbacks.sent = [self] {
        self->m_wasSent = true;
        ++self->m_arrivals;
    };
    callbacks.head = [self](const HttpResponseHead &head) {
        self->decodeHead(head);
    };
    callbacks.body = [self](const std::string &part) {
        self->decodeBody(part);
    };
    callbacks.ended = [self](ExchangeEnd end) {
        self->decodeEnded(end);
    };
    m_exchange = HttpExchange::start(m_loop.events(), m_loop.engines(), requestTo(engine, terms), std::move(callbacks));
}

void StreamCall::decodeHead(const HttpResponseHead &head)
{
    const EngineResponseInfo terms = readEngineResponse(head);
    const bool isGood = head.status == statusOk && terms.isSigned && !terms.isEncoded && !terms.requestId.empty();
    m_isStream = isGood && absl::StartsWithIgnoreCase(abslView(headerValue(head.headers, "Content-Type")), "text/event-stream");
    if (m_isStream) {
        m_handle.markFetched();
    }
    // A resumed stream keeps the response head of its first engine.
    if (!m_streamBegun) {
        m_answerHead = head;
    }
    m_lastPiece = m_loop.events().now();
    if (m_isStream) {
        armSilence();
    }
}

void StreamCall::decodeBody(const std::string &part)
{
    if (!m_isStream) {
        m_answerBody += part;
        return;
    }
    const std::string events = m_events.feed(part);
    if (!events.empty()) {
        passOn(events);
    }
}

void StreamCall::passOn(const std::string &events)
{
    const absl::Time now = m_loop.events().now();
    if (m_streamBegun) {
        m_longestPause = std::max(m_longestPause, now - m_lastPiece);
        m_lastPiece = now;
        m_caller->sendPart(events);
    } else {
        m_streamBegun = true;
        m_firstPiece = now;
        m_lastPiece = now;
        m_loop.context().metrics.observeFirstAnswer("stream", absl::ToDoubleSeconds(now - m_facts.arrival));
        m_caller->beginStream(callerResponse(m_answerHead), events);
    }
    m_reservation.recordEvents(m_events.count(), m_stageSince, now);
    if (m_caller->unsentBytes() > mostUnsent) {
        m_exchange->setReading(false);
        m_caller->setDrained([self = shared_from_this()] { self->m_exchange->setReading(true); });
    }
}

void StreamCall::armSilence()
{
    if (!m_facts.route->resumable || m_silenceTimer != 0) {
        return;
    }
    const absl::Duration limit = std::max(m_facts.route->longestPause * silencePauses, leastSilence);
    m_silenceTimer = m_loop.events().after(limit, [self = shared_from_this(), limit] {
        self->m_silenceTimer = 0;
        if (self->m_loop.events().now() - self->m_lastPiece >= limit) {
            self->silent();
        } else {
            self->armSilence();
        }
    });
}

void StreamCall::silent()
{
    if (!m_streamBegun || m_over || !mayGoOnElsewhere()) {
        return;
    }
    m_exchange->cancel();
    decodeEnded(ExchangeEnd::Broken);
}

void StreamCall::decodeEnded(ExchangeEnd end)
{
    if (m_over) {
        return;
    }
    m_loop.events().cancel(std::exchange(m_silenceTimer, 0));
    if (m_isStream) {
        streamEnded(end);
    } else if (m_streamBegun) {
        // The engine that should have resumed the stream did not answer with a stream.
        m_reservation.recordResult(m_placement->decode->id, end == ExchangeEnd::NotSent ? EngineResult::Unreachable : EngineResult::Refused,
                                   m_loop.events().now());
        goOnElsewhere();
    } else {
        wholeAnswerEnded(end);
    }
}

void StreamCall::streamEnded(ExchangeEnd end)
{
    const EngineId engine = m_placement->decode->id;
    if (end == ExchangeEnd::Complete) {
        m_reservation.recordResult(engine, EngineResult::Good, m_loop.events().now());
        m_reservation.recordAnswerCompleted(m_events.count());
        m_reservation.releaseAll(m_loop.events().now());
        if (!m_streamBegun) {
            // A stream that completes without any event is sent as a complete answer with an empty body.
            const HttpResponseHead head = callerResponse(m_answerHead);
            finish("answered", head.status);
            m_caller->answer(head, {});
            return;
        }
        finish("answered", statusOk);
        m_caller->endStream();
        return;
    }
    m_reservation.recordResult(engine, EngineResult::Failed, m_loop.events().now());
    m_events.dropPending();
    goOnElsewhere();
}

bool StreamCall::mayGoOnElsewhere()
{
    const absl::Time now = m_loop.events().now();
    EntryContext &context = m_loop.context();
    return m_facts.route->resumable && m_arrivals < m_facts.route->mostAttempts && m_facts.deadline() - now > leastTimeForTry
        && context.withRetryQuota(m_facts.service, [&](RepeatShare &quota) { return quota.allows(context.nodeCount(), now); });
}

void StreamCall::goOnElsewhere()
{
    giveUpPlacement(m_placement->decode->id);
    if (!mayGoOnElsewhere() || !spendRepeat()) {
        if (m_streamBegun) {
            breakOff("the engine broke off");
        } else {
            refuse(ErrorKind::AnswerIncomplete, std::nullopt);
        }
        return;
    }
    m_isStream = false;
    m_loop.context().log.add(LogLevel::Info, "call.resume", m_facts.call->attempt,
                             {{"after", m_events.lastId()}, {"from", m_avoided.back().text()}});
    askForRoom(patienceForResumption);
}

void StreamCall::wholeAnswerEnded(ExchangeEnd end)
{
    const EngineId engine = m_placement->decode->id;
    const EngineResponseInfo terms = readEngineResponse(m_answerHead);
    const bool isDeclined = end == ExchangeEnd::Complete && provesNotRun(m_answerHead.status, terms);
    m_loop.context().metrics.countAttempt("decode", end == ExchangeEnd::NotSent ? "unreachable" : isDeclined ? "declined" : "answered");
    if (end == ExchangeEnd::NotSent || isDeclined) {
        if (isDeclined && m_handle.hasHandle()) {
            // The KV handle has expired or cannot be fetched: the engine can still compute the prefill itself.
            m_reservation.recordResult(m_handle.engine()->id, EngineResult::Failed, m_loop.events().now());
            m_handle.release("declined");
            if (spendRepeat()) {
                readAtDecodeEngine();
                return;
            }
        }
        m_reservation.recordResult(engine, isDeclined ? EngineResult::Refused : EngineResult::Unreachable, m_loop.events().now());
        const bool mayTry = m_arrivals < m_facts.route->mostAttempts && m_facts.deadline() - m_loop.events().now() > leastTimeForTry;
        giveUpPlacement(engine);
        if (mayTry && (!isDeclined || spendRepeat())) {
            m_wasSent = false;
            askForRoom(m_facts.route->target);
            return;
        }
        refuse(ErrorKind::NoCapacity, comeBackSoon);
        return;
    }
    m_reservation.releaseAll(m_loop.events().now());
    const bool mayRelay = end == ExchangeEnd::Complete && !terms.isEncoded && m_answerHead.status != statusOk;
    m_reservation.recordResult(engine, mayRelay && m_answerHead.status < 500 ? EngineResult::Good : EngineResult::Failed,
                               m_loop.events().now());
    if (m_facts.route->repeatability == Repeatability::Idempotent && (!mayRelay || m_answerHead.status >= 500) && mayGoOnElsewhere()) {
        goOnElsewhere();
        return;
    }
    m_handle.release("unused");
    if (!mayRelay || promisesNotRun(m_answerHead.status)) {
        refuse(ErrorKind::AnswerIncomplete, std::nullopt);
        return;
    }
    const HttpResponseHead head = callerResponse(m_answerHead);
    const std::string body = std::move(m_answerBody);
    finish("answered", head.status);
    m_caller->answer(head, body);
}

void StreamCall::timeIsUp()
{
    m_deadlineTimer = 0;
    cancelExchange();
    if (m_streamBegun) {
        breakOff("its time is up");
        return;
    }
    refuse(m_wasSent ? ErrorKind::OutcomeUnknown : ErrorKind::NoCapacity, std::nullopt);
}

void StreamCall::callerGone()
{
    if (m_over) {
        return;
    }
    cancelExchange();
    finish("caller left", 0);
}

void StreamCall::cancelExchange()
{
    if (m_prefill) {
        m_prefill->cancel();
    }
    if (m_exchange) {
        m_exchange->cancel();
    }
}

void StreamCall::refuse(ErrorKind kind, std::optional<absl::Duration> comeBack)
{
    finish(errorAnswer(kind).name.data(), errorAnswer(kind).httpStatus);
    const bool isNotRun = errorAnswer(kind).outcome == Outcome::NotRun;
    answerError(*m_caller, kind, isNotRun ? comeBack : std::nullopt, errorAnswer(kind).text);
}

void StreamCall::breakOff(const char *why)
{
    finish(why, 0);
    m_caller->breakOff();
}

bool StreamCall::spendRepeat()
{
    EntryContext &context = m_loop.context();
    return context.withRetryQuota(m_facts.service,
                                  [&](RepeatShare &quota) { return quota.trySpend(context.nodeCount(), m_loop.events().now()); });
}

void StreamCall::finish(const char *outcome, int status)
{
    m_over = true;
    EntryContext &context = m_loop.context();
    EventLoop &events = m_loop.events();
    events.cancel(std::exchange(m_deadlineTimer, 0));
    events.cancel(std::exchange(m_silenceTimer, 0));
    events.cancel(std::exchange(m_waitTimer, 0));
    if (m_waiter != 0) {
        m_loop.removeWaiter(m_waiter);
        context.pools.withPool(m_facts.service, [&](ServicePool &pool) { pool.stopWaiting(m_waiter); });
        context.onLoadsChanged();
    }
    m_reservation.releaseAll(m_loop.events().now());
    m_handle.release("unused");
    const absl::Time now = events.now();
    const bool isGood = status > 0 && status < 500;
    context.metrics.countCall("stream", outcome);
    const bool wasPlaced = m_placedAt != absl::Time();
    if (!wasPlaced) {
        m_basis.loadsAge = context.pools.withPool(m_facts.service, [&](const ServicePool &pool) { return pool.loadsAge(now); });
    }
    context.log.add(isGood ? LogLevel::Info : LogLevel::Warning, "call.end", m_facts.call->attempt,
                    {{"route", m_facts.route->name},
                     {"version", static_cast<std::int64_t>(m_facts.desiredVersion)},
                     {"rank", m_facts.route->rank},
                     {"late", m_facts.isLate},
                     {"promptTokens", m_facts.call->promptTokens},
                     {"mostOutputTokens", m_facts.call->mostOutputTokens},
                     {"timeLeftMs", absl::ToDoubleMilliseconds(m_facts.call->timeLeft.value_or(absl::ZeroDuration()))},
                     {"likelyOutputTokens", m_facts.call->likelyOutputTokens},
                     {"events", m_events.lastId()},
                     {"decode", m_lastDecode.text()},
                     {"prefill", m_placement && m_placement->prefill ? (*m_placement->prefill)->id.text() : std::string()},
                     {"outcome", std::string(outcome)},
                     {"status", std::int64_t{status}},
                     {"arrivals", m_arrivals},
                     {"waitedMs", wasPlaced ? absl::ToDoubleMilliseconds(m_placedAt - m_facts.arrival) : -1.0},
                     {"memoryPart", m_basis.memoryPart},
                     {"runsThere", m_basis.runs},
                     {"loadsAgeMs", absl::ToDoubleMilliseconds(m_basis.loadsAge)},
                     {"firstMs", m_streamBegun ? absl::ToDoubleMilliseconds(m_firstPiece - m_facts.arrival) : -1.0},
                     {"pauseMs", absl::ToDoubleMilliseconds(m_longestPause)},
                     {"ms", absl::ToDoubleMilliseconds(now - m_facts.arrival)}});
}

}
