#include "platform/nodefixture.h"

#include <absl/time/clock.h>

#include <boost/test/unit_test.hpp>

#include <unistd.h>
#include <utility>

namespace Apricot {

namespace {

/// Longer than any response of these tests.
constexpr std::size_t maxResponseBytes = 8U << 20;

/// Returns a loopback address that no other node of this or another test process uses.
std::string nextLoopbackAddress()
{
    static int nodes = 0;
    const int id = getpid();
    ++nodes;
    return "127." + std::to_string(192 + id / 250 % 60) + "." + std::to_string(1 + id % 250) + "." + std::to_string(nodes);
}

}

bool eventually(const std::function<bool()> &condition)
{
    const absl::Time end = absl::Now() + testTimeout;
    while (!condition()) {
        if (absl::Now() > end) {
            return false;
        }
        absl::SleepFor(absl::Milliseconds(5));
    }
    return true;
}

Json route(const std::string &prefix, const std::string &type, const std::string &service, int attempts, int timeoutMs)
{
    return Json{{"name", "r" + prefix},
                {"host", "h.example"},
                {"path-prefix", prefix},
                {"type", type},
                {"timeout-ms", timeoutMs},
                {"target-latency-ms", 2000},
                {"priority", 0},
                {"service", service},
                {"max-attempts", attempts},
                {"resumable", type == "streaming" && attempts > 1},
                {"itl-target-ms", 2000}};
}

Json desiredState(int version, const Json &moreRoutes)
{
    Json routes = Json::array({route("/read/", "idempotent", "desk", 2), route("/book/", "non_idempotent", "desk", 1),
                               route("/short/", "idempotent", "desk", 1, 300), route("/draft/", "streaming", "model", 1),
                               route("/again/", "streaming", "model", 2)});
    routes.insert(routes.end(), moreRoutes.begin(), moreRoutes.end());
    return Json{
        {"version", version},
        {"routes", routes},
        {"services",
         Json::array({Json{{"name", "desk"}},
                      Json{{"name", "model"}, {"engine", {{"slots", 8}, {"kv-capacity", 100000}, {"stride", 1}, {"kv-hold-s", 0.5}}}}})},
        {"limits", {{"max-header-bytes", 16384}, {"max-body-bytes", 100000}, {"header-timeout-ms", 5000}, {"idle-timeout-ms", 20000}}}};
}

NodeUnderTest::NodeUnderTest(const std::string &name, const std::string &store, const std::vector<std::string> &seeds, std::int64_t threads,
                             absl::Duration grace, const std::string &logLevel, absl::Duration changeTime)
{
    EntrySettingsFields fields;
    fields.node = NodeId(name);
    fields.dataCentre = DataCentreName("here");
    const std::string ip = nextLoopbackAddress();
    fields.callerAddress = ip + ":8144";
    fields.readyAddress = ip + ":8140";
    fields.discoveryAddress = ip + ":8143";
    fields.peerAddress = ip + ":8146";
    fields.metricsAddress = ip + ":8147";
    fields.storeAddress = store;
    fields.seeds = seeds;
    fields.addressKeepMs = 200;
    fields.configApplyMs = absl::ToInt64Milliseconds(changeTime);
    fields.drainMs = fields.configApplyMs;
    fields.graceS = absl::ToDoubleSeconds(grace);
    fields.threads = threads;
    fields.logLevel = logLevel;
    m_settings = EntrySettings(fields);
    m_node = std::make_unique<EntryNode>(m_settings);
    BOOST_REQUIRE_EQUAL(m_node->start(), "");
    m_thread = Thread("node", [this] {
        m_node->run();
        m_ended = true;
    });
}

NodeUnderTest::~NodeUnderTest()
{
    m_node->leave();
    m_thread.join();
}

std::map<std::string, std::string> NodeUnderTest::callHeaders(const std::string &requestId)
{
    return {{"Host", "h.example"},
            {"Apricotladder-Attempt-Id", requestId},
            {"Apricotladder-Deadline-Ms", "15000"},
            {"Apricotladder-Token-Usage", "100,50"}};
}

HttpCall NodeUnderTest::makeCall(const std::string &path, const std::string &method, const std::string &body,
                                 const std::string &requestId) const
{
    HttpCall call;
    call.method = method;
    call.url = "http://" + m_settings->callerAddress + path;
    call.headers = callHeaders(requestId);
    call.body = body;
    call.timeout = testTimeout;
    call.dedicatedConnection = true;
    return call;
}

HttpReply NodeUnderTest::call(const std::string &path, const std::string &method, const std::string &body,
                              const std::string &requestId) const
{
    return HttpClient::call(makeCall(path, method, body, requestId));
}

HttpReply NodeUnderTest::callWithKey(const std::string &path, const std::string &key) const
{
    HttpCall call = makeCall(path, "POST", "prompt", "attempt");
    call.headers["Authorization"] = "Bearer " + key;
    return HttpClient::call(call);
}

HttpReply NodeUnderTest::callWithPrompt(const std::string &path, const std::string &parts) const
{
    HttpCall call = makeCall(path, "POST", {}, "attempt");
    call.headers["Apricotladder-Prefix-Hash"] = parts;
    return HttpClient::call(call);
}

HttpReply NodeUnderTest::stream(const std::string &path, const StreamReceiver &receiver) const
{
    HttpCall call = makeCall(path, "POST", "prompt", "attempt");
    call.idleTimeout = testTimeout;
    return HttpClient::stream(call, receiver);
}

FullResponse NodeUnderTest::callWithHead(const std::string &path, const std::string &key) const
{
    EventLoop loop;
    ConnectionPool pool;
    HttpRequestHead head;
    head.method = "GET";
    head.target = path;
    for (const auto &[name, value] : callHeaders("attempt")) {
        head.headers.push_back(HttpHeader{name, value});
    }
    if (!key.empty()) {
        head.headers.push_back(HttpHeader{"Authorization", "Bearer " + key});
    }
    ExchangeRequest request;
    request.address = m_settings->callerAddress;
    request.encodedRequest = encodeHttpRequest(head, {});
    std::optional<FetchResult> result;
    HttpFetch::start(loop, pool, std::move(request), testTimeout, maxResponseBytes, [&](const FetchResult &it) { result = it; });
    while (!result) {
        loop.runOnce();
    }
    const auto *response = std::get_if<FullResponse>(&*result);
    return response == nullptr ? FullResponse() : *response;
}

HttpReply NodeUnderTest::fetch(const std::string &address, const std::string &path) const
{
    HttpCall call;
    call.url = "http://" + address + path;
    return HttpClient::call(call);
}

bool NodeUnderTest::isReady() const
{
    return fetch(m_settings->readyAddress, "/readyz").status == 200;
}

Platform::Platform()
{
    HttpClient::initialize();
    store.put("config", "main", desiredState(2));
}

PlatformEngineStandIn &Platform::addEngine(const std::string &id, const std::string &service, const std::string &stage,
                                           PlatformEngineStandIn::Behaviour behaviour)
{
    engines.push_back(std::make_unique<PlatformEngineStandIn>(id, std::move(behaviour)));
    publishEngine(*engines.back(), service, stage, "ready");
    return *engines.back();
}

void Platform::publishEngine(const PlatformEngineStandIn &engine, const std::string &service, const std::string &stage,
                             const std::string &state, std::int64_t startedMs)
{
    Json spec{{"service", service}, {"address", engine.address()}, {"zone", "here"}, {"slots", 8}, {"state", state}, {"born", startedMs}};
    if (!stage.empty()) {
        spec["phase"] = stage;
    }
    store.put("servers", engine.id(), spec);
}

void PlatformWithNode::startNode()
{
    node = std::make_unique<NodeUnderTest>("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node->isReady(); }));
}

void respondSuccessfully(EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request)
{
    PlatformEngineStandIn::respondSigned(connection, request, 200, "done " + request.body);
}

void respondWithKvHandle(EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request)
{
    PlatformEngineStandIn::respondSigned(connection, request, 200, R"({"kv-handle":"h1","tokens":100,"version":1})");
}

int countEventIds(const std::string &stream)
{
    int n = 0;
    for (std::size_t at = stream.find("id: "); at != std::string::npos; at = stream.find("id: ", at + 1)) {
        ++n;
    }
    return n;
}

}
