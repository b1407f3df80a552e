#include "transport/httpclient.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <curl/curl.h>
#include <memory>

namespace Apricot {

namespace {

/// How often a streamed call looks whether its receiver still wants it.
constexpr int streamPollMs = 50;

/// Answers of ordinary calls are cut off at this size, bytes.
constexpr std::size_t mostBodyBytes = 8 * 1024 * 1024;

struct EasyDeleter
{
    void operator()(CURL *easy) const
    {
        curl_easy_cleanup(easy);
    }
};

struct ListDeleter
{
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};

struct MultiDeleter
{
    void operator()(CURLM *multi) const
    {
        curl_multi_cleanup(multi);
    }
};

using Easy = std::unique_ptr<CURL, EasyDeleter>;
using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;
using Multi = std::unique_ptr<CURLM, MultiDeleter>;

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto &body = *static_cast<std::string *>(target);
    if (body.size() + size * count > mostBodyBytes) {
        return 0;
    }
    body.append(data, size * count);
    return size * count;
}

/// A streamed answer on its way.
struct Stream
{
    CURL *easy = nullptr;
    const StreamReceiver *receiver = nullptr;
    std::string errorBody; ///< body of an answer other than 200
    absl::Time lastByte;
    bool stopped = false;
};

std::size_t takePart(char *data, std::size_t size, std::size_t count, void *target)
{
    auto &stream = *static_cast<Stream *>(target);
    const std::string_view part(data, size * count);
    stream.lastByte = absl::Now();
    long status = 0;
    curl_easy_getinfo(stream.easy, CURLINFO_RESPONSE_CODE, &status);
    if (status != 200) {
        stream.errorBody.append(part.substr(0, std::min(part.size(), mostBodyBytes - std::min(stream.errorBody.size(), mostBodyBytes))));
        return size * count;
    }
    if (!(*stream.receiver)(part)) {
        stream.stopped = true;
        return 0;
    }
    return size * count;
}

HeaderList prepare(CURL *easy, const HttpCall &call)
{
    HeaderList headers;
    const auto append = [&](const std::string &line) {
        headers.reset(curl_slist_append(headers.release(), line.c_str()));
    };
    for (const auto &[name, value] : call.headers) {
        append(absl::StrCat(name, ": ", value));
    }
    append("Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(absl::ToInt64Milliseconds(call.connectLimit)));
    if (call.limit != absl::InfiniteDuration()) {
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max(1L, static_cast<long>(absl::ToInt64Milliseconds(call.limit))));
    }
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.c_str());
    }
    if (call.ownConnection) {
        // On a kept connection that has died the library would send the call again by itself.
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers.get());
    return headers;
}

HttpReply settle(CURL *easy, CURLcode code)
{
    HttpReply reply;
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    if (code == CURLE_OK) {
        reply.end = CallEnd::Answered;
        return reply;
    }
    reply.problem = curl_easy_strerror(code);
    double connectSeconds = 0;
    curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME, &connectSeconds);
    const bool neverConnected = code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_URL_MALFORMAT
        || (code == CURLE_OPERATION_TIMEDOUT && connectSeconds == 0);
    reply.end = neverConnected ? CallEnd::NotSent : CallEnd::SentNoAnswer;
    return reply;
}

}

void HttpClient::initialize()
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

HttpReply HttpClient::call(const HttpCall &call)
{
    thread_local Easy easy;
    if (!easy) {
        easy.reset(curl_easy_init());
    }
    curl_easy_reset(easy.get());
    const HeaderList headers = prepare(easy.get(), call);
    std::string body;
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &body);
    const CURLcode code = curl_easy_perform(easy.get());
    HttpReply reply = settle(easy.get(), code);
    reply.body = std::move(body);
    return reply;
}

HttpReply HttpClient::stream(const HttpCall &call, const StreamReceiver &receiver)
{
    const Easy easy(curl_easy_init());
    const HeaderList headers = prepare(easy.get(), call);
    Stream stream{easy.get(), &receiver, {}, absl::Now(), false};
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, takePart);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &stream);
    const Multi multi(curl_multi_init());
    curl_multi_add_handle(multi.get(), easy.get());
    HttpReply reply;
    bool silent = false;
    int running = 1;
    while (running > 0 && !stream.stopped && !silent) {
        curl_multi_perform(multi.get(), &running);
        if (running == 0) {
            break;
        }
        curl_multi_poll(multi.get(), nullptr, 0, streamPollMs, nullptr);
        stream.stopped = stream.stopped || !receiver({});
        silent = absl::Now() - stream.lastByte > call.silenceLimit;
    }
    CURLcode code = CURLE_OK;
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(multi.get(), &left)) {
        code = message->msg == CURLMSG_DONE ? message->data.result : code;
    }
    reply = settle(easy.get(), code);
    reply.body = std::move(stream.errorBody);
    if (stream.stopped) {
        reply.end = CallEnd::Stopped;
    } else if (silent) {
        reply.end = CallEnd::Silent;
        reply.problem = "no byte for the silence limit";
    }
    curl_multi_remove_handle(multi.get(), easy.get());
    return reply;
}

}
