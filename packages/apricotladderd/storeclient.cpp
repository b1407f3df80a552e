#include "apricotladderd/storeclient.h"

#include "transport/httpclient.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Maximum wait of a call for the rate limit. The call is sent after this time even if it exceeds the limit.
constexpr absl::Duration maxRateLimitWait = absl::Seconds(2);

/// Whether the store rejected a call without any effect, according to its status code.
bool isRejectedWithoutEffect(int status)
{
    return status == 429 || status == 503;
}

}

StoreClient::StoreClient(std::string url, absl::Duration timeout, NodeMetrics &metrics)
    : m_url(std::move(url))
    , m_timeout(timeout)
    , m_metrics(metrics)
{
}

Result<std::optional<StoredObject>> StoreClient::get(const std::string &kind, const std::string &name)
{
    bool notFound = false;
    BOOST_LEAF_AUTO(body, read("get", absl::StrCat("/objects/", kind, "/", name), m_timeout, &notFound));
    if (notFound) {
        return std::optional<StoredObject>();
    }
    BOOST_LEAF_AUTO(object, decodeStoredObject(body));
    return std::optional<StoredObject>(std::move(object));
}

Result<ObjectList> StoreClient::list(const std::string &kinds)
{
    bool notFound = false;
    BOOST_LEAF_AUTO(body, read("list", absl::StrCat("/objects?kinds=", kinds), m_timeout, &notFound));
    return decodeObjectList(body);
}

Result<ObjectList> StoreClient::watch(const std::string &kinds, std::uint64_t version, absl::Duration wait)
{
    bool notFound = false;
    const std::string path = absl::StrCat("/watch?kinds=", kinds, "&after=", version, "&waitMs=", absl::ToInt64Milliseconds(wait));
    BOOST_LEAF_AUTO(body, read("watch", path, wait + m_timeout, &notFound));
    return decodeObjectList(body);
}

StoreWriteResult StoreClient::put(const std::string &kind, const std::string &name, std::uint64_t ifVersion, const std::string &spec)
{
    return write("PUT", absl::StrCat("/objects/", kind, "/", name, "?ifVersion=", ifVersion), spec);
}

StoreWriteResult StoreClient::putStatus(const std::string &kind, const std::string &name, const std::string &status)
{
    return write("PUT", absl::StrCat("/objects/", kind, "/", name, "/status"), status);
}

StoreWriteResult StoreClient::remove(const std::string &kind, const std::string &name, std::uint64_t ifVersion)
{
    return write("DELETE", absl::StrCat("/objects/", kind, "/", name, "?ifVersion=", ifVersion), {});
}

void StoreClient::setNodeCount(std::size_t nodeCount)
{
    const MutexLock lock(m_mutex);
    m_rateLimiter.setNodeCount(nodeCount);
}

void StoreClient::waitForRateLimit(bool write)
{
    absl::Duration wait;
    {
        const MutexLock lock(m_mutex);
        const absl::Time now = absl::Now();
        wait = write ? m_rateLimiter.acquireWrite(now) : m_rateLimiter.acquireRead(now);
    }
    if (wait > absl::ZeroDuration()) {
        absl::SleepFor(std::min(wait, maxRateLimitWait));
    }
}

Result<std::string> StoreClient::read(const std::string &call, const std::string &path, absl::Duration timeout, bool *notFound)
{
    waitForRateLimit(false);
    HttpCall request;
    request.url = m_url + path;
    request.timeout = timeout;
    HttpReply reply = HttpClient::call(request);
    m_metrics.countStoreCall(call, reply.outcome == CallOutcome::Answered ? std::to_string(reply.status) : "failed");
    *notFound = reply.outcome == CallOutcome::Answered && reply.status == 404;
    if (*notFound) {
        return std::string();
    }
    if (reply.outcome != CallOutcome::Answered || reply.status != 200) {
        return fail(ErrorKind::StoreUnavailable,
                    absl::StrCat("store: ", call, " ", path, ": ",
                                 reply.errorMessage.empty() ? absl::StrCat("status ", reply.status) : reply.errorMessage));
    }
    return std::move(reply.body);
}

StoreWriteResult StoreClient::write(const std::string &method, const std::string &path, const std::string &body)
{
    waitForRateLimit(true);
    HttpCall request;
    request.method = method;
    request.url = m_url + path;
    request.body = body;
    request.timeout = m_timeout;
    request.dedicatedConnection = true;
    const HttpReply reply = HttpClient::call(request);
    m_metrics.countStoreCall("write", reply.outcome == CallOutcome::Answered ? std::to_string(reply.status) : "failed");
    if (reply.outcome == CallOutcome::NotSent) {
        return StoreNotWritten{};
    }
    if (reply.outcome != CallOutcome::Answered) {
        return StoreReplyLost{};
    }
    if (reply.status == 409) {
        return StoreVersionConflict{};
    }
    if (isRejectedWithoutEffect(reply.status) || (reply.status >= 400 && reply.status < 500)) {
        return StoreNotWritten{};
    }
    if (reply.status != 200) {
        return StoreReplyLost{};
    }
    const std::variant<std::uint64_t, Error> version = toVariant<std::uint64_t>([&] { return decodeVersion(reply.body); });
    const auto *number = std::get_if<std::uint64_t>(&version);
    return number != nullptr ? StoreWriteResult(StoreWritten{*number}) : StoreWriteResult(StoreReplyLost{});
}

}
