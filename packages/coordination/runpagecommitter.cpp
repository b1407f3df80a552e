#include "coordination/runpagecommitter.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <utility>

namespace Apricot {

namespace {

/// Returns the approximate size of a record in the store, bytes.
std::size_t approximateBytes(const RunRecord &record)
{
    constexpr std::size_t fixedBytes = 120;
    return fixedBytes + record->key.text().size() + record->creator.text().size() + record->node.text().size() + record->body.size();
}

std::size_t approximateBytes(const std::map<IdempotencyKey, RunRecord> &records)
{
    std::size_t bytes = 0;
    for (const auto &[key, record] : records) {
        bytes += approximateBytes(record);
    }
    return bytes;
}

void removeExpired(std::map<IdempotencyKey, RunRecord> *records, absl::Time now)
{
    const std::int64_t oldestMs = absl::ToUnixMillis(now - RunPageCommitter::retention);
    std::erase_if(*records, [&](const auto &it) { return it.second->createdMs < oldestMs; });
}

}

std::string runPageName(const IdempotencyKey &key)
{
    return absl::StrCat("page-", XXH3_64bits(key.text().data(), key.text().size()) % runPageCount);
}

void RunPageCommitter::submitChange(std::uint64_t ticket, std::optional<RunRecord> expected, RunRecord next)
{
    m_pending.emplace(ticket, Change{std::move(expected), std::move(next), false});
}

void RunPageCommitter::submitFinal(std::uint64_t ticket, std::optional<RunRecord> createExpected, RunRecord next)
{
    m_pending.emplace(ticket, Change{std::move(createExpected), std::move(next), true});
}

void RunPageCommitter::withdraw(std::uint64_t ticket)
{
    m_pending.erase(ticket);
}

void RunPageCommitter::handleRead(RunPage page)
{
    // A read that returns after a newer write is out of date.
    if (!m_page || page->version >= (*m_page)->version) {
        m_page = std::move(page);
    }
}

std::optional<RunPage> RunPageCommitter::beginWrite(absl::Time now, std::vector<ChangeReport> *reports)
{
    if (!m_page || m_pending.empty() || isWriting()) {
        return std::nullopt;
    }
    std::map<IdempotencyKey, RunRecord> records = (*m_page)->records;
    removeExpired(&records, now);
    std::size_t bytes = approximateBytes(records);
    std::map<std::uint64_t, Change> remaining;
    for (auto &[ticket, change] : m_pending) {
        const RunPage current = m_page->with(&RunPageFields::records, records);
        const bool isFull = bytes >= fullPageBytes && !records.contains(change.next->key);
        if (isFull) {
            remaining.emplace(ticket, std::move(change));
        } else if (isConditionMet(change, current)) {
            bytes += approximateBytes(change.next);
            records.insert_or_assign(change.next->key, change.next);
            m_writing.emplace(ticket, std::move(change));
        } else {
            reports->push_back(ChangeReport{ticket, ChangeOutcome::Conflict});
        }
    }
    m_pending = std::move(remaining);
    if (m_writing.empty()) {
        return std::nullopt;
    }
    m_pageInWrite = m_page->with(&RunPageFields::records, std::move(records));
    return m_pageInWrite;
}

std::vector<ChangeReport> RunPageCommitter::handleWritten(std::uint64_t version)
{
    std::vector<ChangeReport> reports;
    for (const auto &[ticket, change] : m_writing) {
        reports.push_back(ChangeReport{ticket, ChangeOutcome::Written});
    }
    m_writing.clear();
    m_page = m_pageInWrite->with(&RunPageFields::version, version);
    return reports;
}

void RunPageCommitter::handleConflict()
{
    m_pending.merge(m_writing);
    m_writing.clear();
    m_page.reset();
}

std::vector<ChangeReport> RunPageCommitter::handleLost()
{
    std::vector<ChangeReport> reports;
    for (auto &[ticket, change] : m_writing) {
        if (change.isFinal) {
            m_pending.emplace(ticket, std::move(change));
        } else {
            reports.push_back(ChangeReport{ticket, ChangeOutcome::Lost});
        }
    }
    m_writing.clear();
    m_page.reset();
    return reports;
}

bool RunPageCommitter::isConditionMet(const Change &change, const RunPage &page)
{
    const auto it = page->records.find(change.next->key);
    const bool absent = it == page->records.end();
    if (change.isFinal && (absent || it->second->creator == change.next->creator)) {
        return true;
    }
    return absent ? !change.expected.has_value() : change.expected == it->second;
}

}
