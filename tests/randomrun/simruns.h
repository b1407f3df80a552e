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

/// How a call to a plain service ended for the node that made it.
enum class ServiceEnd { Answered, NotSent, Lost };

/// How a tap ended for its caller.
struct TapAnswer
{
    bool answered = false;
    ErrorKind kind = ErrorKind::Internal; ///< if not answered
};

/**
 * \class SimRuns
 * \brief Carries out what the taps and page committers of one node decide, against the fake store.
 */
class SimRuns
{
public:
    explicit SimRuns(SimNode &node);

    /// Starts a non-idempotent call under \a key.
    void tap(const IdempotencyKey &key, std::function<void(const TapAnswer &)> done);

    /// What this node remembers of an attempt of its own.
    AttemptStatus wordOf(const RequestId &attempt) const;

    /// Whether something is still to be written.
    bool hasWork() const;

private:
    struct Tap
    {
        RunAttempt tap;
        absl::Time until;
        int dispatches = 0;
        bool asked = false;
        std::uint64_t ticket = 0;
        std::function<void(const TapAnswer &)> done;
    };

    using TapPointer = std::shared_ptr<Tap>;

    void advance(const TapPointer &tap, const RunAttemptEvent &event);
    void carryOut(const TapPointer &tap, const std::vector<RunAttemptAction> &actions);
    void read(const TapPointer &tap);
    void write(const TapPointer &tap, const WriteRecord &action);
    void askCreator(const TapPointer &tap, const AskCreator &question);
    void dispatch(const TapPointer &tap);
    void pump(const std::string &page);
    void report(const std::vector<ChangeReport> &reports);

    SimNode &m_node;
    std::map<std::string, RunPageCommitter> m_pages;
    std::set<std::string> m_reading;
    std::map<std::uint64_t, TapPointer> m_tickets;
    std::map<RequestId, AttemptStatus> m_words;
    std::uint64_t m_nextTicket = 1;
    std::uint64_t m_nextAttempt = 1;
};

}
