#pragma once

#include "randomrun/simstore.h"

#include "coordination/runattempt.h"
#include "coordination/runpagecommitter.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Apricot::Sim {

class SimNode;

/// Outcome of a call to a plain service, as seen by the node that sent it.
enum class ServiceCallOutcome { Answered, NotSent, Lost };

/// Result of a non-idempotent call for its caller.
struct RunResult
{
    bool answered = false;
    ErrorKind kind = ErrorKind::Internal; ///< valid if the call was not answered
};

/**
 * \class SimRuns
 * \brief Executes the actions of one node's run attempts and run page committers against the fake store.
 */
class SimRuns
{
public:
    explicit SimRuns(SimNode &node);

    /// Starts an attempt to run the non-idempotent call with \a key.
    void startAttempt(const IdempotencyKey &key, std::function<void(const RunResult &)> done);

    /// Returns the status of an attempt that this node created; AttemptStatus::Unknown if it has no record of it.
    AttemptStatus attemptStatus(const RequestId &attemptId) const;

    /// Whether a change is still waiting to be written or is being written.
    bool hasWork() const;

private:
    struct PendingAttempt
    {
        RunAttempt attempt;
        absl::Time deadline;
        int dispatchCount = 0;
        bool creatorAsked = false;
        std::uint64_t ticket = 0;
        std::function<void(const RunResult &)> done;
    };

    using PendingAttemptPointer = std::shared_ptr<PendingAttempt>;

    void advance(const PendingAttemptPointer &pending, const RunAttemptEvent &event);
    void executeActions(const PendingAttemptPointer &pending, const std::vector<RunAttemptAction> &actions);
    void read(const PendingAttemptPointer &pending);
    void write(const PendingAttemptPointer &pending, const WriteRecord &action);
    void askCreator(const PendingAttemptPointer &pending, const AskCreator &question);
    void dispatch(const PendingAttemptPointer &pending);
    void processPage(const std::string &page);
    void handleReports(const std::vector<ChangeReport> &reports);

    SimNode &m_node;
    std::map<std::string, RunPageCommitter> m_pages;
    std::set<std::string> m_pagesBeingRead;
    std::map<std::uint64_t, PendingAttemptPointer> m_tickets;
    std::map<RequestId, AttemptStatus> m_attemptStatuses;
    std::uint64_t m_nextTicket = 1;
    std::uint64_t m_nextAttempt = 1;
};

}
