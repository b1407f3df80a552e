#include "platform/enginestandin.h"

#include <utility>

namespace Apricot {

HttpResponseHead PlatformEngineStandIn::signedHead(const ReceivedRequest &request, int status, const char *contentType)
{
    HttpResponseHead head;
    head.status = status;
    head.reason = std::string(reasonPhrase(status));
    head.headers = {{"Content-Type", contentType},
                    {"Apricotladder-Attempt-Id", request.header("Apricotladder-Attempt-Id")},
                    {"Apricotladder-Response-Signature", "signed"}};
    return head;
}

HttpResponseHead PlatformEngineStandIn::leavingHead(HttpResponseHead head)
{
    head.headers.push_back(HttpHeader{"Server-Leaving", "1"});
    return head;
}

PlatformEngineStandIn::PlatformEngineStandIn(std::string id, Behaviour behaviour)
    : m_id(std::move(id))
    , m_behaviour(std::move(behaviour))
{
    HttpListener::Hooks hooks;
    hooks.onRequest = [this](const HttpServerConnection::Ptr &connection, const HttpRequestHead &head, const std::string &body) {
        handleRequest(connection, ReceivedRequest{head, body, m_loop.now()});
    };
    m_listener = std::make_unique<HttpListener>(m_loop, "127.0.0.1:0", AddressSharing::Exclusive, std::move(hooks));
    m_address = "127.0.0.1:" + std::to_string(m_listener->port());
    m_thread = Thread("engine", [this] { m_loop.run(); });
}

PlatformEngineStandIn::~PlatformEngineStandIn()
{
    m_loop.stop();
    m_thread.join();
}

void PlatformEngineStandIn::handleRequest(const HttpServerConnection::Ptr &connection, ReceivedRequest request)
{
    connection->setPeerClosedHandler([this] {
        pthread_mutex_lock(&m_mutex);
        ++m_abandonedCount;
        pthread_mutex_unlock(&m_mutex);
    });
    pthread_mutex_lock(&m_mutex);
    m_receivedRequests.push_back(request);
    pthread_mutex_unlock(&m_mutex);
    const std::string expected = request.header("Apricotladder-Expected-Instance");
    if (!expected.empty() && expected != id()) {
        HttpResponseHead head;
        head.status = 421;
        head.reason = "Misdirected Request";
        connection->respond(std::move(head), {});
        return;
    }
    m_behaviour(m_loop, connection, request);
}

std::string PlatformEngineStandIn::id() const
{
    pthread_mutex_lock(&m_mutex);
    std::string copy = m_id;
    pthread_mutex_unlock(&m_mutex);
    return copy;
}

void PlatformEngineStandIn::restartAs(const std::string &id)
{
    pthread_mutex_lock(&m_mutex);
    m_id = id;
    pthread_mutex_unlock(&m_mutex);
}

std::vector<ReceivedRequest> PlatformEngineStandIn::receivedRequests() const
{
    pthread_mutex_lock(&m_mutex);
    std::vector<ReceivedRequest> copy = m_receivedRequests;
    pthread_mutex_unlock(&m_mutex);
    return copy;
}

int PlatformEngineStandIn::abandonedCount() const
{
    pthread_mutex_lock(&m_mutex);
    const int n = m_abandonedCount;
    pthread_mutex_unlock(&m_mutex);
    return n;
}

void PlatformEngineStandIn::respondSigned(const HttpServerConnection::Ptr &connection, const ReceivedRequest &request, int status,
                                          const std::string &body)
{
    connection->respond(signedHead(request, status, "text/plain"), body);
}

void PlatformEngineStandIn::respondNotExecuted(const HttpServerConnection::Ptr &connection)
{
    HttpResponseHead head;
    head.status = 503;
    head.reason = "Service Unavailable";
    head.headers = {{"Apricotladder-Not-Executed", "1"}};
    connection->respond(std::move(head), {});
}

void PlatformEngineStandIn::beginEventStream(const HttpServerConnection::Ptr &connection, const ReceivedRequest &request, int first,
                                             int last)
{
    std::string events;
    for (int id = first; id <= last; ++id) {
        events += "id: " + std::to_string(id) + "\ndata: token\n\n";
    }
    connection->beginStream(signedHead(request, 200, "text/event-stream"), events);
}

}
