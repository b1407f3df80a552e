#pragma once

#include "randomrun/simclock.h"

#include "state/configset.h"
#include "state/lease.h"
#include "state/runrecord.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Apricot::Sim {

/// Outcome of a conditional write for its caller. After Lost the write may or may not have been applied.
enum class WriteOutcome { Written, Conflict, Lost, NotDone };

/**
 * \class SimStore
 * \brief Fake of the platform's object API with versions and conditional writes.
 *
 * Simulates outages, slow responses, replies that are lost after a write was applied, and writes that are applied after their caller
 * has timed out.
 */
class SimStore
{
public:
    explicit SimStore(SimClock &clock)
        : m_clock(clock)
    {
    }

    using WriteDone = std::function<void(WriteOutcome, std::uint64_t version)>;

    void readPage(const std::string &name, std::function<void(std::optional<RunPage>)> done);
    void writePage(const std::string &name, RunPage page, WriteDone done);
    void readLease(std::function<void(std::optional<Lease>)> done);
    void writeLease(Lease lease, WriteDone done);
    void readPointer(std::function<void(std::optional<Generation>, std::uint64_t version)> done);
    void writePointer(Generation generation, std::uint64_t ifVersion, WriteDone done);

    void setOutage(bool outage)
    {
        m_outage = outage;
    }

    void setSlow(bool slow)
    {
        m_slow = slow;
    }

    void setLosesReplies(bool losesReplies)
    {
        m_losesReplies = losesReplies;
    }

    const std::map<std::string, RunPage> &pages() const
    {
        return m_pages;
    }

    const Lease &lease() const
    {
        return m_lease;
    }

    const Generation &pointer() const
    {
        return m_pointer;
    }

private:
    void read(std::function<void(bool)> done);
    void write(std::function<std::optional<std::uint64_t>()> apply, WriteDone done);
    absl::Duration latency();

    SimClock &m_clock;
    bool m_outage = false;
    bool m_slow = false;
    bool m_losesReplies = false;
    std::map<std::string, RunPage> m_pages;
    Lease m_lease;
    Generation m_pointer;
    std::uint64_t m_pointerVersion = 0;
    std::uint64_t m_version = 0;
};

}
