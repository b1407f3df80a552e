#include "protocol/httpmessage.h"
#include "state/abslview.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace Apricot {

namespace {

/// Headers that concern one connection, and the length, which is set anew.
constexpr std::array<std::string_view, 9> connectionHeaders{
    "connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "trailer", "upgrade", "content-length", "expect"};

bool contains(const std::vector<std::string_view> &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view it) { return absl::EqualsIgnoreCase(abslView(it), abslView(name)); });
}

void appendHeaders(std::string &text, const HttpHeaders &headers)
{
    for (const HttpHeader &header : headers) {
        absl::StrAppend(&text, header.name, ": ", header.value, "\r\n");
    }
}

std::string statusLine(const HttpResponseHead &head)
{
    return absl::StrCat("HTTP/1.1 ", head.status, " ", head.reason, "\r\n");
}

}

std::string_view headerValue(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (absl::EqualsIgnoreCase(header.name, abslView(name))) {
            return header.value;
        }
    }
    return ""; // A view of nothing would be split into no parts at all.
}

bool hasHeader(const HttpHeaders &headers, std::string_view name)
{
    return std::any_of(headers.begin(), headers.end(),
                       [&](const HttpHeader &it) { return absl::EqualsIgnoreCase(it.name, abslView(name)); });
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers, const std::vector<std::string_view> &kept)
{
    std::vector<std::string_view> dropped(connectionHeaders.begin(), connectionHeaders.end());
    for (const HttpHeader &header : headers) {
        if (!absl::EqualsIgnoreCase(header.name, "connection")) {
            continue;
        }
        for (const absl::string_view part : absl::StrSplit(header.value, ',')) {
            const std::string_view name = stdView(absl::StripAsciiWhitespace(part));
            if (!contains(kept, name)) {
                dropped.push_back(name);
            }
        }
    }
    HttpHeaders found;
    for (const HttpHeader &header : headers) {
        if (!contains(dropped, header.name)) {
            found.push_back(header);
        }
    }
    return found;
}

std::string encodeHttpRequest(const HttpRequestHead &head, std::string_view body)
{
    std::string text = absl::StrCat(head.method, " ", head.target, " HTTP/1.1\r\n");
    appendHeaders(text, head.headers);
    const bool bodyIsUsual = head.method != "GET" && head.method != "HEAD" && head.method != "DELETE";
    if (!body.empty() || bodyIsUsual) {
        absl::StrAppend(&text, "Content-Length: ", body.size(), "\r\n");
    }
    absl::StrAppend(&text, head.keepAlive ? "" : "Connection: close\r\n", "\r\n", abslView(body));
    return text;
}

std::string encodeHttpResponse(const HttpResponseHead &head, std::string_view body, bool bodyIsSent)
{
    std::string text = statusLine(head);
    appendHeaders(text, head.headers);
    const bool hasBody = head.status != 204 && head.status != 304;
    if (hasBody) {
        absl::StrAppend(&text, "Content-Length: ", body.size(), "\r\n");
    }
    absl::StrAppend(&text, head.keepAlive ? "" : "Connection: close\r\n", "\r\n");
    if (hasBody && bodyIsSent) {
        text.append(body);
    }
    return text;
}

std::string encodeChunkedHead(const HttpResponseHead &head)
{
    std::string text = statusLine(head);
    appendHeaders(text, head.headers);
    absl::StrAppend(&text, "Transfer-Encoding: chunked\r\n", head.keepAlive ? "" : "Connection: close\r\n", "\r\n");
    return text;
}

std::string encodeChunk(std::string_view data)
{
    return absl::StrCat(absl::Hex(data.size()), "\r\n", abslView(data), "\r\n");
}

}
