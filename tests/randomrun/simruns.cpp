#include "randomrun/simruns.h"

#include "randomrun/simworld.h"

#include "state/invariant.h"
#include "state/overloaded.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace Apricot::Sim {

namespace {

constexpr absl::Duration tapLimit = absl::Seconds(2);
constexpr absl::Duration inProgressPause = absl::Milliseconds(50);
constexpr absl::Duration failurePause = absl::Milliseconds(50);

}

SimRuns::SimRuns(SimNode &node)
    : m_node(node)
{
}

void SimRuns::tap(const IdempotencyKey &key, std::function<void(const TapAnswer &)> done)
{
    const RequestId attempt(absl::StrCat(m_node.id().text(), "/", m_node.epoch(), "/", m_nextAttempt++));
    const absl::Time now = m_node.clock().now();
    RunAttemptStep step = startRunAttempt(key, attempt, m_node.id(), now);
    auto tap = std::make_shared<Tap>();
    tap->tap = step.attempt;
    tap->until = now + tapLimit;
    tap->done = std::move(done);
    m_words[attempt] = AttemptStatus::InProgress;
    m_node.after(tapLimit, [this, tap] {
        m_pages[runPageName(tap->tap->key)].withdraw(tap->ticket);
        advance(tap, StoreTimedOut{});
    });
    carryOut(tap, step.actions);
}

AttemptStatus SimRuns::wordOf(const RequestId &attempt) const
{
    const auto it = m_words.find(attempt);
    return it == m_words.end() ? AttemptStatus::Unknown : it->second;
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

void SimRuns::advance(const TapPointer &tap, const RunAttemptEvent &event)
{
    const RunAttemptStep step = stepRunAttempt(tap->tap, event, m_node.clock().now());
    tap->tap = step.attempt;
    carryOut(tap, step.actions);
}

void SimRuns::carryOut(const TapPointer &tap, const std::vector<RunAttemptAction> &actions)
{
    for (const RunAttemptAction &action : actions) {
        std::visit(Overloaded{
                       [&](const ReadRecord &) { read(tap); },
                       [&](const WriteRecord &it) { write(tap, it); },
                       [&](const FinalizeRecord &it) {
                           const std::string page = runPageName(it.next->key);
                           m_pages[page].submitFinal(m_nextTicket++, it.createExpected, it.next);
                           pump(page);
                       },
                       [&](const AskCreator &it) { askCreator(tap, it); },
                       [&](const DispatchCall &) { dispatch(tap); },
                       [&](const AnswerRecorded &) { tap->done(TapAnswer{true}); },
                       [&](const AnswerError &it) {
                           tap->done(TapAnswer{false, it.kind});
                       },
                   },
                   action);
    }
    if (tap->tap->phase == RunAttemptPhase::Ended && tap->dispatches == 0) {
        m_words[tap->tap->attemptId] = AttemptStatus::NeverDispatched;
    }
}

void SimRuns::read(const TapPointer &tap)
{
    m_node.after(tap->asked ? inProgressPause : absl::ZeroDuration(), [this, tap] {
        const std::string page = runPageName(tap->tap->key);
        m_node.world().store().readPage(page, m_node.guard<std::optional<RunPage>>([this, tap, page](std::optional<RunPage> read) {
            if (!read) {
                m_node.after(failurePause, [this, tap] {
                    if (tap->tap->phase == RunAttemptPhase::Reading) {
                        this->read(tap);
                    }
                });
                return;
            }
            m_pages[page].handleRead(*read);
            const auto it = (*read)->records.find(tap->tap->key);
            advance(tap, RecordRead{it == (*read)->records.end() ? std::nullopt : std::optional<RunRecord>(it->second)});
        }));
    });
}

void SimRuns::write(const TapPointer &tap, const WriteRecord &action)
{
    const std::string page = runPageName(tap->tap->key);
    tap->ticket = m_nextTicket++;
    m_tickets[tap->ticket] = tap;
    m_pages[page].submitChange(tap->ticket, action.expected, action.next);
    pump(page);
}

void SimRuns::askCreator(const TapPointer &tap, const AskCreator &question)
{
    tap->asked = true;
    m_node.world().askWord(m_node, question.node, question.creator,
                           m_node.guard<AttemptStatus>([this, tap](AttemptStatus word) { advance(tap, CreatorAnswered{word}); }));
}

void SimRuns::dispatch(const TapPointer &tap)
{
    ++tap->dispatches;
    APRICOT_INVARIANT(tap->dispatches == 1, "one-dispatch-per-tap", tap->tap->attemptId.text());
    m_node.world().callService(tap->tap->key, m_node.guard<ServiceEnd>([this, tap](ServiceEnd end) {
        switch (end) {
        case ServiceEnd::Answered:
            advance(tap, CallAnswered{200, "done"});
            break;
        case ServiceEnd::NotSent:
            advance(tap, CallNotSent{});
            break;
        case ServiceEnd::Lost:
            advance(tap, CallLost{});
            break;
        }
    }));
}

void SimRuns::pump(const std::string &page)
{
    RunPageCommitter &committer = m_pages[page];
    if (!committer.hasWork() || committer.isWriting() || m_reading.contains(page)) {
        return;
    }
    if (committer.needsRead()) {
        m_reading.insert(page);
        m_node.world().store().readPage(page, m_node.guard<std::optional<RunPage>>([this, page](std::optional<RunPage> read) {
            m_reading.erase(page);
            if (read) {
                m_pages[page].handleRead(*read);
            }
            m_node.after(read ? absl::ZeroDuration() : failurePause, [this, page] { pump(page); });
        }));
        return;
    }
    std::vector<ChangeReport> reports;
    const std::optional<RunPage> wanted = committer.beginWrite(m_node.clock().now(), &reports);
    if (wanted) {
        m_node.world().store().writePage(
            page, *wanted,
            [this, page, run = m_node.guard<std::pair<WriteEnd, std::uint64_t>>([this, page](std::pair<WriteEnd, std::uint64_t> end) {
                RunPageCommitter &it = m_pages[page];
                switch (end.first) {
                case WriteEnd::Written:
                    report(it.handleWritten(end.second));
                    break;
                case WriteEnd::Conflict:
                    it.handleConflict();
                    break;
                case WriteEnd::Lost:
                    report(it.handleLost());
                    break;
                case WriteEnd::NotDone:
                    it.handleConflict();
                    m_node.after(failurePause, [this, page] { pump(page); });
                    return;
                }
                pump(page);
            })](WriteEnd end, std::uint64_t version) {
                run({end, version});
            });
    }
    report(reports);
}

void SimRuns::report(const std::vector<ChangeReport> &reports)
{
    for (const ChangeReport &it : reports) {
        const auto found = m_tickets.find(it.ticket);
        if (found == m_tickets.end()) {
            continue;
        }
        const TapPointer tap = found->second;
        m_tickets.erase(found);
        switch (it.outcome) {
        case ChangeOutcome::Written:
            advance(tap, RecordWritten{});
            break;
        case ChangeOutcome::Conflict:
            advance(tap, RecordConflict{});
            break;
        case ChangeOutcome::Lost:
            advance(tap, RecordWriteLost{});
            break;
        }
    }
}

}
