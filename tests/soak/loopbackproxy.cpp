#include "soak/loopbackproxy.h"

#include "transport/socketaddress.h"

#include <utility>

namespace Apricot {

namespace {

constexpr absl::Duration forwardDelay = absl::Milliseconds(120);

}

LoopbackProxy::LoopbackProxy(EventLoop &loop, std::string target)
    : m_loop(loop)
    , m_target(std::move(target))
    , m_listener(std::make_unique<TcpListener>(loop, "127.0.0.1:0", AddressSharing::Exclusive, TcpTimeouts(),
                                               [this](const std::shared_ptr<TcpConnection> &it) { accept(it); }))
{
}

LoopbackProxy::~LoopbackProxy()
{
    while (!m_pairs.empty()) {
        abort(m_pairs.front());
    }
}

std::string LoopbackProxy::address() const
{
    return "127.0.0.1:" + std::to_string(m_listener->port());
}

void LoopbackProxy::setTarget(const std::string &target)
{
    m_target = target;
}

void LoopbackProxy::setFault(PathFault fault)
{
    m_fault = fault;
    const std::list<ConnectionPairRef> pairs = m_pairs;
    for (const ConnectionPairRef &pair : pairs) {
        if (fault == PathFault::Reset || (fault == PathFault::None && pair->hasLostData && !pair->isStalled)) {
            abort(pair);
        }
        pair->isStalled = pair->isStalled || fault == PathFault::StallOpen;
    }
}

void LoopbackProxy::accept(const std::shared_ptr<TcpConnection> &client)
{
    const std::optional<sockaddr_in> target = parseSocketAddress(m_target);
    if (m_fault == PathFault::Reset || !target) {
        client->abort();
        return;
    }
    const ConnectionPairRef pair = std::make_shared<ConnectionPair>();
    m_pairs.push_back(pair);
    pair->client = client;
    pair->upstream = TcpConnection::connect(m_loop, *target, TcpTimeouts(), makeCallbacks(pair, false));
    client->setCallbacks(makeCallbacks(pair, true));
}

TcpConnection::Callbacks LoopbackProxy::makeCallbacks(const ConnectionPairRef &pair, bool fromClient)
{
    TcpConnection::Callbacks callbacks;
    callbacks.onData = [this, pair, fromClient](std::string_view bytes) {
        forward(pair, fromClient, bytes);
    };
    callbacks.onClosed = [this, pair, fromClient](TcpCloseReason reason) {
        handleClosed(pair, fromClient, reason);
    };
    return callbacks;
}

void LoopbackProxy::forward(const ConnectionPairRef &pair, bool fromClient, std::string_view bytes)
{
    const bool isDropped = m_fault == (fromClient ? PathFault::DropRequests : PathFault::DropResponses);
    if (pair->isStalled || pair->hasLostData || isDropped) {
        pair->hasLostData = true;
        return;
    }
    const std::shared_ptr<TcpConnection> &to = fromClient ? pair->upstream : pair->client;
    if (m_fault != PathFault::Delay && pair->delayedWrites == 0) {
        to->write(bytes);
        return;
    }
    ++pair->delayedWrites;
    m_loop.after(forwardDelay, [pair, to, copy = std::string(bytes)] {
        --pair->delayedWrites;
        if (to->isOpen()) {
            to->write(copy);
        }
    });
}

void LoopbackProxy::handleClosed(const ConnectionPairRef &pair, bool fromClient, TcpCloseReason reason)
{
    const std::shared_ptr<TcpConnection> other = fromClient ? pair->upstream : pair->client;
    m_pairs.remove(pair);
    const auto finish = [other, reason] {
        reason == TcpCloseReason::ClosedByPeer ? other->close() : other->abort();
    };
    if (pair->isStalled || pair->hasLostData) {
        other->abort();
    } else if (m_fault == PathFault::Delay || pair->delayedWrites > 0) {
        // Closes after the delayed data has been forwarded.
        m_loop.after(2 * forwardDelay, finish);
    } else {
        finish();
    }
}

void LoopbackProxy::abort(const ConnectionPairRef &pair)
{
    const ConnectionPairRef removed = pair;
    m_pairs.remove(removed);
    removed->client->abort();
    if (removed->upstream) {
        removed->upstream->abort();
    }
}

}
