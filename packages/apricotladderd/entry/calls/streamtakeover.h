#pragma once

#include "coordination/servicepool.h"
#include "transport/connectionpool.h"
#include "transport/eventloop.h"
#include "transport/httpexchange.h"

#include <functional>
#include <memory>

namespace Apricot {

/**
 * \class StreamTakeover
 * \brief Asks another engine to continue a stream whose engine is silent, without giving up the silent one first: it may be sound and
 * go on, and the other one may decline.
 *
 * The other engine has accepted the stream once it has begun its response, or has not declined for a short time. That time is short
 * because from then on both engines may work on the stream.
 */
class StreamTakeover : public std::enable_shared_from_this<StreamTakeover>
{
public:
    struct Callbacks
    {
        std::function<void()> onSent; ///< from now on the engine may have received the request
        std::function<void()> onAccepted; ///< the callbacks of the stream follow
        std::function<void(const HttpResponseHead &, ExchangeOutcome)> onDeclined; ///< the engine does not continue the stream
        HttpExchange::Callbacks stream; ///< gets the response after onAccepted
    };

    /// Sends \a request to the decode engine of \a placement. The callbacks run later, on the loop's thread; none runs after cancel().
    static std::shared_ptr<StreamTakeover> start(EventLoop &loop, ConnectionPool &pool, ModelPlacement placement, ExchangeRequest request,
                                                 Callbacks callbacks);

    /// Passes the response on to the callbacks of the stream from now on, whether the engine has accepted or not.
    void adopt();

    /// Ends the request to the engine.
    void cancel();

    const ModelPlacement &placement() const
    {
        return m_placement;
    }

    /// The exchange with the engine, which belongs to the stream once the engine has accepted.
    const std::shared_ptr<HttpExchange> &exchange() const
    {
        return m_exchange;
    }

private:
    StreamTakeover(EventLoop &loop, ModelPlacement placement, Callbacks callbacks);

    HttpExchange::Callbacks exchangeCallbacks();
    void accept();
    void handleHead(const HttpResponseHead &head);
    void handleEnded(ExchangeOutcome outcome);

    EventLoop &m_loop;
    ModelPlacement m_placement;
    Callbacks m_callbacks;
    std::shared_ptr<HttpExchange> m_exchange;
    HttpResponseHead m_head;
    TimerId m_acceptTimer = 0;
    bool m_isAccepted = false;
};

}
