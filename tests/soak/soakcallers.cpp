#include "soak/soakcallers.h"

#include "transport/httpmessage.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

constexpr absl::Duration callInterval = absl::Milliseconds(6);
constexpr std::size_t maxActiveCalls = 200;
constexpr absl::Duration callTimeout = absl::Seconds(14);

/// One caller in so many disconnects before its response is complete, after at most this time.
constexpr std::uint64_t disconnectEveryNth = 25;
constexpr std::int64_t maxDisconnectDelayMs = 300;

/// A call counts as undisturbed only if no fault was in effect for this long before it.
constexpr absl::Duration undisturbedMargin = absl::Seconds(1);

/// Callers that call rarely, and the share of calls that are theirs, in percent.
constexpr std::size_t slowCallerCount = 40;
constexpr std::uint64_t slowCallerPercent = 30;

/// Fraction of the idle timeout for which callers use an idle connection.
constexpr double usedIdleFraction = 0.8;

/// Time after which a change of the desired state is in force at every node.
constexpr absl::Duration changeApplyTime = absl::Seconds(2);

constexpr std::uint64_t maxSmallBodyBytes = 300;
constexpr std::uint64_t maxLargeBodyBytes = 40000;

const char *pathPrefix(CallKind kind)
{
    static constexpr const char *prefixes[] = {"/read/", "/book/", "/draft/", "/resumable/"};
    return prefixes[static_cast<std::size_t>(kind)];
}

}

struct SoakCallers::Call
{
    SoakCall sent;
    std::size_t node = 0;
    int incarnation = 0;
    std::size_t caller = 0; ///< index of its connection pool
    absl::Time startTime;
    std::shared_ptr<HttpExchange> exchange;
    HttpResponseHead head;
    std::string body;
    TimerId timer = 0;
    bool isLarge = false; ///< its body exceeds the smallest limit
    std::function<void(const SoakOutcome &)> onEnded;
    bool hasEnded = false;
};

SoakCallers::SoakCallers(EventLoop &loop, SoakLedger &ledger, std::vector<std::string> nodes, std::uint64_t seed, Hooks hooks)
    : m_loop(loop)
    , m_ledger(ledger)
    , m_nodes(std::move(nodes))
    , m_hooks(std::move(hooks))
    , m_random(seed)
    , m_pools(1 + slowCallerCount)
    , m_idleTimeoutSince(loop.now())
    , m_idleTimeoutBefore(m_desired.idleTimeout)
    , m_sizeLimitsSince(loop.now())
    , m_knownRoutes(m_nodes.size())
{
    for (const std::string &node : m_nodes) {
        m_slowPaths.push_back(std::make_unique<LoopbackProxy>(loop, node));
        m_slowPaths.back()->setFault(PathFault::Delay);
    }
}

SoakCallers::~SoakCallers() = default;

void SoakCallers::setDesiredState(const SoakDesiredState &state)
{
    if (state.bodyBytes != m_desired.bodyBytes || state.headerBytes != m_desired.headerBytes) {
        m_sizeLimitsSince = m_loop.now();
    }
    if (state.idleTimeout != m_desired.idleTimeout) {
        m_idleTimeoutBefore = m_loop.now() - m_idleTimeoutSince > changeApplyTime ? m_desired.idleTimeout
                                                                                  : std::min(m_idleTimeoutBefore, m_desired.idleTimeout);
        m_idleTimeoutSince = m_loop.now();
    }
    m_desired = state;
}

absl::Duration SoakCallers::usableIdleTime() const
{
    const bool hasJustChanged = m_loop.now() - m_idleTimeoutSince <= changeApplyTime;
    return (hasJustChanged ? std::min(m_idleTimeoutBefore, m_desired.idleTimeout) : m_desired.idleTimeout) * usedIdleFraction;
}

void SoakCallers::start()
{
    sendNextCall();
}

void SoakCallers::stop()
{
    m_isStopped = true;
}

