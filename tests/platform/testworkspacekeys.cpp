#include "platform/nodefixture.h"
#include "protocol/cellmessage.h"
#include "transport/httpparser.h"
#include "transport/socketaddress.h"
#include "transport/tcpconnection.h"

#include <glog/logging.h>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

using namespace Apricot;

namespace {

const std::string key = "banfqasnmgkcuyj8pjbv";
const std::string newKey = "k9m68k7b2ex5wa5xwyhk";
const std::string bearer = "Authorization: Bearer ";

Json workspace(const std::string &name, const std::vector<std::string> &keys)
{
    return Json{{"name", name}, {"api-keys", keys}, {"unit", "token_count"}, {"rate-per-s", 0}};
}

/// A desired state that requires keys, with an anonymous route of each kind.
Json keyedState(int version, const Json &workspaces)
{
    Json open = route("/open/", "idempotent", "desk", 1);
    open["anonymous"] = true;
    Json openStream = route("/openstream/", "streaming", "model", 1);
    openStream["anonymous"] = true;
    Json quick = route("/quick/", "streaming", "model", 2);
    quick["itl-target-ms"] = 300;
    Json state = desiredState(version, Json::array({open, openStream, quick}));
    state["tenants"] = workspaces;
    return state;
}

Json oneWorkspace()
{
    return Json::array({workspace("huka270", {key})});
}

/// The text of a request with a forged tenant header and \a headerLines, each without its line end.
std::string requestText(const std::string &path, const std::vector<std::string> &headerLines)
{
    std::string text = "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nApricotladder-Attempt-Id: attempt\r\n";
    text += "Apricotladder-Token-Usage: 100,50\r\napricotladder-tenant: forged\r\nContent-Length: 6\r\n";
    for (const std::string &line : headerLines) {
        text += line + "\r\n";
    }
    return text + "\r\nprompt";
}

/**
 * \class RawCaller
 * \brief A caller that sends arbitrary bytes on one connection.
 */
class RawCaller
{
public:
    explicit RawCaller(const std::string &address)
    {
        TcpConnection::Callbacks callbacks;
        callbacks.onData = [this](std::string_view bytes) {
            if (m_parser) {
                m_parser->feed(bytes);
            }
        };
        callbacks.onClosed = [this](TcpCloseReason) {
            m_isClosed = true;
        };
        m_connection = TcpConnection::connect(m_loop, *parseSocketAddress(address), TcpTimeouts(), std::move(callbacks));
    }

    ~RawCaller()
    {
        m_connection->close();
    }

    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    /// Sends \a bytes and returns the head of the complete response; its status is 0 if there is none.
    HttpResponseHead send(const std::string &bytes)
    {
        m_parser.emplace();
        m_connection->write(bytes);
        bool isLate = false;
        const TimerId timer = m_loop.after(testTimeout, [&] { isLate = true; });
        while (m_parser->state() != ParseState::Done && !m_isClosed && !isLate) {
            m_loop.runOnce();
        }
        m_loop.cancel(timer);
        return m_parser->state() == ParseState::Done ? m_parser->head() : HttpResponseHead();
    }

private:
    EventLoop m_loop;
    std::optional<HttpResponseParser> m_parser;
    std::shared_ptr<TcpConnection> m_connection;
    bool m_isClosed = false;
};

/**
 * \class LogCollector
 * \brief Collects what the nodes of this process log.
 */
class LogCollector : public google::LogSink
{
public:
    LogCollector()
    {
        google::AddLogSink(this);
    }

    ~LogCollector() override
    {
        google::RemoveLogSink(this);
    }

    void send(google::LogSeverity, const char *, const char *, int, const google::LogMessageTime &, const char *message,
              std::size_t n) override
    {
        const std::lock_guard lock(m_mutex);
        m_text.append(message, n);
    }

    std::string text()
    {
        const std::lock_guard lock(m_mutex);
        return m_text;
    }

private:
    std::mutex m_mutex;
    std::string m_text; ///< under m_mutex
};

void streamThreeEvents(EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request)
{
    PlatformEngineStandIn::beginEventStream(connection, request, 1, 3);
    connection->endStream();
}

void failWithoutRunning(EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request)
{
    PlatformEngineStandIn::respondSigned(connection, request, 500, "bad");
}

/**
 * \class PlatformWithKeys
 * \brief Fixture: a platform whose desired state requires keys.
 */
class PlatformWithKeys : public PlatformWithNode
{
public:
    PlatformWithKeys()
    {
        store.put("config", "main", keyedState(3, oneWorkspace()));
    }

