#include "soak/soakengine.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <utility>
#include <vector>

namespace Apricot {

namespace {

constexpr int statusMisdirected = 421;
constexpr int statusUnavailable = 503;

constexpr absl::Duration eventInterval = absl::Milliseconds(20);
constexpr absl::Duration prefillTime = absl::Milliseconds(8);

/// One request in so many is declined, takes slowRunTime, or gets an answer without length or chunks.
constexpr std::uint64_t declineEveryNth = 41;
constexpr std::uint64_t slowEveryNth = 29;
constexpr std::uint64_t unframedEveryNth = 5;
constexpr absl::Duration slowRunTime = absl::Milliseconds(700);

constexpr absl::Duration minTimeBetweenSilences = absl::Seconds(1);

/// An event is cut after this many bytes when a stream is broken off inside it.
constexpr std::size_t partOfEventBytes = 9;

/// No event at which a stream is broken off.
constexpr int neverBreaksOff = 0;

BodyFraming framingOf(std::uint64_t requestNumber)
{
    return requestNumber % unframedEveryNth == 0 ? BodyFraming::UntilClose : BodyFraming::Delimited;
}

}

SoakEngine::SoakEngine(SoakEngineIdentity identity, SoakLedger &ledger, std::atomic<std::uint64_t> &requestCount)
    : m_identity(std::move(identity))
    , m_ledger(ledger)
    , m_requestCount(requestCount)
    , m_hooks(std::make_shared<SoakServerConnection::Hooks>())
{
    m_hooks->onRequest = [this](const SoakServerConnection::Ptr &connection, const HttpRequestHead &head, const std::string &body) {
        handleRequest(connection, Request{head, body, 0});
    };
    m_hooks->onClosed = [this](const SoakServerConnection::Ptr &connection) {
        m_connections.erase(connection);
    };
    m_listener = std::make_unique<TcpListener>(m_loop, "127.0.0.1:0", AddressSharing::Exclusive, TcpTimeouts(),
                                               [this](const std::shared_ptr<TcpConnection> &it) { accept(it); });
    m_address = absl::StrCat("127.0.0.1:", m_listener->port());
    m_thread = Thread("engine", [this] { m_loop.run(); });
}

SoakEngine::~SoakEngine()
{
    m_loop.stop();
    m_thread.join();
    const std::vector<SoakServerConnection::Ptr> connections(m_connections.begin(), m_connections.end());
    for (const SoakServerConnection::Ptr &it : connections) {
        it->setSilent(false);
        it->abort();
    }
}

void SoakEngine::fallSilent(absl::Duration duration)
{
    m_loop.post([this, duration] {
        if (m_loop.now() < m_silentUntil + minTimeBetweenSilences) {
            return; // Two silences in a row would be a longer one than a sound engine has.
        }
        m_silentUntil = m_loop.now() + duration;
        setSilent(true);
        m_loop.after(duration, [this] { setSilent(false); });
    });
}

void SoakEngine::breakAnswers(BreakOff manner, absl::Duration duration)
{
    m_loop.post([this, manner, duration] {
        m_breakOff = manner;
        m_breaksUntil = m_loop.now() + duration;
    });
}

void SoakEngine::announceLeaving()
{
    m_loop.post([this] { m_isLeaving = true; });
}

void SoakEngine::backOff(absl::Duration duration)
{
    m_loop.post([this, duration] { m_backsOffUntil = m_loop.now() + duration; });
}

HttpResponseHead SoakEngine::makeHead(int status) const
{
    HttpResponseHead head;
    head.status = status;
    head.reason = std::string(reasonPhrase(status));
    if (m_isLeaving) {
        head.headers = {{"Server-Leaving", "1"}};
    }
    return head;
}

HttpResponseHead SoakEngine::signedHead(const std::string &attemptId, const char *contentType) const
{
    HttpResponseHead head = makeHead(statusOk);
    head.headers.push_back({"Content-Type", contentType});
    head.headers.push_back({"Apricotladder-Attempt-Id", attemptId});
    head.headers.push_back({"Apricotladder-Response-Signature", "signed"});
    if (m_isLeaving) {
        m_ledger.recordLeavingAnswer(attemptId, m_identity.lifetime());
    }
    return head;
}

HttpResponseHead SoakEngine::declinedHead(const std::string &attemptId) const
{
    HttpResponseHead head = makeHead(statusUnavailable);
    head.headers.push_back({"Apricotladder-Attempt-Id", attemptId});
    head.headers.push_back({"Apricotladder-Not-Executed", "1"});
    return head;
}

void SoakEngine::refuseWithRetryAfter(const SoakServerConnection::Ptr &connection, const std::string &attemptId)
{
    // Every other refusal names whole seconds, which is the usual form.
    const absl::Duration remaining = m_backsOffUntil - m_loop.now();
    const absl::Duration timeLeft = ++m_requestCount % 2 == 0 ? absl::Ceil(remaining, absl::Seconds(1)) : remaining;
    HttpResponseHead head = declinedHead(attemptId);
    head.headers.push_back({"Retry-After", absl::StrCat(absl::ToDoubleSeconds(timeLeft))});
    connection->respond(head, {}, BodyFraming::Delimited);
    connection->afterOutput([this, attemptId, timeLeft] {
        const absl::Time now = absl::Now();
        m_ledger.recordBackOff(attemptId, m_identity.lifetime(), EngineBackOff{now, now + timeLeft});
    });
}

void SoakEngine::setSilent(bool silent)
{
    const std::vector<SoakServerConnection::Ptr> connections(m_connections.begin(), m_connections.end());
    for (const SoakServerConnection::Ptr &it : connections) {
        it->setSilent(silent);
    }
}

bool SoakEngine::breaksAnswers() const
{
    return m_loop.now() < m_breaksUntil;
}

void SoakEngine::accept(const std::shared_ptr<TcpConnection> &connection)
{
    const auto accepted = std::make_shared<SoakServerConnection>(m_loop, connection, m_hooks);
    m_connections.insert(accepted);
    accepted->setSilent(m_loop.now() < m_silentUntil);
    accepted->start();
}

void SoakEngine::handleRequest(const SoakServerConnection::Ptr &connection, Request request)
{
    const std::string expected = request.header("Apricotladder-Expected-Instance");
    const bool isMisdirected = !expected.empty() && expected != m_identity.id;
    if (!isMisdirected && request.head.method != "DELETE") {
        m_ledger.recordArrival(request.header("Apricotladder-Attempt-Id"), m_identity.lifetime());
    }
    if (isMisdirected) {
        connection->respond(makeHead(statusMisdirected), {}, BodyFraming::Delimited);
    } else if (request.head.method == "DELETE") {
        connection->respond(signedHead(request.header("Apricotladder-Attempt-Id"), "text/plain"), {}, BodyFraming::Delimited);
    } else if (m_loop.now() < m_backsOffUntil) {
        refuseWithRetryAfter(connection, request.header("Apricotladder-Attempt-Id"));
    } else if (request.number = ++m_requestCount; request.number % declineEveryNth == 0) {
        connection->respond(declinedHead(request.header("Apricotladder-Attempt-Id")), {}, BodyFraming::Delimited);
    } else if (request.header("Apricotladder-Inference-Phase") == "prefill") {
        runPrefill(connection, request);
    } else if (m_identity.phase.empty()) {
        runCall(connection, request);
    } else {
        runStream(connection, request);
    }
}

void SoakEngine::runPrefill(const SoakServerConnection::Ptr &connection, const Request &request)
{
    m_loop.after(prefillTime, [this, connection, request] {
        connection->respond(signedHead(request.header("Apricotladder-Attempt-Id"), "application/json"),
                            R"({"kv-handle":"h","tokens":100,"version":1})", framingOf(request.number));
    });
}

void SoakEngine::runCall(const SoakServerConnection::Ptr &connection, const Request &request)
{
    const std::string attemptId = request.header("Apricotladder-Attempt-Id");
    m_ledger.recordRun(attemptId, m_identity.lifetime(), request.head.target, request.body);
    const bool isSlow = request.number % slowEveryNth == 0;
    const absl::Duration runTime = isSlow ? slowRunTime : absl::Milliseconds(1 + request.number % 10);
    m_loop.after(runTime, [this, connection, request, attemptId] {
        const std::string body = completeResponseBody(attemptId);
        const HttpResponseHead head = signedHead(attemptId, "text/plain");
        if (!breaksAnswers()) {
            connection->respond(head, body, framingOf(request.number));
            return;
        }
        // An orderly close cannot be told from the end of a body without length, so a broken body has a length.
        m_ledger.recordBrokenOff(attemptId);
        const std::string response = encodeHttpResponse(head, body);
        connection->write(response.substr(0, response.size() - body.size() / 2));
        m_breakOff == BreakOff::Reset ? connection->abort() : connection->close();
    });
}

void SoakEngine::runStream(const SoakServerConnection::Ptr &connection, const Request &request)
{
    const std::string attemptId = request.header("Apricotladder-Attempt-Id");
    const std::string last = request.header("Last-Event-Id");
    m_ledger.recordRun(attemptId, m_identity.lifetime(), request.head.target, request.body);
    const int next = last.empty() ? 1 : std::stoi(last) + 1;
    const int eventsLeft = eventsPerStream - next + 1;
    const int breakOffAt = breaksAnswers() && eventsLeft > 0 ? next + static_cast<int>(request.number) % eventsLeft : neverBreaksOff;
    connection->beginStream(signedHead(attemptId, "text/event-stream"), framingOf(request.number));
    // Half of the streams have a pause after their head, in which the engine may fall silent.
    const absl::Duration firstEventDelay = request.number % 2 == 0 ? eventInterval : absl::ZeroDuration();
    m_loop.after(firstEventDelay, [this, connection, attemptId, next, breakOffAt] { sendEvents(connection, attemptId, next, breakOffAt); });
}

void SoakEngine::sendEvents(const SoakServerConnection::Ptr &connection, const std::string &attemptId, int next, int breakOffAt)
{
    if (connection->isClosed()) {
        return;
    }
    if (next > eventsPerStream) {
        connection->endStream();
        return;
    }
    if (next == breakOffAt) {
        breakInsideEvent(connection, attemptId, next);
        return;
    }
    connection->sendPart(streamEvent(attemptId, next));
    m_loop.after(next == eventsPerStream ? absl::ZeroDuration() : eventInterval,
                 [this, connection, attemptId, next, breakOffAt] { sendEvents(connection, attemptId, next + 1, breakOffAt); });
}

void SoakEngine::breakInsideEvent(const SoakServerConnection::Ptr &connection, const std::string &attemptId, int event)
{
    m_ledger.recordBrokenOff(attemptId);
    connection->sendPart(streamEvent(attemptId, event).substr(0, partOfEventBytes));
    switch (m_breakOff) {
    case BreakOff::Reset:
        connection->abort();
        return;
    case BreakOff::Close:
        connection->close();
        return;
    case BreakOff::LastChunk:
        connection->endStream();
        return;
    }
}

}
