#pragma once

// The platform's store as the users' pages describe it, as far as the nodes use it: lists, watches that end after their "wait-ms", writes
// with and without a revision, 4 ms an answer.

#include "protocol/jsonreader.h"
#include "transport/eventloop.h"
#include "transport/httplistener.h"
#include "transport/thread.h"

#include <algorithm>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Review {

using Apricot::Json;

class Store
{
public:
    Store()
    {
        Apricot::HttpListener::Hooks hooks;
        hooks.onRequest = [this](const Connection &connection, const Apricot::HttpRequestHead &head, const std::string &body) {
            m_loop.after(answerTime(), [this, connection, head, body] { handle(connection, head, body); });
        };
        hooks.limits = [] {
            Apricot::HttpServerLimits limits;
            limits.parse.bodyBytes = 1 << 20;
            return limits;
        };
        m_listener = std::make_unique<Apricot::HttpListener>(m_loop, "127.0.0.1:0", Apricot::AddressSharing::Exclusive, std::move(hooks));
        m_address = "127.0.0.1:" + std::to_string(m_listener->port());
        m_thread = Apricot::Thread("store", [this] { m_loop.run(); });
    }

    ~Store()
    {
        m_loop.stop();
        m_thread.join();
    }

    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    const std::string &address() const
    {
        return m_address;
    }

    /// Writes an object; returns the revision of the change, which has been acknowledged by then.
    std::uint64_t put(const std::string &kind, const std::string &name, const Json &spec)
    {
        return run([&] { return change(kind, name, &spec); });
    }

    std::uint64_t remove(const std::string &kind, const std::string &name)
    {
        return run([&] { return change(kind, name, nullptr); });
    }

    /// Cuts off the watches of \a kind that wait; returns how many. The next ones are served.
    int cutWatches(const std::string &kind)
    {
        return run([&] {
            int n = 0;
            for (const auto &watch : std::exchange(m_watches, {})) {
                if (watch->kind != kind) {
                    m_watches.push_back(watch);
                } else if (!watch->connection->isClosed()) {
                    watch->connection->abort();
                    ++n;
                }
            }
            return n;
        });
    }

    /// Loses the answers to the watches of \a kind from now on; a channel on which an answer is lost returns nothing further. Empty: none.
    void setLosesWatchAnswers(const std::string &kind)
    {
        run([&] {
            m_lostKind = kind;
            return 0;
        });
    }

    /// Number of answers to watches that were sent, and that were lost.
    int watchAnswers()
    {
        return run([&] { return m_watchAnswers; });
    }

    int lostAnswers()
    {
        return run([&] { return static_cast<int>(m_silent.size()); });
    }

private:
    using Connection = Apricot::HttpServerConnection::Ptr;

    static constexpr double answerMs = 4;

    struct Object
    {
        Json spec;
        std::uint64_t revision = 0;
    };

    struct Event
    {
        std::string kind;
        std::uint64_t revision = 0;
        Json json;
    };

    struct Watch
    {
        Connection connection;
        std::string kind;
        std::uint64_t after = 0;
        bool isDone = false;
    };

    static absl::Duration answerTime()
    {
        return absl::Milliseconds(answerMs);
    }

    template<class Function>
    auto run(Function &&function) -> decltype(function())
    {
        std::promise<decltype(function())> done;
        m_loop.post([&] { done.set_value(function()); });
        return done.get_future().get();
    }

    static std::uint64_t queryNumber(const std::string &target, const std::string &key)
    {
        std::size_t at = target.find("?" + key + "=");
        at = at == std::string::npos ? target.find("&" + key + "=") : at;
        return at == std::string::npos ? 0 : std::strtoull(target.c_str() + at + key.size() + 2, nullptr, 10);
    }

    static Json objectJson(const std::string &name, const Json &spec, std::uint64_t revision)
    {
        return Json{{"metadata",
                     {{"name", name}, {"revision", revision}, {"created", 1}, {"finalizers", Json::array()}, {"deletion-pending", false}}},
                    {"spec", spec},
                    {"status", nullptr}};
    }

    static void respond(const Connection &connection, int status, const Json &json)
    {
        if (connection->isClosed()) {
            return;
        }
        Apricot::HttpResponseHead head;
        head.status = status;
        head.reason = std::string(Apricot::reasonPhrase(status));
        head.headers.push_back(Apricot::HttpHeader{"Content-Type", "application/json"});
        connection->respond(std::move(head), Apricot::jsonDump(json));
    }

