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

constexpr absl::Duration laneWait = absl::Seconds(1);

/// Delay after a failed store call.
constexpr absl::Duration failurePause = absl::Milliseconds(50);

/// Retention of attempts, for queries of other nodes.
constexpr absl::Duration rememberAttempts = absl::Minutes(10);

}

RunStore::RunStore(StoreClient &store, Journal &journal)
    : m_store(store)
    , m_journal(journal)
{
    for (Lane &lane : m_lanes) {
        lane.thread = Thread("run-store", [this, &lane] { run(lane); });
    }
}

RunStore::~RunStore()
{
    for (Lane &lane : m_lanes) {
        {
            const MutexLock lock(lane.mutex);
            lane.stopping = true;
        }
        lane.changed.signalAll();
        lane.thread.join();
    }
}

std::variant<std::optional<RunRecord>, RunTimedOut> RunStore::read(const IdempotencyKey &key, absl::Time until)
{
    const std::string name = runPageName(key);
    Lane &lane = laneOf(name);
    const MutexLock lock(lane.mutex);
    Page &page = lane.pages[name];
    // A read in progress may return a state from before this call, so this call waits for the next read.
    const std::uint64_t wanted = page.readsDone + (page.readRunning ? 2 : 1);
    page.readsWanted = std::max(page.readsWanted, wanted);
    lane.changed.signalAll();
    while (page.readsDone < wanted && absl::Now() < until) {
        lane.changed.waitFor(lane.mutex, until - absl::Now());
    }
    if (page.readsDone < wanted || !page.committer.page()) {
        return RunTimedOut{};
    }
    const auto &records = (*page.committer.page())->records;
    const auto it = records.find(key);
    return it == records.end() ? std::optional<RunRecord>() : std::optional<RunRecord>(it->second);
}

std::variant<ChangeOutcome, RunTimedOut> RunStore::change(const std::optional<RunRecord> &expected, const RunRecord &next, absl::Time until)
{
    const std::string name = runPageName(next->key);
    Lane &lane = laneOf(name);
    const MutexLock lock(lane.mutex);
    const std::uint64_t ticket = lane.nextTicket++;
    lane.waiting.insert(ticket);
    lane.pages[name].committer.change(ticket, expected, next);
    lane.changed.signalAll();
    while (!lane.outcomes.contains(ticket) && absl::Now() < until) {
        lane.changed.waitFor(lane.mutex, until - absl::Now());
    }
    lane.waiting.erase(ticket);
    const auto it = lane.outcomes.find(ticket);
    if (it == lane.outcomes.end()) {
        lane.pages[name].committer.withdraw(ticket);
        return RunTimedOut{};
    }
    const ChangeOutcome outcome = it->second;
    lane.outcomes.erase(it);
    return outcome;
}

void RunStore::settle(const std::optional<RunRecord> &seen, const RunRecord &next)
{
    const std::string name = runPageName(next->key);
    Lane &lane = laneOf(name);
    const MutexLock lock(lane.mutex);
    lane.pages[name].committer.settle(lane.nextTicket++, seen, next);
    lane.changed.signalAll();
}

bool RunStore::flush(absl::Duration limit)
{
    const absl::Time until = absl::Now() + limit;
    bool clean = true;
    for (Lane &lane : m_lanes) {
        const MutexLock lock(lane.mutex);
        const auto busy = [&lane]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(lane.mutex) {
            for (const auto &[name, page] : lane.pages) {
                if (page.committer.hasWork() || page.committer.isWriting()) {
                    return true;
                }
            }
            return false;
        };
        while (busy() && absl::Now() < until) {
            lane.changed.waitFor(lane.mutex, until - absl::Now());
        }
        clean = clean && !busy();
    }
    return clean;
}

void RunStore::noteAttempt(const RequestId &attempt, CreatorWord word, absl::Time now)
{
    m_attempts.update(attempt, [&](Attempt &it) { it = Attempt{word, now}; });
}

