#pragma once

#include "state/promptreport.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

/// Counts, times and sizes of PromptQuarantine.
struct PromptQuarantineLimits
{
    /// A part is convicted once prompts with it have broken off at this many engines, at least two of them different prompts: the
    /// same prompt alone, which its caller repeats, convicts nothing.
    static constexpr std::size_t minCrashes = 3;
    static constexpr std::size_t minPrompts = 2;

    /// Crashes that are enough for a part which is also in crashes that another conviction explains: that one was wrong.
    static constexpr std::size_t minFurtherCrashes = 2;

    /// A part that has been convicted together with this many others in turn is to blame for their crashes.
    static constexpr std::ptrdiff_t minCompanions = 2;

    /// A prompt that has broken off is not sent again by its node if one of its parts is in this many crashes.
    static constexpr std::size_t suspiciousCrashes = 2;

    /// Crashes within this time count as one: engines that lose their power fail together.
    static constexpr absl::Duration minCrashInterval = absl::Milliseconds(200);

    /// A broken prompt counts after this time, so that the reports of all nodes on the same crash are there.
    static constexpr absl::Duration confirmationTime = absl::Milliseconds(300);

    /// An engine that goes on for this long after it has begun an answer has outlived it: a later crash has another cause.
    static constexpr absl::Duration survivalTime = absl::Milliseconds(500);

    /// Answers that engines of the same service must have outlived since the first crash: without any, the service itself is out of
    /// order.
    static constexpr std::size_t minOutlivedAnswers = 2;

    /// How long a broken prompt counts.
    static constexpr absl::Duration evidenceTime = absl::Minutes(2);

    /// Time until the first trial, which doubles with each trial that crashes an engine, up to the maximum.
    static constexpr absl::Duration firstRound = absl::Seconds(30);
    static constexpr absl::Duration longestRound = absl::Minutes(16);

    /// A trial that shows nothing, because its call ended before, is followed by another one after this time.
    static constexpr absl::Duration trialInterval = absl::Seconds(5);

    /// A quarantine is forgotten if no call has asked for a trial for this long after the end of its round.
    static constexpr absl::Duration forgetAfter = absl::Minutes(10);

    /// How long a node repeats what it has seen to its peers: datagrams get lost.
    static constexpr absl::Duration announceTime = absl::Seconds(3);

    /// Interval in which the broken prompts are examined.
    static constexpr absl::Duration reviewInterval = absl::Milliseconds(50);

    static constexpr std::size_t maxParts = 32; ///< of one prompt
    static constexpr std::size_t maxBroken = 128; ///< broken prompts
    static constexpr std::size_t maxCleared = 1024; ///< cleared parts, in each of two generations
    static constexpr std::size_t maxQuarantined = 24;
    static constexpr std::size_t maxBrokenPerReport = 12;
    static constexpr std::size_t maxClearedPerReport = 24;
};

/// A call may be sent to engines.
struct PromptAdmitted
{
    friend bool operator==(const PromptAdmitted &, const PromptAdmitted &) = default;
};

/// The permission to send one call with quarantined parts, to find out whether one of them still crashes engines.
struct PromptTrial
{
    PromptPartSet parts;
    std::int64_t round = 0;

    friend bool operator==(const PromptTrial &, const PromptTrial &) = default;
};

/// A call must not be sent to any engine.
struct PromptRefused
{
    PromptPartSet parts; ///< the quarantined parts
    absl::Duration retryAfter;

    friend bool operator==(const PromptRefused &, const PromptRefused &) = default;
};

/// Whether a call may be sent to engines.
using PromptVerdict = std::variant<PromptAdmitted, PromptTrial, PromptRefused>;

/// Parts were quarantined, or their quarantine was renewed after a trial.
struct QuarantineBegun
{
    PromptPartSet parts;
    std::int64_t round = 0;
    std::size_t crashes = 0; ///< that convicted the parts at this node; 0 if a trial or a peer did
    std::string source; ///< "crashes", "trial", "peer" or "narrowed"
    absl::Duration length; ///< time until the next trial

    friend bool operator==(const QuarantineBegun &, const QuarantineBegun &) = default;
};

/// Parts are not quarantined any more.
struct QuarantineEnded
{
    PromptPartSet parts;
    std::string reason; ///< "cleared", "forgotten", "displaced", or "replaced" by a conviction that refuses more or fewer calls

    friend bool operator==(const QuarantineEnded &, const QuarantineEnded &) = default;
};

using QuarantineChange = std::variant<QuarantineBegun, QuarantineEnded>;

/**
 * \class PromptQuarantine
 * \brief Finds the parts of prompts that crash engines, from what all nodes see, and keeps calls with them away from engines.
 *
 * One crash says little, as an engine runs many prompts when it ends. A part is convicted by several crashes at different engines
 * and times with different prompts, if no engine outlived an answer on the part meanwhile, while others did. An
 * engine has outlived an answer that is complete, or that goes on for some time after it has begun.
 *
 * Parts that are in all crashes of a convicted one cannot be told from it. They are convicted together, and only prompts with all of them
 * are refused, so that a sound part goes on without the deadly one. As soon as an engine outlives an answer on one of them, the others
 * remain; if crashes go on without one of them, the part that is in those is convicted by fewer crashes, at first together with its new
 * companions. Parts on which no answer was ever outlived are examined first, the deepest before others: the first parts of prompts are in
 * many more prompts than the part that is to blame, and are not convicted together with deeper ones.
 *
 * Crashes that a conviction explains count against no other part, and parts that were convicted before are acquitted if a later conviction
 * explains all their crashes. The last part of a prompt belongs to that prompt alone and is never blamed.
 *
 * All state is soft and bounded. Each node repeats its own observations to its peers for some seconds, and its quarantined parts
 * for as long as they are quarantined, so that a node that starts or was cut off learns them from the first message of any peer.
 */
