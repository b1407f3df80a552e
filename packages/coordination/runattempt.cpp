#include "coordination/runattempt.h"

#include "coordination/seededbug.h"
#include "state/action.h"

#include <utility>

namespace Apricot {

namespace {

RunRecord ownRecord(const RunAttempt &tap, RunState state)
{
    return RunRecord::Builder()
        .set(&RunRecordFields::key, tap->key)
        .set(&RunRecordFields::creator, tap->attemptId)
        .set(&RunRecordFields::node, tap->node)
        .set(&RunRecordFields::state, state)
        .set(&RunRecordFields::createdMs, tap->startedMs)
        .build();
}

RunAttemptStep end(const RunAttempt &tap, std::vector<RunAttemptAction> actions)
{
    return {tap.with(&RunAttemptFields::phase, RunAttemptPhase::Ended), std::move(actions)};
}

RunAttemptStep readAgain(const RunAttempt &tap)
{
    return {tap.with(&RunAttemptFields::phase, RunAttemptPhase::Reading), {ReadRecord{}}};
}

RunAttemptStep dispatch(const RunAttempt &tap)
{
    return {tap.with(&RunAttemptFields::phase, RunAttemptPhase::Dispatching), {DispatchCall{}}};
}

RunAttemptStep create(const RunAttempt &tap, const std::optional<RunRecord> &lastRecord)
{
    const RunAttempt next = tap.with(&RunAttemptFields::phase, RunAttemptPhase::Creating)
                                .with(&RunAttemptFields::createExpected, lastRecord)
                                .with(&RunAttemptFields::createSent, true);
    return {next, {WriteRecord{lastRecord, ownRecord(tap, RunState::Dispatching)}}};
}

RunAttemptStep handleRead(const RunAttempt &tap, const std::optional<RunRecord> &record)
{
    if (tap->phase != RunAttemptPhase::Reading) {
        return {tap, {}};
    }
    if (!record || (*record)->state == RunState::Abandoned) {
        return create(tap, record);
    }
    const RunRecord &found = *record;
    if (found->creator == tap->attemptId) {
        // An earlier create of this same attempt took effect, although its reply was lost.
        return dispatch(tap);
    }
    switch (found->state) {
    case RunState::Done:
        return end(tap, {AnswerRecorded{found->status, found->body}});
    case RunState::MayHaveRun:
        return end(tap, {AnswerError{ErrorKind::OutcomeUnknown}});
    case RunState::Dispatching:
    case RunState::Abandoned:
        break;
    }
    if (hasSeededBug(SeededBug::DispatchOnConflict)) {
        return dispatch(tap);
    }
    return {tap.with(&RunAttemptFields::phase, RunAttemptPhase::AskingCreator).with(&RunAttemptFields::lastRecord, record),
            {AskCreator{found->node, found->creator}}};
}

/// Marks the record as abandoned if a create was sent, as it may still take effect. Without the mark, later attempts under the
/// same key would wait for a call that is never dispatched.
void markAbandoned(const RunAttempt &tap, std::vector<RunAttemptAction> *actions)
{
    if (tap->createSent && !hasSeededBug(SeededBug::DropAbandonedMark)) {
        actions->emplace_back(FinalizeRecord{tap->createExpected, ownRecord(tap, RunState::Abandoned)});
    }
}

RunAttemptStep handleCreatorAnswer(const RunAttempt &tap, CreatorWord status)
{
    if (tap->phase != RunAttemptPhase::AskingCreator) {
        return {tap, {}};
    }
    switch (status) {
    case CreatorWord::InProgress:
        // Read the record again until it contains the outcome of the other attempt.
        return readAgain(tap.with(&RunAttemptFields::sawInProgress, true));
    case CreatorWord::NeverDispatched:
        return create(tap, tap->lastRecord);
    case CreatorWord::Unknown:
        break;
    }
    std::vector<RunAttemptAction> actions{AnswerError{ErrorKind::OutcomeUnknown}};
    markAbandoned(tap, &actions);
    return end(tap, std::move(actions));
}

RunAttemptStep handleWriteLost(const RunAttempt &tap)
{
    if (tap->phase != RunAttemptPhase::Creating) {
        return {tap, {}};
    }
    return hasSeededBug(SeededBug::SkipReadBack) ? dispatch(tap) : readAgain(tap);
}

RunAttemptStep handleAnswer(const RunAttempt &tap, const CallAnswered &event)
{
    if (tap->phase != RunAttemptPhase::Dispatching) {
        return {tap, {}};
    }
    const bool fits = event.body.size() <= maxRecordedBodyBytes;
    const std::string recorded = fits ? event.body : R"({"note":"the call ran; its answer was too long to be kept for later taps"})";
    const RunRecord done
        = ownRecord(tap, RunState::Done).with(&RunRecordFields::status, event.status).with(&RunRecordFields::body, recorded);
    return end(tap, {AnswerRecorded{event.status, event.body}, FinalizeRecord{tap->createExpected, done}});
}

RunAttemptStep handleNotSent(const RunAttempt &tap)
{
    if (tap->phase != RunAttemptPhase::Dispatching) {
        return {tap, {}};
    }
    return end(tap, {AnswerError{ErrorKind::EngineUnreachable}, FinalizeRecord{tap->createExpected, ownRecord(tap, RunState::Abandoned)}});
}

RunAttemptStep handleCallLost(const RunAttempt &tap)
{
    if (tap->phase != RunAttemptPhase::Dispatching) {
        return {tap, {}};
    }
    if (hasSeededBug(SeededBug::RepeatAfterDispatch)) {
        return dispatch(tap);
    }
    return end(tap, {AnswerError{ErrorKind::OutcomeUnknown}, FinalizeRecord{tap->createExpected, ownRecord(tap, RunState::MayHaveRun)}});
}

RunAttemptStep handleTimeout(const RunAttempt &tap)
{
    const bool beforeDispatch
        = tap->phase == RunAttemptPhase::Reading || tap->phase == RunAttemptPhase::Creating || tap->phase == RunAttemptPhase::AskingCreator;
    if (!beforeDispatch) {
        return {tap, {}};
    }
    std::vector<RunAttemptAction> actions{AnswerError{tap->sawInProgress ? ErrorKind::DuplicateInProgress : ErrorKind::StoreUnavailable}};
    markAbandoned(tap, &actions);
    return end(tap, std::move(actions));
}

}

RunAttemptStep startRunAttempt(const IdempotencyKey &key, const RequestId &attemptId, const NodeId &node, absl::Time now)
{
    const RunAttempt tap = RunAttempt::Builder()
                               .set(&RunAttemptFields::key, key)
                               .set(&RunAttemptFields::attemptId, attemptId)
                               .set(&RunAttemptFields::node, node)
                               .set(&RunAttemptFields::startedMs, absl::ToUnixMillis(now))
                               .build();
    return {tap, {ReadRecord{}}};
}

RunAttemptStep stepRunAttempt(const RunAttempt &tap, const RunAttemptEvent &event, absl::Time /*now*/)
{
    return std::visit(Overloaded{
                          [&](const RecordRead &it) { return handleRead(tap, it.record); },
                          [&](const RecordWritten &) {
                              return tap->phase == RunAttemptPhase::Creating ? dispatch(tap) : RunAttemptStep{tap, {}};
                          },
                          [&](const RecordConflict &) {
                              return tap->phase == RunAttemptPhase::Creating ? readAgain(tap) : RunAttemptStep{tap, {}};
                          },
                          [&](const RecordWriteLost &) { return handleWriteLost(tap); },
                          [&](const CreatorAnswered &it) { return handleCreatorAnswer(tap, it.status); },
                          [&](const CallAnswered &it) { return handleAnswer(tap, it); },
                          [&](const CallNotSent &) { return handleNotSent(tap); },
                          [&](const CallLost &) { return handleCallLost(tap); },
                          [&](const StoreTimedOut &) { return handleTimeout(tap); },
                      },
                      event);
}

}
