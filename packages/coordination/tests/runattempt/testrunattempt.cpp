#include "coordination/runattempt.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

const absl::Time now = absl::FromUnixSeconds(77);
const IdempotencyKey key("oak-truck");

RunAttemptStep start(const std::string &attempt = "first")
{
    return startRunAttempt(key, RequestId(attempt), NodeId("node-1"), now);
}

RunRecord record(const std::string &creator, RunState state)
{
    return RunRecord::Builder()
        .set(&RunRecordFields::key, key)
        .set(&RunRecordFields::creator, RequestId(creator))
        .set(&RunRecordFields::node, NodeId("node-2"))
        .set(&RunRecordFields::state, state)
        .build();
}

template<class T>
const T *find(const RunAttemptStep &step)
{
    for (const RunAttemptAction &action : step.actions) {
        if (const auto *it = std::get_if<T>(&action)) {
            return it;
        }
    }
    return nullptr;
}

}

BOOST_AUTO_TEST_SUITE(RunAttempts)

BOOST_AUTO_TEST_CASE(theCallIsDispatchedOnlyAfterTheRecordIsWritten)
{
    RunAttemptStep step = start();
    BOOST_TEST(find<ReadRecord>(step) != nullptr);
    step = stepRunAttempt(step.attempt, RecordRead{}, now);
    BOOST_TEST(find<WriteRecord>(step) != nullptr);
    BOOST_TEST(find<DispatchCall>(step) == nullptr);
    step = stepRunAttempt(step.attempt, RecordWritten{}, now);
    BOOST_TEST(find<DispatchCall>(step) != nullptr);
    step = stepRunAttempt(step.attempt, CallAnswered{200, "yes"}, now);
    BOOST_TEST(find<AnswerRecorded>(step)->body == "yes");
    BOOST_TEST((find<FinalizeRecord>(step)->next->state == RunState::Done));
}

BOOST_AUTO_TEST_CASE(aLongAnswerIsReturnedWholeAndRecordedAsANote)
{
    const std::string body(maxRecordedBodyBytes + 1, 'x');
    RunAttemptStep step = stepRunAttempt(start().attempt, RecordRead{}, now);
    step = stepRunAttempt(step.attempt, RecordWritten{}, now);
    step = stepRunAttempt(step.attempt, CallAnswered{200, body}, now);
    BOOST_TEST((find<AnswerRecorded>(step)->body == body));
    BOOST_TEST(find<FinalizeRecord>(step)->next->body.size() < 200U);
    BOOST_TEST(find<FinalizeRecord>(step)->next->status == 200);
}

BOOST_AUTO_TEST_CASE(aLaterAttemptGetsTheRecordedOutcome)
{
    const RunRecord done = record("other", RunState::Done).with(&RunRecordFields::status, 200).with(&RunRecordFields::body, "sent");
    const RunAttemptStep step = stepRunAttempt(start().attempt, RecordRead{done}, now);
    BOOST_TEST(find<AnswerRecorded>(step)->body == "sent");
    BOOST_TEST((step.attempt->phase == RunAttemptPhase::Ended));
}

BOOST_AUTO_TEST_CASE(aLostReplyIsResolvedByReadingBack)
{
    RunAttemptStep step = stepRunAttempt(start().attempt, RecordRead{}, now);
    step = stepRunAttempt(step.attempt, RecordWriteLost{}, now);
    BOOST_TEST(find<ReadRecord>(step) != nullptr);
    BOOST_TEST(find<DispatchCall>(step) == nullptr);
    step = stepRunAttempt(step.attempt, RecordRead{record("first", RunState::Dispatching)}, now);
    BOOST_TEST(find<DispatchCall>(step) != nullptr);
}

BOOST_AUTO_TEST_CASE(anUncertainCreateIsMarkedAbandonedAndNeverDispatched)
{
    RunAttemptStep step = stepRunAttempt(start().attempt, RecordRead{}, now);
    step = stepRunAttempt(step.attempt, StoreTimedOut{}, now);
    BOOST_TEST((find<AnswerError>(step)->kind == ErrorKind::StoreUnavailable));
    BOOST_TEST((find<FinalizeRecord>(step)->next->state == RunState::Abandoned));
    BOOST_TEST(stepRunAttempt(step.attempt, RecordWritten{}, now).actions.empty());
}