void SoakCallers::sendNextCall()
{
    if (m_isStopped) {
        return;
    }
    if (m_activeCalls < maxActiveCalls) {
        send(drawCall(), m_random() % m_nodes.size(), nullptr);
    }
    m_loop.after(callInterval, [this] { sendNextCall(); });
}

SoakCall SoakCallers::drawCall()
{
    const std::uint64_t percentile = m_random() % 100;
    if (percentile < 10 && m_desired.addedRoutes > 0) {
        return makeCall(CallKind::Idempotent, addedRoutePrefix(m_desired.addedRoutes));
    }
    if (percentile < 13 && m_desired.changes > m_desired.addedRoutes) {
        return makeCall(CallKind::Idempotent, recurringRoutePrefix);
    }
    const CallKind kind = percentile < 45 ? CallKind::Idempotent
        : percentile < 75                 ? CallKind::NonIdempotent
        : percentile < 88                 ? CallKind::Streaming
                                          : CallKind::ResumableStreaming;
    return makeCall(kind, pathPrefix(kind));
}

SoakCall SoakCallers::makeCall(CallKind kind, const std::string &prefix)
{
    SoakCall call;
    call.attemptId = absl::StrCat("call-", ++m_lastCall);
    call.kind = kind;
    call.target = absl::StrCat(prefix, call.attemptId, "?n=", m_random() % 1000);
    call.body = absl::StrCat("body of ", call.attemptId, std::string(drawBodySize(), '.'));
    return call;
}

std::size_t SoakCallers::drawBodySize()
{
    const bool mayBeLarge = m_desired.bodyBytes > smallestBodyLimit && m_loop.now() - m_sizeLimitsSince > changeApplyTime;
    return m_random() % (mayBeLarge && m_random() % 8 == 0 ? maxLargeBodyBytes : maxSmallBodyBytes);
}

bool SoakCallers::isAllowed(const Call &call) const
{
    const std::string_view target = call.sent.target;
    const bool isOnFirstRoute = !target.starts_with("/change-") && !target.starts_with(recurringRoutePrefix);
    if (!isOnFirstRoute || !call.isLarge) {
        return isOnFirstRoute;
    }
    // A process that has started since the last change may not know it yet.
    const NodeCondition sinceChange = m_hooks.nodeCondition(call.node, call.incarnation, m_sizeLimitsSince);
    return m_sizeLimitsSince < call.startTime && std::holds_alternative<NodeServed>(sinceChange);
}

void SoakCallers::sendCall(CallKind kind, std::size_t node, const std::function<void(const SoakOutcome &)> &onEnded)
{
    send(makeCall(kind, pathPrefix(kind)), node, onEnded);
}

