#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

/// One header line.
struct HttpHeader
{
    std::string name; ///< spelled as it was sent
    std::string value;

    friend bool operator==(const HttpHeader &, const HttpHeader &) = default;
};

/// Headers in the order of the message.
using HttpHeaders = std::vector<HttpHeader>;

/// Request line and headers of a request.
struct HttpRequestHead
{
    std::string method;
    std::string target; ///< path and query, as they were sent
    HttpHeaders headers;
    bool keepAlive = true; ///< the connection may be used for another request

    friend bool operator==(const HttpRequestHead &, const HttpRequestHead &) = default;
};

/// Status of a successful response.
inline constexpr int statusOk = 200;

/// Status line and headers of a response.
struct HttpResponseHead
{
    int status = 0;
    std::string reason;
    HttpHeaders headers;
    bool keepAlive = true; ///< the connection may be used for another request
    bool bodyEndsAtClose = false; ///< the body has neither a length nor chunks, so it ends when the connection is closed

    friend bool operator==(const HttpResponseHead &, const HttpResponseHead &) = default;
};

/// Returns the value of the first header \a name, ignoring case; empty if there is none.
std::string_view headerValue(const HttpHeaders &headers, std::string_view name);

/// Whether there is a header \a name, ignoring case.
bool hasHeader(const HttpHeaders &headers, std::string_view name);

/// Returns the elements of a comma-separated header value without surrounding whitespace.
std::vector<std::string_view> splitHeaderList(std::string_view value);

/// Returns the standard reason phrase of a status; empty if the status is unknown.
std::string_view reasonPhrase(int status);

/// Returns the headers without the hop-by-hop ones (Connection and the headers that it names, Keep-Alive, Transfer-Encoding and
/// similar) and without Content-Length, which the encoding functions add themselves. A header in \a preserved is not removed
/// merely because Connection names it.
HttpHeaders endToEndHeaders(const HttpHeaders &headers, const std::vector<std::string_view> &preserved);

/// Encodes a request with its whole body.
std::string encodeHttpRequest(const HttpRequestHead &head, std::string_view body);

/// Encodes a response with its whole body. \a bodyIsSent is false for responses to HEAD, which only contain the length.
std::string encodeHttpResponse(const HttpResponseHead &head, std::string_view body, bool bodyIsSent = true);

/// Encodes the head of a response that is sent in chunks.
std::string encodeChunkedHead(const HttpResponseHead &head);

/// Encodes one chunk; \a data must not be empty, because an empty chunk ends the body.
std::string encodeChunk(std::string_view data);

/// Terminates the body of a complete chunked response.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

}
