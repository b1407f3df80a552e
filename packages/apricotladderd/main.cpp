#include "apricotladderd/entry/entrymain.h"
#include "apricotladderd/node.h"

#include "protocol/settingsjson.h"
#include "transport/httpclient.h"

#include <cxxopts.hpp>
#include <glog/logging.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <pthread.h>
#include <sstream>
#include <string>

using namespace Apricot;

namespace {

constexpr int exitBadSettings = 2;

/// Interval at which the main thread checks whether an operator requested a drain.
constexpr long signalWaitNanos = 200'000'000;

int fail(const std::string &message)
{
    std::cerr << "apricotladderd: " << message << "\n";
    return exitBadSettings;
}

/// Defines one command line flag for each settings key.
cxxopts::Options makeOptions()
{
    cxxopts::Options options(
        "apricotladderd",
        "A node of apricotladder: entry, coordinator, owner of slices. 'apricotladderd entry' runs a node on a platform.");
    options.add_options()("c,config", "Settings file (JSON)", cxxopts::value<std::string>())("h,help", "Show this help");
    for (const SettingSpec &spec : settingSpecs()) {
        options.add_options("settings (each overrides the key of the file)")(spec.key, spec.description, cxxopts::value<std::string>(),
                                                                             spec.type);
    }
    return options;
}

void waitForShutdownRequest(const Node &node)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    const timespec wait{0, signalWaitNanos};
    while (!node.isDrainRequested() && sigtimedwait(&signals, nullptr, &wait) < 0) { }
}

void blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
}

int run(const NodeSettings &settings)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = settings->logLevel == "error" ? 2 : settings->logLevel == "warning" ? 1 : 0;
    google::InitGoogleLogging("apricotladderd");
    const auto authenticator = toVariant<DatagramAuthenticator>([&] { return DatagramAuthenticator::fromHexKeys(settings->peerKeys); });
    if (const auto *error = std::get_if<Error>(&authenticator)) {
        return fail(error->message);
    }
    HttpClient::initialize();
    blockSignals();
    Node node(settings, std::get<DatagramAuthenticator>(authenticator));
    if (const std::string problem = node.start(); !problem.empty()) {
        return fail(problem);
    }
    waitForShutdownRequest(node);
    if (!node.drain()) {
        // Calls that are still in progress use the parts of the node, so these must not be destroyed.
        std::_Exit(EXIT_SUCCESS);
    }
    node.stop();
    return 0;
}

}

int main(int argc, char **argv)
{
    if (argc > 1 && std::string(argv[1]) == "entry") {
        return runEntryNode(argc - 1, argv + 1);
    }
    cxxopts::Options options = makeOptions();
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << "\n";
            return 0;
        }
        std::string json = "{}";
        if (parsed.count("config") > 0) {
            const auto path = parsed["config"].as<std::string>();
            std::ifstream file(path);
            if (!file) {
                return fail("config: cannot read " + path + "; check the path and its permissions");
            }
            std::ostringstream text;
            text << file.rdbuf();
            json = text.str();
        }
        std::map<std::string, std::string> overrides;
        for (const SettingSpec &spec : settingSpecs()) {
            if (parsed.count(spec.key) > 0) {
                overrides[spec.key] = parsed[spec.key].as<std::string>();
            }
        }
        const auto settings = toVariant<NodeSettings>([&] { return decodeSettings(json, overrides); });
        if (const auto *error = std::get_if<Error>(&settings)) {
            return fail(error->message);
        }
        return run(std::get<NodeSettings>(settings));
    } catch (const std::exception &e) {
        return fail(std::string(e.what()) + "; see --help");
    }
}
