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
    for (const PromptPartId &part : sharedParts(parts)) {
        const auto it = m_quarantines.find(part);
        if (it == m_quarantines.end()) {
            continue;
        }
        const PromptTrial wanted{part, it->second.round};
        if (trial == wanted) {
            granted = wanted;
            continue;
        }
        if (now < it->second.end()) {
            return PromptRefused{part, it->second.end() - now};
        }
        const bool isOwner = ownerOf(absl::StrCat(part.text(), "#", wanted.round), m_activeNodes) == m_self;
        if (!isOwner || now < it->second.nextTrial || granted || trial) {
            return PromptRefused{part, Limits::trialInterval};
        }
        granted = wanted;
    }
    if (!granted) {
        return PromptAdmitted{};
    }
    // No other call is tried until this one has ended.
    m_quarantines[granted->part].nextTrial = absl::InfiniteFuture();
    return *granted;
}

bool PromptQuarantine::isSuspicious(const std::vector<PromptPartId> &parts, absl::Time now) const
{
    const std::vector<PromptPartId> shared = sharedParts(parts);
    const std::vector<Suspicion> found = suspicions(now);
    return std::any_of(found.begin(), found.end(), [&](const Suspicion &it) {
        return contains(shared, it.part) && countedCrashes(it).size() >= Limits::suspiciousCrashes;
    });
}

void PromptQuarantine::recordOutlived(const ServiceName &service, const std::vector<PromptPartId> &parts, absl::Time now)
{
    std::vector<absl::Time> &answers = m_outlivedAnswers[service];
    answers.push_back(now);
    if (answers.size() > Limits::minOutlivedAnswers) {
        answers.erase(answers.begin());
    }
    for (const PromptPartId &part : sharedParts(parts)) {
        setLastCleared(part, now);
        if (release(part, now) || isSuspected(part)) {
            m_announced[part] = now + Limits::announceTime;
        }
    }
}

void PromptQuarantine::recordBroken(const ServiceName &service, const EngineLifetime &engine, const std::vector<PromptPartId> &parts,
                                    const std::optional<PromptTrial> &trial, absl::Time now)
{
    if (trial) {
        const auto it = m_quarantines.find(trial->part);
        if (it != m_quarantines.end() && it->second.round == trial->round) {
            quarantine(trial->part, Quarantine{trial->round + 1, now}, 0, "trial");
        }
    }
    if (parts.size() > 1) {
        addBroken(Broken{BrokenPrompt{service, engine, promptKey(parts), sharedParts(parts), absl::ZeroDuration()}, now, true});
    }
}

void PromptQuarantine::endTrial(const PromptTrial &trial, absl::Time now)
{
    const auto it = m_quarantines.find(trial.part);
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
    // A convicted part explains crashes, which may no longer convict the parts that are examined after it.
    while (convictOne(now)) { }
}

bool PromptQuarantine::convictOne(absl::Time now)
{
    for (const Suspicion &suspicion : suspicions(now - Limits::confirmationTime)) {
        const std::vector<const Broken *> crashes = countedCrashes(suspicion);
        std::set<std::uint64_t> prompts;
        for (const Broken *it : crashes) {
            prompts.insert(it->prompt.promptKey);
        }
        const bool isEnough = crashes.size() >= Limits::minCrashes && prompts.size() >= Limits::minPrompts;
        if (isEnough && answersOutlived(*crashes.front())) {
            quarantine(suspicion.part, Quarantine{0, crashes.back()->time}, crashes.size(), "crashes");
            acquitExplainedBy(suspicion.part, now);
            return true;
        }
    }
    return false;
}

/// Returns the parts that are under suspicion, the deepest first, from the prompts that broke off up to \a until.
std::vector<PromptQuarantine::Suspicion> PromptQuarantine::suspicions(absl::Time until) const
{
    const std::set<EngineLifetime> explained = explainedEngines();
    std::map<PromptPartId, Suspicion> byPart;
    for (const Broken &broken : m_broken) {
        if (broken.time > until || explained.contains(broken.prompt.engine)) {
            continue;
        }
        for (std::size_t depth = 0; depth < broken.prompt.parts.size(); ++depth) {
            const PromptPartId &part = broken.prompt.parts[depth];
            if (lastCleared(part) >= broken.time) {
                continue;
            }
            Suspicion &suspicion = byPart[part];
            suspicion.part = part;
            suspicion.depth = std::max(suspicion.depth, depth);
            suspicion.prompts.push_back(&broken);
        }
    }
    std::vector<Suspicion> found;
    for (auto &[part, suspicion] : byPart) {
        std::stable_sort(suspicion.prompts.begin(), suspicion.prompts.end(),
                         [](const Broken *left, const Broken *right) { return left->time < right->time; });
        found.push_back(std::move(suspicion));
    }
    std::stable_sort(found.begin(), found.end(), [](const Suspicion &left, const Suspicion &right) {
        return std::tuple(left.depth, left.prompts.size()) > std::tuple(right.depth, right.prompts.size());
    });
    return found;
}

