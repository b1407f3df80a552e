#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace Apricot {

/// What the head of an engine's answer says about the engine itself.
struct EngineNotice
{
    bool isLeaving = false; ///< the engine will exit soon
    std::optional<absl::Duration> retryAfter; ///< the engine has refused a request and wants no other one from this node for so long
    bool hasUnusableRetryAfter = false; ///< such a time was given, but it is no time

    friend bool operator==(const EngineNotice &, const EngineNotice &) = default;
};

/// What a node learns from an EngineNotice.
struct EngineNoticeResult
{
    bool isNewlyLeaving = false; ///< the node did not know that this lifetime of the engine leaves
    std::optional<absl::Time> backOffUntil; ///< the end of the back-off, if the notice has moved it
    bool isFirstBadRetryAfter = false; ///< a time was unusable or had to be bounded, for the first time

    friend bool operator==(const EngineNoticeResult &, const EngineNoticeResult &) = default;
};

/**
 * \class EngineAvailability
 * \brief What the answers of the engine with one id have said about whether it may be called.
 *
 * It outlives the engine's entry in the store: the store may remove the entry, or return an older one, while the engine still runs.
 */
class EngineAvailability
{
public:
    /// Records \a notice of the lifetime that started at \a startedMs.
    EngineNoticeResult record(const EngineNotice &notice, std::int64_t startedMs, absl::Time now);

    /// Returns since when the lifetime that started at \a startedMs is known to leave; nothing if it is not. A lifetime that is older
    /// than a leaving one is over, so it counts as leaving as well.
    std::optional<absl::Time> leavingSince(std::int64_t startedMs) const;

    /// Returns the end of the back-off that the engine has asked for. It also holds for a later lifetime under the same id, which may
    /// have sent the refusal before the node knew its entry.
    absl::Time backOffUntil() const
    {
        return m_backOffUntil;
    }

    /// Whether nothing of what was recorded matters any more, provided that the store no longer lists the engine.
    bool isExpired(absl::Time now) const;

private:
    bool recordLeaving(std::int64_t startedMs, absl::Time now);
    std::optional<absl::Time> recordBackOff(absl::Duration retryAfter, absl::Time now);
    bool recordBadRetryAfter(const EngineNotice &notice);

    struct LeavingLifetime
    {
        std::int64_t startedMs = 0;
        absl::Time since;
    };

    std::optional<LeavingLifetime> m_leaving; ///< the latest lifetime that leaves
    absl::Time m_backOffUntil = absl::InfinitePast();
    bool m_hasSentBadRetryAfter = false;
    absl::Time m_updated = absl::InfinitePast();
};

/// Returns the Retry-After of a call that is refused because all engines have asked for a back-off, which ends for the first of them
/// after \a timeLeft. \a random in [0, 1) spreads the retries, so that callers do not return at the same moment.
absl::Duration retryAfterBackOff(absl::Duration timeLeft, double random);

/// Returns until when the KV cache of a prefill can be fetched, if its engine keeps it until \a expiry, has said at \a leavingSince
/// that it leaves, and then serves for at least \a drainTime.
absl::Time usableUntil(absl::Time expiry, std::optional<absl::Time> leavingSince, absl::Duration drainTime);

}
