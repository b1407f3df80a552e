#include "soak/soakserverconnection.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace Apricot {

namespace {

/// Encodes the head of a response whose body ends with the connection.
std::string encodeUnframedHead(const HttpResponseHead &head)
{
    std::string text = absl::StrCat("HTTP/1.1 ", head.status, " ", head.reason, "\r\n");
    for (const HttpHeader &it : head.headers) {
        absl::StrAppend(&text, it.name, ": ", it.value, "\r\n");
    }
    return text + "Connection: close\r\n\r\n";
}

}

SoakServerConnection::SoakServerConnection(EventLoop &loop, std::shared_ptr<TcpConnection> connection, std::shared_ptr<const Hooks> hooks)
    : m_loop(loop)
    , m_connection(std::move(connection))
    , m_hooks(std::move(hooks))
    , m_parser(ParseLimits())
{
}

void SoakServerConnection::start()
{
    TcpConnection::Callbacks callbacks;
    callbacks.onData = [self = shared_from_this()](std::string_view bytes) {
        self->handleData(bytes);
    };
    callbacks.onClosed = [self = shared_from_this()](TcpCloseReason) {
        self->handleClosed();
    };
    m_connection->setCallbacks(std::move(callbacks));
}

void SoakServerConnection::handleData(std::string_view bytes)
{
    m_input.append(bytes);
    readRequest();
}

void SoakServerConnection::readRequest()
{
    if (m_hasRequest || m_isClosed || m_input.empty()) {
        return;
    }
    const Ptr self = shared_from_this();
    m_input.erase(0, m_parser.feed(m_input));
    const ParseState state = m_parser.state();
    if (state == ParseState::Done) {
        const HttpRequestHead head = m_parser.head();
        const std::string body = m_parser.body();
        m_parser = HttpRequestParser(ParseLimits());
        m_hasRequest = true;
        m_keepsAlive = head.keepAlive;
        m_hooks->onRequest(self, head, body);
    } else if (state != ParseState::Head && state != ParseState::Body) {
        abort();
    }
}

void SoakServerConnection::setSilent(bool silent)
{
    const Ptr self = shared_from_this();
    m_isSilent = silent;
    while (!m_isSilent && !m_isClosed && !m_heldOutput.empty()) {
        const Output output = std::move(m_heldOutput.front());
        m_heldOutput.pop_front();
        output();
    }
}

void SoakServerConnection::perform(Output output)
{
    if (m_isClosed) {
        return;
    }
    if (m_isSilent) {
        m_heldOutput.push_back(std::move(output));
    } else {
        output();
    }
}

void SoakServerConnection::respond(const HttpResponseHead &head, std::string_view body, BodyFraming framing)
{
    m_framing = framing;
    if (framing == BodyFraming::UntilClose) {
        write(encodeUnframedHead(head) + std::string(body));
    } else {
        write(encodeHttpResponse(head, body));
    }
    perform([self = shared_from_this()] { self->finishResponse(); });
}

void SoakServerConnection::beginStream(const HttpResponseHead &head, BodyFraming framing)
{
    m_framing = framing;
    write(framing == BodyFraming::UntilClose ? encodeUnframedHead(head) : encodeChunkedHead(head));
}

void SoakServerConnection::sendPart(std::string_view part)
{
    write(m_framing == BodyFraming::UntilClose ? std::string(part) : encodeChunk(part));
}

void SoakServerConnection::endStream()
{
    if (m_framing == BodyFraming::Delimited) {
        write(lastChunk);
    }
    perform([self = shared_from_this()] { self->finishResponse(); });
}

void SoakServerConnection::write(std::string_view bytes)
{
    perform([self = shared_from_this(), copy = std::string(bytes)] { self->m_connection->write(copy); });
}

void SoakServerConnection::finishResponse()
{
    m_hasRequest = false;
    if (m_framing == BodyFraming::UntilClose || !m_keepsAlive) {
        close();
        return;
    }
    m_loop.post([self = shared_from_this()] { self->readRequest(); });
}

void SoakServerConnection::close()
{
    perform([self = shared_from_this()] {
        self->m_connection->close();
        self->handleClosed();
    });
}

void SoakServerConnection::abort()
{
    perform([self = shared_from_this()] {
        self->m_connection->abort();
        self->handleClosed();
    });
}

void SoakServerConnection::handleClosed()
{
    const Ptr self = shared_from_this();
    if (!std::exchange(m_isClosed, true)) {
        m_heldOutput.clear();
        m_hooks->onClosed(self);
    }
}

}
