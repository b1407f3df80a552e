#include "coordination/runpagecommitter.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <utility>

namespace Apricot {

namespace {

/// Returns the approximate size of a record in the store, bytes.
std::size_t bytesOf(const RunRecord &record)
{
    constexpr std::size_t fixedBytes = 120;
    return fixedBytes + record->key.text().size() + record->creator.text().size() + record->node.text().size() + record->body.size();
}

std::size_t bytesOf(const std::map<IdempotencyKey, RunRecord> &records)
{
    std::size_t bytes = 0;
    for (const auto &[key, record] : records) {
        bytes += bytesOf(record);
    }
    return bytes;
}

void dropOld(std::map<IdempotencyKey, RunRecord> *records, absl::Time now)
{
    const std::int64_t oldestMs = absl::ToUnixMillis(now - RunPageCommitter::retention);
    std::erase_if(*records, [&](const auto &it) { return it.second->createdMs < oldestMs; });
}

}

std::string runPageName(const IdempotencyKey &key)
{
    return absl::StrCat("page-", XXH3_64bits(key.text().data(), key.text().size()) % runPageCount);
}

void RunPageCommitter::change(std::uint64_t ticket, std::optional<RunRecord> expected, RunRecord next)
{
    m_pending.emplace(ticket, Change{std::move(expected), std::move(next), false});
}

void RunPageCommitter::settle(std::uint64_t ticket, std::optional<RunRecord> seen, RunRecord next)
{
    m_pending.emplace(ticket, Change{std::move(seen), std::move(next), true});
}

void RunPageCommitter::withdraw(std::uint64_t ticket)
{
    m_pending.erase(ticket);
}

void RunPageCommitter::onRead(RunPage page)
{
    // A read that returns after a newer write is out of date.
    if (!m_page || page->version >= (*m_page)->version) {
        m_page = std::move(page);
    }
}

std::optional<RunPage> RunPageCommitter::wanted(absl::Time now, std::vector<ChangeReport> *reports)
{
    if (!m_page || m_pending.empty() || isWriting()) {
        return std::nullopt;
    }
    std::map<IdempotencyKey, RunRecord> records = (*m_page)->records;
    dropOld(&records, now);
    std::size_t bytes = bytesOf(records);
    std::map<std::uint64_t, Change> kept;
    for (auto &[ticket, change] : m_pending) {
        const RunPage current = m_page->with(&RunPageFields::records, records);
        const bool full = bytes >= fullAtBytes && !records.contains(change.next->key);
        if (full) {
            kept.emplace(ticket, std::move(change));
        } else if (holds(change, current)) {
            bytes += bytesOf(change.next);
            records.insert_or_assign(change.next->key, change.next);
            m_writing.emplace(ticket, std::move(change));
        } else {
            reports->push_back(ChangeReport{ticket, ChangeOutcome::Conflict});
        }
    }
    m_pending = std::move(kept);
    if (m_writing.empty()) {
        return std::nullopt;
    }
    m_written = m_page->with(&RunPageFields::records, std::move(records));
    return m_written;
}

std::vector<ChangeReport> RunPageCommitter::onWritten(std::uint64_t version)
{
    std::vector<ChangeReport> reports;
    for (const auto &[ticket, change] : m_writing) {
        reports.push_back(ChangeReport{ticket, ChangeOutcome::Written});
    }
    m_writing.clear();
    m_page = m_written->with(&RunPageFields::version, version);
    return reports;
}

void RunPageCommitter::onConflict()
{
    m_pending.merge(m_writing);
    m_writing.clear();
    m_page.reset();
}

std::vector<ChangeReport> RunPageCommitter::onLost()
{
    std::vector<ChangeReport> reports;
    for (auto &[ticket, change] : m_writing) {
        if (change.settles) {
            m_pending.emplace(ticket, std::move(change));
        } else {
            reports.push_back(ChangeReport{ticket, ChangeOutcome::Lost});
        }
    }
    m_writing.clear();
    m_page.reset();
    return reports;
}

bool RunPageCommitter::holds(const Change &change, const RunPage &page)
{
    const auto it = page->records.find(change.next->key);
    const bool absent = it == page->records.end();
    if (change.settles && (absent || it->second->creator == change.next->creator)) {
        return true;
    }
    return absent ? !change.expected.has_value() : change.expected == it->second;
}

}