    /// Calls the node on a new connection; returns the status.
    int call(const std::string &path, const std::vector<std::string> &headerLines) const
    {
        return RawCaller(node->settings()->callerAddress).send(requestText(path, headerLines)).status;
    }

    int callWithKey(const std::string &path) const
    {
        return call(path, {bearer + key});
    }

    std::size_t requestCount() const
    {
        std::size_t n = 0;
        for (const auto &engine : engines) {
            n += engine->receivedRequests().size();
        }
        return n;
    }

    /// Checks that no request to any engine contains a key, and that each that \a isOfCall names exactly \a workspaceName.
    void checkRequests(const std::string &workspaceName, std::size_t expectedCount) const
    {
        BOOST_TEST(requestCount() == expectedCount);
        for (const auto &engine : engines) {
            for (const ReceivedRequest &request : engine->receivedRequests()) {
                BOOST_TEST(!hasHeader(request.head.headers, "Authorization"));
                const std::string text = encodeHttpRequest(request.head, request.body);
                BOOST_TEST(text.find(key) == std::string::npos, text);
                BOOST_TEST(text.find("forged") == std::string::npos, text);
                int tenants = 0;
                for (const HttpHeader &header : request.head.headers) {
                    tenants += hasHeader({header}, "Apricotladder-Tenant") ? 1 : 0;
                }
                const bool isNamed = !workspaceName.empty() && request.head.method != "DELETE";
                BOOST_TEST(tenants == (isNamed ? 1 : 0));
                BOOST_TEST(request.header("Apricotladder-Tenant") == (isNamed ? workspaceName : std::string()));
            }
        }
    }
};

}

BOOST_FIXTURE_TEST_SUITE(WorkspaceKeys, PlatformWithKeys)

BOOST_AUTO_TEST_CASE(wholeCallsAndTheirRetriesNameTheWorkspaceOnly)
{
    addEngine("i-1", "desk", "", failWithoutRunning);
    addEngine("i-2", "desk", "", failWithoutRunning);
    startNode();
    BOOST_TEST(callWithKey("/read/x") == 500);
    checkRequests("huka270", 2);
}

BOOST_AUTO_TEST_CASE(prefillAndDecodeNameTheWorkspaceOnly)
{
    PlatformEngineStandIn &prefill = addEngine("p-1", "model", "prefill", respondWithKvHandle);
    PlatformEngineStandIn &decode = addEngine("d-1", "model", "decode", streamThreeEvents);
    startNode();
    BOOST_TEST(callWithKey("/draft/x") == 200);
    BOOST_TEST(prefill.receivedRequests().at(0).header("Apricotladder-Inference-Phase") == "prefill");
    BOOST_TEST(!decode.receivedRequests().at(0).header("Apricotladder-Kv-Source").empty());
    checkRequests("huka270", 2);
}

/// The prefill fails, so the decode engine computes it.
BOOST_AUTO_TEST_CASE(localPrefillNamesTheWorkspaceOnly)
{
    addEngine("p-1", "model", "prefill", failWithoutRunning);
    PlatformEngineStandIn &decode = addEngine("d-1", "model", "decode", streamThreeEvents);
    startNode();
    BOOST_TEST(callWithKey("/draft/x") == 200);
    BOOST_TEST(decode.receivedRequests().at(0).header("Apricotladder-Kv-Source").empty());
    checkRequests("huka270", 2);
}

/// The engine breaks off, so another one resumes the stream.
BOOST_AUTO_TEST_CASE(resumptionNamesTheWorkspaceOnly)
{
    std::atomic<int> requests{0};
    const auto respond = [&](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        if (requests++ == 0) {
            PlatformEngineStandIn::beginEventStream(connection, request, 1, 3);
            loop.after(absl::Milliseconds(20), [connection] { connection->abort(); });
        } else {
            PlatformEngineStandIn::beginEventStream(connection, request, 4, 6);
            connection->endStream();
        }
    };
    addEngine("d-1", "model", "decode", respond);
    addEngine("d-2", "model", "decode", respond);
    startNode();
    BOOST_TEST(callWithKey("/again/x") == 200);
    checkRequests("huka270", 2);
}

