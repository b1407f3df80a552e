#include "apricotladderd/entry/calls/streamtakeover.h"

#include <utility>

namespace Apricot {

namespace {

/// Time after which an engine that has not declined counts as accepting. An engine declines at once.
constexpr absl::Duration acceptTimeout = absl::Milliseconds(300);

}

StreamTakeover::StreamTakeover(EventLoop &loop, ModelPlacement placement, Callbacks callbacks)
    : m_loop(loop)
    , m_placement(std::move(placement))
    , m_callbacks(std::move(callbacks))
{
}

std::shared_ptr<StreamTakeover> StreamTakeover::start(EventLoop &loop, ConnectionPool &pool, ModelPlacement placement,
                                                      ExchangeRequest request, Callbacks callbacks)
{
    std::shared_ptr<StreamTakeover> takeover(new StreamTakeover(loop, std::move(placement), std::move(callbacks)));
    takeover->m_exchange = HttpExchange::start(loop, pool, std::move(request), takeover->exchangeCallbacks());
    return takeover;
}

HttpExchange::Callbacks StreamTakeover::exchangeCallbacks()
{
    const std::shared_ptr<StreamTakeover> self = shared_from_this();
    HttpExchange::Callbacks callbacks;
    callbacks.onSent = [self] {
        self->m_callbacks.onSent();
        self->m_acceptTimer = self->m_loop.after(acceptTimeout, [self] { self->accept(); });
    };
    callbacks.onHead = [self](const HttpResponseHead &head) {
        self->handleHead(head);
    };
    callbacks.onBody = [self](const std::string &chunk) {
        if (self->m_isAccepted) {
            self->m_callbacks.stream.onBody(chunk);
        }
    };
    callbacks.onEnded = [self](ExchangeOutcome outcome) {
        self->handleEnded(outcome);
    };
    return callbacks;
}

void StreamTakeover::adopt()
{
    m_loop.cancel(std::exchange(m_acceptTimer, 0));
    m_isAccepted = true;
}

void StreamTakeover::accept()
{
    if (!m_isAccepted) {
        adopt();
        m_callbacks.onAccepted();
    }
}

void StreamTakeover::cancel()
{
    m_loop.cancel(std::exchange(m_acceptTimer, 0));
    m_exchange->cancel();
}

void StreamTakeover::handleHead(const HttpResponseHead &head)
{
    m_head = head;
    if (head.status == statusOk) {
        accept();
    }
    if (m_isAccepted) {
        m_callbacks.stream.onHead(head);
    }
}

void StreamTakeover::handleEnded(ExchangeOutcome outcome)
{
    m_loop.cancel(std::exchange(m_acceptTimer, 0));
    if (m_isAccepted) {
        m_callbacks.stream.onEnded(outcome);
    } else {
        m_callbacks.onDeclined(m_head, outcome);
    }
}

}
