#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

/// One header line.
struct HttpHeader
{
    std::string name; ///< as it was sent
    std::string value;

    friend bool operator==(const HttpHeader &, const HttpHeader &) = default;
};

/// Headers in the order in which they were sent.
using HttpHeaders = std::vector<HttpHeader>;

/// First line and headers of a request.
struct HttpRequestHead
{
    std::string method;
    std::string target; ///< path and query, as they were sent
    HttpHeaders headers;
    bool keepAlive = true; ///< the connection may be used for another request

    friend bool operator==(const HttpRequestHead &, const HttpRequestHead &) = default;
};

/// First line and headers of an answer.
/// Status of an answer that is a success with a body.
inline constexpr int statusOk = 200;

struct HttpResponseHead
{
    int status = 0;
    std::string reason;
    HttpHeaders headers;
    bool keepAlive = true; ///< the connection may be used for another request
    bool endsWithConnection = false; ///< the body has neither a length nor chunks

    friend bool operator==(const HttpResponseHead &, const HttpResponseHead &) = default;
};

/// Value of the first header called \a name, whatever its case; empty if there is none.
std::string_view headerValue(const HttpHeaders &headers, std::string_view name);

/// Whether a header called \a name is there.
bool hasHeader(const HttpHeaders &headers, std::string_view name);

/// The parts of a header that lists them with commas, without the blanks around them.
std::vector<std::string_view> headerParts(std::string_view value);

/// Usual words for a status; empty for an unknown one.
std::string_view reasonPhrase(int status);

/// Leaves out what concerns only one connection: Connection and what it names, Keep-Alive, Transfer-Encoding and the like,
/// and Content-Length, which the writer sets itself. A Connection header cannot take out what a name in \a kept says.
HttpHeaders endToEndHeaders(const HttpHeaders &headers, const std::vector<std::string_view> &kept);

/// A request with its whole body.
std::string encodeHttpRequest(const HttpRequestHead &head, std::string_view body);

/// An answer with its whole body; \a bodyIsSent is false for answers to HEAD, which only have the length.
std::string encodeHttpResponse(const HttpResponseHead &head, std::string_view body, bool bodyIsSent = true);

/// The head of an answer that is sent in chunks.
std::string encodeChunkedHead(const HttpResponseHead &head);

/// One chunk; \a data must not be empty.
std::string encodeChunk(std::string_view data);

/// What follows the last chunk of a complete answer.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

}