/// The engine falls silent, so another one takes over while the first one still has the request.
BOOST_AUTO_TEST_CASE(takeoverNamesTheWorkspaceOnly)
{
    std::atomic<int> requests{0};
    const auto respond = [&](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        const bool isFirst = requests++ == 0;
        PlatformEngineStandIn::beginEventStream(connection, request, isFirst ? 1 : 3, isFirst ? 2 : 4);
        if (!isFirst) {
            connection->endStream();
        }
    };
    addEngine("d-1", "model", "decode", respond);
    addEngine("d-2", "model", "decode", respond);
    startNode();
    BOOST_TEST(callWithKey("/quick/x") == 200);
    checkRequests("huka270", 2);
}

/// The decode engine fails, so the KV cache of the prefill is released, by a request without any header of the caller.
BOOST_AUTO_TEST_CASE(releaseOfAHandleNamesNeitherKeyNorWorkspace)
{
    PlatformEngineStandIn &prefill = addEngine("p-1", "model", "prefill", respondWithKvHandle);
    addEngine("d-1", "model", "decode", failWithoutRunning);
    startNode();
    BOOST_TEST(callWithKey("/draft/x") >= 500);
    BOOST_REQUIRE(eventually([&] { return prefill.receivedRequests().size() == 2; }));
    BOOST_TEST(prefill.receivedRequests().at(1).head.method == "DELETE");
    checkRequests("huka270", 3);
}

/// Anonymous calls need no key and belong to nobody, whatever they contain.
BOOST_AUTO_TEST_CASE(anonymousRoutesForwardNeitherHeader)
{
    addEngine("i-1", "desk", "", respondSuccessfully);
    addEngine("p-1", "model", "prefill", respondWithKvHandle);
    addEngine("d-1", "model", "decode", streamThreeEvents);
    startNode();
    for (const std::vector<std::string> &lines : std::vector<std::vector<std::string>>{
             {}, {bearer + key}, {bearer + "wrong"}, {"Authorization: Basic " + key}, {bearer + key, bearer + key}}) {
        BOOST_TEST(call("/open/x", lines) == 200);
        BOOST_TEST(call("/openstream/x", lines) == 200);
    }
    checkRequests("", 5 * 3);
}

/// Where no workspaces exist, Authorization is the affair of the caller and the endpoint, but nobody may claim a workspace.
BOOST_AUTO_TEST_CASE(withoutWorkspacesAuthorizationIsForwarded)
{
    store.put("config", "main", desiredState(4));
    PlatformEngineStandIn &desk = addEngine("i-1", "desk", "", respondSuccessfully);
    PlatformEngineStandIn &decode = addEngine("d-1", "model", "decode", streamThreeEvents);
    startNode();
    BOOST_TEST(call("/read/x", {"Authorization: Basic eDp5"}) == 200);
    BOOST_TEST(call("/draft/x", {"Authorization: Basic eDp5"}) == 200);
    for (const PlatformEngineStandIn *engine : {&desk, &decode}) {
        const ReceivedRequest request = engine->receivedRequests().at(0);
        BOOST_TEST(request.header("Authorization") == "Basic eDp5");
        BOOST_TEST(!hasHeader(request.head.headers, "Apricotladder-Tenant"));
    }
}

BOOST_AUTO_TEST_CASE(callsWithoutAValidKeyAreRefusedAndReachNoEngine)
{
    addEngine("i-1", "desk", "", respondSuccessfully);
    addEngine("d-1", "model", "decode", streamThreeEvents);
    startNode();
    for (const std::vector<std::string> &lines : std::vector<std::vector<std::string>>{{},
                                                                                       {bearer},
                                                                                       {bearer + "unknown"},
                                                                                       {bearer + key + "x"},
                                                                                       {"Authorization: " + key},
                                                                                       {"Authorization: Basic " + key},
                                                                                       {bearer + key, bearer + key},
                                                                                       {bearer + key, "authorization: Basic eDp5"},
                                                                                       {bearer + key + ", Bearer " + key},
                                                                                       {bearer + "\xff\xfe\x80"},
                                                                                       {bearer + std::string(10000, 'k')}}) {
        for (const char *path : {"/read/x", "/book/x", "/draft/x", "/again/x"}) {
            RawCaller caller(node->settings()->callerAddress);
            const HttpResponseHead head = caller.send(requestText(path, lines));
            BOOST_TEST(head.status == 401);
            BOOST_TEST(headerValue(head.headers, "WWW-Authenticate") == "Bearer");
            BOOST_TEST(!hasHeader(head.headers, "Retry-After"));
            // The connection is still good.
            BOOST_TEST(caller.send(requestText("/open/x", {})).status == 200);
        }
    }
    // Only the calls to the anonymous route arrived.
    checkRequests("", 11 * 4);
    BOOST_TEST(callWithKey("/read/x") == 200);
}

