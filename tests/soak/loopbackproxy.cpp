#include "soak/loopbackproxy.h"

#include "transport/socketaddress.h"

#include <utility>

namespace Apricot {

namespace {

constexpr absl::Duration delay = absl::Milliseconds(120);

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

void LoopbackProxy::setHarm(PathHarm harm)
{
    m_harm = harm;
    const std::list<PairRef> pairs = m_pairs;
    for (const PairRef &pair : pairs) {
        if (harm == PathHarm::Reset || (harm == PathHarm::None && pair->hasLost && !pair->isSilent)) {
            abort(pair);
        }
        pair->isSilent = pair->isSilent || harm == PathHarm::Silence;
    }
}

void LoopbackProxy::accept(const std::shared_ptr<TcpConnection> &near)
{
    const std::optional<sockaddr_in> target = parseSocketAddress(m_target);
    if (m_harm == PathHarm::Reset || !target) {
        near->abort();
        return;
    }
    const PairRef pair = std::make_shared<Pair>();
    m_pairs.push_back(pair);
    pair->near = near;
    pair->far = TcpConnection::connect(m_loop, *target, TcpTimeouts(), callbacksOf(pair, false));
    near->setCallbacks(callbacksOf(pair, true));
}

TcpConnection::Callbacks LoopbackProxy::callbacksOf(const PairRef &pair, bool fromNear)
{
    TcpConnection::Callbacks callbacks;
    callbacks.onData = [this, pair, fromNear](std::string_view bytes) {
        pass(pair, fromNear, bytes);
    };
    callbacks.onClosed = [this, pair, fromNear](TcpCloseReason how) {
        end(pair, fromNear, how);
    };
    return callbacks;
}

void LoopbackProxy::pass(const PairRef &pair, bool fromNear, std::string_view bytes)
{
    const bool isCut = m_harm == (fromNear ? PathHarm::CutForth : PathHarm::CutBack);
    if (pair->isSilent || pair->hasLost || isCut) {
        pair->hasLost = true;
        return;
    }
    const std::shared_ptr<TcpConnection> &to = fromNear ? pair->far : pair->near;
    if (m_harm != PathHarm::Delay && pair->late == 0) {
        to->write(bytes);
        return;
    }
    ++pair->late;
    m_loop.after(delay, [pair, to, kept = std::string(bytes)] {
        --pair->late;
        if (to->isOpen()) {
            to->write(kept);
        }
    });
}

void LoopbackProxy::end(const PairRef &pair, bool fromNear, TcpCloseReason how)
{
    const std::shared_ptr<TcpConnection> other = fromNear ? pair->far : pair->near;
    m_pairs.remove(pair);
    const auto finish = [other, how] {
        how == TcpCloseReason::ClosedByPeer ? other->close() : other->abort();
    };
    if (pair->isSilent || pair->hasLost) {
        other->abort();
    } else if (m_harm == PathHarm::Delay || pair->late > 0) {
        // After what was delayed before it.
        m_loop.after(2 * delay, finish);
    } else {
        finish();
    }
}

void LoopbackProxy::abort(const PairRef &pair)
{
    const PairRef kept = pair;
    m_pairs.remove(kept);
    kept->near->abort();
    if (kept->far) {
        kept->far->abort();
    }
}

}