// Found by random_run with seeds 1 to 2000: an attempt lost the reply to its create, found another attempt in progress, and marked
// that attempt's record as abandoned. A third attempt then ran the call again.
BOOST_AUTO_TEST_CASE(theAbandonedMarkNeverReplacesARecordThatTheCreateDidNotExpect)
{
    RunAttemptStep step = stepRunAttempt(start().attempt, RecordRead{}, now);
    step = stepRunAttempt(step.attempt, RecordWriteLost{}, now);
    step = stepRunAttempt(step.attempt, RecordRead{record("other", RunState::Dispatching)}, now);
    step = stepRunAttempt(step.attempt, CreatorAnswered{AttemptStatus::InProgress}, now);
    step = stepRunAttempt(step.attempt, StoreTimedOut{}, now);
    BOOST_REQUIRE(find<FinalizeRecord>(step) != nullptr);
    BOOST_TEST(!find<FinalizeRecord>(step)->createExpected.has_value());
}

// Found by the exploration: the create takes effect while the creator of the record that it replaces is being asked.
BOOST_AUTO_TEST_CASE(anAttemptThatEndsWhileAskingTheCreatorMarksItsOwnCreate)
{
    const RunRecord other = record("other", RunState::Dispatching);
    RunAttemptStep step = stepRunAttempt(start().attempt, RecordRead{other}, now);
    step = stepRunAttempt(step.attempt, CreatorAnswered{AttemptStatus::NeverDispatched}, now);
    step = stepRunAttempt(step.attempt, RecordWriteLost{}, now);
    step = stepRunAttempt(step.attempt, RecordRead{other}, now);
    step = stepRunAttempt(step.attempt, CreatorAnswered{AttemptStatus::Unknown}, now);
    BOOST_REQUIRE(find<FinalizeRecord>(step) != nullptr);
    BOOST_TEST((find<FinalizeRecord>(step)->createExpected == other));
}

BOOST_AUTO_TEST_CASE(withoutACreateNoRecordIsMarkedAsAbandoned)
{
    const RunAttemptStep step = stepRunAttempt(start().attempt, StoreTimedOut{}, now);
    BOOST_TEST(find<AnswerError>(step) != nullptr);
    BOOST_TEST(find<FinalizeRecord>(step) == nullptr);
}

BOOST_AUTO_TEST_CASE(anUnknownOutcomeIsNeverRetried)
{
    RunAttemptStep step = stepRunAttempt(start().attempt, RecordRead{}, now);
    step = stepRunAttempt(step.attempt, RecordWritten{}, now);
    step = stepRunAttempt(step.attempt, CallLost{}, now);
    BOOST_TEST((find<AnswerError>(step)->kind == ErrorKind::OutcomeUnknown));
    BOOST_TEST((find<FinalizeRecord>(step)->next->state == RunState::MayHaveRun));
    BOOST_TEST(find<DispatchCall>(step) == nullptr);
}

BOOST_AUTO_TEST_CASE(theReplyOfTheCreatorDecides)
{
    const RunAttemptStep asking = stepRunAttempt(start().attempt, RecordRead{record("other", RunState::Dispatching)}, now);
    BOOST_REQUIRE(find<AskCreator>(asking) != nullptr);
    BOOST_TEST((find<AskCreator>(asking)->node == NodeId("node-2")));
    BOOST_TEST(find<WriteRecord>(stepRunAttempt(asking.attempt, CreatorAnswered{AttemptStatus::NeverDispatched}, now)) != nullptr);
    BOOST_TEST((find<AnswerError>(stepRunAttempt(asking.attempt, CreatorAnswered{AttemptStatus::Unknown}, now))->kind
                == ErrorKind::OutcomeUnknown));
    const RunAttemptStep waiting = stepRunAttempt(asking.attempt, CreatorAnswered{AttemptStatus::InProgress}, now);
    BOOST_TEST(find<ReadRecord>(waiting) != nullptr);
    BOOST_TEST((find<AnswerError>(stepRunAttempt(waiting.attempt, StoreTimedOut{}, now))->kind == ErrorKind::DuplicateInProgress));
}

BOOST_AUTO_TEST_CASE(aCallThatWasNotSentIsReportedAsNotRun)
{
    RunAttemptStep step = stepRunAttempt(start().attempt, RecordRead{}, now);
    step = stepRunAttempt(step.attempt, RecordWritten{}, now);
    step = stepRunAttempt(step.attempt, CallNotSent{}, now);
    BOOST_TEST((errorDescriptor(find<AnswerError>(step)->kind).outcome == Outcome::NotRun));
    BOOST_TEST((find<FinalizeRecord>(step)->next->state == RunState::Abandoned));
}

BOOST_AUTO_TEST_SUITE_END()
