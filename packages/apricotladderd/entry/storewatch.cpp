#include "apricotladderd/entry/storewatch.h"

#include "state/overloaded.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

constexpr int statusGone = 410;

/// Maximum duration of one watch request at the store.
constexpr absl::Duration maxWatchDuration = absl::Seconds(15);

/// Timeout of a call; a watch adds it to its own duration.
constexpr absl::Duration callTimeout = absl::Milliseconds(1500);

/// Time for an answer beyond the duration of a short watch, as a part of that duration, and as a multiple of the time that the store took
/// last, which may be slow.
constexpr double answerTimeInIntervals = 0.5;
constexpr double answerTimeMargin = 2;

constexpr absl::Duration connectTimeout = absl::Milliseconds(400);

/// Backoff after failed calls. Its maximum is low, because a node must be up to date soon after the store recovers.
constexpr absl::Duration initialBackoff = absl::Milliseconds(150);
constexpr absl::Duration maxBackoff = absl::Milliseconds(600);

/// Delay before the next watch after a change. It batches quick successions of changes, each of which would cost every node a
/// call.
constexpr absl::Duration batchDelay = absl::Milliseconds(250);

/// Returns the revision of the last change in \a page.
std::uint64_t lastChange(const StorePage &page)
{
    std::uint64_t last = 0;
    for (const StoredObject &object : page.objects) {
        // The revision of a removed object is that of its last state; its removal came later.
        last = std::max(last, object.deleted ? page.revision : object.revision);
    }
    return last;
}

}

StoreWatch::StoreWatch(EventLoop &loop, ConnectionPool &pool, EntryContext &context, std::string kind, Callbacks callbacks)
    : m_loop(loop)
    , m_pool(pool)
    , m_context(context)
    , m_kind(std::move(kind))
    , m_callbacks(std::move(callbacks))
    , m_backoff(initialBackoff)
{
}

StoreWatch::~StoreWatch()
{
    cancelCalls();
}

void StoreWatch::start()
{
    if (!m_started) {
        m_started = true;
        list({});
    }
}

void StoreWatch::pause()
{
    cancelCalls();
    m_started = false;
    m_connected = false;
}

void StoreWatch::refresh()
{
    cancelCalls();
    list({});
}

void StoreWatch::cancelCalls()
{
    if (m_fetch) {
        m_fetch->cancel();
    }
    m_isWatching = false;
    m_loop.cancel(std::exchange(m_nextCallTimer, 0));
}

void StoreWatch::sendCall(const HttpRequestHead &head, absl::Duration timeout, bool mayReuseConnection, HttpFetch::ResultHandler onResult)
{
    ExchangeRequest request;
    request.address = m_context.settings->storeAddress;
    request.poolKey = "store/" + m_kind;
    request.encodedRequest = encodeHttpRequest(head, {});
    request.connectTimeout = connectTimeout;
    request.maxIdleTime = mayReuseConnection ? absl::Seconds(2) : absl::ZeroDuration();
    request.keepAliveTime = absl::Seconds(5);
    m_callStart = m_loop.now();
    m_fetch = HttpFetch::start(m_loop, m_pool, std::move(request), timeout, maxStoreResponseBytes, std::move(onResult));
}

void StoreWatch::list(const std::string &after)
{
    if (after.empty()) {
        m_listedNames.clear();
        m_listRevision = 0;
    }
    sendCall(listRequest(m_kind, after, Freshness::Latest), callTimeout, !m_failedSinceList, [this, after](const FetchResult &result) {
        std::visit(Overloaded{
                       [&](const FullResponse &response) { handleListResponse(response, after); },
                       [&](FetchError why) { handleFailure("list", fetchErrorText(why)); },
                   },
                   result);
    });
}

void StoreWatch::handleListResponse(const FullResponse &response, const std::string &after)
{
    if (response.head.status != statusOk) {
        handleFailure("list", "status " + std::to_string(response.head.status));
        return;
    }
    const auto page = toVariant<StorePage>([&] { return readStorePage(response.body); });
    if (const auto *error = std::get_if<Error>(&page)) {
        handleFailure("list", error->message);
        return;
    }
    const StorePage &found = std::get<StorePage>(page);
    m_context.metrics.countStoreCall("list", "good");
    m_context.metrics.countMalformedEntries(m_kind, found.malformed);
    // Watching from the lowest revision of all pages also reports what changed while the other pages were read.
    m_listRevision = m_listRevision == 0 ? found.revision : std::min(m_listRevision, found.revision);
    for (const StoredObject &object : found.objects) {
        if (m_callbacks.onChanged(object)) {
            m_listedNames.insert(object.name);
        }
    }
    if (found.hasMore && (found.lastName.empty() || found.lastName == after)) {
        handleFailure("list", "a page without a name to continue after");
        return;
    }
    if (found.hasMore) {
        list(found.lastName);
        return;
    }
    m_revision = m_listRevision;
    const bool afterOutage = m_failedSinceList;
    m_failedSinceList = false;
    m_callbacks.onListed(m_listedNames, afterOutage);
    handleSuccess();
    watch();
}

