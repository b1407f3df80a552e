#include "endpointtrial.h"

#include "coordination/servicepool.h"
#include "state/overloaded.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace Apricot {

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const DataCentreName here("here");

constexpr absl::Duration baseCallTime = absl::Milliseconds(30);
constexpr double stallFactor = 2.5;
constexpr absl::Duration stallBegin = absl::Seconds(4);
constexpr absl::Duration stallTime = absl::Milliseconds(600);
constexpr absl::Duration networkDelay = absl::Microseconds(500);
constexpr absl::Duration reportInterval = absl::Milliseconds(195);
constexpr absl::Duration reportDelay = absl::Milliseconds(5);
constexpr absl::Duration maxWait = absl::Milliseconds(80);
constexpr absl::Duration warmUp = absl::Seconds(2);
constexpr absl::Duration sampleInterval = absl::Milliseconds(5);

class Simulation
{
public:
    explicit Simulation(const EndpointTrial &trial)
        : m_trial(trial)
        , m_random(trial.seed)
        , m_nodes(static_cast<std::size_t>(trial.nodes))
        , m_endpoints(trial.slowness.size())
    {
        for (Node &node : m_nodes) {
            node.pool.setEndpointPolicy(trial.policy);
            for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
                node.pool.apply(EngineEntry::Builder()
                                    .set(&EngineEntryFields::id, EngineId("e" + std::to_string(i)))
                                    .set(&EngineEntryFields::dataCentre, here)
                                    .set(&EngineEntryFields::slots, EndpointTrial::slots)
                                    .build());
            }
        }
    }

    EndpointTrialResult run()
    {
        const absl::Time end = start + m_trial.duration;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            at(start + reportInterval * uniform(), [this, i] { report(i); });
        }
        at(start, [this] { arrive(); });
        at(start + warmUp, [this] { sample(); });
        while (!m_events.empty() && m_events.begin()->first <= end) {
            m_now = m_events.begin()->first;
            const std::function<void()> event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        return result();
    }

