#include "allowancenetwork.h"

#include <algorithm>
#include <numeric>
#include <variant>

namespace Apricot {

namespace {

constexpr absl::Duration tickInterval = absl::Milliseconds(200);
/// When the gossip finds that a node is dead.
constexpr absl::Duration deadAfter = absl::Milliseconds(1300);

/// Longer than the batch delay of load reports, as a node may be slow.
constexpr absl::Duration loadReportInterval = absl::Milliseconds(40);

constexpr absl::Duration reportInterval = absl::Milliseconds(40);
constexpr absl::Duration standbyReportTime = absl::Seconds(3);
constexpr absl::Duration settlingTime = absl::Milliseconds(1500);
constexpr std::size_t maxEntries = 32;
constexpr std::size_t minSharers = 6;

}

AllowanceNetwork::AllowanceNetwork(Options options)
    : m_options(std::move(options))
    , m_nodes(m_options.nodeCount)
    , m_isCut([](std::size_t, std::size_t) { return false; })
    , m_random(m_options.seed)
    , m_now(absl::UnixEpoch() + absl::Hours(3))
    , m_runs(m_options.allowances.size())
    , m_bounds(m_options.allowances.size())
    , m_demanded(m_options.allowances.size(), 0.0)
{
    m_options.activeCount = m_options.activeCount == 0 ? m_options.nodeCount : m_options.activeCount;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodes[i].clockOffset = absl::Hours(static_cast<double>(m_random() % 100)); // The clocks of nodes differ.
        start(i);
    }
}

void AllowanceNetwork::start(std::size_t index)
{
    Node &node = m_nodes[index];
    const std::uint64_t firstEpoch = 1796000000000 + static_cast<std::uint64_t>(++m_starts) * 100000;
    node.allowances = std::make_unique<WorkspaceAllowances>(firstEpoch, m_options.tolerance, localTime(index));
    node.startedAt = m_now;
    node.isRunning = true;
    node.spendingHeard.clear();
    node.lastHeard.assign(m_nodes.size(), absl::InfinitePast());
    node.debt.assign(m_options.allowances.size(), 0.0);
    applyLimits(index);
    updatePeers(index);
}

void AllowanceNetwork::applyLimits(std::size_t index)
{
    std::vector<LimitedWorkspace> limits;
    for (std::size_t i = 0; i < m_options.allowances.size(); ++i) {
        if (m_options.allowances[i]->ratePerSecond > 0) {
            limits.push_back(LimitedWorkspace{i, makeAllowanceLimit(m_options.allowances[i], m_options.tolerance)});
        }
    }
    m_nodes[index].allowances->setLimits(limits, localTime(index));
}

void AllowanceNetwork::updatePeers(std::size_t index)
{
    AllowancePeers peers;
    std::size_t reachable = 0;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const bool isReachable
            = i == index || m_now - m_nodes[index].lastHeard[i] < deadAfter || m_now < m_nodes[index].startedAt + deadAfter;
        reachable += isReachable ? 1 : 0;
        if (i != index && isActive(i) && isReachable) {
            peers.active.push_back(i);
        }
    }
    const bool isSettled = m_now - m_nodes[index].startedAt >= settlingTime;
    peers.sharerCount = std::max(peers.active.size() + 1, isSettled ? 1 : minSharers);
    peers.reachableFraction = static_cast<double>(reachable) / static_cast<double>(m_nodes.size());
    m_nodes[index].allowances->setPeers(peers, localTime(index));
}

void AllowanceNetwork::setCut(const std::function<bool(std::size_t, std::size_t)> &isCut)
{
    m_isCut = isCut;
}

void AllowanceNetwork::restart(std::size_t node)
{
    start(node);
}

void AllowanceNetwork::stop(std::size_t node)
{
    m_nodes[node].isRunning = false;
}

void AllowanceNetwork::suspend(std::size_t node)
{
    m_nodes[node].isRunning = false;
    m_nodes[node].suspendedAt = m_now;
}

void AllowanceNetwork::resume(std::size_t node, bool countsTime)
{
    m_nodes[node].isRunning = true;
    m_nodes[node].clockOffset -= countsTime ? absl::ZeroDuration() : m_now - m_nodes[node].suspendedAt;
}

void AllowanceNetwork::setAllowance(std::size_t workspace, const Allowance &allowance)
{
    m_options.allowances[workspace] = allowance;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        applyLimits(i);
    }
}

void AllowanceNetwork::sendReport(std::size_t index)
{
    Node &node = m_nodes[index];
    const bool spendingIsDue = m_now - node.lastSpending >= reportInterval;
    // Each call that is placed changes the load of an engine, which is reported soon.
    const bool hasNews = node.hasPlaced && m_now - node.lastReport >= loadReportInterval;
    const bool isDue = hasNews || m_now - node.lastReport >= tickInterval || (spendingIsDue && node.allowances->hasUrgentChange());
    if (!isDue) {
        return;
    }
    node.lastReport = m_now;
    node.hasPlaced = false;
    SpendingReport report;
    if (spendingIsDue) {
        node.lastSpending = m_now;
        report = node.allowances->report(maxEntries, localTime(index));
        node.entriesSent += report.size();
    }
    if (report.empty() && !isActive(index)) {
        return;
    }
    for (std::size_t to = 0; to < m_nodes.size(); ++to) {
        const auto heard = node.spendingHeard.find(to);
        const bool isTarget = isActive(to) || (heard != node.spendingHeard.end() && m_now - heard->second < standbyReportTime);
        const bool isLost = std::generate_canonical<double, 32>(m_random) < m_options.loss;
        if (to == index || !isTarget || isLost || m_isCut(index, to)) {
            continue;
        }
        const int copies = std::generate_canonical<double, 32>(m_random) < m_options.duplication ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            m_inFlight.emplace(m_now + absl::Milliseconds(1 + static_cast<int>(m_random() % 14)), Datagram{index, to, m_now, report});
        }
    }
}

