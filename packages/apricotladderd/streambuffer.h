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

/// Nothing came in the time that the reader wanted to wait.
struct BufferQuiet
{
};

using BufferPart = std::variant<BufferToken, BufferDone, BufferFailed, BufferQuiet>;

/**
 * \class StreamBuffer
 * \brief The answer of one request as far as it is known, between the flow that fetches it and its readers.
 */
class StreamBuffer
{
public:
    /// \a base is the offset of the first token held here.
    explicit StreamBuffer(std::int64_t base = 0);

    /// Takes in a token in its place; returns whether it was in place.
    bool accept(std::int64_t offset, std::string token);
    void finish();
    void fail(Error error, absl::Duration retryAfter);

    /// Returns what stands at \a offset, waiting at most \a wait for it.
    BufferPart read(std::int64_t offset, absl::Duration wait);

    /// Waits for the end; returns the tokens or the error.
    std::variant<std::vector<std::string>, BufferFailed> waitForEnd(absl::Duration limit);

    void addReader();
    void removeReader();

    /// Gives the answer up whatever readers there are.
    void cancel();

    /// Whether a reader was there and all are gone: nobody wants the answer.
    bool isAbandoned() const;

    /// Readers that went away may come back to resume for \a grace; only then is the answer abandoned.
    void setResumeGrace(absl::Duration grace);

    std::int64_t next() const;
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
    absl::Time m_lastReaderLeft ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
    bool m_cancelled ABSL_GUARDED_BY(m_mutex) = false;
    absl::Duration m_grace ABSL_GUARDED_BY(m_mutex) = absl::ZeroDuration();
    absl::Time m_endedAt ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
};

}
