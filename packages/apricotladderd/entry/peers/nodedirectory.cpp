#include "apricotladderd/entry/peers/nodedirectory.h"

#include "platform/objectreader.h"
#include "platform/wirenames.h"
#include "state/overloaded.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

constexpr int statusCreated = 201;
constexpr int statusConflict = 409;
constexpr int statusNotFound = 404;

constexpr absl::Duration listInterval = absl::Seconds(10);
constexpr absl::Duration registerRetryInterval = absl::Seconds(1);
constexpr absl::Duration callTimeout = absl::Milliseconds(1500);

/// Maximum staleness of a list. A list without this node's object is conclusive only this long after registration.
constexpr absl::Duration maxListAge = absl::Seconds(8);

int statusOf(const FetchResult &result)
{
    const auto *response = std::get_if<FullResponse>(&result);
    return response != nullptr ? response->head.status : 0;
}

std::string describe(const FetchResult &result)
{
    return std::visit(Overloaded{
                          [](const FullResponse &it) { return "status " + std::to_string(it.head.status); },
                          [](FetchError why) { return std::string(fetchErrorText(why)); },
                      },
                      result);
}

}

NodeDirectory::NodeDirectory(EventLoop &loop, ConnectionPool &pool, EntryContext &context, PeerLink &peerLink)
    : m_loop(loop)
    , m_pool(pool)
    , m_context(context)
    , m_peerLink(peerLink)
{
}

void NodeDirectory::start()
{
    if (std::exchange(m_isStarted, true) || m_hasLeft) {
        return;
    }
    if (m_ownRevision == 0 && !m_isRegistering) {
        registerSelf();
    }
    if (m_listTimer == 0) {
        list({});
    }
}

void NodeDirectory::pause()
{
    m_isStarted = false;
}

void NodeDirectory::listLater()
{
    m_listTimer = m_loop.after(listInterval, [this] {
        m_listTimer = 0;
        if (m_isStarted) {
            list({});
        }
    });
}

void NodeDirectory::send(const HttpRequestHead &head, const std::string &body, HttpFetch::ResultHandler onResult)
{
    ExchangeRequest request;
    request.address = m_context.settings->storeAddress;
    request.poolKey = "store/" + std::string(Wire::nodesKind);
    request.encodedRequest = encodeHttpRequest(head, body);
    HttpFetch::start(m_loop, m_pool, std::move(request), callTimeout, maxStoreResponseBytes, std::move(onResult));
}

void NodeDirectory::registerSelf()
{
    const std::string &name = m_context.settings->node.text();
    const std::string body = createBody(name, nodeSpec(m_peerLink.self()));
    m_registeredAt = absl::InfiniteFuture();
    m_isRegistering = true;
    send(createRequest(Wire::nodesKind), body, [this, name, body](const FetchResult &created) {
        if (statusOf(created) != statusConflict) {
            handleRegistration("create", created);
            return;
        }
        // A previous incarnation of this node has left its object in the store.
        send(replaceRequest(Wire::nodesKind, name), body, [this](const FetchResult &replaced) { handleRegistration("replace", replaced); });
    });
}

void NodeDirectory::handleRegistration(const char *call, const FetchResult &result)
{
    const int status = statusOf(result);
    m_context.metrics.countStoreCall(call, status == 0 ? "failed" : std::to_string(status));
    m_isRegistering = false;
    if (status == statusOk || status == statusCreated) {
        m_registeredAt = m_loop.now();
        m_ownRevision = std::max(m_ownRevision, writtenRevision(std::get<FullResponse>(result).body));
    }
    if (m_hasLeft) {
        removeSelf();
        return;
    }
    if (status == statusOk || status == statusCreated) {
        return;
    }
    m_context.log.add(LogLevel::Warning, "store.registerfailed", RequestId(), {{"call", std::string(call)}, {"why", describe(result)}});
    m_loop.after(registerRetryInterval, [this] {
        if (!m_hasLeft) {
            registerSelf();
        }
    });
}

void NodeDirectory::list(const std::string &after)
{
    if (after.empty()) {
        m_stored.clear();
    }
    send(listRequest(Wire::nodesKind, after, Freshness::AllowStale), {},
         [this, after](const FetchResult &result) { handleListResponse(result, after); });
}

