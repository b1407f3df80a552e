#include "randomrun/simcaller.h"

#include "randomrun/simworld.h"

#include "state/invariant.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace Apricot::Sim {

namespace {

constexpr int mostTries = 12;
constexpr absl::Duration triesPause = absl::Milliseconds(250);
constexpr absl::Duration silenceLimit = absl::Seconds(4);
constexpr absl::Duration tapTimeout = absl::Seconds(4);
constexpr std::int64_t cancelAfter = 6;

CallerOutcome outcomeOf(ErrorKind kind)
{
    return errorDescriptor(kind).outcome == Outcome::NotRun ? CallerOutcome::NotRun : CallerOutcome::MayHaveRun;
}

/// Whether a caller tries another node after this error.
bool isWorthAnotherTry(ErrorKind kind)
{
    return kind == ErrorKind::AnswerIncomplete || kind == ErrorKind::Draining || kind == ErrorKind::PeerUnreachable
        || kind == ErrorKind::Superseded || kind == ErrorKind::DuplicateInProgress;
}

}

SimCaller::SimCaller(SimWorld &world, SimRequest request, CallerHabit habit)
    : m_world(world)
    , m_request(std::move(request))
    , m_habit(habit)
{
}

void SimCaller::start()
{
    tryNext();
}

void SimCaller::tryNext()
{
    closeConnection();
    const std::uint64_t connection = m_connection;
    if (++m_tries > mostTries) {
        tell("gave up");
        m_outcome = m_next > 0 ? CallerOutcome::MayHaveRun : CallerOutcome::NotRun;
        return;
    }
    m_resumes += m_next > 0 ? 1 : 0;
    m_lastPart = m_world.clock().now();
    m_node = m_world.addressFor();
    auto self = shared_from_this();
    if (m_node == nullptr || !m_node->isAlive()) {
        m_world.clock().after(triesPause, [self] { self->tryNext(); });
        return;
    }
    tell(absl::StrCat("asks ", m_node->id().text(), " from offset ", m_next));
    const auto sink = [self, connection](const CallerPart &part) {
        self->take(connection, part);
    };
    m_node->after(absl::Milliseconds(1), [self, connection, sink, node = m_node] {
        if (!node->complete(self->m_request, self->m_next, connection, sink)) {
            self->m_world.toCaller(sink, CallerPart{CallerPart::Kind::Failed, 0, {}, ErrorKind::Draining});
        }
    });
    watchSilence(connection);
}

void SimCaller::closeConnection()
{
    if (m_node != nullptr && m_node->isAlive()) {
        m_node->after(absl::Milliseconds(1),
                      [node = m_node, id = m_request.id, connection = m_connection] { node->connectionClosed(id, connection); });
    }
    ++m_connection;
}

void SimCaller::watchSilence(std::uint64_t connection)
{
    auto self = shared_from_this();
    m_world.clock().after(absl::Seconds(1), [self, connection] {
        if (self->m_outcome != CallerOutcome::Open || self->m_connection != connection) {
            return;
        }
        if (self->m_world.clock().now() - self->m_lastPart > silenceLimit) {
            self->tell("hears nothing");
            self->tryNext();
        } else {
            self->watchSilence(connection);
        }
    });
}

void SimCaller::take(std::uint64_t connection, const CallerPart &part)
{
    if (connection != m_connection || m_outcome != CallerOutcome::Open) {
        return;
    }
    m_lastPart = m_world.clock().now();
    auto self = shared_from_this();
    switch (part.kind) {
    case CallerPart::Kind::Token:
        takeToken(part);
        break;
    case CallerPart::Kind::Done:
        APRICOT_INVARIANT(m_next == lengthOf(m_request.id, m_request.maxTokens), "whole-answer",
                          absl::StrCat(m_request.id.text(), " has ", m_next));
        m_outcome = CallerOutcome::Answered;
        tell("has the whole answer");
        break;
    case CallerPart::Kind::Failed:
        takeFailure(part.error);
        break;
    case CallerPart::Kind::Broken:
        tell("connection broke");
        m_world.clock().after(triesPause, [self] { self->tryNext(); });
        break;
    }
}

