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

void answerJson(const HttpServerConnection::Ptr &connection, int status, const Json &json)
{
    HttpResponseHead head;
    head.status = status;
    head.reason = std::string(reasonPhrase(status));
    head.headers.push_back(HttpHeader{"Content-Type", "application/json"});
    connection->respond(std::move(head), jsonDump(json));
}

std::uint64_t watchedSince(const std::string &target)
{
    const std::size_t at = target.find("watch=");
    return at == std::string::npos ? 0 : std::stoull(target.substr(at + 6));
}

const std::string pathPrefix = "/objects/";

std::string kindOf(const std::string &target)
{
    const std::string rest = target.substr(std::min(pathPrefix.size(), target.size()));
    return rest.substr(0, rest.find_first_of("/?"));
}

/// Name in a target of one object.
std::string nameOf(const std::string &target)
{
    const std::size_t slash = target.find('/', pathPrefix.size());
    return slash == std::string::npos ? std::string() : target.substr(slash + 1, target.find('?') - slash - 1);
}

/// Revision that a call is bound to; 0 if it is bound to none.
std::uint64_t boundTo(const std::string &target)
{
    const std::size_t at = target.find("revision=");
    return at == std::string::npos ? 0 : std::stoull(target.substr(at + 9));
}

}

PlatformStoreStandIn::PlatformStoreStandIn()
{
    HttpListener::Hooks hooks;
    hooks.onRequest = [this](const HttpServerConnection::Ptr &connection, const HttpRequestHead &head, const std::string &body) {
        handle(connection, head, body);
    };
    m_listener = std::make_unique<HttpListener>(m_loop, "127.0.0.1:0", AddressSharing::Exclusive, std::move(hooks));
    m_address = "127.0.0.1:" + std::to_string(m_listener->port());
    m_thread = Thread("store", [this] { m_loop.run(); });
}

PlatformStoreStandIn::~PlatformStoreStandIn()
{
    m_loop.stop();
    m_thread.join();
}

void PlatformStoreStandIn::onLoop(std::function<void()> task)
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
    onLoop([&] { change(kind, name, &spec); });
}

void PlatformStoreStandIn::remove(const std::string &kind, const std::string &name)
{
    onLoop([&] { change(kind, name, nullptr); });
}

std::vector<std::string> PlatformStoreStandIn::names(const std::string &kind)
{
    std::vector<std::string> found;
    onLoop([&] {
        for (const auto &[name, object] : m_objects[kind]) {
            found.push_back(name);
        }
    });
    return found;
}

void PlatformStoreStandIn::setUnavailable(bool down)
{
    onLoop([&] {
        m_down = down;
        for (const Waiting &it : std::exchange(m_waiting, {})) {
            if (!it.connection->isClosed()) {
                it.connection->abort();
            }
        }
    });
}

void PlatformStoreStandIn::compactHistory()
{
    onLoop([&] {
        m_events.clear();
        m_forgotten = ++m_revision;
        for (const Waiting &it : std::exchange(m_waiting, {})) {
            if (!it.connection->isClosed()) {
                it.connection->abort();
            }
        }
    });
}

void PlatformStoreStandIn::change(const std::string &kind, const std::string &name, const Json *spec)
{
    ++m_revision;
    const Json json = objectJson(name, spec == nullptr ? Json() : *spec, m_revision);
    if (spec == nullptr) {
        m_objects[kind].erase(name);
    } else {
        m_objects[kind][name] = Object{*spec, m_revision};
    }
    m_events.push_back(Event{kind, m_revision, Json{{"deleted", spec == nullptr}, {"object", json}}});
    std::vector<Waiting> waiting = std::exchange(m_waiting, {});
    for (const Waiting &it : waiting) {
        if (!it.connection->isClosed() && !answerWatch(it.connection, it.kind, it.since)) {
            m_waiting.push_back(it);
        }
    }
}

void PlatformStoreStandIn::handle(const HttpServerConnection::Ptr &connection, const HttpRequestHead &head, const std::string &body)
{
    ++m_calls;
    const std::string kind = kindOf(head.target);
    if (m_down) {
        answerJson(connection, 503, Json::object());
    } else if (head.method != "GET") {
        write(connection, head, body);
    } else if (head.target.find("watch=") == std::string::npos) {
        answerList(connection, kind);
    } else if (watchedSince(head.target) < m_forgotten) {
        answerJson(connection, 410, Json::object());
    } else if (!answerWatch(connection, kind, watchedSince(head.target))) {
        m_waiting.push_back(Waiting{connection, kind, watchedSince(head.target)});
    }
}

void PlatformStoreStandIn::write(const HttpServerConnection::Ptr &connection, const HttpRequestHead &head, const std::string &body)
{
    constexpr int ok = 200;
    constexpr int missing = 404;
    constexpr int conflict = 409;
    const std::string kind = kindOf(head.target);
    const Json json = body.empty() ? Json::object() : Json::parse(body);
    const std::string name = head.method == "POST" ? json["metadata"]["name"].get<std::string>() : nameOf(head.target);
    const auto it = m_objects[kind].find(name);
    const bool isThere = it != m_objects[kind].end();
    if (isThere ? head.method == "POST" : head.method != "POST") {
        isThere ? answerObject(connection, conflict, kind, name) : answerJson(connection, missing, Json::object());
        return;
    }
    if (isThere && boundTo(head.target) != 0 && boundTo(head.target) != it->second.revision) {
        answerObject(connection, conflict, kind, name);
        return;
    }
    if (head.method == "DELETE") {
        change(kind, name, nullptr);
        answerJson(connection, ok, Json::object());
        return;
    }
    change(kind, name, &json["spec"]);
    answerObject(connection, ok, kind, name);
}

void PlatformStoreStandIn::answerObject(const HttpServerConnection::Ptr &connection, int status, const std::string &kind,
                                        const std::string &name)
{
    const Object &object = m_objects[kind][name];
    answerJson(connection, status, objectJson(name, object.spec, object.revision));
}

void PlatformStoreStandIn::answerList(const HttpServerConnection::Ptr &connection, const std::string &kind)
{
    Json items = Json::array();
    for (const auto &[name, object] : m_objects[kind]) {
        items.push_back(objectJson(name, object.spec, object.revision));
    }
    answerJson(connection, 200, Json{{"items", items}, {"has-more", false}, {"at", m_revision}});
}

bool PlatformStoreStandIn::answerWatch(const HttpServerConnection::Ptr &connection, const std::string &kind, std::uint64_t since)
{
    Json events = Json::array();
    for (const Event &event : m_events) {
        if (event.kind == kind && event.revision > since) {
            events.push_back(event.json);
        }
    }
    if (events.empty()) {
        return false;
    }
    answerJson(connection, 200, Json{{"events", events}, {"at", m_revision}});
    return true;
}

}