void NodeDirectory::handleListResponse(const FetchResult &result, const std::string &after)
{
    const bool isGood = statusOf(result) == statusOk;
    m_context.metrics.countStoreCall("list", isGood ? "good" : "failed");
    if (!isGood) {
        m_context.log.add(LogLevel::Warning, "nodes.notlisted", RequestId(), {{"why", describe(result)}});
        listLater();
        return;
    }
    const auto page = toVariant<StorePage>([&] { return readStorePage(std::get<FullResponse>(result).body); });
    if (const auto *error = std::get_if<Error>(&page)) {
        m_context.log.add(LogLevel::Warning, "nodes.malformed", RequestId(), {{"why", error->message}});
        listLater();
        return;
    }
    const StorePage &found = std::get<StorePage>(page);
    addPage(found);
    if (found.hasMore && !found.lastName.empty() && found.lastName != after) {
        list(found.lastName);
        return;
    }
    handleList();
    listLater();
}

void NodeDirectory::addPage(const StorePage &page)
{
    m_context.metrics.countMalformedEntries(std::string(Wire::nodesKind), page.malformed);
    for (const StoredObject &stored : page.objects) {
        const StoreEntry object = parseStoredObject(stored, maxEntrySpecBytes);
        const auto read = toVariant<Member>([&] { return readNode(object); });
        if (const auto *error = std::get_if<Error>(&read)) {
            if (m_malformed.add(object.name, object.revision)) {
                m_context.metrics.countMalformedEntries(std::string(Wire::nodesKind), 1);
                m_context.log.add(LogLevel::Warning, "node.malformed", RequestId(),
                                  {{"entry", MalformedEntries::shortName(object.name)}, {"why", error->message}});
            }
            continue;
        }
        m_stored.push_back(StoredNode{std::get<Member>(read), object.revision});
    }
}

void NodeDirectory::handleList()
{
    std::vector<Member> nodes;
    bool isListed = false;
    for (const StoredNode &it : m_stored) {
        nodes.push_back(it.node);
        if (it.node->id == m_context.settings->node) {
            isListed = true;
            m_ownRevision = std::max(m_ownRevision, it.revision);
        }
    }
    m_peerLink.addListedNodes(nodes);
    if (m_hasLeft) {
        return;
    }
    if (!isListed && m_loop.now() - m_registeredAt > maxListAge) {
        m_context.log.add(
            LogLevel::Info, "store.registeragain", RequestId(),
            {{"why", std::string("its object is missing from the store: other nodes considered this node stale and removed it")}});
        registerSelf();
    }
    removeStaleNodes();
}

void NodeDirectory::removeStaleNodes()
{
    for (const StoredNode &it : m_staleNodes.update(m_stored, m_peerLink.members(), m_context.settings->node, m_loop.now())) {
        const std::string name = it.node->id.text();
        send(removeRequest(Wire::nodesKind, name, it.revision), {}, [this, name](const FetchResult &result) {
            m_context.metrics.countStoreCall("remove", describe(result));
            m_context.log.add(
                LogLevel::Info, "node.removed", RequestId(),
                {{"node", name}, {"silentS", absl::ToDoubleSeconds(StaleNodeTracker::staleAfter)}, {"end", describe(result)}});
        });
    }
}

void NodeDirectory::leave()
{
    m_hasLeft = true;
    m_isLeaving = true;
    // A registration that the store has not answered yet may still be applied; the object is removed after its answer.
    if (!m_isRegistering) {
        removeSelf();
    }
}

void NodeDirectory::removeSelf()
{
    // Conditional on the revision: a delayed removal must not delete the object that this node's next incarnation has written.
    if (m_ownRevision == 0) {
        m_isLeaving = false;
        return;
    }
    const std::string &name = m_context.settings->node.text();
    send(removeRequest(Wire::nodesKind, name, m_ownRevision), {}, [this](const FetchResult &result) {
        const int status = statusOf(result);
        m_isLeaving = false;
        m_context.metrics.countStoreCall("remove", describe(result));
        if (status != statusOk && status != statusNotFound) {
            m_context.log.add(
                LogLevel::Warning, "store.notremoved", RequestId(),
                {{"why", describe(result)}, {"then", std::string("the other nodes remove the object once they consider this node stale")}});
        }
    });
}

}
