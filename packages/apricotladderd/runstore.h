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

/// The store did not answer in time; the change was taken back and will not be sent any more.
struct RunTimedOut
{
};

/**
 * \class RunStore
 * \brief Reads and writes run records, many of a page in one call. Pages are spread over lanes, each with a lock and a thread.
 */
class RunStore
{
public:
    RunStore(StoreClient &store, Journal &journal);
    ~RunStore();

    RunStore(const RunStore &) = delete;
    RunStore &operator=(const RunStore &) = delete;

    /// Reads the record of \a key as the store holds it now.
    std::variant<std::optional<RunRecord>, RunTimedOut> read(const IdempotencyKey &key, absl::Time until);

    /// Writes \a next if the record is \a expected.
    std::variant<ChangeOutcome, RunTimedOut> change(const std::optional<RunRecord> &expected, const RunRecord &next, absl::Time until);

    /// Writes \a next in the background until the store has it; see RunPageCommitter::submitFinal().
    void settle(const std::optional<RunRecord> &seen, const RunRecord &next);

    /// Waits until all that is settled in the background is written, at most for \a limit.
    bool flush(absl::Duration limit);

    /// What this node remembers of its own attempts, for nodes that ask.
    void noteAttempt(const RequestId &attempt, CreatorWord word, absl::Time now);
    CreatorWord wordOf(const RequestId &attempt) const;
    void forgetOldAttempts(absl::Time now);

private:
    static constexpr std::size_t laneCount = 4;

    struct Page
    {
        RunPageCommitter committer;
        std::uint64_t readsWanted = 0; ///< number of the latest read that somebody waits for
        std::uint64_t readsDone = 0;
        bool readRunning = false;
    };

    struct Lane
    {
        Mutex mutex;
        CondVar changed;
        std::map<std::string, Page> pages ABSL_GUARDED_BY(mutex);
        std::map<std::uint64_t, ChangeOutcome> outcomes ABSL_GUARDED_BY(mutex);
        std::set<std::uint64_t> waiting ABSL_GUARDED_BY(mutex); ///< tickets whose outcome somebody waits for
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
