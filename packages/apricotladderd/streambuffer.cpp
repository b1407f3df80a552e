#include "apricotladderd/streambuffer.h"

#include "state/invariant.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace Apricot {

StreamBuffer::StreamBuffer(std::int64_t base)
    : m_base(base)
{
}

bool StreamBuffer::tryAppend(std::int64_t offset, std::string token)
{
    const MutexLock lock(m_mutex);
    if (m_done || m_failed) {
        return false;
    }
    const bool appended = m_assembler.tryAppend(offset - m_base, std::move(token));
    m_changed.signalAll();
    return appended;
}

void StreamBuffer::finish()
{
    const MutexLock lock(m_mutex);
    APRICOT_INVARIANT(!m_done && !m_failed, "one-final-answer", "a stream was ended twice");
    if (m_failed) {
        return;
    }
    m_done = true;
    m_endedAt = absl::Now();
    m_changed.signalAll();
}

void StreamBuffer::fail(Error error, absl::Duration retryAfter)
{
    const MutexLock lock(m_mutex);
    APRICOT_INVARIANT(!m_done && !m_failed, "one-final-answer", absl::StrCat("a stream was ended twice: ", error.message));
    if (m_done || m_failed) {
        return;
    }
    m_failed = BufferFailed{std::move(error), retryAfter};
    m_endedAt = absl::Now();
    m_changed.signalAll();
}

BufferReadResult StreamBuffer::read(std::int64_t offset, absl::Duration wait)
{
    const absl::Time deadline = absl::Now() + wait;
    const MutexLock lock(m_mutex);
    const auto index = static_cast<std::size_t>(std::max<std::int64_t>(offset - m_base, 0));
    while (index >= m_assembler.tokens().size() && !m_done && !m_failed && absl::Now() < deadline) {
        m_changed.waitFor(m_mutex, deadline - absl::Now());
    }
    if (index < m_assembler.tokens().size()) {
        return BufferToken{offset, m_assembler.tokens()[index]};
    }
    if (m_done) {
        return BufferDone{};
    }
    if (m_failed) {
        return *m_failed;
    }
    return BufferTimeout{};
}

std::variant<std::vector<std::string>, BufferFailed> StreamBuffer::waitForEnd(absl::Duration timeout)
{
    const absl::Time deadline = absl::Now() + timeout;
    const MutexLock lock(m_mutex);
    while (!m_done && !m_failed && absl::Now() < deadline) {
        m_changed.waitFor(m_mutex, deadline - absl::Now());
    }
    if (m_done) {
        return m_assembler.tokens();
    }
    return m_failed
        ? *m_failed
        : BufferFailed{Error{ErrorKind::AnswerIncomplete, "the answer did not end within the time limit"}, absl::ZeroDuration()};
}

void StreamBuffer::addReader()
{
    const MutexLock lock(m_mutex);
    ++m_readers;
    m_lastReaderRemovedAt = absl::InfiniteFuture();
}

void StreamBuffer::removeReader()
{
    const MutexLock lock(m_mutex);
    if (--m_readers == 0) {
        m_lastReaderRemovedAt = absl::Now();
    }
}

void StreamBuffer::cancel()
{
    const MutexLock lock(m_mutex);
    m_cancelled = true;
}

bool StreamBuffer::isAbandoned() const
{
    const MutexLock lock(m_mutex);
    if (m_cancelled) {
        return true;
    }
    return m_readers == 0 && m_lastReaderRemovedAt != absl::InfiniteFuture() && absl::Now() - m_lastReaderRemovedAt >= m_resumeGrace;
}

void StreamBuffer::setResumeGrace(absl::Duration grace)
{
    const MutexLock lock(m_mutex);
    m_resumeGrace = grace;
}

std::int64_t StreamBuffer::nextOffset() const
{
    const MutexLock lock(m_mutex);
    return m_base + m_assembler.nextOffset();
}

std::vector<std::string> StreamBuffer::tokens() const
{
    const MutexLock lock(m_mutex);
    return m_assembler.tokens();
}

bool StreamBuffer::hasEnded() const
{
    const MutexLock lock(m_mutex);
    return m_done || m_failed.has_value();
}

absl::Time StreamBuffer::endedAt() const
{
    const MutexLock lock(m_mutex);
    return m_endedAt;
}

}