/// Keys that exceed the limit of the head, and bytes that no header may contain, are refused before there is a request.
BOOST_AUTO_TEST_CASE(oversizedAndIllegalKeysAreRefusedAndTheNodeServesOthers)
{
    addEngine("i-1", "desk", "", respondSuccessfully);
    startNode();
    for (const std::string &line : {bearer + std::string(1 << 20, 'k'), bearer + std::string("k\0k", 3), bearer + "k\x01", bearer + "k\rk",
                                    "Authorization:" + std::string(1 << 20, ' ')}) {
        const int status = call("/read/x", {line});
        BOOST_TEST((status == 400 || status == 401), status);
    }
    BOOST_TEST(requestCount() == 0U);
    BOOST_TEST(callWithKey("/read/x") == 200);
}

/// An unknown path is not a matter of keys, and a node without desired state does not know whether keys are needed.
BOOST_AUTO_TEST_CASE(missingRoutesAndMissingConfigurationAreDecidedBeforeKeys)
{
    startNode();
    BOOST_TEST(call("/nowhere/x", {}) == 404);
    PlatformStoreStandIn empty;
    const NodeUnderTest unconfigured("n2", empty.address());
    RawCaller caller(unconfigured.settings()->callerAddress);
    BOOST_TEST(caller.send(requestText("/read/x", {})).status == 503);
}

/// Even a node that cannot serve the call does not tell so to those without a key.
BOOST_AUTO_TEST_CASE(keysAreDecidedBeforeCapacity)
{
    startNode();
    BOOST_TEST(call("/read/x", {}) == 401);
    BOOST_TEST(callWithKey("/read/x") == 503);
}

/// Keys are judged for each request: those on an open connection are rotated, revoked and moved like all others.
BOOST_AUTO_TEST_CASE(changedKeysApplyToOpenConnections)
{
    PlatformEngineStandIn &desk = addEngine("i-1", "desk", "", respondSuccessfully);
    startNode();
    RawCaller withOld(node->settings()->callerAddress);
    RawCaller withNew(node->settings()->callerAddress);
    const std::string oldRequest = requestText("/read/x", {bearer + key});
    const std::string newRequest = requestText("/read/x", {bearer + newKey});
    BOOST_TEST(withOld.send(oldRequest).status == 200);
    BOOST_TEST(withNew.send(newRequest).status == 401);

    store.put("config", "main", keyedState(4, Json::array({workspace("huka270", {key, newKey})})));
    BOOST_TEST(eventually([&] { return withNew.send(newRequest).status == 200; }));
    BOOST_TEST(withOld.send(oldRequest).status == 200);

    store.put("config", "main", keyedState(5, Json::array({workspace("huka270", {newKey})})));
    BOOST_TEST(eventually([&] { return withOld.send(oldRequest).status == 401; }));
    BOOST_TEST(withNew.send(newRequest).status == 200);

    store.put("config", "main", keyedState(6, Json::array({workspace("huka270", {newKey}), workspace("other", {key})})));
    BOOST_TEST(eventually([&] { return withOld.send(oldRequest).status == 200; }));
    BOOST_TEST(desk.receivedRequests().back().header("Apricotladder-Tenant") == "other");

    store.put("config", "main", keyedState(7, Json::array()));
    BOOST_TEST(eventually([&] { return withOld.send(oldRequest).status == 401; }));
    BOOST_TEST(withNew.send(newRequest).status == 401);
    BOOST_TEST(withNew.send(requestText("/open/x", {})).status == 200);
}

/// One typing error must not cut off the other workspaces, nor leave its own without a limit, and it must be visible.
BOOST_AUTO_TEST_CASE(aMalformedEntryAffectsNoOtherWorkspace)
{
    Json bad = workspace("bad", {newKey});
    bad["rate-per-s"] = -1;
    store.put("config", "main", keyedState(4, Json::array({bad, 7, workspace("huka270", {key})})));
    addEngine("i-1", "desk", "", respondSuccessfully);
    startNode();
    BOOST_TEST(call("/read/x", {bearer + newKey}) == 401);
    BOOST_TEST(callWithKey("/read/x") == 200);
    const std::string metrics = node->fetch(node->settings()->metricsAddress, "/metrics").body;
    BOOST_TEST(metrics.find("apricotladder_entry_malformed_entries_total{kind=\"workspace\"} 2") != std::string::npos, metrics);
}

