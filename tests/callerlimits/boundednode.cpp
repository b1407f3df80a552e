#include "callerlimits/boundednode.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace Apricot {

namespace {

/// Memory of the smallest node that the system is specified for: 88 MB. The sanitizers add several times as much of their own.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::int64_t maxMemoryKib = 8LL * 88'000'000 / 1024;
#else
constexpr std::int64_t maxMemoryKib = 88'000'000 / 1024;
#endif

/// Descriptors of the node under test, and the part of them that callers must leave to files, peers, the store and engines.
constexpr int descriptorLimit = 600;
constexpr int reservedDescriptors = 200;

/// Returns the number after \a key in /proc/PID/status; 0 if the process has ended.
std::int64_t statusValue(pid_t process, const std::string &key)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (status >> word) {
        if (word == key) {
            std::int64_t value = 0;
            status >> value;
            return value;
        }
    }
    return 0;
}

/// Starts \a node with at most \a limit descriptors, which a child inherits.
void startWithDescriptorLimit(NodeProcess &node, rlim_t limit)
{
    rlimit own{};
    getrlimit(RLIMIT_NOFILE, &own);
    const rlimit lowered{limit, own.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
    node.start();
    setrlimit(RLIMIT_NOFILE, &own);
}

}

BoundedNode::~BoundedNode()
{
    node.reset();
    std::filesystem::remove_all(m_directory);
}

void BoundedNode::start()
{
    const std::string ip = "127." + std::to_string(64 + getpid() / 250 % 60) + "." + std::to_string(1 + getpid() % 250) + ".1";
    callerAddress = ip + ":8144";
    readyAddress = ip + ":8140";
    m_directory = std::filesystem::temp_directory_path() / ("callerlimits-" + std::to_string(getpid()));
    std::filesystem::create_directories(m_directory);
    std::ofstream(m_directory / "node.json") << Json{{"node", "n1"},
                                                     {"dataCentre", "here"},
                                                     {"callerAddress", callerAddress},
                                                     {"readyAddress", readyAddress},
                                                     {"discoveryAddress", ip + ":8143"},
                                                     {"peerAddress", ip + ":8146"},
                                                     {"storeAddress", platform.store.address()},
                                                     {"logLevel", "error"}};
    node = std::make_unique<NodeProcess>(APRICOTLADDERD, m_directory / "node.json", m_directory / "log");
    startWithDescriptorLimit(*node, descriptorLimit);
    BOOST_REQUIRE(eventually([&] { return HttpClient::call(makeCall("http://" + readyAddress + "/readyz", {})).status == 200; }));
}

HttpCall BoundedNode::makeCall(const std::string &url, const std::string &body)
{
    HttpCall call;
    call.method = body.empty() ? "GET" : "POST";
    call.url = url;
    call.headers = {{"Host", "h.example"}, {"Apricotladder-Attempt-Id", "ordinary"}, {"Apricotladder-Deadline-Ms", "15000"}};
    call.body = body;
    call.timeout = absl::Seconds(5);
    call.dedicatedConnection = true;
    return call;
}

void BoundedNode::checkNode()
{
    checkResources();
    const auto isServed = [&] {
        return HttpClient::call(makeCall("http://" + callerAddress + "/read/x", "ordinary")).status == 200;
    };
    BOOST_TEST(eventually(isServed));
    BOOST_TEST(!node->reap().has_value());
    checkResources();
}

void BoundedNode::checkResources() const
{
    const std::int64_t memoryKib = statusValue(node->processId(), "VmHWM:");
    const std::filesystem::path descriptors = "/proc/" + std::to_string(node->processId()) + "/fd";
    std::error_code ec;
    const auto open = std::distance(std::filesystem::directory_iterator(descriptors, ec), std::filesystem::directory_iterator());
    BOOST_TEST_MESSAGE("VmHWM " << memoryKib << " KiB, " << open << " descriptors");
    BOOST_TEST(memoryKib > 0);
    BOOST_TEST(memoryKib <= maxMemoryKib);
    BOOST_TEST(open <= descriptorLimit - reservedDescriptors);
}

}
