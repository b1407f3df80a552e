#pragma once

#include "coordination/streamassembler.h"
#include "state/error.h"
#include "state/mutex.h"
#include "state/name.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

/// The next token of an answer.
struct BufferToken
{
    std::int64_t offset = 0;
    std::string token;
};

/// The answer is complete.
struct BufferDone
{
};

/// The answer ended with an error.
struct BufferFailed
{
    Error error;
    absl::Duration retryAfter;
};

/// No token arrived within the time that the reader waits.
struct BufferTimeout
{
};

using BufferReadResult = std::variant<BufferToken, BufferDone, BufferFailed, BufferTimeout>;

/**
 * \class StreamBuffer
 * \brief Buffers the tokens of one answer between the flow that fetches them and the readers.
 */
class StreamBuffer
{
public:
    /// \a base is the offset of the first token in this buffer.
    explicit StreamBuffer(std::int64_t base = 0);

    /// Appends a token if \a offset is the next offset; returns whether it was appended.
    bool tryAppend(std::int64_t offset, std::string token);
    /// Marks the answer as complete.
    void finish();
    /// Ends the answer with an error, unless it has already ended.
    void fail(Error error, absl::Duration retryAfter);

    /// Returns the token at \a offset, or how the answer ended before it; waits at most \a wait for either.
    BufferReadResult read(std::int64_t offset, absl::Duration wait);

    /// Waits at most \a timeout for the end of the answer; returns the tokens or the error.
    std::variant<std::vector<std::string>, BufferFailed> waitForEnd(absl::Duration timeout);

    void addReader();
    void removeReader();

    /// Marks the answer as abandoned even if it has readers.
    void cancel();

    /// Whether the answer was cancelled, or its last reader was removed at least the resume grace period ago.
    bool isAbandoned() const;

    /// Sets how long after the removal of its last reader the answer waits for a new one before it is abandoned.
    void setResumeGrace(absl::Duration grace);

    /// Returns the offset of the next token that is expected.
    std::int64_t nextOffset() const;
    std::int64_t base() const
    {
        return m_base;
    }

    std::vector<std::string> tokens() const;
    bool hasEnded() const;
    absl::Time endedAt() const;

private:
    const std::int64_t m_base;
    mutable Mutex m_mutex;
    CondVar m_changed;
    StreamAssembler m_assembler ABSL_GUARDED_BY(m_mutex);
    bool m_done ABSL_GUARDED_BY(m_mutex) = false;
    std::optional<BufferFailed> m_failed ABSL_GUARDED_BY(m_mutex);
    int m_readers ABSL_GUARDED_BY(m_mutex) = 0;
    absl::Time m_lastReaderRemovedAt ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
    bool m_cancelled ABSL_GUARDED_BY(m_mutex) = false;
    absl::Duration m_resumeGrace ABSL_GUARDED_BY(m_mutex) = absl::ZeroDuration();
    absl::Time m_endedAt ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
};

}