private:
    struct Call
    {
        std::size_t node = 0;
        absl::Time arrival;
        PlainDemand demand;
        bool isCounted = false;
        WaiterId waiter = 0;
    };
    using CallPtr = std::shared_ptr<Call>;

    struct Node
    {
        ServicePool pool;
        std::map<WaiterId, CallPtr> waiting;
    };

    struct Job
    {
        CallPtr call;
        PlainPlacement placement;
        absl::Time sent;
    };

    struct Endpoint
    {
        std::int64_t running = 0;
        std::vector<Job> queued;
    };

    void at(absl::Time time, std::function<void()> event)
    {
        m_events.emplace(time, std::move(event));
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    double capacityPerSecond() const
    {
        double perSecond = 0;
        for (const double it : m_trial.slowness) {
            perSecond += EndpointTrial::slots / absl::ToDoubleSeconds(baseCallTime * it);
        }
        return perSecond;
    }

    bool isMeasured() const
    {
        return m_now >= start + warmUp;
    }

    void arrive()
    {
        const double perSecond = m_trial.load * capacityPerSecond();
        at(m_now + absl::Seconds(-std::log(1 - uniform()) / perSecond), [this] { arrive(); });
        const auto call = std::make_shared<Call>();
        call->node = static_cast<std::size_t>(uniform() * static_cast<double>(m_nodes.size()));
        call->arrival = m_now;
        call->isCounted = isMeasured();
        call->demand = PlainDemand{here, {}, 0, uniform()};
        m_result.offered += call->isCounted ? 1 : 0;
        place(call);
    }

    void place(const CallPtr &call)
    {
        ServicePool &pool = m_nodes[call->node].pool;
        std::visit(Overloaded{
                       [&](const PlainPlacement &it) { send(call, it); },
                       [&](const EndpointsFull &it) { waitOrRefuse(call, it.expectedWait); },
                       [&](const NoEndpoint &) { m_result.refusedByNode += call->isCounted ? 1 : 0; },
                   },
                   pool.placeNewPlainCall(call->demand, m_now));
    }

    void waitOrRefuse(const CallPtr &call, absl::Duration expectedWait)
    {
        Node &node = m_nodes[call->node];
        const absl::Duration left = call->arrival + maxWait - m_now;
        call->waiter = ++m_lastWaiter;
        if (expectedWait > left || !node.pool.addPlainWaiter(call->waiter, call->demand)) {
            m_result.refusedByNode += call->isCounted ? 1 : 0;
            return;
        }
        node.waiting[call->waiter] = call;
        at(m_now + left, [this, call, waiter = call->waiter] {
            Node &waitingNode = m_nodes[call->node];
            if (waitingNode.waiting.erase(waiter) > 0) {
                waitingNode.pool.removePlainWaiter(waiter);
                m_result.refusedByNode += call->isCounted ? 1 : 0;
            }
        });
        grant(call->node);
        recheck(call->node);
    }

    void recheck(std::size_t node)
    {
        at(m_now + absl::Milliseconds(20), [this, node] {
            if (!m_nodes[node].waiting.empty()) {
                grant(node);
            }
        });
    }

    void grant(std::size_t index)
    {
        Node &node = m_nodes[index];
        for (const Grant &it : node.pool.grantPlainCalls(m_now)) {
            const auto call = node.waiting.extract(it.waiter).mapped();
            send(call, PlainPlacement{it.placement.decode, it.placement.requestsAhead});
        }
    }

    void send(const CallPtr &call, const PlainPlacement &placement)
    {
        at(m_now + networkDelay, [this, job = Job{call, placement, m_now}] { receive(job); });
    }

    std::size_t indexOf(const PlainPlacement &placement) const
    {
        return static_cast<std::size_t>(std::stoi(placement.engine->id.text().substr(1)));
    }

    void receive(const Job &job)
    {
        const std::size_t index = indexOf(job.placement);
        Endpoint &endpoint = m_endpoints[index];
        if (endpoint.running < EndpointTrial::slots) {
            begin(index, job);
        } else if (static_cast<std::int64_t>(endpoint.queued.size()) < m_trial.queue) {
            endpoint.queued.push_back(job);
        } else {
            const bool isOtherIdle
                = std::any_of(m_endpoints.begin(), m_endpoints.end(), [](const Endpoint &it) { return it.running < EndpointTrial::slots; });
            if (isMeasured()) {
                ++m_result.refusedByEndpoint;
                m_result.refusedWhileOthersIdle += isOtherIdle ? 1 : 0;
            }
            at(m_now + networkDelay, [this, job] { handleRefusal(job); });
        }
    }

    void begin(std::size_t index, const Job &job)
    {
        ++m_endpoints[index].running;
        const bool isStalled
            = static_cast<int>(index) == m_trial.stalledEndpoint && m_now >= start + stallBegin && m_now < start + stallBegin + stallTime;
        const double variation = 0.7 + 0.6 * uniform();
        at(m_now + baseCallTime * m_trial.slowness[index] * variation * (isStalled ? stallFactor : 1), [this, index, job] {
            Endpoint &endpoint = m_endpoints[index];
            --endpoint.running;
            if (!endpoint.queued.empty()) {
                const Job next = endpoint.queued.front();
                endpoint.queued.erase(endpoint.queued.begin());
                begin(index, next);
            }
            at(m_now + networkDelay, [this, job] { handleAnswer(job); });
        });
    }

    void handleAnswer(const Job &job)
    {
        Node &node = m_nodes[job.call->node];
        node.pool.release(EngineReservation{job.placement.engine->id, 1, 0, std::nullopt});
        node.pool.recordPlainAnswer(job.placement, m_now - job.sent, m_now);
        if (job.call->isCounted) {
            ++m_result.served;
            m_times.push_back(absl::ToDoubleMilliseconds(m_now - job.call->arrival));
        }
        m_answered += isMeasured() ? 1 : 0;
        grant(job.call->node);
    }

    void handleRefusal(const Job &job)
    {
        Node &node = m_nodes[job.call->node];
        node.pool.release(EngineReservation{job.placement.engine->id, 1, 0, std::nullopt});
        node.pool.recordPlainRefusal(job.placement, m_now);
    }

    void report(std::size_t sender)
    {
        at(m_now + reportInterval, [this, sender] { report(sender); });
        at(m_now + reportDelay, [this, sender, loads = m_nodes[sender].pool.ownLoads()] {
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                if (i != sender) {
                    m_nodes[i].pool.setPeerLoads(NodeId("n" + std::to_string(sender)), loads, {}, m_now);
                    grant(i);
                }
            }
        });
    }

    void sample()
    {
        at(m_now + sampleInterval, [this] { sample(); });
        double fullest = 0;
        double emptiest = 1e9;
        double idle = 0;
        bool isQueued = false;
        for (const Endpoint &it : m_endpoints) {
            const auto calls = static_cast<double>(it.running + static_cast<std::int64_t>(it.queued.size()));
            fullest = std::max(fullest, calls);
            emptiest = std::min(emptiest, calls);
            idle += static_cast<double>(EndpointTrial::slots - it.running);
            isQueued = isQueued || !it.queued.empty();
        }
        ++m_samples;
        m_result.spread += (fullest - emptiest) / EndpointTrial::slots;
        m_result.idleShare
            += isQueued ? idle / static_cast<double>(EndpointTrial::slots * static_cast<std::int64_t>(m_endpoints.size())) : 0;
    }

    EndpointTrialResult result()
    {
        m_result.spread /= m_samples;
        m_result.idleShare /= m_samples;
        // Calls that are still in progress at the end are neither served nor refused.
        const int refused = m_result.refusedByNode + m_result.refusedByEndpoint;
        m_result.refusedShare = static_cast<double>(refused) / std::max(1, m_result.offered);
        m_result.capacityShare = m_answered / (capacityPerSecond() * absl::ToDoubleSeconds(m_trial.duration - warmUp));
        std::sort(m_times.begin(), m_times.end());
        if (!m_times.empty()) {
            m_result.medianMs = m_times[m_times.size() / 2];
            m_result.p99Ms = m_times[m_times.size() * 99 / 100];
        }
        return m_result;
    }

    const EndpointTrial &m_trial;
    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    std::vector<Endpoint> m_endpoints;
    std::multimap<absl::Time, std::function<void()>> m_events;
    absl::Time m_now = start;
    WaiterId m_lastWaiter = 0;
    EndpointTrialResult m_result;
    std::vector<double> m_times;
    int m_samples = 0;
    int m_answered = 0;
};

}

std::string EndpointTrialResult::text() const
{
    return absl::StrFormat(
        "refused %.3f (endpoint %d, others idle %d, node %d) capacity %.3f spread %.2f idle %.3f median %.1f ms p99 %.1f ms", refusedShare,
        refusedByEndpoint, refusedWhileOthersIdle, refusedByNode, capacityShare, spread, idleShare, medianMs, p99Ms);
}

EndpointTrialResult runTrial(const EndpointTrial &trial)
{
    return Simulation(trial).run();
}

}
