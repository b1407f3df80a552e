#include "randomrun/simcaller.h"

#include "randomrun/simworld.h"

#include "state/invariant.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace Apricot::Sim {

namespace {

constexpr int maxAttempts = 12;
constexpr absl::Duration retryDelay = absl::Milliseconds(250);
constexpr absl::Duration idleTimeout = absl::Seconds(4);
constexpr absl::Duration runCallTimeout = absl::Seconds(4);
constexpr std::int64_t tokensBeforeBehaviour = 6;

CallerOutcome outcomeOf(ErrorKind kind)
{
    return errorDescriptor(kind).outcome == Outcome::NotRun ? CallerOutcome::NotRun : CallerOutcome::MayHaveRun;
}

/// Whether a caller sends its request to another node after this error.
bool isRetryable(ErrorKind kind)
{
    return kind == ErrorKind::AnswerIncomplete || kind == ErrorKind::Draining || kind == ErrorKind::PeerUnreachable
        || kind == ErrorKind::Superseded || kind == ErrorKind::DuplicateInProgress;
}

}

SimCaller::SimCaller(SimWorld &world, SimRequest request, CallerBehaviour behaviour)
    : m_world(world)
    , m_request(std::move(request))
    , m_behaviour(behaviour)
{
}

void SimCaller::start()
{
    tryNext();
}

void SimCaller::tryNext()
{
    closeConnection();
    const std::uint64_t connection = m_connectionId;
    if (++m_attempts > maxAttempts) {
        appendTrace("gave up");
        m_outcome = m_nextOffset > 0 ? CallerOutcome::MayHaveRun : CallerOutcome::NotRun;
        return;
    }
    m_resumeCount += m_nextOffset > 0 ? 1 : 0;
    m_lastPartTime = m_world.clock().now();
    m_node = m_world.pickNodeForCaller();
    auto self = shared_from_this();
    if (m_node == nullptr || !m_node->isAlive()) {
        m_world.clock().after(retryDelay, [self] { self->tryNext(); });
        return;
    }
    appendTrace(absl::StrCat("asks ", m_node->id().text(), " from offset ", m_nextOffset));
    const auto sink = [self, connection](const ResponsePart &part) {
        self->handlePart(connection, part);
    };
    m_node->after(absl::Milliseconds(1), [self, connection, sink, node = m_node] {
        if (!node->complete(self->m_request, self->m_nextOffset, connection, sink)) {
            self->m_world.sendToCaller(sink, ResponsePart{ResponsePart::Kind::Failed, 0, {}, ErrorKind::Draining});
        }
    });
    watchIdleTimeout(connection);
}

void SimCaller::closeConnection()
{
    if (m_node != nullptr && m_node->isAlive()) {
        m_node->after(absl::Milliseconds(1),
                      [node = m_node, id = m_request.id, connection = m_connectionId] { node->handleConnectionClosed(id, connection); });
    }
    ++m_connectionId;
}

void SimCaller::watchIdleTimeout(std::uint64_t connection)
{
    auto self = shared_from_this();
    m_world.clock().after(absl::Seconds(1), [self, connection] {
        if (self->m_outcome != CallerOutcome::Open || self->m_connectionId != connection) {
            return;
        }
        if (self->m_world.clock().now() - self->m_lastPartTime > idleTimeout) {
            self->appendTrace("hears nothing");
            self->tryNext();
        } else {
            self->watchIdleTimeout(connection);
        }
    });
}

void SimCaller::handlePart(std::uint64_t connection, const ResponsePart &part)
{
    if (connection != m_connectionId || m_outcome != CallerOutcome::Open) {
        return;
    }
    m_lastPartTime = m_world.clock().now();
    auto self = shared_from_this();
    switch (part.kind) {
    case ResponsePart::Kind::Token:
        handleToken(part);
        break;
    case ResponsePart::Kind::Done:
        APRICOT_INVARIANT(m_nextOffset == outputLength(m_request.id, m_request.maxTokens), "whole-answer",
                          absl::StrCat(m_request.id.text(), " has ", m_nextOffset));
        m_outcome = CallerOutcome::Answered;
        appendTrace("has the whole answer");
        break;
    case ResponsePart::Kind::Failed:
        handleFailure(part.error);
        break;
    case ResponsePart::Kind::Broken:
        appendTrace("connection broke");
        m_world.clock().after(retryDelay, [self] { self->tryNext(); });
        break;
    }
}

