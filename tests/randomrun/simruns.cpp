#include "randomrun/simruns.h"

#include "randomrun/simworld.h"

#include "state/invariant.h"
#include "state/overloaded.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace Apricot::Sim {

namespace {

constexpr absl::Duration runAttemptTimeout = absl::Seconds(2);
constexpr absl::Duration inProgressRetryDelay = absl::Milliseconds(50);
constexpr absl::Duration storeRetryDelay = absl::Milliseconds(50);

}

SimRuns::SimRuns(SimNode &node)
    : m_node(node)
{
}

void SimRuns::startAttempt(const IdempotencyKey &key, std::function<void(const RunResult &)> done)
{
    const RequestId attemptId(absl::StrCat(m_node.id().text(), "/", m_node.epoch(), "/", m_nextAttempt++));
    const absl::Time now = m_node.clock().now();
    RunAttemptStep step = startRunAttempt(key, attemptId, m_node.id(), now);
    auto pending = std::make_shared<PendingAttempt>();
    pending->attempt = step.attempt;
    pending->deadline = now + runAttemptTimeout;
    pending->done = std::move(done);
    m_attemptStatuses[attemptId] = AttemptStatus::InProgress;
    m_node.after(runAttemptTimeout, [this, pending] {
        m_pages[runPageName(pending->attempt->key)].withdraw(pending->ticket);
        advance(pending, StoreTimedOut{});
    });
    executeActions(pending, step.actions);
}

AttemptStatus SimRuns::attemptStatus(const RequestId &attemptId) const
{
    const auto it = m_attemptStatuses.find(attemptId);
    return it == m_attemptStatuses.end() ? AttemptStatus::Unknown : it->second;
}

bool SimRuns::hasWork() const
{
    for (const auto &[name, page] : m_pages) {
        if (page.hasWork() || page.isWriting()) {
            return true;
        }
    }
    return false;
}

void SimRuns::advance(const PendingAttemptPointer &pending, const RunAttemptEvent &event)
{
    const RunAttemptStep step = stepRunAttempt(pending->attempt, event, m_node.clock().now());
    pending->attempt = step.attempt;
    executeActions(pending, step.actions);
}

void SimRuns::executeActions(const PendingAttemptPointer &pending, const std::vector<RunAttemptAction> &actions)
{
    for (const RunAttemptAction &action : actions) {
        std::visit(Overloaded{
                       [&](const ReadRecord &) { read(pending); },
                       [&](const WriteRecord &it) { write(pending, it); },
                       [&](const FinalizeRecord &it) {
                           const std::string page = runPageName(it.next->key);
                           m_pages[page].submitFinal(m_nextTicket++, it.createExpected, it.next);
                           processPage(page);
                       },
                       [&](const AskCreator &it) { askCreator(pending, it); },
                       [&](const DispatchCall &) { dispatch(pending); },
                       [&](const AnswerRecorded &) { pending->done(RunResult{true}); },
                       [&](const AnswerError &it) {
                           pending->done(RunResult{false, it.kind});
                       },
                   },
                   action);
    }
    if (pending->attempt->phase == RunAttemptPhase::Ended && pending->dispatchCount == 0) {
        m_attemptStatuses[pending->attempt->attemptId] = AttemptStatus::NeverDispatched;
    }
}

void SimRuns::read(const PendingAttemptPointer &pending)
{
    m_node.after(pending->creatorAsked ? inProgressRetryDelay : absl::ZeroDuration(), [this, pending] {
        const std::string page = runPageName(pending->attempt->key);
        m_node.world().store().readPage(page, m_node.guard<std::optional<RunPage>>([this, pending, page](std::optional<RunPage> read) {
            if (!read) {
                m_node.after(storeRetryDelay, [this, pending] {
                    if (pending->attempt->phase == RunAttemptPhase::Reading) {
                        this->read(pending);
                    }
                });
                return;
            }
            m_pages[page].handleRead(*read);
            const auto it = (*read)->records.find(pending->attempt->key);
            advance(pending, RecordRead{it == (*read)->records.end() ? std::nullopt : std::optional<RunRecord>(it->second)});
        }));
    });
}

