#include "transport/httpparser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace Apricot {

namespace {

namespace http = boost::beast::http;
using ErrorCode = boost::beast::error_code;

/// Maximum size of a response body, in bytes.
constexpr std::uint64_t maxResponseBodyBytes = 64ULL << 20;

/// Maximum size of a response head, in bytes.
constexpr std::uint32_t maxResponseHeadBytes = 32 * 1024;

/// Statuses of responses. 101 is none that a client of ours could ask for.
constexpr int minStatus = 100;
constexpr int maxStatus = 599;
constexpr int switchingProtocols = 101;

bool isStatus(int status)
{
    return status >= minStatus && status <= maxStatus && status != switchingProtocols;
}

/// Overhead of a header line: an element of Beast's list, and an HttpHeader.
constexpr std::size_t bytesPerHeader = 160;

std::string textOf(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

template<class Message>
HttpHeaders headersOf(const Message &message)
{
    HttpHeaders headers;
    for (const auto &field : message) {
        headers.push_back(HttpHeader{textOf(field.name_string()), textOf(field.value())});
    }
    return headers;
}

ParseState stateOfError(const ErrorCode &ec)
{
    if (ec == http::error::header_limit) {
        return ParseState::HeadTooLarge;
    }
    return ec == http::error::body_limit ? ParseState::BodyTooLarge : ParseState::Malformed;
}

/// Feeds a Beast parser and returns how many of \a bytes belong to its message. Beast needs the whole head, chunk line or trailer in one
/// buffer, so an incomplete one is kept in \a pending, up to \a maxPendingBytes.
template<class Parser>
std::size_t feedParser(Parser &parser, std::string &pending, std::size_t maxPendingBytes, std::string_view bytes, ErrorCode &ec)
{
    const std::size_t before = pending.size();
    std::string_view input = bytes;
    if (before > 0) {
        pending.append(bytes);
        input = pending;
    }
    std::size_t used = 0;
    while (used < input.size() && !parser.is_done()) {
        const std::size_t n = parser.put(boost::asio::buffer(input.data() + used, input.size() - used), ec);
        used += n;
        if (ec == http::error::need_more) {
            ec = {};
            if (before > 0) {
                pending.erase(0, used);
            } else {
                pending = input.substr(used);
            }
            if (pending.size() > maxPendingBytes) {
                ec = http::error::header_limit;
            }
            return bytes.size();
        }
        if (ec) {
            return bytes.size();
        }
        if (n == 0) {
            break;
        }
    }
    const std::size_t usedNewBytes = used - before;
    pending.clear();
    return usedNewBytes;
}

/// Whether the framing of a request is unambiguous, which a proxy must check to prevent request smuggling: at most one length or
/// transfer coding, and no coding other than "chunked".
bool isFramingUnambiguous(const HttpHeaders &headers)
{
    int lengths = 0;
    int encodings = 0;
    for (const HttpHeader &header : headers) {
        if (boost::beast::iequals(header.name, "content-length")) {
            ++lengths;
        } else if (boost::beast::iequals(header.name, "transfer-encoding")) {
            ++encodings;
            if (!boost::beast::iequals(header.value, "chunked")) {
                return false;
            }
        }
    }
    return lengths + encodings <= 1;
}

}

struct HttpRequestParser::Private
{
    explicit Private(const ParseLimits &limits)
        : maxPendingBytes(limits.headBytes)
    {
        parser.header_limit(static_cast<std::uint32_t>(limits.headBytes));
        parser.body_limit(limits.bodyBytes);
        parser.eager(true);
    }

    void storeHead()
    {
        const auto &message = parser.get();
        head.method = textOf(message.method_string());
        head.target = textOf(message.target());
        head.headers = headersOf(message);
        head.keepAlive = message.keep_alive();
        hasHead = true;
        headBytes = head.headers.size() * bytesPerHeader + head.target.size();
        for (const HttpHeader &header : head.headers) {
            headBytes += 2 * (header.name.size() + header.value.size());
        }
        if (!isFramingUnambiguous(head.headers)) {
            state = ParseState::Malformed;
        }
    }

