#include "coordination/runattempt.h"

#include "coordination/seededbug.h"
#include "state/action.h"

#include <utility>

namespace Apricot {

namespace {

RunRecord ownRecord(const RunAttempt &attempt, RunState state)
{
    return RunRecord::Builder()
        .set(&RunRecordFields::key, attempt->key)
        .set(&RunRecordFields::creator, attempt->attemptId)
        .set(&RunRecordFields::node, attempt->node)
        .set(&RunRecordFields::state, state)
        .set(&RunRecordFields::createdMs, attempt->startedMs)
        .build();
}

RunAttemptStep end(const RunAttempt &attempt, std::vector<RunAttemptAction> actions)
{
    return {attempt.with(&RunAttemptFields::phase, RunAttemptPhase::Ended), std::move(actions)};
}

RunAttemptStep readAgain(const RunAttempt &attempt)
{
    return {attempt.with(&RunAttemptFields::phase, RunAttemptPhase::Reading), {ReadRecord{}}};
}

RunAttemptStep dispatch(const RunAttempt &attempt)
{
    return {attempt.with(&RunAttemptFields::phase, RunAttemptPhase::Dispatching), {DispatchCall{}}};
}

RunAttemptStep create(const RunAttempt &attempt, const std::optional<RunRecord> &lastRecord)
{
    const RunAttempt next = attempt.with(&RunAttemptFields::phase, RunAttemptPhase::Creating)
                                .with(&RunAttemptFields::createExpected, lastRecord)
                                .with(&RunAttemptFields::createSent, true);
    return {next, {WriteRecord{lastRecord, ownRecord(attempt, RunState::Dispatching)}}};
}

RunAttemptStep handleRead(const RunAttempt &attempt, const std::optional<RunRecord> &record)
{
    if (attempt->phase != RunAttemptPhase::Reading) {
        return {attempt, {}};
    }
    if (!record || (*record)->state == RunState::Abandoned) {
        return create(attempt, record);
    }
    const RunRecord &found = *record;
    if (found->creator == attempt->attemptId) {
        // An earlier create of this same attempt took effect, although its reply was lost.
        return dispatch(attempt);
    }
    switch (found->state) {
    case RunState::Done:
        return end(attempt, {AnswerRecorded{found->status, found->body}});
    case RunState::MayHaveRun:
        return end(attempt, {AnswerError{ErrorKind::OutcomeUnknown}});
    case RunState::Dispatching:
    case RunState::Abandoned:
        break;
    }
    if (hasSeededBug(SeededBug::DispatchOnConflict)) {
        return dispatch(attempt);
    }
    return {attempt.with(&RunAttemptFields::phase, RunAttemptPhase::AskingCreator).with(&RunAttemptFields::lastRecord, record),
            {AskCreator{found->node, found->creator}}};
}

/// Marks the record as abandoned if a create was sent, as it may still take effect. Without the mark, later attempts under the
/// same key would wait for a call that is never dispatched.
void markAbandoned(const RunAttempt &attempt, std::vector<RunAttemptAction> *actions)
{
    if (attempt->createSent && !hasSeededBug(SeededBug::DropAbandonedMark)) {
        actions->emplace_back(FinalizeRecord{attempt->createExpected, ownRecord(attempt, RunState::Abandoned)});
    }
}

RunAttemptStep handleCreatorAnswer(const RunAttempt &attempt, AttemptStatus status)
{
    if (attempt->phase != RunAttemptPhase::AskingCreator) {
        return {attempt, {}};
    }
    switch (status) {
    case AttemptStatus::InProgress:
        // Read the record again until it contains the outcome of the other attempt.
        return readAgain(attempt.with(&RunAttemptFields::sawInProgress, true));
    case AttemptStatus::NeverDispatched:
        return create(attempt, attempt->lastRecord);
    case AttemptStatus::Unknown:
        break;
    }
    std::vector<RunAttemptAction> actions{AnswerError{ErrorKind::OutcomeUnknown}};
    markAbandoned(attempt, &actions);
    return end(attempt, std::move(actions));
}

RunAttemptStep handleWriteLost(const RunAttempt &attempt)
{
    if (attempt->phase != RunAttemptPhase::Creating) {
        return {attempt, {}};
    }
    return hasSeededBug(SeededBug::SkipReadBack) ? dispatch(attempt) : readAgain(attempt);
}

RunAttemptStep handleAnswer(const RunAttempt &attempt, const CallAnswered &event)
{
    if (attempt->phase != RunAttemptPhase::Dispatching) {
        return {attempt, {}};
    }
    const bool fits = event.body.size() <= maxRecordedBodyBytes;
    const std::string recorded = fits ? event.body : R"({"note":"the call ran; its answer was too long to be kept for later taps"})";
    const RunRecord done
        = ownRecord(attempt, RunState::Done).with(&RunRecordFields::status, event.status).with(&RunRecordFields::body, recorded);
    return end(attempt, {AnswerRecorded{event.status, event.body}, FinalizeRecord{attempt->createExpected, done}});
}

RunAttemptStep handleNotSent(const RunAttempt &attempt)
{
    if (attempt->phase != RunAttemptPhase::Dispatching) {
        return {attempt, {}};
    }
    return end(
        attempt,
        {AnswerError{ErrorKind::EngineUnreachable}, FinalizeRecord{attempt->createExpected, ownRecord(attempt, RunState::Abandoned)}});
}

RunAttemptStep handleCallLost(const RunAttempt &attempt)
{
    if (attempt->phase != RunAttemptPhase::Dispatching) {
        return {attempt, {}};
    }
    if (hasSeededBug(SeededBug::RepeatAfterDispatch)) {
        return dispatch(attempt);
    }
    return end(attempt,
               {AnswerError{ErrorKind::OutcomeUnknown}, FinalizeRecord{attempt->createExpected, ownRecord(attempt, RunState::MayHaveRun)}});
}

RunAttemptStep handleTimeout(const RunAttempt &attempt)
{
    const bool beforeDispatch = attempt->phase == RunAttemptPhase::Reading || attempt->phase == RunAttemptPhase::Creating
        || attempt->phase == RunAttemptPhase::AskingCreator;
    if (!beforeDispatch) {
        return {attempt, {}};
    }
    std::vector<RunAttemptAction> actions{
        AnswerError{attempt->sawInProgress ? ErrorKind::DuplicateInProgress : ErrorKind::StoreUnavailable}};
    markAbandoned(attempt, &actions);
    return end(attempt, std::move(actions));
}

}

RunAttemptStep startRunAttempt(const IdempotencyKey &key, const RequestId &attemptId, const NodeId &node, absl::Time now)
{
    const RunAttempt attempt = RunAttempt::Builder()
                                   .set(&RunAttemptFields::key, key)
                                   .set(&RunAttemptFields::attemptId, attemptId)
                                   .set(&RunAttemptFields::node, node)
                                   .set(&RunAttemptFields::startedMs, absl::ToUnixMillis(now))
                                   .build();
    return {attempt, {ReadRecord{}}};
}

RunAttemptStep stepRunAttempt(const RunAttempt &attempt, const RunAttemptEvent &event, absl::Time /*now*/)
{
    return std::visit(Overloaded{
                          [&](const RecordRead &it) { return handleRead(attempt, it.record); },
                          [&](const RecordWritten &) {
                              return attempt->phase == RunAttemptPhase::Creating ? dispatch(attempt) : RunAttemptStep{attempt, {}};
                          },
                          [&](const RecordConflict &) {
                              return attempt->phase == RunAttemptPhase::Creating ? readAgain(attempt) : RunAttemptStep{attempt, {}};
                          },
                          [&](const RecordWriteLost &) { return handleWriteLost(attempt); },
                          [&](const CreatorAnswered &it) { return handleCreatorAnswer(attempt, it.status); },
                          [&](const CallAnswered &it) { return handleAnswer(attempt, it); },
                          [&](const CallNotSent &) { return handleNotSent(attempt); },
                          [&](const CallLost &) { return handleCallLost(attempt); },
                          [&](const StoreTimedOut &) { return handleTimeout(attempt); },
                      },
                      event);
}

}
