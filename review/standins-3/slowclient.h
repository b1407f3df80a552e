// Clients that read their streams slowly, on channels that have carried a request before.
#pragma once

#include "scene.h"

namespace kit {

struct SlowClient
{
    int receiveBuffer = 16384; ///< bytes; the system doubles it for its own bookkeeping
    double bytesPerSecond = 0; ///< 0: reads at once
    int budgetMs = 14000;
};

constexpr std::size_t bytesAtOnce = 200;

/// Reads the rest of a stream at the rate of the client; returns how that ended.
inline ReadEnd readStream(Channel &channel, double bytesPerSecond, double end, std::size_t *received)
{
    std::string tail;
    const double start = now();
    const bool isSlow = bytesPerSecond > 0;
    std::vector<char> buf(isSlow ? bytesAtOnce : 65536);
    for (;;) {
        if (isSlow) {
            sleepUntil(start + static_cast<double>(*received) / bytesPerSecond);
        }
        pollfd p{channel.fd(), POLLIN, 0};
        if (now() >= end || poll(&p, 1, static_cast<int>((end - now()) * 1000) + 1) <= 0) {
            return ReadEnd::TimedOut;
        }
        const ssize_t n = recv(channel.fd(), buf.data(), buf.size(), 0);
        if (n <= 0) {
            return n == 0 ? ReadEnd::Closed : ReadEnd::Reset;
        }
        *received += static_cast<std::size_t>(n);
        tail = (tail + std::string(buf.data(), static_cast<std::size_t>(n)));
        tail = tail.substr(tail.size() - std::min<std::size_t>(tail.size(), 8));
        if (tail.size() >= 7 && tail.compare(tail.size() - 7, 7, "\r\n0\r\n\r\n") == 0) {
            return ReadEnd::Good;
        }
    }
}

struct Outcome
{
    std::shared_ptr<Call> call;
    std::size_t received = 0;
};

/// Books once and then sends a stream request on the same channel.
inline Outcome runClient(Scene &scene, Node &node, const SlowClient &client)
{
    Outcome outcome;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &client.receiveBuffer, sizeof(client.receiveBuffer));
    Channel channel(fd);
    const sockaddr_in to = address(node.ip(), node.callerPort());
    if (connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0) {
        return outcome;
    }
    const auto first = scene.newCall("booking", node.name(), false);
    Message answer;
    channel.write(encode("POST /book/x HTTP/1.1", clientHeaders(first->id, 1000), std::string(600, 'r')));
    const ReadEnd firstEnd = channel.readMessage(&answer, now() + 1);
    scene.finish(first, firstEnd, answer.status());
    if (firstEnd != ReadEnd::Good) {
        return outcome;
    }
    outcome.call = scene.newCall("stream", node.name(), true);
    channel.write(encode("POST /paid/x HTTP/1.1", Scene::streamHeaders(outcome.call->id), std::string(5000, 'p')));
    const double end = now() + client.budgetMs / 1000.0;
    scene.finish(outcome.call, readStream(channel, client.bytesPerSecond, end, &outcome.received), 200);
    return outcome;
}

/// Records how much each slow client has read.
inline void recordOutcomes(Scene &scene, const std::vector<Outcome> &outcomes)
{
    for (const Outcome &it : outcomes) {
        if (it.call) {
            scene.record.line("stream %s: %zu bytes read, %s, %.3f s after it was sent", it.call->id.c_str(), it.received,
                              it.call->end.c_str(), it.call->ended - it.call->sent);
        }
    }
}

/// LOST around planned work: records the outcomes, and returns how many requests that were sent within \a configApply seconds after the
/// SIGHUP of \a node at \a hup were passed on and cut.
inline int countPlannedLoss(Scene &scene, const std::vector<Outcome> &outcomes, const std::string &node, double hup, double configApply)
{
    recordOutcomes(scene, outcomes);
    int planned = 0;
    for (const Outcome &it : outcomes) {
        if (!it.call) {
            continue;
        }
        planned += it.call->isCut && it.call->node == node && !it.call->engine.empty() && it.call->sent <= hup + configApply ? 1 : 0;
    }
    scene.record.line("LOST around planned work %s: %d requests sent within %.0f s after the SIGHUP were passed on and cut",
                      planned > 0 ? "is broken" : "holds", planned, configApply);
    printf("LOST around planned work: %d\n", planned);
    return planned;
}

}
