#pragma once

#include "state/runrecord.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

/// Number of store objects over which the run records are spread.
inline constexpr std::uint64_t runPageCount = 64;

/// Name of the page object that holds the record of \a key.
std::string runPageName(const IdempotencyKey &key);

/// What became of a change that was handed to a RunPageCommitter.
enum class ChangeOutcome { Written, Conflict, Lost };

/// Outcome of one change, by the ticket under which it was submitted.
struct ChangeReport
{
    std::uint64_t ticket = 0;
    ChangeOutcome outcome = ChangeOutcome::Lost;

    friend auto operator<=>(const ChangeReport &, const ChangeReport &) = default;
};

/**
 * \class RunPageCommitter
 * \brief Commits many run records of one page in one conditional write.
 *
 * It makes no call itself: wanted() says which page to write, the on...() functions take in what the store said.
 */
class RunPageCommitter
{
public:
    /// Records are dropped when they are older than this and no longer dispatching.
    static constexpr absl::Duration retention = absl::Hours(24);

    /// A page of this many bytes takes no new keys. The rest of the store's megabyte is for the answers of calls under way.
    static constexpr std::size_t fullAtBytes = 500 * 1024;

    /// Writes \a next if the record under its key is \a expected.
    void change(std::uint64_t ticket, std::optional<RunRecord> expected, RunRecord next);

    /// Writes \a next if the record under its key is absent, of the same creator, or \a seen; otherwise reports Conflict.
    /// \a seen is what the creator's own create expected: that create may still be on its way, and only a new version of
    /// the page keeps it out.
    void settle(std::uint64_t ticket, std::optional<RunRecord> seen, RunRecord next);

    /// Takes a change back that is not in a write at the moment.
    void withdraw(std::uint64_t ticket);

    bool needsRead() const
    {
        return !m_page.has_value();
    }

    bool hasWork() const
    {
        return !m_pending.empty();
    }

    bool isWriting() const
    {
        return !m_writing.empty();
    }

    /// The page as last read or written.
    const std::optional<RunPage> &page() const
    {
        return m_page;
    }

    /// Takes in the page as the store holds it.
    void onRead(RunPage page);

    /// Starts a write of all pending changes that hold; the changes that do not are added to \a reports.
    std::optional<RunPage> wanted(absl::Time now, std::vector<ChangeReport> *reports);

    /// The write took effect as \a version.
    std::vector<ChangeReport> onWritten(std::uint64_t version);

    /// The page had another version: its changes are tried again after a read.
    void onConflict();

    /// The reply was lost: whether it took effect shows at the next read.
    std::vector<ChangeReport> onLost();

private:
    struct Change
    {
        std::optional<RunRecord> expected;
        RunRecord next;
        bool settles = false;
    };

    static bool holds(const Change &change, const RunPage &page);

    std::optional<RunPage> m_page;
    std::optional<RunPage> m_written; ///< page of the write in progress
    std::map<std::uint64_t, Change> m_pending; ///< by ticket
    std::map<std::uint64_t, Change> m_writing;
};

}
