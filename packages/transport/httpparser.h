#pragma once

#include "transport/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Apricot {

/// State of a parser.
enum class ParseState {
    Head, ///< the head is not complete
    Body, ///< the head is complete, the body is not
    Done, ///< the message is complete
    Malformed, ///< the input is not a valid message
    HeadTooLarge, ///< the head exceeds the size limit
    BodyTooLarge, ///< the body exceeds the size limit
};

/// Maximum sizes of the head and the body of a request, in bytes.
struct ParseLimits
{
    std::size_t headBytes = 16384;
    std::uint64_t bodyBytes = 4194304;

    friend bool operator==(const ParseLimits &, const ParseLimits &) = default;
};

/**
 * \class HttpRequestParser
 * \brief Parses one request with Boost.Beast, and adds the framing checks that a proxy needs.
 */
class HttpRequestParser
{
public:
    explicit HttpRequestParser(const ParseLimits &limits);
    ~HttpRequestParser();

    HttpRequestParser(HttpRequestParser &&other) noexcept;
    HttpRequestParser &operator=(HttpRequestParser &&other) noexcept;

    /// Parses \a bytes and returns how many of them belong to this message. The caller keeps the rest for the next message.
    std::size_t feed(std::string_view bytes);

    ParseState state() const;

    /// Returns the head; valid from ParseState::Body on, and at ParseState::BodyTooLarge.
    const HttpRequestHead &head() const;

    /// Returns the body; valid at ParseState::Done.
    const std::string &body() const;

    /// Returns the body and removes it from the parser; valid once, at ParseState::Done.
    std::string takeBody();

    /// Whether the head is complete.
    bool hasHead() const;

    /// Number of bytes that this parser holds, the overhead of many short header lines included.
    std::size_t heldBytes() const;

private:
    struct Private;
    std::unique_ptr<Private> m_data;
};

/**
 * \class HttpResponseParser
 * \brief Parses one response with Boost.Beast and provides its body incrementally.
 */
class HttpResponseParser
{
public:
    /// \a hasNoBody is true for the response to a HEAD request.
    explicit HttpResponseParser(bool hasNoBody = false);
    ~HttpResponseParser();

    HttpResponseParser(HttpResponseParser &&other) noexcept;
    HttpResponseParser &operator=(HttpResponseParser &&other) noexcept;

    /// Parses \a bytes and returns how many of them belong to this message.
    std::size_t feed(std::string_view bytes);

    /// Reports an orderly close of the connection, which completes a body without a length.
    void finish();

    ParseState state() const;
    const HttpResponseHead &head() const;

    /// Returns the part of the body that was received since the last call, and removes it from the parser.
    std::string takeBody();

private:
    struct Private;
    std::unique_ptr<Private> m_data;
};

}