BOOST_AUTO_TEST_CASE(theRankOfTheWorkspaceReachesTheEngines)
{
    Json urgent = workspace("urgent", {key});
    urgent["priority"] = 0;
    Json patient = workspace("patient", {newKey});
    patient["priority"] = 2;
    Json state = keyedState(4, Json::array({urgent, patient, workspace("usual", {"usual"})}));
    for (Json &it : state["routes"]) {
        it["priority"] = 1;
    }
    store.put("config", "main", state);
    PlatformEngineStandIn &prefill = addEngine("p-1", "model", "prefill", respondWithKvHandle);
    PlatformEngineStandIn &decode = addEngine("d-1", "model", "decode", streamThreeEvents);
    startNode();
    const std::vector<std::string> keys{key, newKey, "usual"};
    const std::vector<std::string> priorities{"1", "7", "4"};
    for (std::size_t i = 0; i < keys.size(); ++i) {
        BOOST_TEST(call("/draft/x", {bearer + keys[i]}) == 200);
        BOOST_TEST(prefill.receivedRequests().back().header("Apricotladder-Request-Priority") == priorities[i]);
        BOOST_TEST(decode.receivedRequests().back().header("Apricotladder-Request-Priority") == priorities[i]);
    }
    BOOST_TEST(call("/openstream/x", {bearer + key}) == 200);
    BOOST_TEST(decode.receivedRequests().back().header("Apricotladder-Request-Priority") == "4");
}

/// A node that never reached the store learns from a peer who may call, and neither their exchange nor logs nor metrics contain a key.
BOOST_AUTO_TEST_CASE(keysAreNeitherLoggedNorExchanged)
{
    addEngine("i-1", "desk", "", respondSuccessfully);
    addEngine("d-1", "model", "decode", streamThreeEvents);
    LogCollector log;
    std::string observed;
    {
        const auto startLogging = [&](const char *name, const std::string &storeAddress, const std::vector<std::string> &seeds) {
            return std::make_unique<NodeUnderTest>(name, storeAddress, seeds, EntrySettingsFields().threads, absl::Seconds(20), "info");
        };
        node = startLogging("n1", store.address(), {});
        BOOST_REQUIRE(eventually([&] { return node->isReady(); }));
        PlatformStoreStandIn unreachable;
        unreachable.setUnavailable(true);
        const auto other = startLogging("n2", unreachable.address(), {node->settings()->peerAddress});
        BOOST_REQUIRE(eventually([&] { return other->isReady(); }));
        for (const NodeUnderTest *it : {node.get(), other.get()}) {
            for (const std::string &path : {"/read/x", "/draft/x", "/nowhere/x", "/open/x"}) {
                const int status = RawCaller(it->settings()->callerAddress).send(requestText(path, {bearer + key})).status;
                BOOST_TEST(status == (path == "/nowhere/x" ? 404 : 200));
            }
            for (const std::string &line : {bearer + newKey, "Authorization: Basic " + key, bearer + key + " " + key, bearer + key + "\x01",
                                            bearer + key + std::string(20000, 'k')}) {
                const HttpReply reply = it->fetch(it->settings()->metricsAddress, "/metrics");
                observed += reply.body;
                BOOST_TEST(RawCaller(it->settings()->callerAddress).send(requestText("/read/x", {line})).status >= 400);
            }
            const std::string state = it->fetch(it->settings()->peerAddress, "/cell-state").body;
            const auto decoded = toVariant<CellState>([&] { return decodeCellState(state); });
            BOOST_REQUIRE(std::holds_alternative<CellState>(decoded));
            BOOST_TEST(std::get<CellState>(decoded).desired->requiresKeys);
            BOOST_TEST(std::get<CellState>(decoded).desired->workspaces.size() == 1U);
            observed += state + it->fetch(it->settings()->metricsAddress, "/metrics").body;
        }
        node.reset();
    }
    observed += log.text();
    for (const char *expected :
         {"call.end", "call.rejected", "call.malformed", "huka270", "apricotladder_entry_key_rejections_total{reason=\"unknown\"} 1"}) {
        BOOST_TEST(observed.find(expected) != std::string::npos, expected);
    }
    BOOST_TEST(observed.find(key) == std::string::npos);
    BOOST_TEST(observed.find(newKey) == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
