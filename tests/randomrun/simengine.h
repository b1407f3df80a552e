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

/// Returns the token at \a offset of the output for a request.
std::string outputToken(const RequestId &id, std::int64_t offset);

/// Returns the number of tokens in the output for a request.
std::int64_t outputLength(const RequestId &id, std::int64_t maxTokens);

/// One event of an engine's stream.
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

using StreamPartHandler = std::function<void(const StreamPart &)>;

/**
 * \class SimEngine
 * \brief Fake engine with prefill results that expire, streams that continue without a connection, memory counted in pieces (KV
 * cache blocks), and connections that fail.
 */
class SimEngine
{
public:
    SimEngine(SimClock &clock, EngineId id, std::int64_t slots, std::int64_t pieces);

    const EngineId &id() const
    {
        return m_id;
    }

    /// Runs a prefill. Passes the KV handle to \a done, or an empty handle if the engine is down.
    void prefill(const RequestId &request, std::int64_t tokens, std::function<void(std::string handle, absl::Duration took)> done);

    /// Transfers the prefill result from \a source and streams tokens from \a offset.
    void decode(const RequestId &request, std::uint64_t attempt, SimEngine &source, const std::string &handle, std::int64_t promptTokens,
                std::int64_t maxTokens, std::int64_t offset, StreamPartHandler reader);

    /// Opens a new connection to an existing stream and sends its tokens from \a offset.
    void resume(const RequestId &request, std::int64_t offset, StreamPartHandler reader);

    void cancel(const RequestId &request, std::uint64_t attempt);

    /// Fills in the engine's status \a report. Returns false if the engine does not respond.
    bool report(EngineReported *report);

    void kill();
    void restart();
    void setLeaving(absl::Time at);

    /// Stops sending data on all connections that are open now, without closing them.
    void stallConnections();

    /// Delays KV transfers that start before \a until to that time.
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
        std::int64_t firstOffset = 0;
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
        std::int64_t nextOffset = 0;
        bool isStalled = false;
        std::uint64_t epoch = 0;
        StreamPartHandler reader;
    };

    void sendTokens(const std::shared_ptr<Connection> &connection);
    void refuse(const StreamPartHandler &reader, StreamPart::Kind kind);
    void checkNotLeaving(const RequestId &request) const;
    std::int64_t tokensNow(const Stream &stream) const;
    std::int64_t running();
    void removeFinished();

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