    std::uint64_t change(const std::string &kind, const std::string &name, const Json *spec)
    {
        auto &objects = m_objects[kind];
        const auto it = objects.find(name);
        if (spec == nullptr && it == objects.end()) {
            return m_revision;
        }
        if (spec != nullptr && it != objects.end() && it->second.spec == *spec) {
            return m_revision; // Changes nothing.
        }
        ++m_revision;
        const Json last = objectJson(name, spec != nullptr ? *spec : it->second.spec, spec != nullptr ? m_revision : it->second.revision);
        if (spec == nullptr) {
            objects.erase(it);
        } else {
            objects[name] = Object{*spec, m_revision};
        }
        m_events.push_back(Event{kind, m_revision, Json{{"object", last}, {"deleted", spec == nullptr}}});
        for (const auto &watch : std::vector<std::shared_ptr<Watch>>(m_watches)) {
            answerWatch(watch, false);
        }
        return m_revision;
    }

    void answerWatch(const std::shared_ptr<Watch> &watch, bool isOver)
    {
        if (watch->isDone || watch->connection->isClosed()) {
            return;
        }
        Json events = Json::array();
        for (const Event &event : m_events) {
            if (event.kind == watch->kind && event.revision > watch->after) {
                events.push_back(event.json);
            }
        }
        if (events.empty() && !isOver) {
            return;
        }
        watch->isDone = true;
        std::erase(m_watches, watch);
        if (watch->kind == m_lostKind) {
            m_silent.push_back(watch->connection);
            return;
        }
        ++m_watchAnswers;
        respond(watch->connection, 200, Json{{"events", events}, {"at", m_revision}});
    }

    void handle(const Connection &connection, const Apricot::HttpRequestHead &head, const std::string &body)
    {
        if (connection->isClosed()) {
            return;
        }
        const std::string path = head.target.substr(0, head.target.find('?'));
        const std::string prefix = "/objects/";
        if (path.compare(0, prefix.size(), prefix) != 0) {
            respond(connection, 404, Json::object());
            return;
        }
        const std::string rest = path.substr(prefix.size());
        const std::string kind = rest.substr(0, rest.find('/'));
        const std::string name = rest.find('/') == std::string::npos ? std::string() : rest.substr(rest.find('/') + 1);
        if (head.method != "GET") {
            write(connection, head, kind, name, body);
        } else if (head.target.find("watch=") != std::string::npos) {
            const auto watch = std::make_shared<Watch>(Watch{connection, kind, queryNumber(head.target, "watch")});
            m_watches.push_back(watch);
            answerWatch(watch, false);
            m_loop.after(absl::Milliseconds(queryNumber(head.target, "wait-ms")), [this, watch] { answerWatch(watch, true); });
        } else {
            Json items = Json::array();
            for (const auto &[itemName, object] : m_objects[kind]) {
                items.push_back(objectJson(itemName, object.spec, object.revision));
            }
            respond(connection, 200, Json{{"items", items}, {"has-more", false}, {"at", m_revision}});
        }
    }

    void write(const Connection &connection, const Apricot::HttpRequestHead &head, const std::string &kind, std::string name,
               const std::string &body)
    {
        const Json json = Json::parse(body, nullptr, false);
        const bool isCreate = head.method == "POST";
        if (isCreate) {
            name = json["metadata"]["name"].get<std::string>();
        }
        auto &objects = m_objects[kind];
        const auto it = objects.find(name);
        if (isCreate == (it != objects.end())) {
            respond(connection, isCreate ? 409 : 404, isCreate ? objectJson(name, it->second.spec, it->second.revision) : Json::object());
            return;
        }
        const std::uint64_t required = queryNumber(head.target, "revision");
        if (!isCreate && required != 0 && required != it->second.revision) {
            respond(connection, 409, objectJson(name, it->second.spec, it->second.revision));
            return;
        }
        if (head.method == "DELETE") {
            change(kind, name, nullptr);
            respond(connection, 200, Json::object());
            return;
        }
        change(kind, name, &json["spec"]);
        respond(connection, isCreate ? 201 : 200, objectJson(name, objects[name].spec, objects[name].revision));
    }

    Apricot::EventLoop m_loop;
    std::unique_ptr<Apricot::HttpListener> m_listener;
    std::string m_address;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    std::vector<std::shared_ptr<Watch>> m_watches;
    std::vector<Connection> m_silent; ///< channels on which an answer was lost
    std::string m_lostKind;
    int m_watchAnswers = 0;
    std::uint64_t m_revision = 10;
    Apricot::Thread m_thread;
};

}
