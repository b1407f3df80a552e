// One part of a prompt crashes each engine that begins to write an answer on it. The sound requests of one subject share the other parts of
// those prompts.
#include "scene.h"

using namespace kit;

namespace {

const std::string firstPart = "a11ce001:200"; ///< shared by the deadly and the sound requests
const std::string deadlyPart = "dead0001:300";
const std::string subjectPart = "5ab1ec01:400"; ///< follows the deadly part, and the first part in sound requests
constexpr double soundInterval = 2.2;
constexpr double deadlyInterval = 0.1;
constexpr double laterDeadlyInterval = 0.25;
constexpr double engineDownTime = 3;
constexpr int quietSounds = 20; ///< sound requests before the first deadly one
constexpr double deadlyDelay = 0.93; ///< from a sound request to the first deadly one
constexpr double deadlyLength = 54;
constexpr double stabilityWindow = 4;
constexpr int prefillEngines = 6;
constexpr int decodeEngines = 16;
constexpr int slots = 16;
constexpr double otherStreamsPerSecond = 15;

struct Sound
{
    double sent = 0;
    bool hasBegun = false;
    std::string end;
};

}

int main(int, char **argv)
{
    Scene scene(argv[1], argv[2], NodeLimits{160, 4100, 3000, 218}); // huallaga-prensa-grown
    const char *const zones[] = {"liberia", "nicoya", "tamarindo"};
    std::mutex mutex;
    std::vector<double> crashes;
    int deadlyArrivals = 0;
    std::vector<std::unique_ptr<std::atomic<Engine *>>> decodes;
    for (int i = 0; i < prefillEngines; ++i) {
        scene.addEngine("i-prefill-" + std::to_string(i), "summarizer", "prefill", slots, zones[i % 3],
                        [&](Channel &channel, const Message &request) { return scene.answerPrefill(channel, request); });
    }
    for (int i = 0; i < decodeEngines; ++i) {
        decodes.push_back(std::make_unique<std::atomic<Engine *>>(nullptr));
        std::atomic<Engine *> &self = *decodes.back();
        const std::string zone = zones[i % 3];
        self = &scene.addEngine(
            "i-decode-" + std::to_string(i), "summarizer", "decode", slots, zone, [&, zone](Channel &channel, const Message &request) {
                Engine &engine = *self;
                scene.passedOn(request, engine.id());
                std::string head = "HTTP/1.1 200 OK\r\n";
                for (const auto &it : engine.answerHeaders(request)) {
                    head += it.first + ": " + it.second + "\r\n";
                }
                if (!channel.write(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
                    return false;
                }
                if (request.header("Apricotladder-Prefix-Hash").find(deadlyPart) != std::string::npos) {
                    {
                        const std::lock_guard<std::mutex> lock(mutex);
                        ++deadlyArrivals;
                        crashes.push_back(now());
                    }
                    scene.record.line("%s begins to write an answer to %s and crashes", engine.id().c_str(),
                                      request.header("Apricotladder-Attempt-Id").c_str());
                    engine.crash();
                    std::thread([&scene, &engine, zone] {
                        sleepFor(engineDownTime);
                        engine.restart();
                        scene.store.put("servers", engine.id(), engine.spec(zone));
                    }).detach();
                    return false;
                }
                for (int event = 1; event <= 70; ++event) {
                    if (!channel.write(chunk("id: " + std::to_string(event) + "\ndata: " + std::string(304, 'd') + "\n\n"))) {
                        return false;
                    }
                    sleepFor(0.02);
                }
                return channel.write("0\r\n\r\n");
            });
    }
    scene.configure();
    if (!scene.startNodes(2)) {
        scene.stop();
        _exit(2);
    }
    scene.startPlatform(false);
    scene.startStreams(otherStreamsPerSecond);
    sleepFor(stabilityWindow + 1);

    const double soundBegin = now();
    const double deadlyBegin = soundBegin + quietSounds * soundInterval + deadlyDelay;
    const double end = deadlyBegin + deadlyLength;
    std::vector<std::shared_ptr<Sound>> sounds;
    const auto send = [&](Node &node, const char *kind, const std::string &shared, const std::shared_ptr<Sound> &sound) {
        const int fd = connectTo(node.ip(), node.callerPort());
        if (fd < 0) {
            return;
        }
        Channel channel(fd);
        const auto call = scene.newCall(kind, node.name(), false);
        if (sound) {
            sound->sent = call->sent;
        }
        channel.write(encode("POST /paid/x HTTP/1.1", Scene::streamHeaders(call->id, shared), std::string(5000, 'p')));
        Message answer;
        ReadEnd it = channel.readHead(&answer, now() + 14);
        if (sound) {
            sound->hasBegun = it == ReadEnd::Good && answer.status() == 200;
        }
        it = it == ReadEnd::Good ? channel.readBody(&answer, now() + 14) : it;
        if (!scene.isStopped()) {
            scene.finish(call, it, answer.status());
        }
    };
    std::thread soundThread([&] {
        for (int n = 0; now() < end; ++n) {
            const auto sound = std::make_shared<Sound>();
            {
                const std::lock_guard<std::mutex> lock(mutex);
                sounds.push_back(sound);
            }
            std::thread([&, n, sound] { send(*scene.nodes[n % 2], "sound stream", firstPart + "," + subjectPart, sound); }).detach();
            sleepUntil(soundBegin + (n + 1) * soundInterval);
        }
    });
    sleepUntil(deadlyBegin);
    scene.record.line("trouble: %s", isTrouble() ? "yes" : "no");
    double lastDeadly = 0;
    for (int n = 0; isTrouble() && now() < end; ++n) {
        std::thread([&, n] {
            send(*scene.nodes[n % 2], "deadly stream", firstPart + "," + deadlyPart + "," + subjectPart, nullptr);
        }).detach();
        lastDeadly = now();
        sleepFor(n < 15 ? deadlyInterval : laterDeadlyInterval);
    }
    sleepUntil(end);
    soundThread.join();
    sleepFor(3);
    scene.stop();

    // LOST: sound requests of the route with the same first part begin at the first attempt less than half as often as before.
    const double last = crashes.empty() ? deadlyBegin : crashes[std::min<std::size_t>(crashes.size(), 5) - 1];
    const double judgedFrom = last + 2 * stabilityWindow;
    int sent[2] = {};
    int begun[2] = {};
    for (const auto &it : sounds) {
        const int period = it->sent < deadlyBegin ? 0 : it->sent >= judgedFrom && it->sent <= (isTrouble() ? lastDeadly : end) ? 1 : -1;
        if (it->sent > 0 && period >= 0) {
            ++sent[period];
            begun[period] += it->hasBegun ? 1 : 0;
        }
    }
    const bool isJudged = sent[0] >= 20 && sent[1] >= 20;
    const bool isBroken = isJudged && 2.0 * begun[1] / sent[1] < static_cast<double>(begun[0]) / sent[0];
    scene.record.line("%zu crashes, the fifth or last at %.3f; judged from %.3f on", crashes.size(), last, judgedFrom);
    scene.record.line("sound requests with the first part: before %d of %d have begun, while deadly ones came %d of %d", begun[0], sent[0],
                      begun[1], sent[1]);
    scene.record.line("LOST %s", !isJudged ? "cannot be judged" : isBroken ? "is broken" : "holds");
    printf("crashes %zu; before %d/%d, during %d/%d: LOST %s\n", crashes.size(), begun[0], sent[0], begun[1], sent[1],
           !isJudged      ? "cannot be judged"
               : isBroken ? "is broken"
                          : "holds");
    fflush(stdout);
    _exit(!isJudged ? 2 : isBroken ? 1 : 0);
}
