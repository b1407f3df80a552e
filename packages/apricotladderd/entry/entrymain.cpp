#include "apricotladderd/entry/entrymain.h"

#include "apricotladderd/entry/entrynode.h"
#include "platform/addressanswer.h"
#include "protocol/entrysettingsjson.h"

#include <cxxopts.hpp>
#include <glog/logging.h>

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <map>
#include <optional>
#include <pthread.h>
#include <sstream>
#include <string>
#include <utility>
#include <variant>

namespace Apricot {

namespace {

constexpr int exitBadSettings = 2;

/// Interval at which the settings file is checked: it may change without a signal.
constexpr timespec settingsCheckInterval{2, 0};

int fail(const std::string &message)
{
    std::cerr << "apricotladderd: " << message << "\n";
    return exitBadSettings;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("apricotladderd entry", "A node between callers and the engines of a platform.");
    options.add_options()("c,config", "Settings file (JSON); default: the path that the platform provides",
                          cxxopts::value<std::string>())("check-settings", "Check the settings and exit")("h,help", "Show this help");
    for (const SettingSpec &spec : entrySettingSpecs()) {
        options.add_options("settings (each overrides the key of the file)")(spec.key, spec.description, cxxopts::value<std::string>(),
                                                                             spec.type);
    }
    return options;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Reads and checks the settings; the message of an error names the file.
std::variant<EntrySettings, Error> readEntrySettings(const std::string &path, const std::map<std::string, std::string> &overrides)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        return Error{ErrorKind::BadRequest, "config: cannot read \"" + path + "\"; specify a readable settings file with --config"};
    }
    auto settings = toVariant<EntrySettings>([&] { return decodeEntrySettings(*text, overrides); });
    if (auto *error = std::get_if<Error>(&settings)) {
        error->message = path + ": " + error->message;
    }
    return settings;
}

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

/// Buffers from this size on are returned to the system when they are freed.
constexpr int mappedBufferBytes = 64 * 1024;

void reload(EntryNode &node, const std::string &path, const std::map<std::string, std::string> &overrides)
{
    const auto settings = readEntrySettings(path, overrides);
    if (const auto *error = std::get_if<Error>(&settings)) {
        LOG(ERROR) << "{\"level\":\"error\",\"event\":\"reload.failed\",\"why\":" << jsonDump(Json(error->message)) << "}";
        return;
    }
    node.reload(std::get<EntrySettings>(settings));
}

/// Handles signals and changes of the settings file; never returns, the process exits while this function waits.
void handleSignals(EntryNode &node, const std::string &path, const std::map<std::string, std::string> &overrides)
{
    const sigset_t signals = handledSignals();
    std::optional<std::string> lastText = readFile(path);
    for (;;) {
        const int signal = sigtimedwait(&signals, nullptr, &settingsCheckInterval);
        if (signal == SIGTERM || signal == SIGINT) {
            node.leave();
            continue;
        }
        std::optional<std::string> text = readFile(path);
        if (signal == SIGHUP || text != lastText) {
            reload(node, path, overrides);
        }
        lastText = std::move(text);
    }
}

int serve(const EntrySettings &settings, const std::string &path, const std::map<std::string, std::string> &overrides)
{
    // Without these, glibc raises the size from which it maps buffers, and keeps the memory of bodies that have been freed.
    mallopt(M_MMAP_THRESHOLD, mappedBufferBytes);
    mallopt(M_TRIM_THRESHOLD, mappedBufferBytes);
    FLAGS_logtostdout = true;
    FLAGS_log_prefix = false;
    google::InitGoogleLogging("apricotladderd");
    EntryNode node(settings);
    if (const std::string problem = node.start(); !problem.empty()) {
        return fail(path + ": " + problem);
    }
    const Thread signalThread("signals", [&] { handleSignals(node, path, overrides); });
    node.run();
    node.flushLog();
    // The signal thread is still waiting, so the process exits without joining it.
    std::_Exit(EXIT_SUCCESS);
}

}

int runEntryNode(int argc, char **argv)
{
    // Must come first: a signal that arrives while the settings are read stays pending for handleSignals() instead of ending
    // the process.
    signal(SIGPIPE, SIG_IGN);
    const sigset_t signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    cxxopts::Options options = makeOptions();
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << "\n";
            return EXIT_SUCCESS;
        }
        const std::string path = parsed.count("config") > 0 ? parsed["config"].as<std::string>() : platformSettingsPath();
        std::map<std::string, std::string> overrides;
        for (const SettingSpec &spec : entrySettingSpecs()) {
            if (parsed.count(spec.key) > 0) {
                overrides[spec.key] = parsed[spec.key].as<std::string>();
            }
        }
        const auto settings = readEntrySettings(path, overrides);
        if (const auto *error = std::get_if<Error>(&settings)) {
            return fail(error->message);
        }
        if (parsed.count("check-settings") > 0) {
            std::cout << path << ": good\n";
            return EXIT_SUCCESS;
        }
        return serve(std::get<EntrySettings>(settings), path, overrides);
    } catch (const std::exception &e) {
        return fail(std::string(e.what()) + "; see --help");
    }
}

}