void SoakCallers::send(const SoakCall &call, std::size_t node, const std::function<void(const SoakOutcome &)> &onEnded)
{
    const bool isSlow = m_random() % 100 < slowCallerPercent && !onEnded;
    const auto it = std::make_shared<Call>();
    it->sent = call;
    it->node = node;
    it->incarnation = m_hooks.incarnation(node);
    it->startTime = m_loop.now();
    it->onEnded = onEnded;
    it->isLarge = static_cast<std::int64_t>(call.body.size()) > smallestBodyLimit;
    ++m_activeCalls;
    it->sent.node = node;
    it->sent.incarnation = it->incarnation;
    it->sent.usesSlowPath = isSlow;
    it->sent.sentAt = absl::Now();
    m_ledger.recordSent(it->sent);
    HttpRequestHead head;
    head.method = "POST";
    head.target = call.target;
    head.headers = {{"Host", "soak.example"},
                    {"Apricotladder-Attempt-Id", call.attemptId},
                    {"Apricotladder-Deadline-Ms", "12000"},
                    {"Apricotladder-Model", "m"},
                    {"Apricotladder-Token-Usage", "100,20"}};
    ExchangeRequest request;
    request.address = isSlow ? m_slowPaths.at(node)->address() : m_nodes.at(node);
    request.poolKey = m_nodes.at(node);
    request.encodedRequest = encodeHttpRequest(head, call.body);
    request.connectTimeout = absl::Seconds(1);
    request.maxIdleTime = absl::InfiniteDuration();
    request.keepAliveTime = usableIdleTime();
    HttpExchange::Callbacks callbacks;
    callbacks.onHead = [it](const HttpResponseHead &answer) {
        it->head = answer;
    };
    callbacks.onBody = [it](const std::string &part) {
        it->body += part;
    };
    callbacks.onEnded = [this, it](ExchangeOutcome outcome) {
        switch (outcome) {
        case ExchangeOutcome::NotSent:
            finish(it, RequestNotSent{});
            return;
        case ExchangeOutcome::Incomplete:
            finish(it, ResponseIncomplete{it->head.status == statusOk ? it->body : std::string()});
            return;
        case ExchangeOutcome::Complete:
            finish(it,
                   ResponseComplete{it->head.status, !headerValue(it->head.headers, "Apricotladder-Response-Signature").empty(), it->body});
            return;
        }
    };
    it->caller = isSlow ? 1 + m_random() % slowCallerCount : 0;
    it->exchange = HttpExchange::start(m_loop, m_pools.at(it->caller), std::move(request), std::move(callbacks));
    const bool disconnects = m_random() % disconnectEveryNth == 0 && !onEnded;
    const absl::Duration timeout = disconnects ? absl::Milliseconds(m_random() % maxDisconnectDelayMs) : callTimeout;
    it->timer = m_loop.after(timeout, [this, it, disconnects] {
        it->exchange->cancel();
        const std::string body = it->head.status == statusOk ? it->body : std::string();
        finish(it, disconnects ? SoakOutcome(CallerDisconnected{body}) : SoakOutcome(ResponseTimedOut{body}));
    });
}

void SoakCallers::finish(const std::shared_ptr<Call> &call, const SoakOutcome &outcome)
{
    if (std::exchange(call->hasEnded, true)) {
        return;
    }
    --m_activeCalls;
    if (m_idleTimeoutSince >= call->startTime) {
        // The pool keeps the connection for as long as the idle timeout at the start of the call allowed.
        if (const std::shared_ptr<TcpConnection> last
            = m_pools.at(call->caller).acquire(m_nodes.at(call->node), absl::InfiniteDuration(), m_loop.now())) {
            last->close();
        }
    }
    m_loop.cancel(call->timer);
    m_ledger.recordOutcome(call->sent.attemptId, outcome, circumstancesOf(*call));
    if (std::holds_alternative<ResponseComplete>(outcome)) {
        m_hooks.onAnswered(call->node, call->incarnation);
    }
    checkKnownRoute(*call, outcome);
    if (call->onEnded) {
        call->onEnded(outcome);
    }
}

CallCircumstances SoakCallers::circumstancesOf(const Call &call) const
{
    return CallCircumstances{m_hooks.wasUndisturbed(call.startTime - undisturbedMargin), isAllowed(call),
                             m_hooks.nodeCondition(call.node, call.incarnation, call.startTime), m_loop.now() - call.startTime};
}

void SoakCallers::checkKnownRoute(const Call &call, const SoakOutcome &outcome)
{
    const auto *answer = std::get_if<ResponseComplete>(&outcome);
    int number = 0;
    if (answer == nullptr || sscanf(call.sent.target.c_str(), "/change-%d/", &number) != 1
        || m_hooks.incarnation(call.node) != call.incarnation) {
        return;
    }
    KnownRoute &known = m_knownRoutes.at(call.node);
    if (known.incarnation != call.incarnation) {
        known = KnownRoute{call.incarnation, 0, absl::InfiniteFuture()};
    }
    if (answer->status == statusOk && number > known.number) {
        known = KnownRoute{call.incarnation, number, m_loop.now()};
    } else if (answer->status == 404 && number <= known.number && call.startTime > known.since) {
        m_lostRoutes.push_back(
            absl::StrCat("node ", call.node, " answered 404 to ", call.sent.target, " after it had already served that route"));
    }
}

}