std::vector<const PromptQuarantine::Broken *> PromptQuarantine::countedCrashes(const Suspicion &suspicion) const
{
    std::vector<const Broken *> counted;
    std::set<EngineLifetime> engines;
    for (const Broken *it : suspicion.prompts) {
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

std::set<EngineLifetime> PromptQuarantine::enginesBrokenBy(const PromptPartId &part) const
{
    std::set<EngineLifetime> engines;
    for (const Broken &broken : m_broken) {
        if (contains(broken.prompt.parts, part)) {
            engines.insert(broken.prompt.engine);
        }
    }
    return engines;
}

std::set<EngineLifetime> PromptQuarantine::explainedEngines() const
{
    std::set<EngineLifetime> engines;
    for (const auto &[part, state] : m_quarantines) {
        engines.merge(enginesBrokenBy(part));
    }
    return engines;
}

/// Clears the parts whose quarantine rests on crashes that \a culprit has caused: reports on it may arrive late.
void PromptQuarantine::acquitExplainedBy(const PromptPartId &culprit, absl::Time now)
{
    const std::set<EngineLifetime> explained = enginesBrokenBy(culprit);
    std::vector<PromptPartId> acquitted;
    for (const auto &[part, state] : m_quarantines) {
        const std::set<EngineLifetime> engines = enginesBrokenBy(part);
        const bool isExplained = std::includes(explained.begin(), explained.end(), engines.begin(), engines.end());
        if (part != culprit && state.round == 0 && !engines.empty() && isExplained) {
            acquitted.push_back(part);
        }
    }
    for (const PromptPartId &part : acquitted) {
        setLastCleared(part, now);
        release(part, now);
        m_announced[part] = now + Limits::announceTime;
    }
}

void PromptQuarantine::quarantine(const PromptPartId &part, Quarantine state, std::size_t crashes, const char *source)
{
    if (!m_quarantines.contains(part) && m_quarantines.size() == Limits::maxQuarantined) {
        const auto oldest = std::min_element(m_quarantines.begin(), m_quarantines.end(),
                                             [](const auto &left, const auto &right) { return left.second.since < right.second.since; });
        m_changes.emplace_back(QuarantineEnded{oldest->first, "displaced"});
        m_quarantines.erase(oldest);
    }
    m_changes.emplace_back(QuarantineBegun{part, state.round, crashes, source, roundLength(state.round)});
    m_quarantines[part] = state;
}

bool PromptQuarantine::release(const PromptPartId &part, absl::Time cleared)
{
    const auto it = m_quarantines.find(part);
    if (it == m_quarantines.end() || it->second.since >= cleared) {
        return false;
    }
    m_quarantines.erase(it);
    m_changes.emplace_back(QuarantineEnded{part, "cleared"});
    return true;
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
    for (const auto &[part, state] : m_quarantines) {
        report.quarantined.push_back(QuarantinedPart{part, state.round, now - state.since});
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
    if (release(cleared.part, time)) {
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

void PromptQuarantine::mergeQuarantined(const QuarantinedPart &quarantined, absl::Time now)
{
    const Quarantine state{std::max<std::int64_t>(0, quarantined.round), timeOf(quarantined.age, now)};
    if (now - state.end() > Limits::forgetAfter) {
        return;
    }
    if (lastCleared(quarantined.part) > state.since) {
        m_announced[quarantined.part] = now + Limits::announceTime;
        return;
    }
    const auto it = m_quarantines.find(quarantined.part);
    if (it == m_quarantines.end() || it->second.round < state.round) {
        quarantine(quarantined.part, state, 0, "peer");
    } else if (it->second.round == state.round) {
        it->second.since = std::min(it->second.since, state.since);
    }
}

std::vector<QuarantineChange> PromptQuarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

}
