#include "apricotladderd/runstore.h"

#include "protocol/objectjson.h"
#include "state/overloaded.h"

#include <absl/hash/hash.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

const std::string pageKind = "RunPage";

constexpr absl::Duration idleWait = absl::Seconds(1);

/// Delay after a failed store call.
constexpr absl::Duration retryDelay = absl::Milliseconds(50);

/// Retention of attempts, for queries of other nodes.
constexpr absl::Duration attemptRetention = absl::Minutes(10);

}

RunStore::RunStore(StoreClient &store, Journal &journal)
    : m_store(store)
    , m_journal(journal)
{
    for (Shard &shard : m_shards) {
        shard.thread = Thread("run-store", [this, &shard] { run(shard); });
    }
}

RunStore::~RunStore()
{
    for (Shard &shard : m_shards) {
        {
            const MutexLock lock(shard.mutex);
            shard.stopping = true;
        }
        shard.changed.signalAll();
        shard.thread.join();
    }
}

std::variant<std::optional<RunRecord>, RunStoreTimeout> RunStore::read(const IdempotencyKey &key, absl::Time deadline)
{
    const std::string name = runPageName(key);
    Shard &shard = shardFor(name);
    const MutexLock lock(shard.mutex);
    Page &page = shard.pages[name];
    // A read in progress may return a state from before this call, so this call waits for the next read.
    const std::uint64_t awaitedRead = page.completedReads + (page.readInProgress ? 2 : 1);
    page.requestedReads = std::max(page.requestedReads, awaitedRead);
    shard.changed.signalAll();
    while (page.completedReads < awaitedRead && absl::Now() < deadline) {
        shard.changed.waitFor(shard.mutex, deadline - absl::Now());
    }
    if (page.completedReads < awaitedRead || !page.committer.page()) {
        return RunStoreTimeout{};
    }
    const auto &records = (*page.committer.page())->records;
    const auto it = records.find(key);
    return it == records.end() ? std::optional<RunRecord>() : std::optional<RunRecord>(it->second);
}

std::variant<ChangeOutcome, RunStoreTimeout> RunStore::change(const std::optional<RunRecord> &expected, const RunRecord &next,
                                                              absl::Time deadline)
{
    const std::string name = runPageName(next->key);
    Shard &shard = shardFor(name);
    const MutexLock lock(shard.mutex);
    const std::uint64_t ticket = shard.nextTicket++;
    shard.pendingTickets.insert(ticket);
    shard.pages[name].committer.submitChange(ticket, expected, next);
    shard.changed.signalAll();
    while (!shard.outcomes.contains(ticket) && absl::Now() < deadline) {
        shard.changed.waitFor(shard.mutex, deadline - absl::Now());
    }
    shard.pendingTickets.erase(ticket);
    const auto it = shard.outcomes.find(ticket);
    if (it == shard.outcomes.end()) {
        shard.pages[name].committer.withdraw(ticket);
        return RunStoreTimeout{};
    }
    const ChangeOutcome outcome = it->second;
    shard.outcomes.erase(it);
    return outcome;
}

void RunStore::writeInBackground(const std::optional<RunRecord> &lastRecord, const RunRecord &next)
{
    const std::string name = runPageName(next->key);
    Shard &shard = shardFor(name);
    const MutexLock lock(shard.mutex);
    shard.pages[name].committer.submitFinal(shard.nextTicket++, lastRecord, next);
    shard.changed.signalAll();
}

bool RunStore::flush(absl::Duration timeout)
{
    const absl::Time deadline = absl::Now() + timeout;
    bool allWritten = true;
    for (Shard &shard : m_shards) {
        const MutexLock lock(shard.mutex);
        const auto busy = [&shard]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(shard.mutex) {
            for (const auto &[name, page] : shard.pages) {
                if (page.committer.hasWork() || page.committer.isWriting()) {
                    return true;
                }
            }
            return false;
        };
        while (busy() && absl::Now() < deadline) {
            shard.changed.waitFor(shard.mutex, deadline - absl::Now());
        }
        allWritten = allWritten && !busy();
    }
    return allWritten;
}

