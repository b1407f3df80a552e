#pragma once

#include "randomrun/simnode.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Apricot::Sim {

class SimWorld;

/// Outcome of a request as its caller sees it.
enum class CallerOutcome { Open, Answered, NotRun, MayHaveRun };

/// What a caller does after it has received a fixed number of tokens.
enum class CallerBehaviour { Stays, Cancels, DisconnectsAndResumes, Disconnects };

/**
 * \class SimCaller
 * \brief Simulated caller of one completion.
 *
 * Retries at other nodes, resumes at its current offset, cancels or disconnects according to its CallerBehaviour, and checks the
 * offset and the text of each token.
 */
class SimCaller : public std::enable_shared_from_this<SimCaller>
{
public:
    SimCaller(SimWorld &world, SimRequest request, CallerBehaviour behaviour);

    void start();

    CallerOutcome outcome() const
    {
        return m_outcome;
    }

    int resumes() const
    {
        return m_resumeCount;
    }

    const SimRequest &request() const
    {
        return m_request;
    }

    /// What happened, for a report of a violation.
    const std::vector<std::string> &trace() const
    {
        return m_trace;
    }

private:
    void tryNext();
    void closeConnection();
    void handlePart(std::uint64_t connection, const ResponsePart &part);
    void handleToken(const ResponsePart &part);
    void handleFailure(ErrorKind kind);
    void watchIdleTimeout(std::uint64_t connection);
    void appendTrace(const std::string &text);

    SimWorld &m_world;
    SimRequest m_request;
    CallerBehaviour m_behaviour;
    CallerOutcome m_outcome = CallerOutcome::Open;
    std::int64_t m_nextOffset = 0;
    std::uint64_t m_connectionId = 0;
    absl::Time m_lastPartTime;
    int m_attempts = 0;
    int m_resumeCount = 0;
    SimNode *m_node = nullptr;
    std::vector<std::string> m_trace;
};

/**
 * \class SimRunCaller
 * \brief Simulated caller that sends one non-idempotent call one or more times under the same key, to different nodes.
 */
class SimRunCaller : public std::enable_shared_from_this<SimRunCaller>
{
public:
    SimRunCaller(SimWorld &world, IdempotencyKey key, int callCount);

    void start();

    const IdempotencyKey &key() const
    {
        return m_key;
    }

    const std::vector<CallerOutcome> &outcomes() const
    {
        return m_outcomes;
    }

    /// What happened, for a report of a violation.
    const std::vector<std::string> &trace() const
    {
        return m_trace;
    }

private:
    void sendCall(std::size_t index, int attempts);
    void appendTrace(std::size_t index, const std::string &text);

    SimWorld &m_world;
    IdempotencyKey m_key;
    std::vector<CallerOutcome> m_outcomes;
    std::vector<bool> m_unanswered; ///< per call: whether an earlier attempt timed out without a response
    std::vector<std::string> m_trace;
};

}
