#pragma once

#include "coordination/workspaceallowance.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace Apricot {

/**
 * \class AllowanceNetwork
 * \brief Nodes that share allowances over links with delay, loss and cuts, in virtual time. Records what runs, and checks it
 * against the rule for every window.
 */
class AllowanceNetwork
{
public:
    static constexpr absl::Duration step = absl::Milliseconds(5);

    struct Options
    {
        std::size_t nodeCount = 6;
        std::size_t activeCount = 0; ///< 0: all
        AllowanceTolerance tolerance{absl::Seconds(8), 0.1, 120000};
        std::vector<Allowance> allowances;
        double loss = 0.01;
        double duplication = 0.01;
        std::uint32_t seed = 1;
    };

    explicit AllowanceNetwork(Options options);

    /// Runs all nodes for \a length. In each step, each node receives the demand that \a demand returns for it and each workspace.
    void run(absl::Duration length, const std::function<double(std::size_t node, std::size_t workspace)> &demand, std::int64_t cost);

    /// Cuts the link from one node to another, or restores it.
    void setCut(const std::function<bool(std::size_t from, std::size_t to)> &isCut);

    void restart(std::size_t node);

    /// A node that is suspended does nothing. With \a countsTime, its clock continues meanwhile.
    void suspend(std::size_t node);
    void resume(std::size_t node, bool countsTime);

    void setAllowance(std::size_t workspace, const Allowance &allowance);

    /// Ends the life of a node.
    void stop(std::size_t node);

    /// The greatest part of the rule that any window has used, over all workspaces.
    double worstWindow() const;

    /// What ran of \a workspace in the last \a length.
    double spent(std::size_t workspace, absl::Duration length) const;

    /// Of what was demanded of \a workspace since the start, the part that ran.
    double servedPart(std::size_t workspace) const;

    double bytesPerSecond() const; ///< entries of reports, of the busiest node

    WorkspaceAllowances &node(std::size_t index)
    {
        return *m_nodes[index].allowances;
    }

    absl::Time localTime(std::size_t index) const
    {
        return m_now + m_nodes[index].clockOffset;
    }

private:
    struct Node
    {
        std::unique_ptr<WorkspaceAllowances> allowances;
        absl::Duration clockOffset;
        absl::Time lastReport = absl::InfinitePast();
        absl::Time lastSpending = absl::InfinitePast();
        absl::Time startedAt;
        absl::Time suspendedAt;
        absl::Time lastTick = absl::InfinitePast();
        std::vector<absl::Time> lastHeard; ///< any sign of life, for each node
        std::map<std::size_t, absl::Time> spendingHeard; ///< nodes that are not active, from which spending was heard
        std::vector<double> debt; ///< demand that has not made up a whole request yet
        bool isRunning = true;
        bool hasPlaced = false; ///< a call was admitted since the last report
        std::size_t entriesSent = 0;
    };

    struct Datagram
    {
        std::size_t from = 0;
        std::size_t to = 0;
        absl::Time sent;
        SpendingReport report;
    };

    void start(std::size_t index);
    void applyLimits(std::size_t index);
    void updatePeers(std::size_t index);
    void sendReport(std::size_t index);
    void gossip();
    void deliver();
    void arrive(std::size_t index, std::size_t workspace, std::int64_t cost);
    bool isActive(std::size_t index) const
    {
        return index < m_options.activeCount;
    }

    Options m_options;
    std::vector<Node> m_nodes;
    std::multimap<absl::Time, Datagram> m_inFlight;
    std::function<bool(std::size_t, std::size_t)> m_isCut;
    std::mt19937 m_random;
    absl::Time m_now;
    std::int64_t m_starts = 0;
    std::vector<std::vector<double>> m_runs; ///< per workspace and step
    std::vector<std::vector<double>> m_bounds; ///< the rule for the window that ends in each step
    std::vector<double> m_demanded;
};

}
