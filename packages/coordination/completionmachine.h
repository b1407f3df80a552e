#pragma once

#include "coordination/outlierdetector.h"
#include "state/action.h"
#include "state/event.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

// Events of one completion.

/// The owner of the slice sent an action for this request.
struct OwnerActionReceived
{
    Action action;
};

/// The owner sent no action within the time of AwaitOwnerAction.
struct OwnerActionTimedOut
{
};

/// The prefill engine holds the result under \a handle.
struct PrefillReturned
{
    std::string handle;
    absl::Duration duration;
    std::int64_t cachedTokens = 0;
};

/// The prefill engine could not be reached or failed.
struct PrefillUnreachable
{
};

/// A stream of the decode engine is open. The engine reports the attempt to which the stream belongs.
struct StreamOpened
{
    absl::Duration transferDuration; ///< zero if the engine already held the KV cache
    std::uint64_t attempt = 0;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
};

/// The first \a next tokens of the answer are known.
struct StreamAdvanced
{
    std::int64_t next = 0;
};

/// The engine reported the end of the answer, and no token is missing.
struct StreamFinished
{
};

/// Why a stream ended early.
enum class StreamFault {
    Interrupted, ///< no byte was received for too long, the connection was lost, or tokens are missing
    NotConnected, ///< no connection to the engine could be established
    Refused, ///< the engine answered that it does not hold the request
};

/// A stream ended early, or could not be opened.
struct StreamFailed
{
    StreamFault fault = StreamFault::Interrupted;
    FailureAction failureAction = FailureAction::ReconnectAndResume;
};

/// The caller cancelled the request, or disconnected and did not reconnect in time.
struct CallerCancelled
{
};

/// The reply of the retry budget to RequestRetry.
struct RetryBudgetAnswered
{
    bool granted = false;
};

/// The time of a WaitBeforeRetry has elapsed.
struct RetryWaitElapsed
{
};

using CompletionEvent = std::variant<OwnerActionReceived, OwnerActionTimedOut, PrefillReturned, PrefillUnreachable, StreamOpened,
                                     StreamAdvanced, StreamFinished, StreamFailed, CallerCancelled, RetryBudgetAnswered, RetryWaitElapsed>;

// Actions of one completion.

/// Send \a event to the owner of the slice.
struct NotifyOwner
{
    Event event;
};

/// Wait for an action of the owner; OwnerActionTimedOut follows if none is received for \a wait.
struct AwaitOwnerAction
{
    absl::Duration wait;
};

/// Prefill the prompt and the tokens known so far on \a engine.
struct RunPrefill
{
    EngineId engine;
    std::uint64_t attempt = 0;
};

/// Let \a decode fetch the result from \a prefill and stream the answer from \a offset on.
struct OpenStream
{
    EngineId decode;
    EngineId prefill;
    std::string handle;
    std::uint64_t attempt = 0;
    std::int64_t offset = 0;
};

/// Open a new connection to a stream that \a decode still generates.
struct ResumeStream
{
    EngineId decode;
    std::int64_t offset = 0;
};

/// Release everything that \a engines hold for this request.
struct CancelEngines
{
    std::vector<EngineId> engines;
    std::uint64_t attempt = 0;
};

/// Set the periodic renewal that is sent to the owner from now on; an empty \a renewal stops it.
struct SetRenewal
{
    std::optional<WorkRenewed> renewal;
};

/// Ask the node's retry budget for a retry; RetryBudgetAnswered follows.
struct RequestRetry
{
};

/// Wait before the next attempt; RetryWaitElapsed follows.
struct WaitBeforeRetry
{
    absl::Duration length;
};

/// End the answer as complete.
struct AnswerComplete
{
};

/// End the answer with an error.
struct AnswerFailed
{
    ErrorKind kind = ErrorKind::Internal;
    absl::Duration retryAfter;
    std::string message;
};

using CompletionAction = std::variant<NotifyOwner, AwaitOwnerAction, RunPrefill, OpenStream, ResumeStream, CancelEngines, SetRenewal,
                                      RequestRetry, WaitBeforeRetry, AnswerComplete, AnswerFailed>;
using CompletionActions = std::vector<CompletionAction>;

/// The constant parameters of a completion.
struct CompletionPlan
{
    Work work; ///< the work as of the first attempt
    absl::Duration targetLatency; ///< target latency of the first token
    absl::Duration resultLifetime; ///< how long a prefill engine keeps its result
    std::vector<EngineId> decodeEngines; ///< all decode engines of the service; a resume searches them for the stream
    std::int64_t baseTokens = 0; ///< tokens that the caller already has when the flow starts
};

/**
 * \class CompletionMachine
 * \brief The state machine of one completion: requests to the owner, attempts, resumes, and the single final answer.
 *
 * Each call to an engine or the owner is an action whose outcome is reported as an event; at most one is open at a time.
 */
class CompletionMachine
{
public:
    /// Maximum number of attempts of one request on one node, the first included.
    static constexpr int maxAttempts = 4;

    explicit CompletionMachine(CompletionPlan plan);

    /// Starts a new request.
    CompletionActions start(absl::Time now);

    /// Resumes a stream that another node started: searches the decode engines for it.
    CompletionActions startResume(absl::Time now);

    /// Handles \a event and returns the actions that follow; none after the end.
    CompletionActions handle(const CompletionEvent &event, absl::Time now);

    bool hasEnded() const
    {
        return m_phase == Phase::Ended;
    }

    /// Returns the number of the current attempt; the outcomes of earlier attempts' calls are to be ignored.
    std::uint64_t attempt() const
    {
        return m_attempt;
    }

private:
    enum class Phase { Idle, Requesting, Prefilling, Reporting, Streaming, Searching, Retrying, BackingOff, Ended };

    void requestEngines(absl::Time now);
    void resendRequest(absl::Time now);
    void handleOwnerAction(const Action &action, absl::Time now);
    void handleStartPrefill(const StartPrefill &action);
    void handleStartDecode(const StartDecode &action);
    void handleOwnerTimeout(absl::Time now);
    void handlePrefillReturned(const PrefillReturned &event, absl::Time now);
    void reportPrefill(absl::Time now);
    void handleStreamOpened(const StreamOpened &event);
    void handleStreamFailed(const StreamFailed &event);
    void searchNext();
    void retry();
    void handleRetryBudgetAnswer(bool granted);
    void handleCallerCancelled();
    void finish();
    void fail(ErrorKind kind, absl::Duration retryAfter, std::string message);
    void end();
    Work work() const;
    bool isResumed() const
    {
        return m_nextToken > 0;
    }

    CompletionPlan m_plan;
    Phase m_phase = Phase::Idle;
    CompletionActions m_actions;
    std::uint64_t m_attempt;
    int m_attemptCount = 0;
    int m_reconnects = 0;
    std::int64_t m_nextToken;
    std::int64_t m_streamStart = 0;
    absl::Time m_deadline; ///< deadline of the current phase
    EngineId m_prefill;
    EngineId m_decode;
    EngineId m_excludedEngine;
    PrefillReturned m_result;
    std::optional<WorkRenewed> m_renewal;
    std::size_t m_searched = 0;
};

}