void RunStore::recordAttempt(const RequestId &attempt, AttemptStatus status, absl::Time now)
{
    m_attempts.update(attempt, [&](Attempt &it) { it = Attempt{status, now}; });
}

AttemptStatus RunStore::attemptStatus(const RequestId &attempt) const
{
    return m_attempts.find(attempt).status;
}

void RunStore::removeExpiredAttempts(absl::Time now)
{
    m_attempts.eraseIf([&](const RequestId &, const Attempt &it) { return now - it.recordedAt > attemptRetention; });
}

RunStore::Shard &RunStore::shardFor(const std::string &page)
{
    return m_shards[absl::Hash<std::string>{}(page) % shardCount];
}

void RunStore::run(Shard &shard)
{
    while (true) {
        std::string name;
        {
            const MutexLock lock(shard.mutex);
            name = findPendingPage(shard);
            while (name.empty() && !shard.stopping) {
                shard.changed.waitFor(shard.mutex, idleWait);
                name = findPendingPage(shard);
            }
            if (shard.stopping) {
                return;
            }
        }
        processPage(shard, name);
    }
}

std::string RunStore::findPendingPage(Shard &shard)
{
    for (const auto &[name, page] : shard.pages) {
        if (page.requestedReads > page.completedReads || page.committer.hasWork()) {
            return name;
        }
    }
    return {};
}

void RunStore::processPage(Shard &shard, const std::string &name)
{
    std::optional<RunPage> toWrite;
    bool read = false;
    {
        const MutexLock lock(shard.mutex);
        Page &page = shard.pages[name];
        read = page.requestedReads > page.completedReads || page.committer.needsRead();
        if (read) {
            page.readInProgress = true;
        } else {
            std::vector<ChangeReport> reports;
            toWrite = page.committer.beginWrite(absl::Now(), &reports);
            storeOutcomes(shard, reports);
        }
    }
    if (read) {
        readPage(shard, name);
    } else if (toWrite) {
        writePage(shard, name, *toWrite);
    } else {
        // The remaining changes wait for free space on a full page.
        absl::SleepFor(retryDelay);
    }
}

void RunStore::readPage(Shard &shard, const std::string &name)
{
    const auto read = toVariant<RunPage>([&]() -> Result<RunPage> {
        BOOST_LEAF_AUTO(object, m_store.get(pageKind, name));
        if (!object) {
            return RunPage();
        }
        return decodeRunPage(*object);
    });
    const auto *page = std::get_if<RunPage>(&read);
    {
        const MutexLock lock(shard.mutex);
        Page &entry = shard.pages[name];
        entry.readInProgress = false;
        if (page != nullptr) {
            entry.committer.handleRead(*page);
            ++entry.completedReads;
        }
        shard.changed.signalAll();
    }
    if (page == nullptr) {
        m_journal.record(RequestId(), "store.readFailed", std::get<Error>(read).message);
        absl::SleepFor(retryDelay);
    }
}

void RunStore::writePage(Shard &shard, const std::string &name, const RunPage &page)
{
    const StoreWriteResult result = m_store.put(pageKind, name, page->version, encodeRunPage(page));
    bool failed = false;
    {
        const MutexLock lock(shard.mutex);
        RunPageCommitter &committer = shard.pages[name].committer;
        std::vector<ChangeReport> reports;
        std::visit(Overloaded{
                       [&](const StoreWritten &it) { reports = committer.handleWritten(it.version); },
                       [&](const StoreVersionConflict &) { committer.handleConflict(); },
                       [&](const StoreReplyLost &) {
                           reports = committer.handleLost();
                           failed = true;
                       },
                       [&](const StoreNotWritten &) {
                           committer.handleConflict();
                           failed = true;
                       },
                   },
                   result);
        storeOutcomes(shard, reports);
        shard.changed.signalAll();
    }
    if (failed) {
        absl::SleepFor(retryDelay);
    }
}

void RunStore::storeOutcomes(Shard &shard, const std::vector<ChangeReport> &reports)
{
    for (const ChangeReport &it : reports) {
        if (shard.pendingTickets.contains(it.ticket)) {
            shard.outcomes[it.ticket] = it.outcome;
        }
    }
    shard.changed.signalAll();
}

}