void SimCaller::takeToken(const CallerPart &part)
{
    const bool inPlace = part.offset == m_next && part.token == tokenOf(m_request.id, m_next);
    APRICOT_INVARIANT(inPlace, "offsets-without-gap-or-repeat",
                      absl::StrCat(m_request.id.text(), " wants ", m_next, " gets ", part.offset, " \"", part.token, "\""));
    ++m_next;
    if (m_next != cancelAfter) {
        return;
    }
    auto self = shared_from_this();
    switch (m_habit) {
    case CallerHabit::Stays:
        break;
    case CallerHabit::Cancels:
        tell("cancels");
        ++m_connection;
        m_outcome = CallerOutcome::MayHaveRun;
        m_node->after(absl::Milliseconds(1), [self, node = m_node] { node->cancel(self->m_request.id); });
        break;
    case CallerHabit::HangsUpAndResumes:
        tell("hangs up and resumes");
        m_habit = CallerHabit::Stays;
        closeConnection();
        m_world.clock().after(triesPause, [self] { self->tryNext(); });
        break;
    case CallerHabit::HangsUpForGood:
        tell("hangs up for good");
        closeConnection();
        m_outcome = CallerOutcome::MayHaveRun;
        break;
    }
}

void SimCaller::takeFailure(ErrorKind kind)
{
    tell(absl::StrCat("is told ", std::string(errorDescriptor(kind).name)));
    auto self = shared_from_this();
    const bool wouldLoseTokens = kind == ErrorKind::RangeNotAvailable;
    if (isWorthAnotherTry(kind)) {
        m_world.clock().after(triesPause, [self] { self->tryNext(); });
        return;
    }
    m_outcome = wouldLoseTokens ? CallerOutcome::MayHaveRun : outcomeOf(kind);
}

void SimCaller::tell(const std::string &text)
{
    m_story.push_back(absl::StrCat(m_world.seconds(), " ", m_request.id.text(), " ", text));
}

SimTapper::SimTapper(SimWorld &world, IdempotencyKey key, int taps)
    : m_world(world)
    , m_key(std::move(key))
    , m_outcomes(static_cast<std::size_t>(taps), CallerOutcome::Open)
    , m_unanswered(static_cast<std::size_t>(taps), false)
{
}

void SimTapper::start()
{
    auto self = shared_from_this();
    for (std::size_t i = 0; i < m_outcomes.size(); ++i) {
        m_world.clock().after(m_world.clock().between(absl::ZeroDuration(), absl::Milliseconds(i == 0 ? 1 : 1500)),
                              [self, i] { self->tapOnce(i, 1); });
    }
}

void SimTapper::tapOnce(std::size_t index, int tries)
{
    auto self = shared_from_this();
    if (tries > mostTries) {
        // The caller stops asking; what it knows is that its call may have run.
        m_outcomes[index] = CallerOutcome::MayHaveRun;
        return;
    }
    const auto again = [self, index, tries] {
        self->m_world.clock().after(triesPause, [self, index, tries] { self->tapOnce(index, tries + 1); });
    };
    SimNode *node = m_world.addressFor();
    if (node == nullptr || !node->isAlive()) {
        again();
        return;
    }
    auto answered = std::make_shared<bool>(false);
    tell(index, "taps at " + node->id().text());
    node->after(absl::Milliseconds(1), [self, index, node, answered, again] {
        const auto done = [self, index, answered, again](const TapAnswer &answer) {
            if (*answered) {
                return;
            }
            *answered = true;
            self->tell(index, answer.answered ? "is answered" : "is told " + std::string(errorDescriptor(answer.kind).name));
            if (answer.answered) {
                self->m_outcomes[index] = CallerOutcome::Answered;
            } else if (isWorthAnotherTry(answer.kind)) {
                again();
            } else {
                // "Not run" speaks of the call that it answers. A try before it that got no answer may still have run
                // (trace: random_run --seed 10071 --steps 100000, r522: the first node was paused, then went on).
                self->m_outcomes[index] = self->m_unanswered[index] ? CallerOutcome::MayHaveRun : outcomeOf(answer.kind);
            }
        };
        if (!node->tap(self->m_key, done)) {
            done(TapAnswer{false, ErrorKind::Draining});
        }
    });
    m_world.clock().after(tapTimeout, [self, index, answered, again] {
        if (!*answered) {
            *answered = true;
            self->tell(index, "hears nothing");
            self->m_unanswered[index] = true;
            again();
        }
    });
}

void SimTapper::tell(std::size_t index, const std::string &text)
{
    m_story.push_back(absl::StrCat(m_world.seconds(), " ", m_key.text(), " tap ", index, " ", text));
}

}
