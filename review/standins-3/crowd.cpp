// A crowd of clients sends long bodies, which are within the limits, and stops short of their end.
#include "scene.h"

using namespace kit;

namespace {

constexpr std::size_t clientsAtEachNode = 400;
constexpr std::size_t bodyBytes = 300000; ///< max-body-bytes allows 4,194,304
constexpr double bytesPerSecond = 25e6; ///< to each node: a fifth of its link of 1,000 Mbit/s
constexpr double troubleBegin = 5; ///< seconds after the nodes are ready
constexpr double troubleLength = 45;

/// One client of the crowd.
struct Member
{
    int fd = -1;
    std::size_t sent = 0;
};

void closeMember(Member *member)
{
    if (member->fd >= 0) {
        close(member->fd);
        member->fd = -1;
    }
}

/// Sends the bodies of the crowd at \a node until the process has ended or the time is over.
void runCrowd(Scene &scene, Node &node, double end)
{
    const std::string head = "POST /book/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n";
    const std::string body(bodyBytes - 1, 'b'); // The last byte is missing.
    while (now() < end && scene.nodesWithThreeEnds() < static_cast<int>(scene.nodes.size())) {
        const pid_t pid = node.pid();
        std::vector<Member> members(clientsAtEachNode);
        for (std::size_t i = 0; i < members.size() && now() < end; ++i) {
            members[i].fd = connectTo(node.ip(), node.callerPort(), 0.5);
            if (members[i].fd >= 0) {
                sendAll(members[i].fd, head + "Apricotladder-Attempt-Id: c" + std::to_string(i) + "\r\nApricotladder-Deadline-Ms: 14000\r\n\r\n");
                fcntl(members[i].fd, F_SETFL, O_NONBLOCK);
            }
        }
        scene.record.line("a crowd of %zu clients sends bodies to %s", members.size(), node.name().c_str());
        std::size_t next = 0;
        double credit = 0;
        double last = now();
        const double roundEnd = std::min(end, now() + 12);
        while (now() < roundEnd && node.pid() == pid) {
            credit = std::min(credit + (now() - last) * bytesPerSecond, bytesPerSecond / 10);
            last = now();
            for (std::size_t i = 0; i < members.size() && credit > 0; ++i) {
                Member &member = members[next++ % members.size()];
                if (member.fd < 0 || member.sent == body.size()) {
                    continue;
                }
                const std::size_t n = std::min<std::size_t>(16384, body.size() - member.sent);
                const ssize_t sent = send(member.fd, body.data() + member.sent, n, MSG_NOSIGNAL);
                if (sent > 0) {
                    member.sent += static_cast<std::size_t>(sent);
                    credit -= static_cast<double>(sent);
                } else if (errno != EAGAIN) {
                    closeMember(&member);
                }
            }
            sleepFor(0.01);
        }
        for (Member &it : members) {
            closeMember(&it);
        }
        sleepFor(2);
    }
}

}

int main(int, char **argv)
{
    Scene scene(argv[1], argv[2]);
    const char *const zones[] = {"liberia", "nicoya", "tamarindo"};
    for (int i = 0; i < 3; ++i) {
        scene.addDesk("i-desk-" + std::to_string(i), zones[i], 45);
    }
    scene.configure();
    if (!scene.startNodes(2)) {
        scene.stop();
        _exit(2);
    }
    scene.startPlatform(true);
    for (int i = 0; i < 16; ++i) {
        scene.startBooker(*scene.nodes[i % 2]);
    }
    sleepFor(troubleBegin);
    scene.record.line("trouble: %s", isTrouble() ? "yes" : "no");
    const double end = now() + troubleLength;
    std::vector<std::thread> crowds;
    for (const auto &it : scene.nodes) {
        if (isTrouble()) {
            crowds.emplace_back([&] { runCrowd(scene, *it, end); });
        }
    }
    if (!isTrouble()) {
        sleepFor(20);
    }
    for (std::thread &it : crowds) {
        it.join();
    }
    sleepFor(2);
    scene.stop();
    _exit(scene.judge());
}
