// Engines in trouble give one in twenty of their answers to prefill requests a wrong body: some megabytes of JSON.
#include "scene.h"

using namespace kit;

namespace {

constexpr double spoiledFraction = 0.05; ///< of the answers of a faulty engine; the most in the site file
constexpr std::size_t wrongBodyBytes = 8300000;
constexpr double troubleBegin = 5; ///< seconds after the nodes are ready
constexpr double spellLength = 5; ///< of the entry with that figure; the longest one there lasts 6.48 s
constexpr double spellPause = 3;
constexpr int maxSpells = 10;

std::string wrongBody()
{
    std::string body = "{\"data\":[0";
    while (body.size() < wrongBodyBytes) {
        body += ",0";
    }
    return body + "]}";
}

}

int main(int, char **argv)
{
    Scene scene(argv[1], argv[2], NodeLimits{88, 4100, 3000, 182}); // tablones-ops-grown
    const std::string wrong = wrongBody();
    std::atomic<bool> isTroubled{false};
    std::mutex mutex;
    std::mt19937 random(11);
    const char *const zones[] = {"liberia", "nicoya", "tamarindo"};
    for (int i = 0; i < 3; ++i) {
        // 3 of 9 engines of the service are faulty.
        const std::string id = "i-prefill-" + std::to_string(i);
        scene.addEngine(id, "summarizer", "prefill", 32, zones[i], [&, id](Channel &channel, const Message &request) {
            const bool isPrefill = request.header("Apricotladder-Inference-Phase") == "prefill";
            const auto isSpoiled = [&] {
                const std::lock_guard<std::mutex> lock(mutex);
                return std::uniform_real_distribution<>(0, 1)(random) < spoiledFraction;
            };
            if (!isPrefill || !isTroubled || !isSpoiled()) {
                return scene.answerPrefill(channel, request);
            }
            scene.record.line("%s answers the prefill of %s with a wrong body of %zu bytes", id.c_str(),
                              request.header("Apricotladder-Attempt-Id").c_str(), wrong.size());
            return channel.write(encode("HTTP/1.1 200 OK", Scene::prefillHeaders(request), wrong));
        });
    }
    for (int i = 0; i < 6; ++i) {
        scene.addDecode("i-decode-" + std::to_string(i), zones[i % 3], 70, 20);
    }
    for (int i = 0; i < 3; ++i) {
        scene.addDesk("i-desk-" + std::to_string(i), zones[i], 15);
    }
    scene.configure();
    if (!scene.startNodes(2)) {
        scene.stop();
        _exit(2);
    }
    scene.startPlatform(false);
    // 75 bookings and 20 streams a second; the sheet has 173 and 36.
    for (int i = 0; i < 6; ++i) {
        scene.startBooker(*scene.nodes[i % 2]);
    }
    for (int i = 0; i < 32; ++i) {
        scene.startStreamer(*scene.nodes[i % 2]);
    }
    sleepFor(troubleBegin);
    for (int spell = 0; spell < maxSpells && scene.nodesWithThreeEnds() < 2; ++spell) {
        isTroubled = isTrouble();
        scene.record.line("spell %d begins; trouble: %s", spell, isTrouble() ? "yes" : "no");
        sleepFor(spellLength);
        isTroubled = false;
        sleepFor(spellPause);
    }
    sleepFor(2);
    scene.stop();
    _exit(scene.judge());
}
