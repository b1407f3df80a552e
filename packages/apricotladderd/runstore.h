#pragma once

#include "apricotladderd/journal.h"
#include "apricotladderd/storeclient.h"
#include "coordination/runpagecommitter.h"
#include "state/creatorword.h"
#include "state/mutex.h"
#include "state/shardedmap.h"
#include "transport/thread.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

/// The store did not answer before the deadline. The change was withdrawn and will not be sent.
struct RunTimedOut
{
};

/**
 * \class RunStore
 * \brief Reads and writes run records; changes to records of the same page are combined into one store call.
 *
 * Pages are distributed over shards, each with its own lock and thread.
 */
class RunStore
{
public:
    RunStore(StoreClient &store, Journal &journal);
    ~RunStore();

    RunStore(const RunStore &) = delete;
    RunStore &operator=(const RunStore &) = delete;

    /// Returns the record of \a key from a read of the store that starts after this call; empty if there is none.
    std::variant<std::optional<RunRecord>, RunTimedOut> read(const IdempotencyKey &key, absl::Time until);

    /// Writes \a next if the stored record equals \a expected.
    std::variant<ChangeOutcome, RunTimedOut> change(const std::optional<RunRecord> &expected, const RunRecord &next, absl::Time until);

    /// Writes \a next in the background and retries after failures; see RunPageCommitter::settle() for the condition.
    void settle(const std::optional<RunRecord> &seen, const RunRecord &next);

    /// Waits at most \a limit until all background writes have finished; returns whether they have.
    bool flush(absl::Duration limit);

    /// Records the state of an attempt of this node, for queries of other nodes.
    void noteAttempt(const RequestId &attempt, CreatorWord word, absl::Time now);
    /// Returns the recorded state of an attempt of this node.
    CreatorWord wordOf(const RequestId &attempt) const;
    /// Removes attempts whose retention has expired.
    void forgetOldAttempts(absl::Time now);

private:
    static constexpr std::size_t laneCount = 4;

    struct Page
    {
        RunPageCommitter committer;
        std::uint64_t readsWanted = 0; ///< number of the latest requested read
        std::uint64_t readsDone = 0;
        bool readRunning = false;
    };

    struct Lane
    {
        Mutex mutex;
        CondVar changed;
        std::map<std::string, Page> pages ABSL_GUARDED_BY(mutex);
        std::map<std::uint64_t, ChangeOutcome> outcomes ABSL_GUARDED_BY(mutex);
        std::set<std::uint64_t> waiting ABSL_GUARDED_BY(mutex); ///< tickets whose outcome a caller waits for
        std::uint64_t nextTicket ABSL_GUARDED_BY(mutex) = 1;
        bool stopping ABSL_GUARDED_BY(mutex) = false;
        Thread thread;
    };

    struct Attempt
    {
        CreatorWord word = CreatorWord::Unknown;
        absl::Time noted;
    };

    Lane &laneOf(const std::string &page);
    void run(Lane &lane);
    std::string findWork(Lane &lane) ABSL_EXCLUSIVE_LOCKS_REQUIRED(lane.mutex);
    void readPage(Lane &lane, const std::string &name);
    void writePage(Lane &lane, const std::string &name, const RunPage &page);
    void serve(Lane &lane, const std::string &name);
    static void report(Lane &lane, const std::vector<ChangeReport> &reports) ABSL_EXCLUSIVE_LOCKS_REQUIRED(lane.mutex);

    StoreClient &m_store;
    Journal &m_journal;
    std::array<Lane, laneCount> m_lanes;
    ShardedMap<RequestId, Attempt> m_attempts;
};

}