void StoreWatch::watch()
{
    const absl::Duration duration = watchDuration();
    sendCall(watchRequest(m_kind, m_revision, duration), watchTimeout(), true, [this, duration](const FetchResult &result) {
        m_isWatching = false;
        recordAnswerTime(duration);
        std::visit(Overloaded{
                       [&](const FullResponse &response) { handleWatchResponse(response); },
                       [&](FetchError why) { handleWatchError(why); },
                   },
                   result);
    });
    m_isWatching = true;
}

absl::Duration StoreWatch::watchDuration() const
{
    return m_confirmInterval.value_or(maxWatchDuration);
}

absl::Duration StoreWatch::watchTimeout() const
{
    if (!m_confirmInterval) {
        return maxWatchDuration + callTimeout;
    }
    const absl::Duration answerTime = std::max(*m_confirmInterval * answerTimeInIntervals, m_answerTime * answerTimeMargin);
    return *m_confirmInterval + std::min(answerTime, callTimeout);
}

void StoreWatch::recordAnswerTime(absl::Duration duration)
{
    m_answerTime = std::max(m_loop.now() - m_callStart - duration, absl::ZeroDuration());
}

void StoreWatch::setConfirmInterval(std::optional<absl::Duration> interval)
{
    m_confirmInterval = interval;
    // A long watch that has begun before is not waited for.
    if (m_isWatching && interval && m_loop.now() - m_callStart > watchTimeout()) {
        cancelCalls();
        watch();
    }
}

void StoreWatch::repeatWatch()
{
    m_context.metrics.countStoreCall("watch", "silent");
    m_context.log.add(LogLevel::Info, "store.watchsilent", RequestId(),
                      {{"kind", m_kind}, {"revision", static_cast<std::int64_t>(m_revision)}});
    constexpr absl::Duration noWait = absl::Milliseconds(1);
    sendCall(watchRequest(m_kind, m_revision, noWait), callTimeout, false, [this, noWait](const FetchResult &result) {
        recordAnswerTime(noWait);
        std::visit(Overloaded{
                       [&](const FullResponse &response) { handleWatchResponse(response); },
                       [&](FetchError why) { handleFailure("watch", fetchErrorText(why)); },
                   },
                   result);
    });
}

void StoreWatch::handleWatchError(FetchError why)
{
    if (why == FetchError::TimedOut && m_confirmInterval) {
        repeatWatch();
        return;
    }
    if (why != FetchError::TooLong) {
        handleFailure("watch", fetchErrorText(why));
        return;
    }
    // The store has answered, and would answer the same at this revision again. The pages of a list are limited.
    m_context.metrics.countStoreCall("watch", "too long");
    m_context.log.add(LogLevel::Warning, "store.watchtoolong", RequestId(),
                      {{"kind", m_kind}, {"revision", static_cast<std::int64_t>(m_revision)}});
    list({});
}

void StoreWatch::handleWatchResponse(const FullResponse &response)
{
    if (response.head.status == statusGone) {
        m_context.metrics.countStoreCall("watch", "history gone");
        m_context.log.add(LogLevel::Warning, "store.historygone", RequestId(),
                          {{"kind", m_kind}, {"revision", static_cast<std::int64_t>(m_revision)}});
        list({});
        return;
    }
    if (response.head.status != statusOk) {
        handleFailure("watch", "status " + std::to_string(response.head.status));
        return;
    }
    const auto page = toVariant<StorePage>([&] { return readStorePage(response.body); });
    if (const auto *error = std::get_if<Error>(&page)) {
        handleFailure("watch", error->message);
        return;
    }
    const StorePage &found = std::get<StorePage>(page);
    m_context.metrics.countStoreCall("watch", "good");
    m_context.metrics.countMalformedEntries(m_kind, found.malformed);
    for (const StoredObject &object : found.objects) {
        notifyChange(object);
    }
    if (!found.objects.empty()) {
        m_callbacks.onWatched(lastChange(found));
    }
    m_revision = std::max(m_revision, found.revision);
    handleSuccess();
    if (found.objects.empty()) {
        watch();
    } else {
        m_nextCallTimer = m_loop.after(batchDelay, [this] {
            m_nextCallTimer = 0;
            watch();
        });
    }
}

void StoreWatch::notifyChange(const StoredObject &object)
{
    if (object.deleted) {
        m_callbacks.onRemoved(object.name);
    } else {
        m_callbacks.onChanged(object);
    }
}

void StoreWatch::handleSuccess()
{
    m_backoff = initialBackoff;
    if (!m_connected) {
        m_connected = true;
        m_context.log.add(LogLevel::Info, m_wasConnected ? "store.regained" : "store.reached", RequestId(),
                          {{"kind", m_kind}, {"revision", static_cast<std::int64_t>(m_revision)}});
        m_wasConnected = true;
    }
}

void StoreWatch::handleFailure(const char *callName, const std::string &why)
{
    m_context.metrics.countStoreCall(callName, "failed");
    m_failedSinceList = true;
    if (m_connected) {
        m_connected = false;
        m_context.log.add(
            LogLevel::Warning, "store.lost", RequestId(),
            {{"kind", m_kind}, {"call", std::string(callName)}, {"why", why}, {"revision", static_cast<std::int64_t>(m_revision)}});
    }
    m_nextCallTimer = m_loop.after(m_backoff, [this] {
        m_nextCallTimer = 0;
        list({});
    });
    m_backoff = std::min(m_backoff * 2, maxBackoff);
}

}
