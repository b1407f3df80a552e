#include "apricotladderd/entry/storewatch.h"

#include "state/overloaded.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

constexpr int statusGone = 410;

/// Maximum duration of one watch request at the store.
constexpr absl::Duration longestWatch = absl::Seconds(15);

/// Timeout of a call; a watch adds it to its own duration.
constexpr absl::Duration callTimeout = absl::Milliseconds(1500);

constexpr absl::Duration connectTimeout = absl::Milliseconds(400);

/// Backoff after failed calls. Its maximum is low, because a node must be up to date soon after the store recovers.
constexpr absl::Duration firstBackoff = absl::Milliseconds(150);
constexpr absl::Duration longestBackoff = absl::Milliseconds(600);

/// Delay before the next watch after a change. It batches quick successions of changes, each of which would cost every node a
/// call.
constexpr absl::Duration gatherTime = absl::Milliseconds(250);

}

StoreWatch::StoreWatch(EventLoop &loop, ConnectionPool &pool, EntryContext &context, std::string kind, Callbacks callbacks)
    : m_loop(loop)
    , m_pool(pool)
    , m_context(context)
    , m_kind(std::move(kind))
    , m_callbacks(std::move(callbacks))
    , m_backoff(firstBackoff)
{
}

StoreWatch::~StoreWatch()
{
    if (m_question) {
        m_question->cancel();
    }
    m_loop.cancel(m_retry);
}

void StoreWatch::start()
{
    list({});
}

void StoreWatch::refresh()
{
    if (m_question) {
        m_question->cancel();
    }
    m_loop.cancel(std::exchange(m_retry, 0));
    list({});
}

void StoreWatch::call(const char *what, const HttpRequestHead &head, absl::Duration timeout, bool takesKept,
                      std::function<void(const WholeAnswer &)> answered)
{
    ExchangeRequest request;
    request.address = m_context.settings->storeAddress;
    request.key = "store/" + m_kind;
    request.bytes = encodeHttpRequest(head, {});
    request.connectTimeout = connectTimeout;
    request.mostIdle = takesKept ? absl::Seconds(2) : absl::ZeroDuration();
    request.keepFor = absl::Seconds(5);
    m_question = HttpQuestion::ask(m_loop, m_pool, std::move(request), timeout,
                                   [this, what, answered = std::move(answered)](const QuestionEnd &end) {
                                       std::visit(
                                           Overloaded{
                                               answered,
                                               [&](Unanswered why) { failed(what, unansweredText(why)); },
                                           },
                                           end);
                                   });
}

void StoreWatch::list(const std::string &after)
{
    if (after.empty()) {
        m_listedNames.clear();
        m_listRevision = 0;
    }
    call("list", listRequest(m_kind, after, Freshness::Latest), callTimeout, !m_wasOut, [this](const WholeAnswer &answer) {
        if (answer.head.status == statusOk) {
            listAnswered(answer.body);
        } else {
            failed("list", "status " + std::to_string(answer.head.status));
        }
    });
}

void StoreWatch::listAnswered(const std::string &body)
{
    const auto page = collect<StorePage>([&] { return readStorePage(body); });
    if (const auto *error = std::get_if<Error>(&page)) {
        failed("list", error->message);
        return;
    }
    const StorePage &found = std::get<StorePage>(page);
    m_context.metrics.countStoreCall("list", "good");
    // Watching from the lowest revision of all pages also reports what changed while the other pages were read.
    m_listRevision = m_listRevision == 0 ? found.revision : std::min(m_listRevision, found.revision);
    for (const StoreEntry &object : found.objects) {
        m_listedNames.insert(object.name);
        take(object);
    }
    if (found.hasMore && !found.objects.empty()) {
        list(found.objects.back().name);
        return;
    }
    m_revision = m_listRevision;
    const bool afterOutage = m_wasOut;
    m_wasOut = false;
    m_callbacks.listed(m_listedNames, afterOutage);
    succeeded();
    watch();
}

void StoreWatch::watch()
{
    call("watch", watchRequest(m_kind, m_revision, longestWatch), longestWatch + callTimeout, true,
         [this](const WholeAnswer &answer) { watchAnswered(answer); });
}

void StoreWatch::watchAnswered(const WholeAnswer &answer)
{
    if (answer.head.status == statusGone) {
        m_context.metrics.countStoreCall("watch", "history gone");
        m_context.log.add(LogLevel::Warning, "store.historygone", RequestId(),
                          {{"kind", m_kind}, {"revision", static_cast<std::int64_t>(m_revision)}});
        list({});
        return;
    }
    if (answer.head.status != statusOk) {
        failed("watch", "status " + std::to_string(answer.head.status));
        return;
    }
    const auto page = collect<StorePage>([&] { return readStorePage(answer.body); });
    if (const auto *error = std::get_if<Error>(&page)) {
        failed("watch", error->message);
        return;
    }
    const StorePage &found = std::get<StorePage>(page);
    m_context.metrics.countStoreCall("watch", "good");
    for (const StoreEntry &object : found.objects) {
        take(object);
    }
    m_revision = std::max(m_revision, found.revision);
    succeeded();
    if (found.objects.empty()) {
        watch();
    } else {
        m_retry = m_loop.after(gatherTime, [this] {
            m_retry = 0;
            watch();
        });
    }
}

void StoreWatch::take(const StoreEntry &object)
{
    if (object.deleted) {
        m_callbacks.removed(object.name);
    } else {
        m_callbacks.changed(object);
    }
}

void StoreWatch::succeeded()
{
    m_backoff = firstBackoff;
    if (!m_inTouch) {
        m_inTouch = true;
        m_context.log.add(LogLevel::Info, m_everInTouch ? "store.regained" : "store.reached", RequestId(),
                          {{"kind", m_kind}, {"revision", static_cast<std::int64_t>(m_revision)}});
        m_everInTouch = true;
    }
}

void StoreWatch::failed(const char *what, const std::string &why)
{
    m_context.metrics.countStoreCall(what, "failed");
    m_wasOut = true;
    if (m_inTouch) {
        m_inTouch = false;
        m_context.log.add(
            LogLevel::Warning, "store.lost", RequestId(),
            {{"kind", m_kind}, {"call", std::string(what)}, {"why", why}, {"revision", static_cast<std::int64_t>(m_revision)}});
    }
    m_retry = m_loop.after(m_backoff, [this] {
        m_retry = 0;
        list({});
    });
    m_backoff = std::min(m_backoff * 2, longestBackoff);
}

}