    http::request_parser<http::string_body> parser;
    std::size_t maxPendingBytes;
    std::string pending;
    HttpRequestHead head;
    std::size_t headBytes = 0;
    ParseState state = ParseState::Head;
    bool hasHead = false;
};

HttpRequestParser::HttpRequestParser(const ParseLimits &limits)
    : m_data(std::make_unique<Private>(limits))
{
}

HttpRequestParser::~HttpRequestParser() = default;
HttpRequestParser::HttpRequestParser(HttpRequestParser &&other) noexcept = default;
HttpRequestParser &HttpRequestParser::operator=(HttpRequestParser &&other) noexcept = default;

std::size_t HttpRequestParser::feed(std::string_view bytes)
{
    if (m_data->state != ParseState::Head && m_data->state != ParseState::Body) {
        return 0;
    }
    ErrorCode ec;
    const std::size_t n = feedParser(m_data->parser, m_data->pending, m_data->maxPendingBytes, bytes, ec);
    if (ec == http::error::body_limit && !m_data->hasHead) {
        m_data->storeHead(); // The length in the head exceeds the limit.
    }
    if (ec) {
        m_data->state = stateOfError(ec);
        return n;
    }
    if (m_data->parser.is_header_done() && !m_data->hasHead) {
        m_data->state = ParseState::Body;
        m_data->storeHead();
    }
    if (m_data->state == ParseState::Body && m_data->parser.is_done()) {
        m_data->state = ParseState::Done;
    }
    return n;
}

ParseState HttpRequestParser::state() const
{
    return m_data->state;
}

const HttpRequestHead &HttpRequestParser::head() const
{
    return m_data->head;
}

const std::string &HttpRequestParser::body() const
{
    return m_data->parser.get().body();
}

std::string HttpRequestParser::takeBody()
{
    return std::exchange(m_data->parser.get().body(), std::string());
}

bool HttpRequestParser::hasHead() const
{
    return m_data->hasHead;
}

std::size_t HttpRequestParser::heldBytes() const
{
    return sizeof(Private) + m_data->pending.capacity() + m_data->headBytes + m_data->parser.get().body().size();
}

struct HttpResponseParser::Private
{
    explicit Private(bool hasNoBody)
    {
        parser.header_limit(maxResponseHeadBytes);
        parser.body_limit(maxResponseBodyBytes);
        parser.eager(true);
        parser.skip(hasNoBody);
    }

    void storeHead()
    {
        const auto &message = parser.get();
        head.status = static_cast<int>(message.result_int());
        head.reason = textOf(message.reason());
        head.headers = headersOf(message);
        head.keepAlive = message.keep_alive();
        head.bodyEndsAtClose = parser.need_eof();
        hasHead = true;
    }

    void update()
    {
        if (parser.is_header_done() && !hasHead) {
            storeHead();
            state = isStatus(head.status) ? ParseState::Body : ParseState::Malformed;
        }
        if (state == ParseState::Body && parser.is_done()) {
            state = ParseState::Done;
        }
    }

    http::response_parser<http::string_body> parser;
    std::string pending;
    HttpResponseHead head;
    ParseState state = ParseState::Head;
    bool hasHead = false;
};

HttpResponseParser::HttpResponseParser(bool hasNoBody)
    : m_data(std::make_unique<Private>(hasNoBody))
{
}

HttpResponseParser::~HttpResponseParser() = default;
HttpResponseParser::HttpResponseParser(HttpResponseParser &&other) noexcept = default;
HttpResponseParser &HttpResponseParser::operator=(HttpResponseParser &&other) noexcept = default;

std::size_t HttpResponseParser::feed(std::string_view bytes)
{
    if (m_data->state != ParseState::Head && m_data->state != ParseState::Body) {
        return 0;
    }
    ErrorCode ec;
    const std::size_t n = feedParser(m_data->parser, m_data->pending, maxResponseHeadBytes, bytes, ec);
    if (ec) {
        m_data->state = stateOfError(ec);
        return n;
    }
    m_data->update();
    return n;
}

void HttpResponseParser::finish()
{
    if (m_data->state != ParseState::Body) {
        return;
    }
    ErrorCode ec;
    m_data->parser.put_eof(ec);
    if (ec) {
        m_data->state = stateOfError(ec);
        return;
    }
    m_data->update();
}

ParseState HttpResponseParser::state() const
{
    return m_data->state;
}

const HttpResponseHead &HttpResponseParser::head() const
{
    return m_data->head;
}

std::string HttpResponseParser::takeBody()
{
    std::string &body = m_data->parser.get().body();
    return std::exchange(body, std::string());
}

}
