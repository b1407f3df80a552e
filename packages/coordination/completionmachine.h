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

// What a coordinator learns about one completion.

/// The owner of the slice gave an order for this request.
struct OwnerOrdered
{
    Action order;
};

/// The owner gave no order for a while.
struct OwnerQuiet
{
};

/// The prefill engine has the result under \a handle.
struct PrefillReturned
{
    std::string handle;
    absl::Duration took;
    std::int64_t cachedTokens = 0;
};

/// The prefill engine could not be reached or failed.
struct PrefillUnreachable
{
};

/// A stream of the decode engine is open. It says which attempt it belongs to.
struct StreamOpened
{
    absl::Duration transferTook; ///< zero if the KV cache was there before
    std::uint64_t attempt = 0;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
};

/// The answer is known up to \a next tokens.
struct StreamAdvanced
{
    std::int64_t next = 0;
};

/// The engine said that the answer is complete, and it is.
struct StreamFinished
{
};

/// How a stream ended before its time.
enum class StreamFault {
    Silent, ///< no byte for too long, the connection broke, or tokens are missing
    NotConnected, ///< no connection to the engine was made
    Refused, ///< the engine answered that it does not hold the request
};

struct StreamBroke
{
    StreamFault fault = StreamFault::Silent;
    FailureAction verdict = FailureAction::ReconnectAndResume;
};

/// The caller cancelled, or went away and did not come back.
struct CallerGone
{
};

/// The answer to SpendRetry.
struct RetryDecided
{
    bool granted = false;
};

/// A pause is over.
struct PauseOver
{
};

using CompletionEvent = std::variant<OwnerOrdered, OwnerQuiet, PrefillReturned, PrefillUnreachable, StreamOpened, StreamAdvanced,
                                     StreamFinished, StreamBroke, CallerGone, RetryDecided, PauseOver>;

// What a coordinator does for one completion.

/// Tell the owner of the slice.
struct TellOwner
{
    Event event;
};

/// Wait for an order; OwnerQuiet comes if there is none for \a wait.
struct AwaitOwner
{
    absl::Duration wait;
};

/// Run the prefill, of the prompt and the tokens known so far, on \a engine.
struct RunPrefill
{
    EngineId engine;
    std::uint64_t attempt = 0;
};

/// Have \a decode take the result over and stream from \a offset on.
struct OpenStream
{
    EngineId decode;
    EngineId prefill;
    std::string handle;
    std::uint64_t attempt = 0;
    std::int64_t offset = 0;
};

/// Open a new connection to a stream that \a decode goes on with by itself.
struct ResumeStream
{
    EngineId decode;
    std::int64_t offset = 0;
};

/// Free what the engines hold of this request.
struct CancelEngines
{
    std::vector<EngineId> engines;
    std::uint64_t attempt = 0;
};

/// What is said to the owner at each renewal from now on; nothing ends it.
struct KeepRenewing
{
    std::optional<WorkRenewed> renewal;
};

/// Ask the node's retry budget.
struct SpendRetry
{
};

/// Wait before the next attempt.
struct Pause
{
    absl::Duration length;
};

/// The answer is complete.
struct AnswerComplete
{
};

/// The answer ends with an error.
struct AnswerFailed
{
    ErrorKind kind = ErrorKind::Internal;
    absl::Duration retryAfter;
    std::string message;
};

using CompletionAction = std::variant<TellOwner, AwaitOwner, RunPrefill, OpenStream, ResumeStream, CancelEngines, KeepRenewing, SpendRetry,
                                      Pause, AnswerComplete, AnswerFailed>;
using CompletionActions = std::vector<CompletionAction>;

/// What does not change during a completion.
struct CompletionPlan
{
    Work work; ///< as at the first attempt
    absl::Duration target; ///< for the first token
    absl::Duration resultLifetime; ///< how long a prefill's result survives
    std::vector<EngineId> decodeEngines; ///< of the service; a resume looks for the stream on each
    std::int64_t base = 0; ///< tokens that the caller has already when the flow starts
};

/**
 * \class CompletionMachine
 * \brief All decisions of a coordinator about one completion: questions to the owner, attempts, resumes, the one final answer.
 *
 * Each call to an engine or the owner is an action whose outcome comes back as an event; at most one is open at a time.
 */
class CompletionMachine
{
public:
    /// Attempts of one request on one node, the first included.
    static constexpr int mostAttempts = 4;

    explicit CompletionMachine(CompletionPlan plan);

    /// Begins from the start of the request.
    CompletionActions start(absl::Time now);

    /// Begins with the search for a stream that another node started.
    CompletionActions startResume(absl::Time now);

    CompletionActions handle(const CompletionEvent &event, absl::Time now);

    bool hasEnded() const
    {
        return m_phase == Phase::Ended;
    }

    /// Number of the attempt in progress; calls of earlier ones no longer matter.
    std::uint64_t attempt() const
    {
        return m_attempt;
    }

private:
    enum class Phase { Idle, Asking, Prefilling, Reporting, Streaming, Searching, Retrying, Pausing, Ended };

    void ask(absl::Time now);
    void askAgain(absl::Time now);
    void ordered(const Action &order, absl::Time now);
    void orderedPrefill(const StartPrefill &order);
    void orderedDecode(const StartDecode &order);
    void quiet(absl::Time now);
    void prefillReturned(const PrefillReturned &event, absl::Time now);
    void report(absl::Time now);
    void streamOpened(const StreamOpened &event);
    void streamBroke(const StreamBroke &event);
    void searchNext();
    void tryAgain();
    void retryDecided(bool granted);
    void callerGone();
    void finish();
    void fail(ErrorKind kind, absl::Duration retryAfter, std::string message);
    void end();
    Work work() const;
    bool isResumed() const
    {
        return m_next > 0;
    }

    CompletionPlan m_plan;
    Phase m_phase = Phase::Idle;
    CompletionActions m_actions;
    std::uint64_t m_attempt;
    int m_attempts = 0;
    int m_reconnects = 0;
    std::int64_t m_next;
    std::int64_t m_firstOfStream = 0;
    absl::Time m_deadline; ///< of the phase
    EngineId m_prefill;
    EngineId m_decode;
    EngineId m_avoid;
    PrefillReturned m_result;
    std::optional<WorkRenewed> m_renewal;
    std::size_t m_searched = 0;
};

}