void AllowanceNetwork::deliver()
{
    while (!m_inFlight.empty() && m_inFlight.begin()->first <= m_now) {
        const Datagram datagram = std::move(m_inFlight.begin()->second);
        m_inFlight.erase(m_inFlight.begin());
        Node &node = m_nodes[datagram.to];
        if (!node.isRunning) {
            continue;
        }
        if (!datagram.report.empty() && !isActive(datagram.from)) {
            node.spendingHeard[datagram.from] = m_now;
        }
        node.allowances->recordHeard(datagram.from, localTime(datagram.to) - (m_now - datagram.sent), localTime(datagram.to));
        node.allowances->merge(datagram.from, datagram.report, localTime(datagram.to));
    }
}

/// The gossip finds out which nodes are alive.
void AllowanceNetwork::gossip()
{
    for (std::size_t to = 0; to < m_nodes.size(); ++to) {
        for (std::size_t from = 0; from < m_nodes.size(); ++from) {
            if (m_nodes[from].isRunning && m_nodes[to].isRunning && !m_isCut(from, to)) {
                m_nodes[to].lastHeard[from] = m_now;
            }
        }
    }
}

void AllowanceNetwork::arrive(std::size_t index, std::size_t workspace, std::int64_t cost)
{
    m_demanded[workspace] += static_cast<double>(cost);
    const ChargeResult result = m_nodes[index].allowances->admit(workspace, cost, localTime(index));
    if (std::holds_alternative<ChargedCost>(result)) {
        m_runs[workspace].back() += static_cast<double>(cost);
        m_nodes[index].hasPlaced = true;
    }
}

void AllowanceNetwork::run(absl::Duration length, const std::function<double(std::size_t node, std::size_t workspace)> &demand,
                           std::int64_t cost)
{
    const absl::Time end = m_now + length;
    for (; m_now < end; m_now += step) {
        for (std::size_t w = 0; w < m_runs.size(); ++w) {
            const AllowanceTolerance &tolerance = m_options.tolerance;
            const Allowance &allowance = m_options.allowances[w];
            m_runs[w].push_back(0);
            m_bounds[w].resize(m_runs[w].size(),
                               (allowance->ratePerSecond * absl::ToDoubleSeconds(tolerance.window) + allowance->burst)
                                       * (1 + tolerance.overage)
                                   + tolerance.headroom);
        }
        gossip();
        deliver();
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (!m_nodes[i].isRunning) {
                continue;
            }
            if (m_now - m_nodes[i].lastTick >= tickInterval) {
                m_nodes[i].lastTick = m_now;
                updatePeers(i);
            }
            for (std::size_t w = 0; w < m_runs.size(); ++w) {
                double &debt = m_nodes[i].debt[w];
                debt += demand(i, w) * absl::ToDoubleSeconds(step);
                for (; debt >= static_cast<double>(cost); debt -= static_cast<double>(cost)) {
                    arrive(i, w, cost);
                }
            }
            sendReport(i);
        }
    }
}

double AllowanceNetwork::worstWindow() const
{
    const auto window = static_cast<std::size_t>(m_options.tolerance.window / step);
    double worst = 0;
    for (std::size_t w = 0; w < m_runs.size(); ++w) {
        double sum = 0;
        for (std::size_t i = 0; i < m_runs[w].size(); ++i) {
            sum += m_runs[w][i] - (i >= window ? m_runs[w][i - window] : 0);
            // A lower limit applies one window after the nodes have learnt it.
            const double bound = std::max(m_bounds[w][i >= window ? i - window : 0], m_bounds[w][i]);
            worst = std::max(worst, sum / bound);
        }
    }
    return worst;
}

double AllowanceNetwork::spent(std::size_t workspace, absl::Duration length) const
{
    const std::vector<double> &runs = m_runs[workspace];
    return std::accumulate(runs.end() - static_cast<std::ptrdiff_t>(length / step), runs.end(), 0.0);
}

double AllowanceNetwork::servedPart(std::size_t workspace) const
{
    return std::accumulate(m_runs[workspace].begin(), m_runs[workspace].end(), 0.0) / m_demanded[workspace];
}

double AllowanceNetwork::bytesPerSecond() const
{
    constexpr double bytesPerEntry = 20;
    const double seconds = static_cast<double>(m_runs.front().size()) * absl::ToDoubleSeconds(step);
    std::size_t most = 0;
    for (const Node &node : m_nodes) {
        most = std::max(most, node.entriesSent);
    }
    return static_cast<double>(most) * bytesPerEntry * static_cast<double>(m_options.activeCount - 1) / seconds;
}

}
