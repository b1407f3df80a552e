#include "soak/soakcallers.h"

#include "soak/soakplatform.h"
#include "state/overloaded.h"
#include "transport/httpmessage.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

constexpr absl::Duration callInterval = absl::Milliseconds(6);
constexpr std::size_t mostUnderWay = 200;
constexpr absl::Duration longestCall = absl::Seconds(14);

/// One caller in so many leaves before its answer, within this time.
constexpr std::uint64_t leavesEach = 25;
constexpr std::int64_t longestStayMs = 300;

/// A call counts as undisturbed if nothing went wrong for this long before it.
constexpr absl::Duration calmBefore = absl::Seconds(1);

const char *prefixOf(CallKind kind)
{
    static constexpr const char *prefixes[] = {"/read/", "/book/", "/draft/", "/resumable/"};
    return prefixes[static_cast<std::size_t>(kind)];
}

}

struct SoakCallers::Call
{
    SoakCall sent;
    std::size_t node = 0;
    int lifetime = 0;
    absl::Time since;
    std::shared_ptr<HttpExchange> exchange;
    HttpResponseHead head;
    std::string body;
    TimerId limit = 0;
    std::function<void(const SoakEnd &)> ended;
    bool isOver = false;
};

SoakCallers::SoakCallers(EventLoop &loop, SoakLedger &ledger, std::vector<std::string> nodes, std::uint64_t seed, Hooks hooks)
    : m_loop(loop)
    , m_ledger(ledger)
    , m_nodes(std::move(nodes))
    , m_hooks(std::move(hooks))
    , m_random(seed)
    , m_known(m_nodes.size())
{
}

void SoakCallers::start()
{
    sendSome();
}

void SoakCallers::stop()
{
    m_isStopped = true;
}

void SoakCallers::sendSome()
{
    if (m_isStopped) {
        return;
    }
    if (m_underWay < mostUnderWay) {
        send(draw(), m_random() % m_nodes.size(), nullptr);
    }
    m_loop.after(callInterval, [this] { sendSome(); });
}

SoakCall SoakCallers::draw()
{
    const std::uint64_t drawn = m_random() % 100;
    if (drawn < 10 && m_routes > 0) {
        return make(CallKind::Read, SoakPlatform::routeOfChange(m_routes));
    }
    const CallKind kind = drawn < 45 ? CallKind::Read : drawn < 75 ? CallKind::Book : drawn < 88 ? CallKind::Draft : CallKind::Resumable;
    return make(kind, prefixOf(kind));
}

SoakCall SoakCallers::make(CallKind kind, const std::string &prefix)
{
    SoakCall call;
    call.attempt = absl::StrCat("call-", ++m_lastCall);
    call.kind = kind;
    call.target = absl::StrCat(prefix, call.attempt, "?n=", m_random() % 1000);
    call.body = absl::StrCat("body of ", call.attempt, std::string(m_random() % 300, '.'));
    return call;
}

void SoakCallers::callOnce(CallKind kind, std::size_t node, const std::function<void(const SoakEnd &)> &ended)
{
    send(make(kind, prefixOf(kind)), node, ended);
}

void SoakCallers::send(const SoakCall &call, std::size_t node, const std::function<void(const SoakEnd &)> &ended)
{
    const auto it = std::make_shared<Call>();
    it->sent = call;
    it->node = node;
    it->lifetime = m_hooks.lifetime(node);
    it->since = m_loop.now();
    it->ended = ended;
    ++m_underWay;
    it->sent.node = node;
    it->sent.lifetime = it->lifetime;
    m_ledger.sent(it->sent);
    HttpRequestHead head;
    head.method = "POST";
    head.target = call.target;
    head.headers = {{"Host", "soak.example"},
                    {"Apricotladder-Attempt-Id", call.attempt},
                    {"Apricotladder-Deadline-Ms", "12000"},
                    {"Apricotladder-Model", "m"},
                    {"Apricotladder-Token-Usage", "100,20"}};
    ExchangeRequest request;
    request.address = m_nodes.at(node);
    request.poolKey = m_nodes.at(node);
    request.encodedRequest = encodeHttpRequest(head, call.body);
    request.connectTimeout = absl::Seconds(1);
    request.maxIdleTime = absl::Seconds(10);
    request.keepAliveTime = absl::Seconds(12);
    HttpExchange::Callbacks callbacks;
    callbacks.onHead = [it](const HttpResponseHead &answer) {
        it->head = answer;
    };
    callbacks.onBody = [it](const std::string &part) {
        it->body += part;
    };
    callbacks.onEnded = [this, it](ExchangeOutcome end) {
        switch (end) {
        case ExchangeOutcome::NotSent:
            finish(it, WasNotSent{});
            return;
        case ExchangeOutcome::Incomplete:
            finish(it, WasCutOff{it->head.status == statusOk ? it->body : std::string()});
            return;
        case ExchangeOutcome::Complete:
            finish(it, WasAnswered{it->head.status, !headerValue(it->head.headers, "Apricotladder-Response-Signature").empty(), it->body});
            return;
        }
    };
    it->exchange = HttpExchange::start(m_loop, m_pool, std::move(request), std::move(callbacks));
    const bool leaves = m_random() % leavesEach == 0 && !ended;
    const absl::Duration stay = leaves ? absl::Milliseconds(m_random() % longestStayMs) : longestCall;
    it->limit = m_loop.after(stay, [this, it] {
        it->exchange->cancel();
        finish(it, WasGivenUp{it->head.status == statusOk ? it->body : std::string()});
    });
}

void SoakCallers::finish(const std::shared_ptr<Call> &call, const SoakEnd &end)
{
    if (std::exchange(call->isOver, true)) {
        return;
    }
    --m_underWay;
    m_loop.cancel(call->limit);
    m_ledger.ended(call->sent.attempt, end, m_hooks.wasCalm(call->since - calmBefore));
    noteRoute(*call, end);
    if (call->ended) {
        call->ended(end);
    }
}

void SoakCallers::noteRoute(const Call &call, const SoakEnd &end)
{
    const auto *answer = std::get_if<WasAnswered>(&end);
    int number = 0;
    if (answer == nullptr || sscanf(call.sent.target.c_str(), "/change-%d/", &number) != 1
        || m_hooks.lifetime(call.node) != call.lifetime) {
        return;
    }
    KnownRoute &known = m_known.at(call.node);
    if (known.lifetime != call.lifetime) {
        known = KnownRoute{call.lifetime, 0, absl::InfiniteFuture()};
    }
    if (answer->status == statusOk && number > known.number) {
        known = KnownRoute{call.lifetime, number, m_loop.now()};
    } else if (answer->status == 404 && number <= known.number && call.since > known.since) {
        m_forgotten.push_back(absl::StrCat("node ", call.node, " answered 404 to ", call.sent.target, " after it had served that route"));
    }
}

}
