// An engine in trouble gives one in fifty of its answers to prefill requests a wrong body: some megabytes of JSON.
#include "scene.h"

using namespace kit;

namespace {

constexpr double spoiledFraction = 0.02; ///< of the answers of a faulty engine
constexpr std::size_t wrongBodyBytes = 8300000;
constexpr double troubleBegin = 5; ///< seconds after the nodes are ready
constexpr double troubleLength = 40;

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
    Scene scene(argv[1], argv[2]);
    const std::string wrong = wrongBody();
    std::atomic<bool> isTroubled{false};
    std::atomic<int> answers{0};
    const char *const zones[] = {"liberia", "nicoya", "tamarindo"};
    for (int i = 0; i < 3; ++i) {
        // 3 of 9 engines of the service are faulty.
        const std::string id = "i-prefill-" + std::to_string(i);
        scene.addEngine(id, "summarizer", "prefill", 32, zones[i], [&, id](Channel &channel, const Message &request) {
            const bool isPrefill = request.header("Apricotladder-Inference-Phase") == "prefill";
            if (!isPrefill || !isTroubled || ++answers % static_cast<int>(1 / spoiledFraction) != 0) {
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
        scene.addDesk("i-desk-" + std::to_string(i), zones[i], 45);
    }
    scene.configure();
    if (!scene.startNodes(2)) {
        scene.stop();
        _exit(2);
    }
    scene.startPlatform(false);
    for (int i = 0; i < 16; ++i) {
        scene.startBooker(*scene.nodes[i % 2]);
    }
    scene.startStreams(20);
    sleepFor(troubleBegin);
    isTroubled = isTrouble();
    scene.record.line("trouble: %s", isTroubled ? "yes" : "no");
    const double end = now() + troubleLength;
    while (now() < end && scene.nodesWithThreeEnds() < 2) {
        sleepFor(0.1);
    }
    isTroubled = false;
    sleepFor(2);
    scene.stop();
    _exit(scene.judge());
}
