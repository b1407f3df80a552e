#pragma once

#include "randomrun/simclock.h"

#include "state/event.h"
#include "state/name.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Apricot::Sim {

/// Token number \a offset of the answer to a request.
std::string tokenOf(const RequestId &id, std::int64_t offset);

/// Length of the answer to a request.
std::int64_t lengthOf(const RequestId &id, std::int64_t maxTokens);

/// What a reader of a stream is told.
struct StreamPart
{
    enum class Kind { Opened, Token, Done, Broken, Refused, NotConnected };
    Kind kind = Kind::Token;
    std::int64_t offset = 0;
    std::string token;
    std::uint64_t attempt = 0;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
};

using StreamReader = std::function<void(const StreamPart &)>;

/**
 * \class SimEngine
 * \brief Fake engine: prefill results that expire, streams that go on by themselves, memory in pieces, lost connections.
 */
class SimEngine
{
public:
    SimEngine(SimClock &clock, EngineId id, std::int64_t slots, std::int64_t pieces);

    const EngineId &id() const
    {
        return m_id;
    }

    /// Runs a prefill; \a done gets the handle, or an empty one if the engine is gone.
    void prefill(const RequestId &request, std::int64_t tokens, std::function<void(std::string handle, absl::Duration took)> done);

    /// Takes a result over from \a source and streams from \a offset.
    void decode(const RequestId &request, std::uint64_t attempt, SimEngine &source, const std::string &handle, std::int64_t promptTokens,
                std::int64_t maxTokens, std::int64_t offset, StreamReader reader);

    /// Opens a new connection to a stream.
    void resume(const RequestId &request, std::int64_t offset, StreamReader reader);

    void cancel(const RequestId &request, std::uint64_t attempt);

    /// What the engine says of itself; returns false if it does not answer.
    bool report(EngineReported *report);

    void kill();
    void restart();
    void setLeaving(absl::Time at);

    /// Connections that are open now give no byte any more.
    void silenceConnections();

    /// Take-overs need this much longer until \a until.
    void stallTransfers(absl::Time until);

    std::int64_t piecesInUse();

    bool isAlive() const
    {
        return m_alive;
    }

private:
    struct Stream
    {
        std::uint64_t attempt = 0;
        std::int64_t promptTokens = 0;
        std::int64_t maxTokens = 0;
        std::int64_t first = 0;
        std::int64_t total = 0;
        absl::Time started;
        bool holdsMemory = true;
        bool cancelled = false;
    };

    struct Result
    {
        std::int64_t tokens = 0;
        absl::Time expires;
    };

    struct Connection
    {
        std::shared_ptr<Stream> stream;
        RequestId request;
        std::int64_t next = 0;
        bool silent = false;
        std::uint64_t epoch = 0;
        StreamReader reader;
    };

    void serve(const std::shared_ptr<Connection> &connection);
    void refuse(const StreamReader &reader, StreamPart::Kind kind);
    void checkNotLeaving(const RequestId &request) const;
    std::int64_t tokensNow(const Stream &stream) const;
    std::int64_t running();
    void sweep();

    SimClock &m_clock;
    EngineId m_id;
    std::int64_t m_slots;
    std::int64_t m_pieces;
    bool m_alive = true;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nextHandle = 0;
    absl::Time m_busyUntil;
    absl::Time m_leavingSince = absl::InfiniteFuture();
    absl::Time m_stalledUntil = absl::InfinitePast();
    std::map<std::string, Result> m_results;
    std::map<RequestId, std::shared_ptr<Stream>> m_streams;
    std::vector<std::weak_ptr<Connection>> m_connections;
};

}