CreatorWord RunStore::wordOf(const RequestId &attempt) const
{
    return m_attempts.find(attempt).word;
}

void RunStore::forgetOldAttempts(absl::Time now)
{
    m_attempts.eraseIf([&](const RequestId &, const Attempt &it) { return now - it.noted > rememberAttempts; });
}

RunStore::Lane &RunStore::laneOf(const std::string &page)
{
    return m_lanes[absl::Hash<std::string>{}(page) % laneCount];
}

void RunStore::run(Lane &lane)
{
    while (true) {
        std::string name;
        {
            const MutexLock lock(lane.mutex);
            name = findWork(lane);
            while (name.empty() && !lane.stopping) {
                lane.changed.waitFor(lane.mutex, laneWait);
                name = findWork(lane);
            }
            if (lane.stopping) {
                return;
            }
        }
        serve(lane, name);
    }
}

std::string RunStore::findWork(Lane &lane)
{
    for (const auto &[name, page] : lane.pages) {
        if (page.readsWanted > page.readsDone || page.committer.hasWork()) {
            return name;
        }
    }
    return {};
}

void RunStore::serve(Lane &lane, const std::string &name)
{
    std::optional<RunPage> toWrite;
    bool read = false;
    {
        const MutexLock lock(lane.mutex);
        Page &page = lane.pages[name];
        read = page.readsWanted > page.readsDone || page.committer.needsRead();
        if (read) {
            page.readRunning = true;
        } else {
            std::vector<ChangeReport> reports;
            toWrite = page.committer.wanted(absl::Now(), &reports);
            report(lane, reports);
        }
    }
    if (read) {
        readPage(lane, name);
    } else if (toWrite) {
        writePage(lane, name, *toWrite);
    } else {
        // The remaining changes wait for free space on a full page.
        absl::SleepFor(failurePause);
    }
}

void RunStore::readPage(Lane &lane, const std::string &name)
{
    const auto read = collect<RunPage>([&]() -> Result<RunPage> {
        BOOST_LEAF_AUTO(object, m_store.get(pageKind, name));
        if (!object) {
            return RunPage();
        }
        return decodeRunPage(*object);
    });
    const auto *page = std::get_if<RunPage>(&read);
    {
        const MutexLock lock(lane.mutex);
        Page &entry = lane.pages[name];
        entry.readRunning = false;
        if (page != nullptr) {
            entry.committer.onRead(*page);
            ++entry.readsDone;
        }
        lane.changed.signalAll();
    }
    if (page == nullptr) {
        m_journal.record(RequestId(), "store.readFailed", std::get<Error>(read).message);
        absl::SleepFor(failurePause);
    }
}

void RunStore::writePage(Lane &lane, const std::string &name, const RunPage &page)
{
    const StoreWriteEnd end = m_store.put(pageKind, name, page->version, encodeRunPage(page));
    bool failed = false;
    {
        const MutexLock lock(lane.mutex);
        RunPageCommitter &committer = lane.pages[name].committer;
        std::vector<ChangeReport> reports;
        std::visit(Overloaded{
                       [&](const StoreWritten &it) { reports = committer.onWritten(it.version); },
                       [&](const StoreConflicted &) { committer.onConflict(); },
                       [&](const StoreReplyLost &) {
                           reports = committer.onLost();
                           failed = true;
                       },
                       [&](const StoreNotDone &) {
                           committer.onConflict();
                           failed = true;
                       },
                   },
                   end);
        report(lane, reports);
        lane.changed.signalAll();
    }
    if (failed) {
        absl::SleepFor(failurePause);
    }
}

void RunStore::report(Lane &lane, const std::vector<ChangeReport> &reports)
{
    for (const ChangeReport &it : reports) {
        if (lane.waiting.contains(it.ticket)) {
            lane.outcomes[it.ticket] = it.outcome;
        }
    }
    lane.changed.signalAll();
}

}
