// Some clients read their streams slowly. Then many others open channels, book once and keep the channels, as many as a machine takes and
// some more. The machines get a SIGHUP shortly before.
#include "slowclient.h"

using namespace kit;

namespace {

constexpr std::size_t eventBytes = 400; ///< mean of the sheet
constexpr int events = 130; ///< most of the sheet; a stream takes a client about 11 s
constexpr double readBytesPerSecond = 5000;
constexpr int slowClients = 8;
constexpr int channels = 2000; ///< of the other clients; the machine has 4,100 descriptors
constexpr double channelsPerSecond = 800;
constexpr double channelsDelay = 3; ///< from the slow clients' requests to the other clients
constexpr double configApply = 3; ///< config-apply-ms
constexpr double troubleBegin = 5; ///< seconds after the nodes are ready

}

int main(int, char **argv)
{
    Scene scene(argv[1], argv[2]);
    const char *const zones[] = {"liberia", "nicoya", "tamarindo"};
    for (int i = 0; i < 3; ++i) {
        scene.addEngine("i-prefill-" + std::to_string(i), "summarizer", "prefill", 32, zones[i],
                        [&](Channel &channel, const Message &request) { return scene.answerPrefill(channel, request); });
        scene.addDesk("i-desk-" + std::to_string(i), zones[i], 15);
    }
    for (int i = 0; i < 6; ++i) {
        scene.addDecode("i-decode-" + std::to_string(i), zones[i % 3], events, 20, eventBytes);
    }
    scene.configure();
    if (!scene.startNodes(2)) {
        scene.stop();
        _exit(2);
    }
    scene.startPlatform(false);
    sleepFor(troubleBegin);
    for (const auto &it : scene.nodes) {
        it->kill(SIGHUP);
    }
    const double hup = now();
    scene.record.line("SIGHUP to all machines; trouble: %s", isTrouble() ? "yes" : "no");
    SlowClient client;
    client.receiveBuffer = 16384;
    client.bytesPerSecond = readBytesPerSecond;
    std::mutex mutex;
    std::vector<Outcome> outcomes;
    std::vector<std::thread> clients;
    for (int i = 0; i < slowClients; ++i) {
        clients.emplace_back([&, i] {
            const Outcome outcome = runClient(scene, *scene.nodes[0], client);
            const std::lock_guard<std::mutex> lock(mutex);
            outcomes.push_back(outcome);
        });
    }
    sleepFor(channelsDelay);
    std::vector<std::unique_ptr<Channel>> kept;
    int answered = 0;
    std::thread readers([&] {
        for (std::thread &it : clients) {
            it.join();
        }
    });
    const double begin = now();
    for (int i = 0; isTrouble() && i < channels; ++i) {
        sleepUntil(begin + i / channelsPerSecond);
        const int fd = connectTo(scene.nodes[0]->ip(), scene.nodes[0]->callerPort());
        if (fd < 0) {
            continue;
        }
        kept.push_back(std::make_unique<Channel>(fd));
        kept.back()->write(encode("POST /book/x HTTP/1.1", clientHeaders("k" + std::to_string(i), 1000), std::string(600, 'r')));
        if (kept.size() > 20) { // The answers are read a little later, so that the next clients need not wait.
            Message answer;
            answered += kept[kept.size() - 20]->readMessage(&answer, now() + 1) == ReadEnd::Good && answer.status() == 200 ? 1 : 0;
        }
    }
    scene.record.line("%zu other clients have opened channels to %s; %d bookings were answered with 200", kept.size(),
                      scene.nodes[0]->name().c_str(), answered);
    readers.join();
    scene.stop();
    const int planned = countPlannedLoss(scene, outcomes, hup, configApply);
    const int code = scene.judge();
    _exit(planned > 0 ? 1 : code);
}
