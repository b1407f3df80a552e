#pragma once

#include "apricotladderd/journal.h"
#include "apricotladderd/storeclient.h"
#include "coordination/runpagecommitter.h"
#include "state/attemptstatus.h"
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

/// The store did not answer before the deadline. A change is withdrawn unless its write is already in progress.
struct RunStoreTimeout
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
    std::variant<std::optional<RunRecord>, RunStoreTimeout> read(const IdempotencyKey &key, absl::Time deadline);

    /// Writes \a next if the stored record equals \a expected.
    std::variant<ChangeOutcome, RunStoreTimeout> change(const std::optional<RunRecord> &expected, const RunRecord &next,
                                                        absl::Time deadline);

    /// Writes \a next in the background and retries after failures; see RunPageCommitter::submitFinal() for the condition.
    void writeInBackground(const std::optional<RunRecord> &lastRecord, const RunRecord &next);

    /// Waits at most \a timeout until no change is pending or being written; returns whether none is.
    bool flush(absl::Duration timeout);

    /// Records the state of an attempt of this node, for queries of other nodes.
    void recordAttempt(const RequestId &attempt, AttemptStatus status, absl::Time now);
    /// Returns the recorded state of an attempt of this node.
    AttemptStatus attemptStatus(const RequestId &attempt) const;
    /// Removes attempts whose retention has expired.
    void removeExpiredAttempts(absl::Time now);

private:
    static constexpr std::size_t shardCount = 4;

    struct Page
    {
        RunPageCommitter committer;
        std::uint64_t requestedReads = 0; ///< number of the latest requested read
        std::uint64_t completedReads = 0;
        bool readInProgress = false;
    };

    struct Shard
    {
        Mutex mutex;
        CondVar changed;
        std::map<std::string, Page> pages ABSL_GUARDED_BY(mutex);
        std::map<std::uint64_t, ChangeOutcome> outcomes ABSL_GUARDED_BY(mutex);
        std::set<std::uint64_t> pendingTickets ABSL_GUARDED_BY(mutex); ///< tickets whose outcome a caller waits for
        std::uint64_t nextTicket ABSL_GUARDED_BY(mutex) = 1;
        bool stopping ABSL_GUARDED_BY(mutex) = false;
        Thread thread;
    };

    struct Attempt
    {
        AttemptStatus status = AttemptStatus::Unknown;
        absl::Time recordedAt;
    };

    Shard &shardFor(const std::string &page);
    void run(Shard &shard);
    std::string findPendingPage(Shard &shard) ABSL_EXCLUSIVE_LOCKS_REQUIRED(shard.mutex);
    void readPage(Shard &shard, const std::string &name);
    void writePage(Shard &shard, const std::string &name, const RunPage &page);
    void processPage(Shard &shard, const std::string &name);
    static void storeOutcomes(Shard &shard, const std::vector<ChangeReport> &reports) ABSL_EXCLUSIVE_LOCKS_REQUIRED(shard.mutex);

    StoreClient &m_store;
    Journal &m_journal;
    std::array<Shard, shardCount> m_shards;
    ShardedMap<RequestId, Attempt> m_attempts;
};

}
