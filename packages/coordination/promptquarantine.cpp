#include "coordination/promptquarantine.h"

#include "coordination/ownership.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Apricot {

namespace {

using Limits = PromptQuarantineLimits;

/// Returns the parts that other prompts may share: all but the last one.
std::vector<PromptPartId> sharedParts(const std::vector<PromptPartId> &parts)
{
    const std::size_t n = parts.empty() ? 0 : std::min(parts.size() - 1, Limits::maxParts);
    return {parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(n)};
}

std::uint64_t promptKey(const std::vector<PromptPartId> &parts)
{
    return parts.empty() ? 0 : XXH3_64bits(parts.back().text().data(), parts.back().text().size());
}

bool contains(const std::vector<PromptPartId> &parts, const PromptPartId &part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

absl::Duration roundLength(std::int64_t round)
{
    absl::Duration length = Limits::firstRound;
    for (std::int64_t i = 0; i < round && length < Limits::longestRound; ++i) {
        length *= 2;
    }
    return std::min(length, Limits::longestRound);
}

/// Returns the time of something that a peer has reported.
absl::Time timeOf(absl::Duration age, absl::Time now)
{
    return now - std::max(age, absl::ZeroDuration());
}

}

absl::Time PromptQuarantine::Quarantine::end() const
{
    return since + roundLength(round);
}

PromptQuarantine::PromptQuarantine(NodeId self)
    : m_self(std::move(self))
{
}

void PromptQuarantine::setActiveNodes(std::vector<NodeId> nodes)
{
    m_activeNodes = std::move(nodes);
}

PromptVerdict PromptQuarantine::check(const std::vector<PromptPartId> &parts, const std::optional<PromptTrial> &trial, absl::Time now)
{
    expire(now);
    convict(now);
    if (m_quarantines.empty()) {
        return PromptAdmitted{};
    }
    std::optional<PromptTrial> granted;
    const std::vector<PromptPartId> shared = sharedParts(parts);
    for (const auto &[quarantined, state] : m_quarantines) {
        if (!quarantined.isIn(shared)) {
            continue;
        }
        const PromptTrial wanted{quarantined, state.round};
        if (trial == wanted) {
            granted = wanted;
            continue;
        }
        if (now < state.end()) {
            return PromptRefused{quarantined, state.end() - now};
        }
        const bool isOwner = ownerOf(absl::StrCat(quarantined.text(), "#", wanted.round), m_activeNodes) == m_self;
        if (!isOwner || now < state.nextTrial || granted || trial) {
            return PromptRefused{quarantined, Limits::trialInterval};
        }
        granted = wanted;
    }
    if (!granted) {
        return PromptAdmitted{};
    }
    // No other call is tried until this one has ended.
    m_quarantines[granted->parts].nextTrial = absl::InfiniteFuture();
    return *granted;
}

bool PromptQuarantine::isSuspicious(const std::vector<PromptPartId> &parts, absl::Time now) const
{
    const std::vector<PromptPartId> shared = sharedParts(parts);
    const std::vector<Suspicion> found = suspicions(now);
    return std::any_of(found.begin(), found.end(), [&](const Suspicion &it) {
        return contains(shared, it.part) && countedCrashes(it.unexplained).size() >= Limits::suspiciousCrashes;
    });
}

void PromptQuarantine::recordOutlived(const ServiceName &service, const std::vector<PromptPartId> &parts, absl::Time now)
{
    std::vector<absl::Time> &answers = m_outlivedAnswers[service];
    answers.push_back(now);
    if (answers.size() > Limits::minOutlivedAnswers) {
        answers.erase(answers.begin());
    }
    const std::vector<PromptPartId> shared = sharedParts(parts);
    const bool isReleased = releaseOutlived(shared, now);
    for (const PromptPartId &part : shared) {
        setLastCleared(part, now);
        if (exonerate(part, now) || isReleased || isSuspected(part)) {
            m_announced[part] = now + Limits::announceTime;
        }
    }
}

void PromptQuarantine::recordBroken(const ServiceName &service, const EngineLifetime &engine, const std::vector<PromptPartId> &parts,
                                    const std::optional<PromptTrial> &trial, absl::Time now)
{
    if (trial) {
        const auto it = m_quarantines.find(trial->parts);
        if (it != m_quarantines.end() && it->second.round == trial->round) {
            quarantine(trial->parts, Quarantine{trial->round + 1, now}, 0, "trial");
        }
    }
    if (parts.size() > 1) {
        addBroken(Broken{BrokenPrompt{service, engine, promptKey(parts), sharedParts(parts), absl::ZeroDuration()}, now, true});
    }
}

void PromptQuarantine::endTrial(const PromptTrial &trial, absl::Time now)
{
    const auto it = m_quarantines.find(trial.parts);
    if (it != m_quarantines.end() && it->second.round == trial.round) {
        it->second.nextTrial = now + Limits::trialInterval;
    }
}

void PromptQuarantine::addBroken(Broken broken)
{
    const bool isKnown = std::any_of(m_broken.begin(), m_broken.end(), [&](const Broken &it) {
        return it.prompt.engine == broken.prompt.engine && it.prompt.promptKey == broken.prompt.promptKey;
    });
    if (isKnown) {
        return;
    }
    if (m_broken.size() == Limits::maxBroken) {
        m_broken.erase(m_broken.begin());
    }
    m_broken.push_back(std::move(broken));
}

void PromptQuarantine::expire(absl::Time now)
{
    std::erase_if(m_broken, [&](const Broken &it) { return now - it.time > Limits::evidenceTime; });
    std::erase_if(m_announced, [&](const auto &it) { return now > it.second; });
    std::erase_if(m_quarantines, [&](const auto &it) {
        const bool isForgotten = now - it.second.end() > Limits::forgetAfter;
        if (isForgotten) {
            m_changes.emplace_back(QuarantineEnded{it.first, "forgotten"});
        }
        return isForgotten;
    });
}

void PromptQuarantine::convict(absl::Time now)
{
    if (m_broken.size() < Limits::minCrashes || now - m_lastReview < Limits::reviewInterval) {
        return;
    }
    m_lastReview = now;
    // A conviction explains crashes, which may no longer convict the parts that are examined after it. It may also displace another one,
    // whose crashes are unexplained then.
    std::size_t n = 0;
    while (n < Limits::maxQuarantined && convictOne(now)) {
        ++n;
    }
}

bool PromptQuarantine::convictOne(absl::Time now)
{
    const std::vector<Suspicion> found = suspicions(now - Limits::confirmationTime);
    for (const Suspicion &suspicion : found) {
        const std::vector<const Broken *> crashes = countedCrashes(suspicion.unexplained);
        if (isEnough(suspicion, crashes) && answersOutlived(*crashes.front())) {
            const PromptPartSet parts = inseparableParts(suspicion, found);
            quarantine(parts, Quarantine{0, crashes.back()->time}, crashes.size(), "crashes");
            acquitExplainedBy(parts, now);
            return true;
        }
    }
    return false;
}

/// Whether \a crashes, which no conviction explains, are enough to convict the part of \a suspicion.
bool PromptQuarantine::isEnough(const Suspicion &suspicion, const std::vector<const Broken *> &crashes)
{
    std::set<std::uint64_t> prompts;
    for (const Broken *it : crashes) {
        prompts.insert(it->prompt.promptKey);
    }
    const bool hasExplainedCrashes = countedCrashes(suspicion.prompts).size() > crashes.size();
    return crashes.size() >= (hasExplainedCrashes ? Limits::minFurtherCrashes : Limits::minCrashes) && prompts.size() >= Limits::minPrompts;
}

/// Returns the parts to convict together with the part of \a suspicion, which cannot be told from it by what has been seen.
PromptPartSet PromptQuarantine::inseparableParts(const Suspicion &suspicion, const std::vector<Suspicion> &all) const
{
    // The crashes with other companions tell the part from them, unless the companions of each are to blame.
    const auto isExplainedByPart = [&](const auto &it) {
        return it.first.contains(suspicion.part);
    };
    const auto n = std::count_if(m_quarantines.begin(), m_quarantines.end(), isExplainedByPart);
    const std::vector<const Broken *> &prompts = n >= Limits::minCompanions ? suspicion.prompts : suspicion.unexplained;
    const std::vector<Suspicion> companions = companionsOf(suspicion, prompts, all);
    const auto wasOutlived = [](const Suspicion &it) {
        return it.wasOutlived;
    };
    if (n > 0 && !suspicion.wasOutlived && std::all_of(companions.begin(), companions.end(), wasOutlived)) {
        return PromptPartSet({suspicion.part});
    }
    // Most prompts of a route share their first part.
    const bool areDeeperOutlived = suspicion.wasOutlived
        && std::all_of(companions.begin(), companions.end(), [](const Suspicion &it) { return it.wasOutlived || it.depth == 0; });
    std::vector<PromptPartId> parts{suspicion.part};
    for (const Suspicion &it : companions) {
        if (it.depth > 0 || (areDeeperOutlived && !it.wasOutlived)) {
            parts.push_back(it.part);
        }
    }
    return PromptPartSet(std::move(parts));
}

/// Returns those of \a all suspicions whose part is in each of \a prompts, but for \a suspicion itself.
std::vector<PromptQuarantine::Suspicion>
PromptQuarantine::companionsOf(const Suspicion &suspicion, const std::vector<const Broken *> &prompts, const std::vector<Suspicion> &all)
{
    std::vector<Suspicion> companions;
    for (const Suspicion &it : all) {
        const bool isInAll = std::all_of(prompts.begin(), prompts.end(), [&](const Broken *prompt) {
            return std::find(it.prompts.begin(), it.prompts.end(), prompt) != it.prompts.end();
        });
        if (isInAll && it.part != suspicion.part) {
            companions.push_back(it);
        }
    }
    return companions;
}

/// Returns the parts that are under suspicion, in the order in which they are examined, from the prompts that broke off up to \a until.
std::vector<PromptQuarantine::Suspicion> PromptQuarantine::suspicions(absl::Time until) const
{
    const std::set<EngineLifetime> explained = explainedEngines();
    std::map<PromptPartId, Suspicion> byPart;
    for (const Broken &broken : m_broken) {
        if (broken.time > until) {
            continue;
        }
        const bool isExplained = explained.contains(broken.prompt.engine);
        for (std::size_t depth = 0; depth < broken.prompt.parts.size(); ++depth) {
            const PromptPartId &part = broken.prompt.parts[depth];
            const absl::Time cleared = lastCleared(part);
            if (cleared >= broken.time) {
                continue;
            }
            Suspicion &suspicion = byPart[part];
            suspicion.part = part;
            suspicion.depth = std::max(suspicion.depth, depth);
            suspicion.wasOutlived = cleared != absl::InfinitePast();
            suspicion.prompts.push_back(&broken);
            if (!isExplained) {
                suspicion.unexplained.push_back(&broken);
            }
        }
    }
    std::vector<Suspicion> found;
    const auto isEarlier = [](const Broken *left, const Broken *right) {
        return left->time < right->time;
    };
    for (auto &[part, suspicion] : byPart) {
        std::stable_sort(suspicion.prompts.begin(), suspicion.prompts.end(), isEarlier);
        std::stable_sort(suspicion.unexplained.begin(), suspicion.unexplained.end(), isEarlier);
        found.push_back(std::move(suspicion));
    }
    std::stable_sort(found.begin(), found.end(), [](const Suspicion &left, const Suspicion &right) {
        return std::tuple(!left.wasOutlived, left.depth, left.unexplained.size())
            > std::tuple(!right.wasOutlived, right.depth, right.unexplained.size());
    });
    return found;
}

std::vector<const PromptQuarantine::Broken *> PromptQuarantine::countedCrashes(const std::vector<const Broken *> &prompts)
{
    std::vector<const Broken *> counted;
    std::set<EngineLifetime> engines;
    for (const Broken *it : prompts) {
        const bool isLater = counted.empty() || it->time - counted.back()->time >= Limits::minCrashInterval;
        if (isLater && engines.insert(it->prompt.engine).second) {
            counted.push_back(it);
        }
    }
    return counted;
}

bool PromptQuarantine::answersOutlived(const Broken &firstCrash) const
{
    const auto it = m_outlivedAnswers.find(firstCrash.prompt.service);
    return it != m_outlivedAnswers.end() && it->second.size() >= Limits::minOutlivedAnswers && it->second.front() > firstCrash.time;
}

std::set<EngineLifetime> PromptQuarantine::enginesBrokenBy(const PromptPartSet &parts) const
{
    std::set<EngineLifetime> engines;
    for (const Broken &broken : m_broken) {
        if (parts.isIn(broken.prompt.parts)) {
            engines.insert(broken.prompt.engine);
        }
    }
    return engines;
}

std::set<EngineLifetime> PromptQuarantine::explainedEngines() const
{
    std::set<EngineLifetime> engines;
    for (const auto &[parts, state] : m_quarantines) {
        engines.merge(enginesBrokenBy(parts));
    }
    return engines;
}

/// Clears the parts whose quarantine rests on crashes that \a culprit has caused: reports on it may arrive late.
void PromptQuarantine::acquitExplainedBy(const PromptPartSet &culprit, absl::Time now)
{
    const std::set<EngineLifetime> explained = enginesBrokenBy(culprit);
    std::vector<PromptPartSet> acquitted;
    for (const auto &[parts, state] : m_quarantines) {
        const std::set<EngineLifetime> engines = enginesBrokenBy(parts);
        const bool isExplained = std::includes(explained.begin(), explained.end(), engines.begin(), engines.end());
        if (parts != culprit && state.round == 0 && !engines.empty() && isExplained) {
            acquitted.push_back(parts);
        }
    }
    for (const PromptPartSet &parts : acquitted) {
        end(parts, "cleared");
        for (const PromptPartId &part : parts.parts()) {
            if (!culprit.contains(part)) {
                setLastCleared(part, now);
                m_announced[part] = now + Limits::announceTime;
            }
        }
    }
}

void PromptQuarantine::quarantine(const PromptPartSet &parts, Quarantine state, std::size_t crashes, const char *source)
{
    std::vector<PromptPartSet> narrower;
    for (const auto &[other, otherState] : m_quarantines) {
        if (other != parts && parts.contains(other)) {
            return; // All its calls are refused already.
        }
        if (other != parts && other.contains(parts)) {
            narrower.push_back(other);
        }
    }
    for (const PromptPartSet &it : narrower) {
        end(it, "replaced");
    }
    if (!m_quarantines.contains(parts) && m_quarantines.size() == Limits::maxQuarantined) {
        const auto oldest = std::min_element(m_quarantines.begin(), m_quarantines.end(),
                                             [](const auto &left, const auto &right) { return left.second.since < right.second.since; });
        end(PromptPartSet(oldest->first), "displaced");
    }
    m_changes.emplace_back(QuarantineBegun{parts, state.round, crashes, source, roundLength(state.round)});
    m_quarantines[parts] = state;
}

void PromptQuarantine::end(const PromptPartSet &parts, const char *reason)
{
    m_changes.emplace_back(QuarantineEnded{parts, reason});
    m_quarantines.erase(parts);
}

/// Ends the quarantine of parts that are all in \a prompt, on which an engine has outlived an answer; returns whether there was any.
bool PromptQuarantine::releaseOutlived(const std::vector<PromptPartId> &prompt, absl::Time now)
{
    std::vector<PromptPartSet> released;
    for (const auto &[parts, state] : m_quarantines) {
        if (state.since < now && parts.isIn(prompt)) {
            released.push_back(parts);
        }
    }
    for (const PromptPartSet &parts : released) {
        end(parts, "cleared");
    }
    return !released.empty();
}

/// Takes a part that was \a cleared out of the quarantines that had begun before: one of the other parts is to blame, unless answers on
/// those have been outlived too, or the crashes may have ended meanwhile. Returns whether there was any.
bool PromptQuarantine::exonerate(const PromptPartId &part, absl::Time cleared)
{
    std::vector<std::pair<PromptPartSet, Quarantine>> affected;
    for (const auto &[parts, state] : m_quarantines) {
        if (state.since < cleared && parts.contains(part)) {
            affected.emplace_back(parts, state);
        }
    }
    for (const auto &[parts, state] : affected) {
        const PromptPartSet rest = parts.without(part);
        const bool areOthersSuspect = std::any_of(rest.parts().begin(), rest.parts().end(),
                                                  [&](const PromptPartId &it) { return lastCleared(it) == absl::InfinitePast(); });
        const bool isNarrowed = areOthersSuspect && cleared < state.end();
        end(parts, isNarrowed ? "replaced" : "cleared");
        if (isNarrowed) {
            quarantine(rest, state, 0, "narrowed");
        }
    }
    return !affected.empty();
}

absl::Time PromptQuarantine::lastCleared(const PromptPartId &part) const
{
    for (const auto *generation : {&m_cleared, &m_olderCleared}) {
        const auto it = generation->find(part);
        if (it != generation->end()) {
            return it->second;
        }
    }
    return absl::InfinitePast();
}

void PromptQuarantine::setLastCleared(const PromptPartId &part, absl::Time time)
{
    if (m_cleared.size() == Limits::maxCleared && !m_cleared.contains(part)) {
        m_olderCleared = std::exchange(m_cleared, {});
    }
    m_cleared[part] = time;
}

bool PromptQuarantine::isSuspected(const PromptPartId &part) const
{
    return std::any_of(m_broken.begin(), m_broken.end(), [&](const Broken &it) { return contains(it.prompt.parts, part); });
}

PromptReport PromptQuarantine::report(absl::Time now)
{
    expire(now);
    convict(now);
    PromptReport report;
    for (auto it = m_broken.rbegin(); it != m_broken.rend() && report.broken.size() < Limits::maxBrokenPerReport; ++it) {
        if (it->isOwn && now - it->time <= Limits::announceTime) {
            report.broken.push_back(it->prompt);
            report.broken.back().age = now - it->time;
        }
    }
    for (const auto &[part, end] : m_announced) {
        const absl::Time cleared = lastCleared(part);
        if (cleared != absl::InfinitePast() && report.cleared.size() < Limits::maxClearedPerReport) {
            report.cleared.push_back(ClearedPart{part, now - cleared});
        }
    }
    for (const auto &[parts, state] : m_quarantines) {
        report.quarantined.push_back(QuarantinedParts{parts, state.round, now - state.since});
    }
    return report;
}

void PromptQuarantine::merge(const PromptReport &report, absl::Time now)
{
    for (std::size_t i = 0; i < std::min(report.cleared.size(), Limits::maxClearedPerReport); ++i) {
        mergeCleared(report.cleared[i], now);
    }
    for (std::size_t i = 0; i < std::min(report.broken.size(), Limits::maxBrokenPerReport); ++i) {
        mergeBroken(report.broken[i], now);
    }
    for (std::size_t i = 0; i < std::min(report.quarantined.size(), Limits::maxQuarantined); ++i) {
        mergeQuarantined(report.quarantined[i], now);
    }
}

void PromptQuarantine::mergeCleared(const ClearedPart &cleared, absl::Time now)
{
    const absl::Time time = timeOf(cleared.age, now);
    if (time <= lastCleared(cleared.part)) {
        return;
    }
    setLastCleared(cleared.part, time);
    if (exonerate(cleared.part, time)) {
        // Messages that pass from node to node reach all of them only if each one repeats what is new to it.
        m_announced[cleared.part] = now + Limits::announceTime;
    }
}

void PromptQuarantine::mergeBroken(const BrokenPrompt &prompt, absl::Time now)
{
    if (prompt.age > Limits::evidenceTime || prompt.parts.size() > Limits::maxParts) {
        return;
    }
    const absl::Time time = timeOf(prompt.age, now);
    for (const PromptPartId &part : prompt.parts) {
        if (lastCleared(part) > time) {
            m_announced[part] = now + Limits::announceTime;
        }
    }
    addBroken(Broken{prompt, time, false});
}

void PromptQuarantine::mergeQuarantined(const QuarantinedParts &quarantined, absl::Time now)
{
    const Quarantine state{std::max<std::int64_t>(0, quarantined.round), timeOf(quarantined.age, now)};
    if (now - state.end() > Limits::forgetAfter) {
        return;
    }
    PromptPartSet parts = quarantined.parts;
    for (const PromptPartId &part : quarantined.parts.parts()) {
        if (lastCleared(part) > state.since) {
            m_announced[part] = now + Limits::announceTime;
            parts = parts.without(part);
        }
    }
    if (parts.isEmpty() || parts.parts().size() > Limits::maxParts) {
        return;
    }
    const auto it = m_quarantines.find(parts);
    if (it == m_quarantines.end() || it->second.round < state.round) {
        quarantine(parts, state, 0, "peer");
    } else if (it->second.round == state.round) {
        it->second.since = std::min(it->second.since, state.since);
    }
}

std::vector<QuarantineChange> PromptQuarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

}
