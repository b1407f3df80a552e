#pragma once

#include "transport/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Apricot {

/// Where a parser is in its message.
enum class ParseState {
    Head, ///< the head is not complete
    Body, ///< the head is complete, the body is not
    Done, ///< the message is complete
    Malformed, ///< what came is no message of the protocol
    HeadTooLarge,
    BodyTooLarge,
};

/// Largest head and body that a parser takes, bytes.
struct ParseLimits
{
    std::size_t headBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
};

/**
 * \class HttpRequestParser
 * \brief Reads one request of a caller, by Boost.Beast, with the checks that a forwarder needs on top.
 */
class HttpRequestParser
{
public:
    explicit HttpRequestParser(const ParseLimits &limits);
    ~HttpRequestParser();

    HttpRequestParser(HttpRequestParser &&other) noexcept;
    HttpRequestParser &operator=(HttpRequestParser &&other) noexcept;

    /// Takes bytes in; returns how many belong to this message. Bytes of a next message stay with the caller.
    std::size_t feed(std::string_view bytes);

    ParseState state() const;

    /// Head, from ParseState::Body on.
    const HttpRequestHead &head() const;

    /// Body, at ParseState::Done.
    const std::string &body() const;

    /// Whether anything of the message has come.
    bool hasStarted() const;

private:
    struct Private;
    std::unique_ptr<Private> m_data;
};

/**
 * \class HttpResponseParser
 * \brief Reads one answer, by Boost.Beast, and hands out its body as it comes.
 */
class HttpResponseParser
{
public:
    /// \a hasNoBody for the answer to a HEAD request.
    explicit HttpResponseParser(bool hasNoBody = false);
    ~HttpResponseParser();

    HttpResponseParser(HttpResponseParser &&other) noexcept;
    HttpResponseParser &operator=(HttpResponseParser &&other) noexcept;

    std::size_t feed(std::string_view bytes);

    /// The connection was closed in order: completes a body that ends with the connection.
    void finish();

    ParseState state() const;
    const HttpResponseHead &head() const;

    /// Takes out what has come of the body since the last call.
    std::string takeBody();

private:
    struct Private;
    std::unique_ptr<Private> m_data;
};

}
