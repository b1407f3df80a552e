#include "platform/storestandin.h"

#include <algorithm>
#include <future>
#include <utility>

namespace Apricot {

namespace {

Json objectJson(const std::string &name, const Json &spec, std::uint64_t revision)
{
    return Json{{"metadata", {{"name", name}, {"revision", revision}}}, {"spec", spec}, {"status", nullptr}};
}

/// Returns the revision after which a watch wants events; 0 if the target is no watch.
std::uint64_t watchRevision(const std::string &target)
{
    const std::size_t at = target.find("watch=");
    return at == std::string::npos ? 0 : std::stoull(target.substr(at + 6));
}

/// Returns the name after which a list continues; empty for its first page.
std::string listStart(const std::string &target)
{
    const std::string key = "?after=";
    const std::size_t at = target.find(key);
    const std::size_t begin = at + key.size();
    return at == std::string::npos ? std::string() : target.substr(begin, target.find('&', begin) - begin);
}

/// Returns how long a watch waits for a change.
absl::Duration watchDuration(const std::string &target)
{
    const std::string key = "wait-ms=";
    const std::size_t at = target.find(key);
    return at == std::string::npos ? absl::InfiniteDuration() : absl::Milliseconds(std::stoll(target.substr(at + key.size())));
}

const std::string pathPrefix = "/objects/";

std::string kindOf(const std::string &target)
{
    const std::string rest = target.substr(std::min(pathPrefix.size(), target.size()));
    return rest.substr(0, rest.find_first_of("/?"));
}

/// Returns the object name in a request target; empty if the target names a kind only.
std::string nameOf(const std::string &target)
{
    const std::size_t slash = target.find('/', pathPrefix.size());
    return slash == std::string::npos ? std::string() : target.substr(slash + 1, target.find('?') - slash - 1);
}

/// Returns the revision that a conditional write requires; 0 if the write is unconditional.
std::uint64_t requiredRevision(const std::string &target)
{
    const std::size_t at = target.find("revision=");
    return at == std::string::npos ? 0 : std::stoull(target.substr(at + 9));
}

}

PlatformStoreStandIn::PlatformStoreStandIn()
    : m_listener(listen(false))
    , m_restrictedListener(listen(true))
    , m_address("127.0.0.1:" + std::to_string(m_listener->port()))
    , m_restrictedAddress("127.0.0.1:" + std::to_string(m_restrictedListener->port()))
{
    m_thread = Thread("store", [this] { m_loop.run(); });
}

PlatformStoreStandIn::~PlatformStoreStandIn()
{
    m_loop.stop();
    m_thread.join();
}

std::unique_ptr<HttpListener> PlatformStoreStandIn::listen(bool isRestricted)
{
    HttpListener::Hooks hooks;
    hooks.onRequest
        = [this, isRestricted](const HttpServerConnection::Ptr &connection, const HttpRequestHead &head, const std::string &body) {
              handle(connection, head, body, isRestricted);
          };
    return std::make_unique<HttpListener>(m_loop, "127.0.0.1:0", AddressSharing::Exclusive, std::move(hooks));
}

void PlatformStoreStandIn::runOnLoop(std::function<void()> task)
{
    std::promise<void> done;
    m_loop.post([&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

void PlatformStoreStandIn::put(const std::string &kind, const std::string &name, const Json &spec)
{
    runOnLoop([&] { applyChange(kind, name, &spec); });
}

void PlatformStoreStandIn::remove(const std::string &kind, const std::string &name)
{
    runOnLoop([&] { applyChange(kind, name, nullptr); });
}

void PlatformStoreStandIn::putText(const std::string &kind, const std::string &name, const std::string &text)
{
    runOnLoop([&] {
        const std::string placeholder = "text-" + std::to_string(m_specTexts.size());
        m_specTexts["\"" + placeholder + "\""] = text;
        const Json spec = placeholder;
        applyChange(kind, name, &spec);
    });
}

void PlatformStoreStandIn::respondJson(const HttpServerConnection::Ptr &connection, int status, const Json &json) const
{
    HttpResponseHead head;
    head.status = status;
    head.reason = std::string(reasonPhrase(status));
    head.headers.push_back(HttpHeader{"Content-Type", "application/json"});
    std::string body = jsonDump(json);
    for (const auto &[placeholder, text] : m_specTexts) {
        const std::size_t at = body.find(placeholder);
        if (at != std::string::npos) {
            body.replace(at, placeholder.size(), text);
        }
    }
    connection->respond(std::move(head), body);
}

std::vector<std::string> PlatformStoreStandIn::names(const std::string &kind)
{
    std::vector<std::string> found;
    runOnLoop([&] {
        for (const auto &[name, object] : m_objects[kind]) {
            found.push_back(name);
        }
    });
    return found;
}

void PlatformStoreStandIn::setUnavailable(bool unavailable)
{
    runOnLoop([&] {
        m_isUnavailable = unavailable;
        abortWatches(false);
    });
}

void PlatformStoreStandIn::setTurnsAway(bool turnsAway)
{
    runOnLoop([&] {
        m_turnsAway = turnsAway;
        abortWatches(true);
    });
}

void PlatformStoreStandIn::abortWatches(bool onlyRestricted)
{
    for (const PendingWatch &it : std::exchange(m_pendingWatches, {})) {
        if (onlyRestricted && !it.isRestricted) {
            m_pendingWatches.push_back(it);
        } else if (!it.connection->isClosed()) {
            it.connection->abort();
        }
    }
}

void PlatformStoreStandIn::setHoldsWrites(bool holds)
{
    runOnLoop([&] {
        m_holdsWrites = holds;
        if (!holds) {
            for (const HeldWrite &it : std::exchange(m_heldWrites, {})) {
                handleWrite(it.connection, it.head, it.body);
            }
        }
    });
}

void PlatformStoreStandIn::setLosesWatchAnswers(const std::string &kind)
{
    runOnLoop([&] { m_kindWithLostAnswers = kind; });
}

std::size_t PlatformStoreStandIn::watchCount()
{
    std::size_t n = 0;
    runOnLoop([&] {
        std::erase_if(m_pendingWatches, [](const PendingWatch &it) { return it.connection->isClosed(); });
        n = m_pendingWatches.size();
    });
    return n;
}

std::size_t PlatformStoreStandIn::heldWriteCount()
{
    std::size_t n = 0;
    runOnLoop([&] { n = m_heldWrites.size(); });
    return n;
}

void PlatformStoreStandIn::compactHistory()
{
    runOnLoop([&] {
        m_events.clear();
        m_compactedRevision = ++m_revision;
        abortWatches(false);
    });
}

void PlatformStoreStandIn::applyChange(const std::string &kind, const std::string &name, const Json *spec)
{
    ++m_revision;
    const Json json = objectJson(name, spec == nullptr ? Json() : *spec, m_revision);
    if (spec == nullptr) {
        m_objects[kind].erase(name);
    } else {
        m_objects[kind][name] = Object{*spec, m_revision};
    }
    m_events.push_back(Event{kind, m_revision, Json{{"deleted", spec == nullptr}, {"object", json}}});
    std::vector<PendingWatch> pendingWatches = std::exchange(m_pendingWatches, {});
    for (const PendingWatch &it : pendingWatches) {
        if (!it.connection->isClosed() && !tryRespondWatch(it.connection, it.kind, it.afterRevision)) {
            m_pendingWatches.push_back(it);
        }
    }
}

void PlatformStoreStandIn::handle(const HttpServerConnection::Ptr &connection, const HttpRequestHead &head, const std::string &body,
                                  bool isRestricted)
{
    ++m_callCount;
    const std::string kind = kindOf(head.target);
    if (m_isUnavailable || (isRestricted && m_turnsAway)) {
        respondJson(connection, 503, Json::object());
    } else if (head.method != "GET" && m_holdsWrites) {
        m_heldWrites.push_back(HeldWrite{connection, head, body});
    } else if (head.method != "GET") {
        handleWrite(connection, head, body);
    } else if (head.target.find("watch=") == std::string::npos) {
        respondList(connection, kind, listStart(head.target));
    } else if (watchRevision(head.target) < m_compactedRevision) {
        respondJson(connection, 410, Json::object());
    } else if (!tryRespondWatch(connection, kind, watchRevision(head.target))) {
        beginWatch(connection, kind, head.target, isRestricted);
    }
}

void PlatformStoreStandIn::beginWatch(const HttpServerConnection::Ptr &connection, const std::string &kind, const std::string &target,
                                      bool isRestricted)
{
    const std::uint64_t number = ++m_watchCount;
    m_pendingWatches.push_back(PendingWatch{connection, kind, watchRevision(target), isRestricted, number});
    m_loop.after(watchDuration(target), [this, number] { endWatch(number); });
}

void PlatformStoreStandIn::endWatch(std::uint64_t number)
{
    const auto it
        = std::find_if(m_pendingWatches.begin(), m_pendingWatches.end(), [&](const PendingWatch &watch) { return watch.number == number; });
    if (it == m_pendingWatches.end()) {
        return;
    }
    const HttpServerConnection::Ptr connection = it->connection;
    m_pendingWatches.erase(it);
    if (!connection->isClosed()) {
        respondJson(connection, 200, Json{{"events", Json::array()}, {"at", m_revision}});
    }
}

void PlatformStoreStandIn::handleWrite(const HttpServerConnection::Ptr &connection, const HttpRequestHead &head, const std::string &body)
{
    constexpr int ok = 200;
    constexpr int missing = 404;
    constexpr int conflict = 409;
    const std::string kind = kindOf(head.target);
    const Json json = body.empty() ? Json::object() : Json::parse(body);
    const std::string name = head.method == "POST" ? json["metadata"]["name"].get<std::string>() : nameOf(head.target);
    const auto it = m_objects[kind].find(name);
    const bool exists = it != m_objects[kind].end();
    if (exists ? head.method == "POST" : head.method != "POST") {
        exists ? respondObject(connection, conflict, kind, name) : respondJson(connection, missing, Json::object());
        return;
    }
    if (exists && requiredRevision(head.target) != 0 && requiredRevision(head.target) != it->second.revision) {
        respondObject(connection, conflict, kind, name);
        return;
    }
    if (head.method == "DELETE") {
        applyChange(kind, name, nullptr);
        respondJson(connection, ok, Json::object());
        return;
    }
    applyChange(kind, name, &json["spec"]);
    respondObject(connection, ok, kind, name);
}

void PlatformStoreStandIn::respondObject(const HttpServerConnection::Ptr &connection, int status, const std::string &kind,
                                         const std::string &name)
{
    const Object &object = m_objects[kind][name];
    respondJson(connection, status, objectJson(name, object.spec, object.revision));
}

std::size_t PlatformStoreStandIn::specBytes(const Json &spec) const
{
    const auto it = spec.is_string() ? m_specTexts.find(jsonDump(spec)) : m_specTexts.end();
    return it == m_specTexts.end() ? 0 : it->second.size();
}

void PlatformStoreStandIn::respondList(const HttpServerConnection::Ptr &connection, const std::string &kind, const std::string &after)
{
    constexpr std::size_t maxPageBytes = 1'000'000;
    const std::map<std::string, Object> &objects = m_objects[kind];
    Json items = Json::array();
    std::size_t bytes = 0;
    auto it = objects.upper_bound(after);
    for (; it != objects.end() && bytes < maxPageBytes; ++it) {
        items.push_back(objectJson(it->first, it->second.spec, it->second.revision));
        bytes += specBytes(it->second.spec);
    }
    respondJson(connection, 200, Json{{"items", items}, {"has-more", it != objects.end()}, {"at", m_revision}});
}

bool PlatformStoreStandIn::tryRespondWatch(const HttpServerConnection::Ptr &connection, const std::string &kind,
                                           std::uint64_t afterRevision)
{
    Json events = Json::array();
    for (const Event &event : m_events) {
        if (event.kind == kind && event.revision > afterRevision) {
            events.push_back(event.json);
        }
    }
    if (events.empty()) {
        return false;
    }
    if (kind != m_kindWithLostAnswers) {
        respondJson(connection, 200, Json{{"events", events}, {"at", m_revision}});
    }
    return true;
}

}
