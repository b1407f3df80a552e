#pragma once

#include "state/mutex.h"
#include "state/shardedmap.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

/// What a call may suffer.
enum class CallKind : std::uint8_t {
    Read, ///< may run more than once
    Book, ///< must not
    Draft, ///< a stream, must not run more than once
    Resumable, ///< a stream that may go on elsewhere
};

/// The whole answer came.
struct WasAnswered
{
    int status = 0;
    bool isSigned = false; ///< by an engine
    std::string body;
    friend bool operator==(const WasAnswered &, const WasAnswered &) = default;
};

/// The connection ended before the whole answer.
struct WasCutOff
{
    std::string body; ///< what came
    friend bool operator==(const WasCutOff &, const WasCutOff &) = default;
};

/// No connection was made.
struct WasNotSent
{
    friend bool operator==(const WasNotSent &, const WasNotSent &) = default;
};

/// The caller left.
struct WasGivenUp
{
    std::string body; ///< what came
    friend bool operator==(const WasGivenUp &, const WasGivenUp &) = default;
};

using SoakEnd = std::variant<WasNotSent, WasAnswered, WasCutOff, WasGivenUp>;

/// Everything that callers and engines saw of one attempt of a call.
struct SoakCall
{
    std::string attempt;
    CallKind kind = CallKind::Read;
    std::string target;
    std::string body;
    std::size_t node = 0; ///< that it was sent to
    int lifetime = 0; ///< number of that node's process
    bool wasCalm = false; ///< nothing but planned work went on from a while before it until its end
    std::vector<std::string> runs; ///< engines that ran it
    std::vector<std::string> strange; ///< what an engine got that the caller had not sent
    SoakEnd end;

    friend bool operator==(const SoakCall &, const SoakCall &) = default;
};

/// Events of every stream.
inline constexpr int eventsOfStream = 20;

/// Answer of an engine to a call that is answered as a whole.
std::string wholeAnswerOf(const std::string &attempt);

/// One event of the stream that an engine makes.
std::string eventOf(const std::string &attempt, int id);

/// Whether the node made the answer that a caller got, or cut it off.
bool isFailureOfNode(const SoakCall &call);

/// Says which promises were broken to one caller; empty if none.
std::vector<std::string> brokenPromises(const SoakCall &call);

/**
 * \class SoakLedger
 * \brief What callers sent and saw, and what engines got, call by call, in shards under their own locks.
 */
class SoakLedger
{
public:
    void sent(const SoakCall &call);

    /// Takes in that \a engine runs a call.
    void ran(const std::string &attempt, const std::string &engine, const std::string &target, const std::string &body);

    void ended(const std::string &attempt, const SoakEnd &end, bool wasCalm);

    /// All broken promises, each with the attempt.
    std::vector<std::string> brokenPromises() const;

    /// Calls that a node has ended itself with an error, or cut off.
    std::vector<SoakCall> failedByNodes() const;

    /// Counts of calls, by how they ended.
    std::string summary() const;

private:
    ShardedMap<std::string, SoakCall, 8> m_calls;
};

}