class PromptQuarantine
{
public:
    using Limits = PromptQuarantineLimits;

    explicit PromptQuarantine(NodeId self);

    /// Sets the nodes that share the trials: the nodes that callers are directed to.
    void setActiveNodes(std::vector<NodeId> nodes);

    /// Decides whether a call with the prompt \a parts may be sent to an engine. \a trial is the permission that the call already has.
    PromptVerdict check(const std::vector<PromptPartId> &parts, const std::optional<PromptTrial> &trial, absl::Time now);

    /// Whether a call that has broken off must not be sent again: one of its \a parts may be about to be convicted.
    bool isSuspicious(const std::vector<PromptPartId> &parts, absl::Time now) const;

    /// Records that an engine of \a service has outlived an answer on the prompt \a parts.
    void recordOutlived(const ServiceName &service, const std::vector<PromptPartId> &parts, absl::Time now);

    /// Records that \a engine was to answer the prompt \a parts, and that its connection broke before the engine had
    /// outlived the answer.
    void recordBroken(const ServiceName &service, const EngineLifetime &engine, const std::vector<PromptPartId> &parts,
                      const std::optional<PromptTrial> &trial, absl::Time now);

    /// Records that the call of \a trial has ended. Does nothing if its result was recorded before.
    void endTrial(const PromptTrial &trial, absl::Time now);

    /// Returns what the peers have to know.
    PromptReport report(absl::Time now);

    /// Takes over what a peer has reported.
    void merge(const PromptReport &report, absl::Time now);

    /// Returns the changes since the last call.
    std::vector<QuarantineChange> takeChanges();

    std::size_t quarantinedCount() const
    {
        return m_quarantines.size();
    }

private:
    struct Broken
    {
        BrokenPrompt prompt;
        absl::Time time;
        bool isOwn = false; ///< seen by this node
    };

    struct Quarantine
    {
        std::int64_t round = 0;
        absl::Time since; ///< start of the round
        absl::Time nextTrial = absl::InfinitePast(); ///< earliest time of another trial in this round

        absl::Time end() const;
    };

    /// The broken prompts that contain one part, since an engine last outlived an answer on it.
    struct Suspicion
    {
        PromptPartId part;
        std::size_t depth = 0; ///< greatest position in a prompt
        bool wasOutlived = false; ///< before these prompts broke
        std::vector<const Broken *> prompts; ///< by time
        std::vector<const Broken *> unexplained; ///< those at engines that no conviction explains
    };

    using Quarantines = std::map<PromptPartSet, Quarantine>;

    void expire(absl::Time now);
    void convict(absl::Time now);
    bool convictOne(absl::Time now);
    std::vector<Suspicion> suspicions(absl::Time until) const;
    static std::vector<const Broken *> countedCrashes(const std::vector<const Broken *> &prompts);
    static bool isEnough(const Suspicion &suspicion, const std::vector<const Broken *> &crashes);
    PromptPartSet inseparableParts(const Suspicion &suspicion, const std::vector<Suspicion> &all) const;
    static std::vector<Suspicion> companionsOf(const Suspicion &suspicion, const std::vector<const Broken *> &prompts,
                                               const std::vector<Suspicion> &all);
    bool answersOutlived(const Broken &firstCrash) const;
    std::set<EngineLifetime> explainedEngines() const;
    void addBroken(Broken broken);
    void quarantine(const PromptPartSet &parts, Quarantine state, std::size_t crashes, const char *source);
    void end(const PromptPartSet &parts, const char *reason);
    void acquitExplainedBy(const PromptPartSet &culprit, absl::Time now);
    std::set<EngineLifetime> enginesBrokenBy(const PromptPartSet &parts) const;
    bool exonerate(const PromptPartId &part, absl::Time cleared);
    bool releaseOutlived(const std::vector<PromptPartId> &prompt, absl::Time now);
    absl::Time lastCleared(const PromptPartId &part) const;
    void setLastCleared(const PromptPartId &part, absl::Time time);
    bool isSuspected(const PromptPartId &part) const;
    void mergeBroken(const BrokenPrompt &prompt, absl::Time now);
    void mergeCleared(const ClearedPart &cleared, absl::Time now);
    void mergeQuarantined(const QuarantinedParts &quarantined, absl::Time now);

    NodeId m_self;
    std::vector<NodeId> m_activeNodes;
    std::vector<Broken> m_broken; ///< in order of their arrival here
    std::map<PromptPartId, absl::Time> m_cleared; ///< when an engine last outlived an answer on a part, or its acquittal
    std::map<PromptPartId, absl::Time> m_olderCleared; ///< the generation before: it is dropped when m_cleared is full
    std::map<ServiceName, std::vector<absl::Time>> m_outlivedAnswers; ///< the last few at each service
    std::map<PromptPartId, absl::Time> m_announced; ///< cleared parts that peers have to know, with the end of the announcement
    Quarantines m_quarantines; ///< no set of parts contains another one
    absl::Time m_lastReview = absl::InfinitePast();
    std::vector<QuarantineChange> m_changes;
};

}
