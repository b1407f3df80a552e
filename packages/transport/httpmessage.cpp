#include "transport/httpmessage.h"

#include <ostream> // Boost 1.81 uses it for its string views without including it

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace Apricot {

namespace {

/// Hop-by-hop headers, and Content-Length, which is set again when the message is encoded.
constexpr std::array<std::string_view, 9> connectionHeaders{
    "connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "trailer", "upgrade", "content-length", "expect"};

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    return begin == std::string_view::npos ? std::string_view() : text.substr(begin, text.find_last_not_of(" \t") + 1 - begin);
}

bool containsName(const std::vector<std::string_view> &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [&](std::string_view it) { return equalsIgnoringCase(it, name); });
}

void appendHeaders(std::string &text, const HttpHeaders &headers)
{
    for (const HttpHeader &header : headers) {
        text.append(header.name).append(": ").append(header.value).append("\r\n");
    }
}

void appendLength(std::string &text, std::size_t length)
{
    text.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
}

std::string statusLine(const HttpResponseHead &head)
{
    return "HTTP/1.1 " + std::to_string(head.status) + " " + head.reason + "\r\n";
}

}

std::string_view headerValue(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (equalsIgnoringCase(header.name, name)) {
            return header.value;
        }
    }
    return ""; // Not a null view, which absl::StrSplit() splits into no parts instead of one empty part.
}

bool hasHeader(const HttpHeaders &headers, std::string_view name)
{
    return std::any_of(headers.begin(), headers.end(), [&](const HttpHeader &it) { return equalsIgnoringCase(it.name, name); });
}

std::vector<std::string_view> splitHeaderList(std::string_view value)
{
    std::vector<std::string_view> parts;
    while (!value.empty()) {
        const std::size_t comma = value.find(',');
        parts.push_back(trimmed(value.substr(0, comma)));
        value.remove_prefix(comma == std::string_view::npos ? value.size() : comma + 1);
    }
    return parts;
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers, const std::vector<std::string_view> &preserved)
{
    std::vector<std::string_view> dropped(connectionHeaders.begin(), connectionHeaders.end());
    for (const HttpHeader &header : headers) {
        if (!equalsIgnoringCase(header.name, "connection")) {
            continue;
        }
        for (const std::string_view name : splitHeaderList(header.value)) {
            if (!containsName(preserved, name)) {
                dropped.push_back(name);
            }
        }
    }
    HttpHeaders remaining;
    for (const HttpHeader &header : headers) {
        if (!containsName(dropped, header.name)) {
            remaining.push_back(header);
        }
    }
    return remaining;
}

std::string encodeHttpRequest(const HttpRequestHead &head, std::string_view body)
{
    std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
    appendHeaders(text, head.headers);
    const bool usuallyHasBody = head.method != "GET" && head.method != "HEAD" && head.method != "DELETE";
    if (!body.empty() || usuallyHasBody) {
        appendLength(text, body.size());
    }
    text.append(head.keepAlive ? "" : "Connection: close\r\n").append("\r\n").append(body);
    return text;
}

std::string encodeHttpResponse(const HttpResponseHead &head, std::string_view body, bool bodyIsSent)
{
    std::string text = statusLine(head);
    appendHeaders(text, head.headers);
    const bool hasBody = head.status != 204 && head.status != 304;
    if (hasBody) {
        appendLength(text, body.size());
    }
    text.append(head.keepAlive ? "" : "Connection: close\r\n").append("\r\n");
    if (hasBody && bodyIsSent) {
        text.append(body);
    }
    return text;
}

std::string encodeChunkedHead(const HttpResponseHead &head)
{
    std::string text = statusLine(head);
    appendHeaders(text, head.headers);
    text.append("Transfer-Encoding: chunked\r\n").append(head.keepAlive ? "" : "Connection: close\r\n").append("\r\n");
    return text;
}

std::string encodeChunk(std::string_view data)
{
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), data.size(), 16).ptr;
    std::string text(digits.data(), end);
    text.append("\r\n").append(data).append("\r\n");
    return text;
}

std::string_view reasonPhrase(int status)
{
    const auto phrase = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return {phrase.data(), phrase.size()};
}

}
