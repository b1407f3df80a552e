#include "coordination/runtap.h"

#include "coordination/seededbug.h"
#include "state/action.h"

#include <utility>

namespace Apricot {

namespace {

RunRecord ownRecord(const RunTap &tap, RunState state)
{
    return RunRecord::Builder()
        .set(&RunRecordFields::key, tap->key)
        .set(&RunRecordFields::creator, tap->attempt)
        .set(&RunRecordFields::node, tap->node)
        .set(&RunRecordFields::state, state)
        .set(&RunRecordFields::createdMs, tap->startedMs)
        .build();
}

TapStep end(const RunTap &tap, std::vector<TapAction> actions)
{
    return {tap.with(&RunTapFields::phase, TapPhase::Ended), std::move(actions)};
}

TapStep readAgain(const RunTap &tap)
{
    return {tap.with(&RunTapFields::phase, TapPhase::Reading), {ReadRecord{}}};
}

TapStep dispatch(const RunTap &tap)
{
    return {tap.with(&RunTapFields::phase, TapPhase::Dispatching), {DispatchCall{}}};
}

TapStep create(const RunTap &tap, const std::optional<RunRecord> &seen)
{
    const RunTap next = tap.with(&RunTapFields::phase, TapPhase::Creating)
                            .with(&RunTapFields::createExpected, seen)
                            .with(&RunTapFields::createSent, true);
    return {next, {WriteRecord{seen, ownRecord(tap, RunState::Dispatching)}}};
}

TapStep onRead(const RunTap &tap, const std::optional<RunRecord> &record)
{
    if (tap->phase != TapPhase::Reading) {
        return {tap, {}};
    }
    if (!record || (*record)->state == RunState::Abandoned) {
        return create(tap, record);
    }
    const RunRecord &found = *record;
    if (found->creator == tap->attempt) {
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
    return {tap.with(&RunTapFields::phase, TapPhase::AskingCreator).with(&RunTapFields::seen, record),
            {AskCreator{found->node, found->creator}}};
}

/// Marks the record as abandoned if a create was sent, as it may still take effect. Without the mark, later attempts under the
/// same key would wait for a call that is never dispatched.
void markAbandoned(const RunTap &tap, std::vector<TapAction> *actions)
{
    if (tap->createSent && !hasSeededBug(SeededBug::DropAbandonedMark)) {
        actions->emplace_back(SettleRecord{tap->createExpected, ownRecord(tap, RunState::Abandoned)});
    }
}

TapStep onCreatorAnswered(const RunTap &tap, CreatorWord word)
{
    if (tap->phase != TapPhase::AskingCreator) {
        return {tap, {}};
    }
    switch (word) {
    case CreatorWord::InProgress:
        // Read the record again until it contains the outcome of the other attempt.
        return readAgain(tap.with(&RunTapFields::sawInProgress, true));
    case CreatorWord::NeverDispatched:
        return create(tap, tap->seen);
    case CreatorWord::Unknown:
        break;
    }
    std::vector<TapAction> actions{AnswerError{ErrorKind::OutcomeUnknown}};
    markAbandoned(tap, &actions);
    return end(tap, std::move(actions));
}

TapStep onWriteLost(const RunTap &tap)
{
    if (tap->phase != TapPhase::Creating) {
        return {tap, {}};
    }
    return hasSeededBug(SeededBug::SkipReadBack) ? dispatch(tap) : readAgain(tap);
}

TapStep onAnswered(const RunTap &tap, const CallAnswered &event)
{
    if (tap->phase != TapPhase::Dispatching) {
        return {tap, {}};
    }
    const bool fits = event.body.size() <= mostRecordedBody;
    const std::string recorded = fits ? event.body : R"({"note":"the call ran; its answer was too long to be kept for later taps"})";
    const RunRecord done
        = ownRecord(tap, RunState::Done).with(&RunRecordFields::status, event.status).with(&RunRecordFields::body, recorded);
    return end(tap, {AnswerRecorded{event.status, event.body}, SettleRecord{tap->createExpected, done}});
}

TapStep onNotSent(const RunTap &tap)
{
    if (tap->phase != TapPhase::Dispatching) {
        return {tap, {}};
    }
    return end(tap, {AnswerError{ErrorKind::EngineUnreachable}, SettleRecord{tap->createExpected, ownRecord(tap, RunState::Abandoned)}});
}

TapStep onCallLost(const RunTap &tap)
{
    if (tap->phase != TapPhase::Dispatching) {
        return {tap, {}};
    }
    if (hasSeededBug(SeededBug::RepeatAfterDispatch)) {
        return dispatch(tap);
    }
    return end(tap, {AnswerError{ErrorKind::OutcomeUnknown}, SettleRecord{tap->createExpected, ownRecord(tap, RunState::MayHaveRun)}});
}

TapStep onTimedOut(const RunTap &tap)
{
    const bool beforeDispatch
        = tap->phase == TapPhase::Reading || tap->phase == TapPhase::Creating || tap->phase == TapPhase::AskingCreator;
    if (!beforeDispatch) {
        return {tap, {}};
    }
    std::vector<TapAction> actions{AnswerError{tap->sawInProgress ? ErrorKind::DuplicateInProgress : ErrorKind::StoreUnavailable}};
    markAbandoned(tap, &actions);
    return end(tap, std::move(actions));
}

}

TapStep startTap(const IdempotencyKey &key, const RequestId &attempt, const NodeId &node, absl::Time now)
{
    const RunTap tap = RunTap::Builder()
                           .set(&RunTapFields::key, key)
                           .set(&RunTapFields::attempt, attempt)
                           .set(&RunTapFields::node, node)
                           .set(&RunTapFields::startedMs, absl::ToUnixMillis(now))
                           .build();
    return {tap, {ReadRecord{}}};
}

TapStep stepTap(const RunTap &tap, const TapEvent &event, absl::Time /*now*/)
{
    return std::visit(Overloaded{
                          [&](const RecordRead &it) { return onRead(tap, it.record); },
                          [&](const RecordWritten &) {
                              return tap->phase == TapPhase::Creating ? dispatch(tap) : TapStep{tap, {}};
                          },
                          [&](const RecordConflict &) {
                              return tap->phase == TapPhase::Creating ? readAgain(tap) : TapStep{tap, {}};
                          },
                          [&](const RecordWriteLost &) { return onWriteLost(tap); },
                          [&](const CreatorAnswered &it) { return onCreatorAnswered(tap, it.word); },
                          [&](const CallAnswered &it) { return onAnswered(tap, it); },
                          [&](const CallNotSent &) { return onNotSent(tap); },
                          [&](const CallLost &) { return onCallLost(tap); },
                          [&](const StoreTimedOut &) { return onTimedOut(tap); },
                      },
                      event);
}

}