void SimCaller::handleToken(const ResponsePart &part)
{
    const bool isExpected = part.offset == m_nextOffset && part.token == outputToken(m_request.id, m_nextOffset);
    APRICOT_INVARIANT(isExpected, "offsets-without-gap-or-repeat",
                      absl::StrCat(m_request.id.text(), " wants ", m_nextOffset, " gets ", part.offset, " \"", part.token, "\""));
    ++m_nextOffset;
    if (m_nextOffset != tokensBeforeBehaviour) {
        return;
    }
    auto self = shared_from_this();
    switch (m_behaviour) {
    case CallerBehaviour::Stays:
        break;
    case CallerBehaviour::Cancels:
        appendTrace("cancels");
        ++m_connectionId;
        m_outcome = CallerOutcome::MayHaveRun;
        m_node->after(absl::Milliseconds(1), [self, node = m_node] { node->cancel(self->m_request.id); });
        break;
    case CallerBehaviour::DisconnectsAndResumes:
        appendTrace("hangs up and resumes");
        m_behaviour = CallerBehaviour::Stays;
        closeConnection();
        m_world.clock().after(retryDelay, [self] { self->tryNext(); });
        break;
    case CallerBehaviour::Disconnects:
        appendTrace("hangs up for good");
        closeConnection();
        m_outcome = CallerOutcome::MayHaveRun;
        break;
    }
}

void SimCaller::handleFailure(ErrorKind kind)
{
    appendTrace(absl::StrCat("is told ", std::string(errorDescriptor(kind).name)));
    auto self = shared_from_this();
    const bool isRangeUnavailable = kind == ErrorKind::RangeNotAvailable;
    if (isRetryable(kind)) {
        m_world.clock().after(retryDelay, [self] { self->tryNext(); });
        return;
    }
    m_outcome = isRangeUnavailable ? CallerOutcome::MayHaveRun : outcomeOf(kind);
}

void SimCaller::appendTrace(const std::string &text)
{
    m_trace.push_back(absl::StrCat(m_world.elapsedSeconds(), " ", m_request.id.text(), " ", text));
}

SimRunCaller::SimRunCaller(SimWorld &world, IdempotencyKey key, int callCount)
    : m_world(world)
    , m_key(std::move(key))
    , m_outcomes(static_cast<std::size_t>(callCount), CallerOutcome::Open)
    , m_unanswered(static_cast<std::size_t>(callCount), false)
{
}

void SimRunCaller::start()
{
    auto self = shared_from_this();
    for (std::size_t i = 0; i < m_outcomes.size(); ++i) {
        m_world.clock().after(m_world.clock().drawDuration(absl::ZeroDuration(), absl::Milliseconds(i == 0 ? 1 : 1500)),
                              [self, i] { self->sendCall(i, 1); });
    }
}

void SimRunCaller::sendCall(std::size_t index, int attempts)
{
    auto self = shared_from_this();
    if (attempts > maxAttempts) {
        // The caller gives up. It has received no result, so the call may have run.
        m_outcomes[index] = CallerOutcome::MayHaveRun;
        return;
    }
    const auto retry = [self, index, attempts] {
        self->m_world.clock().after(retryDelay, [self, index, attempts] { self->sendCall(index, attempts + 1); });
    };
    SimNode *node = m_world.pickNodeForCaller();
    if (node == nullptr || !node->isAlive()) {
        retry();
        return;
    }
    auto answered = std::make_shared<bool>(false);
    appendTrace(index, "taps at " + node->id().text());
    node->after(absl::Milliseconds(1), [self, index, node, answered, retry] {
        const auto done = [self, index, answered, retry](const RunResult &answer) {
            if (*answered) {
                return;
            }
            *answered = true;
            self->appendTrace(index, answer.answered ? "is answered" : "is told " + std::string(errorDescriptor(answer.kind).name));
            if (answer.answered) {
                self->m_outcomes[index] = CallerOutcome::Answered;
            } else if (isRetryable(answer.kind)) {
                retry();
            } else {
                // A NotRun error applies only to the attempt that it answers. An earlier attempt that timed out may still have run.
                // Example: random_run --seed 10071 --steps 100000, request r522, where the first node was paused and later resumed.
                self->m_outcomes[index] = self->m_unanswered[index] ? CallerOutcome::MayHaveRun : outcomeOf(answer.kind);
            }
        };
        if (!node->startRun(self->m_key, done)) {
            done(RunResult{false, ErrorKind::Draining});
        }
    });
    m_world.clock().after(runCallTimeout, [self, index, answered, retry] {
        if (!*answered) {
            *answered = true;
            self->appendTrace(index, "hears nothing");
            self->m_unanswered[index] = true;
            retry();
        }
    });
}

void SimRunCaller::appendTrace(std::size_t index, const std::string &text)
{
    m_trace.push_back(absl::StrCat(m_world.elapsedSeconds(), " ", m_key.text(), " tap ", index, " ", text));
}

}