void SimRuns::write(const PendingAttemptPointer &pending, const WriteRecord &action)
{
    const std::string page = runPageName(pending->attempt->key);
    pending->ticket = m_nextTicket++;
    m_tickets[pending->ticket] = pending;
    m_pages[page].submitChange(pending->ticket, action.expected, action.next);
    processPage(page);
}

void SimRuns::askCreator(const PendingAttemptPointer &pending, const AskCreator &question)
{
    pending->creatorAsked = true;
    m_node.world().requestAttemptStatus(
        m_node, question.node, question.creator,
        m_node.guard<AttemptStatus>([this, pending](AttemptStatus status) { advance(pending, CreatorAnswered{status}); }));
}

void SimRuns::dispatch(const PendingAttemptPointer &pending)
{
    ++pending->dispatchCount;
    APRICOT_INVARIANT(pending->dispatchCount == 1, "one-dispatch-per-tap", pending->attempt->attemptId.text());
    m_node.world().callService(pending->attempt->key, m_node.guard<ServiceCallOutcome>([this, pending](ServiceCallOutcome end) {
        switch (end) {
        case ServiceCallOutcome::Answered:
            advance(pending, CallAnswered{200, "done"});
            break;
        case ServiceCallOutcome::NotSent:
            advance(pending, CallNotSent{});
            break;
        case ServiceCallOutcome::Lost:
            advance(pending, CallLost{});
            break;
        }
    }));
}

void SimRuns::processPage(const std::string &page)
{
    RunPageCommitter &committer = m_pages[page];
    if (!committer.hasWork() || committer.isWriting() || m_pagesBeingRead.contains(page)) {
        return;
    }
    if (committer.needsRead()) {
        m_pagesBeingRead.insert(page);
        m_node.world().store().readPage(page, m_node.guard<std::optional<RunPage>>([this, page](std::optional<RunPage> read) {
            m_pagesBeingRead.erase(page);
            if (read) {
                m_pages[page].handleRead(*read);
            }
            m_node.after(read ? absl::ZeroDuration() : storeRetryDelay, [this, page] { processPage(page); });
        }));
        return;
    }
    std::vector<ChangeReport> reports;
    const std::optional<RunPage> wanted = committer.beginWrite(m_node.clock().now(), &reports);
    if (wanted) {
        m_node.world().store().writePage(
            page, *wanted,
            [this, page,
             run = m_node.guard<std::pair<WriteOutcome, std::uint64_t>>([this, page](std::pair<WriteOutcome, std::uint64_t> end) {
                 RunPageCommitter &it = m_pages[page];
                 switch (end.first) {
                 case WriteOutcome::Written:
                     handleReports(it.handleWritten(end.second));
                     break;
                 case WriteOutcome::Conflict:
                     it.handleConflict();
                     break;
                 case WriteOutcome::Lost:
                     handleReports(it.handleLost());
                     break;
                 case WriteOutcome::NotDone:
                     it.handleConflict();
                     m_node.after(storeRetryDelay, [this, page] { processPage(page); });
                     return;
                 }
                 processPage(page);
             })](WriteOutcome end, std::uint64_t version) {
                run({end, version});
            });
    }
    handleReports(reports);
}

void SimRuns::handleReports(const std::vector<ChangeReport> &reports)
{
    for (const ChangeReport &it : reports) {
        const auto found = m_tickets.find(it.ticket);
        if (found == m_tickets.end()) {
            continue;
        }
        const PendingAttemptPointer pending = found->second;
        m_tickets.erase(found);
        switch (it.outcome) {
        case ChangeOutcome::Written:
            advance(pending, RecordWritten{});
            break;
        case ChangeOutcome::Conflict:
            advance(pending, RecordConflict{});
            break;
        case ChangeOutcome::Lost:
            advance(pending, RecordWriteLost{});
            break;
        }
    }
}

}
