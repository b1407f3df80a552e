#pragma once

#include "randomrun/simnode.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Apricot::Sim {

class SimWorld;

/// How a request ended for its caller.
enum class CallerOutcome { Open, Answered, NotRun, MayHaveRun };

/// What a caller does after its first tokens.
enum class CallerHabit { Stays, Cancels, HangsUpAndResumes, HangsUpForGood };

/**
 * \class SimCaller
 * \brief A caller of one completion: tries other nodes, resumes with the offset, sometimes cancels; checks each token.
 */
class SimCaller : public std::enable_shared_from_this<SimCaller>
{
public:
    SimCaller(SimWorld &world, SimRequest request, CallerHabit habit);

    void start();

    CallerOutcome outcome() const
    {
        return m_outcome;
    }

    int resumes() const
    {
        return m_resumes;
    }

    const SimRequest &request() const
    {
        return m_request;
    }

    /// What happened, for a report of a violation.
    const std::vector<std::string> &story() const
    {
        return m_story;
    }

private:
    void tryNext();
    void closeConnection();
    void take(std::uint64_t connection, const CallerPart &part);
    void takeToken(const CallerPart &part);
    void takeFailure(ErrorKind kind);
    void watchSilence(std::uint64_t connection);
    void tell(const std::string &text);

    SimWorld &m_world;
    SimRequest m_request;
    CallerHabit m_habit;
    CallerOutcome m_outcome = CallerOutcome::Open;
    std::int64_t m_next = 0;
    std::uint64_t m_connection = 0;
    absl::Time m_lastPart;
    int m_tries = 0;
    int m_resumes = 0;
    SimNode *m_node = nullptr;
    std::vector<std::string> m_story;
};

/**
 * \class SimTapper
 * \brief A caller of a non-idempotent call that taps more than once, at different nodes.
 */
class SimTapper : public std::enable_shared_from_this<SimTapper>
{
public:
    SimTapper(SimWorld &world, IdempotencyKey key, int taps);

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
    const std::vector<std::string> &story() const
    {
        return m_story;
    }

private:
    void tapOnce(std::size_t index, int tries);
    void tell(std::size_t index, const std::string &text);

    SimWorld &m_world;
    IdempotencyKey m_key;
    std::vector<CallerOutcome> m_outcomes;
    std::vector<bool> m_unanswered; ///< taps of which an earlier try got no answer
    std::vector<std::string> m_story;
};

}
