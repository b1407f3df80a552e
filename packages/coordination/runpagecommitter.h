#pragma once

#include "state/runrecord.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

/// Number of store objects among which the run records are distributed.
inline constexpr std::uint64_t runPageCount = 64;

/// Returns the name of the page object that contains the record of \a key.
std::string runPageName(const IdempotencyKey &key);

/// Outcome of a change that was submitted to a RunPageCommitter.
enum class ChangeOutcome { Written, Conflict, Lost };

/// Outcome of one change, identified by the ticket under which it was submitted.
struct ChangeReport
{
    std::uint64_t ticket = 0;
    ChangeOutcome outcome = ChangeOutcome::Lost;

    friend auto operator<=>(const ChangeReport &, const ChangeReport &) = default;
};

/**
 * \class RunPageCommitter
 * \brief Combines changes to many run records of one page into one conditional write.
 *
 * It does not call the store itself: beginWrite() returns the page to write, and the handle...() functions handle the replies of the store.
 */
class RunPageCommitter
{
public:
    /// Records that are older than this are removed by the next write.
    static constexpr absl::Duration retention = absl::Hours(24);

    /// Approximate size from which a page accepts no new keys. The rest of the store's object limit of one megabyte is for the
    /// answers of calls that are in progress.
    static constexpr std::size_t fullPageBytes = 500 * 1024;

    /// Submits a write of \a next, on condition that the record under its key is \a expected.
    void submitChange(std::uint64_t ticket, std::optional<RunRecord> expected, RunRecord next);

    /// Submits a write of \a next, on condition that the record under its key is absent, of the same creator, or \a createExpected;
    /// otherwise reports Conflict. \a createExpected is the record that the creator's own create expected: that create may still reach the
    /// store, and only a new version of the page causes it to be rejected.
    void submitFinal(std::uint64_t ticket, std::optional<RunRecord> createExpected, RunRecord next);

    /// Withdraws a change, unless it is part of the write in progress.
    void withdraw(std::uint64_t ticket);

    /// Whether the page has to be read before the next write.
    bool needsRead() const
    {
        return !m_page.has_value();
    }

    /// Whether changes are pending.
    bool hasWork() const
    {
        return !m_pending.empty();
    }

    /// Whether a write is in progress.
    bool isWriting() const
    {
        return !m_writing.empty();
    }

    /// Returns the page as last read or written.
    const std::optional<RunPage> &page() const
    {
        return m_page;
    }

    /// Handles a read that returned \a page.
    void handleRead(RunPage page);

    /// Starts a write of all pending changes whose conditions are met, and returns the page to write; nothing if there is none.
    /// Reports a Conflict in \a reports for each change whose condition is not met.
    std::optional<RunPage> beginWrite(absl::Time now, std::vector<ChangeReport> *reports);

    /// Handles a write that took effect as \a version.
    std::vector<ChangeReport> handleWritten(std::uint64_t version);

    /// Handles a write that was rejected as the page has another version. Its changes are written again after a read.
    void handleConflict();

    /// Handles a write whose reply was lost. The next read shows whether it took effect.
    std::vector<ChangeReport> handleLost();

private:
    struct Change
    {
        std::optional<RunRecord> expected;
        RunRecord next;
        bool isFinal = false;
    };

    static bool isConditionMet(const Change &change, const RunPage &page);

    std::optional<RunPage> m_page;
    std::optional<RunPage> m_pageInWrite; ///< page of the write in progress
    std::map<std::uint64_t, Change> m_pending; ///< by ticket
    std::map<std::uint64_t, Change> m_writing;
};

}
