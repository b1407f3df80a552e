#include "coordination/ownership.h"
#include "coordination/promptquarantine.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <variant>
#include <vector>

using namespace Apricot;

namespace {

using Limits = PromptQuarantineLimits;

const absl::Time start = absl::UnixEpoch() + absl::Hours(3);
const ServiceName service("s");

std::vector<PromptPartId> prompt(const std::vector<std::string> &parts)
{
    std::vector<PromptPartId> ids;
    for (const std::string &part : parts) {
        ids.emplace_back(part);
    }
    return ids;
}

EngineLifetime engine(int number)
{
    return EngineLifetime{EngineId("e" + std::to_string(number)), 1000 + number};
}

bool isRefused(const PromptVerdict &verdict)
{
    return std::holds_alternative<PromptRefused>(verdict);
}

/**
 * \class Nodes
 * \brief Some nodes that exchange their reports only when the test says so, on one clock that the test moves.
 */
class Nodes
{
public:
    explicit Nodes(int count)
    {
        std::vector<NodeId> ids;
        for (int i = 0; i < count; ++i) {
            ids.emplace_back("n" + std::to_string(i));
        }
        for (const NodeId &id : ids) {
            m_nodes.emplace_back(id);
            m_nodes.back().setActiveNodes(ids);
        }
    }

    PromptQuarantine &operator[](std::size_t number)
    {
        return m_nodes[number];
    }

    absl::Time now() const
    {
        return m_now;
    }

    void wait(absl::Duration time)
    {
        m_now += time;
    }

    /// Delivers a report of each node to each other one.
    void exchange()
    {
        for (PromptQuarantine &from : m_nodes) {
            const PromptReport report = from.report(m_now);
            for (PromptQuarantine &to : m_nodes) {
                if (&to != &from) {
                    to.merge(report, m_now);
                }
            }
        }
    }

    /// Lets an engine of each node outlive an answer on a prompt that shares nothing with others.
    void outliveOtherAnswers()
    {
        for (PromptQuarantine &node : m_nodes) {
            for (std::size_t i = 0; i < Limits::minOutlivedAnswers; ++i) {
                outlive(node, {"other" + std::to_string(++m_prompts), "own"});
            }
        }
    }

    void outlive(PromptQuarantine &node, const std::vector<std::string> &parts)
    {
        node.recordOutlived(service, prompt(parts), m_now);
    }

    /// Breaks a new prompt of the shared \a parts at \a node.
    void breakPrompt(PromptQuarantine &node, std::vector<std::string> parts, int engineNumber,
                     const std::optional<PromptTrial> &trial = std::nullopt)
    {
        parts.push_back("own" + std::to_string(++m_prompts));
        node.recordBroken(service, engine(engineNumber), prompt(parts), trial, m_now);
    }

    /// Breaks one prompt of \a parts at one node after the other, each at another engine, while engines outlive other answers.
    void crashEngines(int count, const std::vector<std::string> &parts)
    {
        for (int i = 0; i < count; ++i) {
            breakPrompt(m_nodes[static_cast<std::size_t>(i) % m_nodes.size()], parts, ++m_engines);
            wait(absl::Milliseconds(500));
            outliveOtherAnswers();
            exchange();
        }
        wait(absl::Seconds(1));
        exchange();
    }

    PromptVerdict check(PromptQuarantine &node, std::vector<std::string> parts)
    {
        parts.push_back("own" + std::to_string(++m_prompts));
        return node.check(prompt(parts), std::nullopt, m_now);
    }

    /// Whether all nodes refuse prompts of the shared \a parts.
    bool allRefuse(const std::vector<std::string> &parts)
    {
        return countRefusing(parts) == m_nodes.size();
    }

    /// Number of nodes that refuse prompts of the shared \a parts.
    std::size_t countRefusing(const std::vector<std::string> &parts)
    {
        std::size_t n = 0;
        for (PromptQuarantine &node : m_nodes) {
            n += isRefused(check(node, parts)) ? 1 : 0;
        }
        return n;
    }

private:
    std::vector<PromptQuarantine> m_nodes;
    absl::Time m_now = start;
    int m_prompts = 0;
    int m_engines = 0;
};

}

BOOST_AUTO_TEST_SUITE(PromptQuarantines)

// Guards against BUDGET: each node sees one crash only, so no node alone finds the part that crashes engines.
BOOST_AUTO_TEST_CASE(crashesThatSeveralNodesSeeConvictTheDeepestCommonPart)
{
    Nodes nodes(3);
    nodes.crashEngines(2, {"first", "deadly"});
    BOOST_TEST(nodes.countRefusing({"first", "deadly"}) == 0U);
    nodes.crashEngines(1, {"first", "deadly"});
    BOOST_TEST(nodes.allRefuse({"first", "deadly"}));
    BOOST_TEST(nodes.allRefuse({"another", "deadly"}));
    BOOST_TEST(nodes.countRefusing({"first"}) == 0U);
    BOOST_TEST(nodes.countRefusing({"first", "sound"}) == 0U);
}

// Guards against LOST: the first part has the same evidence as the part behind it, and is blamed for the crashes of later prompts.
BOOST_AUTO_TEST_CASE(crashesOfAConvictedPartCountAgainstNoOtherPart)
{
    Nodes nodes(3);
    nodes.crashEngines(3, {"first", "deadly"});
    nodes.crashEngines(6, {"first", "deadly"});
    BOOST_TEST(nodes.allRefuse({"first", "deadly"}));
    BOOST_TEST(nodes.countRefusing({"first"}) == 0U);
}

// Guards against LOST: sound prompts that run at the crashing engines break with the tainted one, rare ones several times.
BOOST_AUTO_TEST_CASE(promptsThatBreakBesideADeadlyOneAreNotBlamed)
{
    Nodes nodes(3);
    for (int i = 0; i < 5; ++i) {
        nodes.breakPrompt(nodes[0], {"rare"}, i);
        nodes.breakPrompt(nodes[1], {"common"}, i);
        nodes.breakPrompt(nodes[2], {"first", "deadly"}, i);
        nodes.exchange();
        nodes.wait(absl::Milliseconds(400));
        nodes.outlive(nodes[2], {"common", "own"});
        nodes.outliveOtherAnswers();
        nodes.exchange();
    }
    nodes.wait(absl::Seconds(1));
    nodes.exchange();
    BOOST_TEST(nodes.allRefuse({"first", "deadly"}));
    BOOST_TEST(nodes.countRefusing({"rare"}) == 0U);
    BOOST_TEST(nodes.countRefusing({"common"}) == 0U);
}

// Guards against LOST and BUDGET: a sound part is convicted because the reports on the deadly one are late, and then explains the crashes.
BOOST_AUTO_TEST_CASE(aPartThatWasBlamedFirstIsAcquittedOnceAnotherExplainsItsCrashes)
{
    Nodes nodes(3);
    for (int i = 0; i < 3; ++i) {
        nodes.breakPrompt(nodes[0], {"rare"}, 100 + i);
        nodes.breakPrompt(nodes[1], {"first", "deadly"}, 100 + i);
        nodes.wait(absl::Milliseconds(500));
        nodes.outliveOtherAnswers();
    }
    BOOST_TEST(isRefused(nodes.check(nodes[0], {"rare"})));
    nodes[2].merge(nodes[0].report(nodes.now()), nodes.now());
    BOOST_TEST(isRefused(nodes.check(nodes[2], {"rare"})));
    nodes.exchange();
    nodes.crashEngines(3, {"first", "deadly"});
    nodes.exchange();
    BOOST_TEST(nodes.allRefuse({"first", "deadly"}));
    BOOST_TEST(nodes.countRefusing({"rare"}) == 0U);
}

// Guards against LOST: a sound part that always comes with the deadly one is convicted in its place, with or without answers on it before,
// and in any position.
BOOST_AUTO_TEST_CASE(aSoundPartThatAlwaysComesWithTheDeadlyOneIsNotRefusedWithoutIt)
{
    for (const bool isKnown : {true, false}) {
        for (const std::vector<std::string> &parts : std::vector<std::vector<std::string>>{
                 {"first", "deadly", "subject"}, {"first", "subject", "deadly"}, {"first", "system", "deadly", "subject"}}) {
            Nodes nodes(3);
            for (int i = 0; isKnown && i < 20; ++i) {
                nodes.outlive(nodes[static_cast<std::size_t>(i) % 3], {"first", "subject", "own"});
                nodes.wait(absl::Seconds(2));
            }
            nodes.crashEngines(3, parts);
            BOOST_TEST(nodes.allRefuse(parts));
            BOOST_TEST(nodes.countRefusing({"first", "subject"}) == 0U);
            BOOST_TEST(nodes.countRefusing({"first", "system", "subject"}) == 0U);
            nodes.outlive(nodes[1], {"first", "system", "subject", "own"});
            nodes.exchange();
            nodes.exchange();
            BOOST_TEST(nodes.allRefuse({"first", "deadly", "another"}));
            BOOST_TEST(nodes.countRefusing({"first", "subject"}) == 0U);
            BOOST_TEST(nodes[2].quarantinedCount() == 1U);
        }
    }
}

// Guards against BUDGET: the deadly part comes with another sound one from some time on, and its crashes count anew.
BOOST_AUTO_TEST_CASE(crashesThatGoOnWithoutOneOfThePartsConvictTheOther)
{
    for (const bool isKnown : {true, false}) {
        Nodes nodes(3);
        for (int i = 0; isKnown && i < 3; ++i) {
            nodes.outlive(nodes[static_cast<std::size_t>(i)], {"first", "subject", "own"});
            nodes.outlive(nodes[static_cast<std::size_t>(i)], {"first", "another", "own"});
        }
        nodes.wait(absl::Seconds(30));
        nodes.crashEngines(3, {"first", "deadly", "subject"});
        nodes.crashEngines(2, {"first", "deadly", "another"});
        BOOST_TEST(nodes.allRefuse({"first", "deadly", "another"}));
        if (!isKnown) { // Until now, the sound parts could be the deadly ones.
            nodes.crashEngines(2, {"first", "deadly", "third"});
        }
        BOOST_TEST(nodes.allRefuse({"second", "deadly"}));
        BOOST_TEST(nodes.countRefusing({"first", "subject"}) == 0U);
        BOOST_TEST(nodes.countRefusing({"first", "another"}) == 0U);
        BOOST_TEST(nodes[0].quarantinedCount() == 1U);
    }
}

// Guards against LOST: a sound part is in the crashes of two deadly ones, and so in more than either of them.
BOOST_AUTO_TEST_CASE(aSoundPartThatComesWithTwoDeadlyOnesIsNotRefused)
{
    Nodes nodes(3);
    for (const char *deadly : {"deadly1", "deadly2"}) {
        nodes.crashEngines(3, {"first", "subject", deadly});
        BOOST_TEST(nodes.allRefuse({"first", "subject", deadly}));
        BOOST_TEST(nodes.countRefusing({"first", "subject"}) == 0U);
    }
    nodes.outlive(nodes[0], {"first", "subject", "own"});
    nodes.exchange();
    nodes.exchange();
    BOOST_TEST(nodes.allRefuse({"another", "deadly1"}));
    BOOST_TEST(nodes.allRefuse({"another", "deadly2"}));
}

// Guards against a trial that no call can pass, because its prompt is refused for another set of the same parts.
BOOST_AUTO_TEST_CASE(aTrialOfPartsThatWereConvictedTogetherReleasesThem)
{
    Nodes nodes(2);
    nodes.crashEngines(3, {"first", "deadly", "subject"});
    nodes.crashEngines(2, {"first", "deadly", "another"});
    nodes.wait(Limits::firstRound);
    for (std::size_t i = 0; i < 2; ++i) {
        if (!isRefused(nodes.check(nodes[i], {"first", "deadly", "subject"}))) {
            nodes.outlive(nodes[i], {"first", "deadly", "subject", "own"});
        }
    }
    nodes.exchange();
    nodes.exchange();
    BOOST_TEST(nodes.countRefusing({"first", "deadly", "subject"}) == 0U);
    BOOST_TEST(nodes.countRefusing({"first", "deadly", "another"}) == 0U);
}

// Guards against a message of a peer that would refuse all calls.
BOOST_AUTO_TEST_CASE(anEmptySetOfPartsIsNoQuarantine)
{
    Nodes nodes(1);
    PromptReport report;
    report.quarantined = {QuarantinedParts{PromptPartSet(), 0, absl::ZeroDuration()}};
    nodes[0].merge(report, nodes.now());
    BOOST_TEST(nodes.countRefusing({"first"}) == 0U);
    BOOST_TEST(nodes[0].quarantinedCount() == 0U);
}

// Guards against refusing a sound part for good that stood behind a deadly first part in the first prompts.
BOOST_AUTO_TEST_CASE(aDeadlyFirstPartIsFoundBehindADeeperOne)
{
    Nodes nodes(3);
    nodes.crashEngines(3, {"deadly", "sound"});
    BOOST_TEST(nodes.allRefuse({"deadly", "sound"}));
    nodes.crashEngines(3, {"deadly"});
    nodes.exchange();
    BOOST_TEST(nodes.allRefuse({"deadly"}));
    BOOST_TEST(nodes.countRefusing({"another", "sound"}) == 0U);
}

// Guards against blaming a part on which answers are outlived at another node than the one that sees the crashes.
BOOST_AUTO_TEST_CASE(anAnswerThatIsOutlivedAnywhereClearsItsParts)
{
    Nodes nodes(2);
    for (int i = 0; i < 8; ++i) {
        nodes.breakPrompt(nodes[0], {"sound"}, i);
        nodes.wait(absl::Milliseconds(300));
        if (i % 2 == 1) {
            nodes.outlive(nodes[1], {"sound", "own"});
        }
        nodes.outliveOtherAnswers();
        nodes.exchange();
        nodes.exchange();
    }
    nodes.wait(absl::Seconds(1));
    BOOST_TEST(nodes.countRefusing({"sound"}) == 0U);
}

// Guards against blaming the prompts that run when many engines lose their power at once.
BOOST_AUTO_TEST_CASE(aMassCrashBlamesNothing)
{
    Nodes nodes(3);
    for (int i = 0; i < 30; ++i) {
        nodes.breakPrompt(nodes[static_cast<std::size_t>(i % 3)], {"common", "deep"}, i);
        nodes.wait(absl::Milliseconds(5));
    }
    nodes.outliveOtherAnswers();
    nodes.exchange();
    nodes.wait(absl::Seconds(1));
    BOOST_TEST(nodes.countRefusing({"common", "deep"}) == 0U);
}

// Guards against blaming prompts when the whole service is out of order and no answer is outlived.
BOOST_AUTO_TEST_CASE(nothingIsBlamedWhileNoAnswerIsOutlived)
{
    Nodes nodes(2);
    for (int i = 0; i < 20; ++i) {
        nodes.breakPrompt(nodes[0], {"common"}, i);
        nodes.wait(absl::Milliseconds(300));
        nodes.exchange();
    }
    nodes.wait(absl::Seconds(1));
    BOOST_TEST(nodes.countRefusing({"common"}) == 0U);
}

// Guards against blaming the prompts of one engine that resets its connections, or one prompt that its caller repeats.
BOOST_AUTO_TEST_CASE(oneEngineOrOnePromptIsNoEvidence)
{
    Nodes nodes(1);
    for (int i = 0; i < 10; ++i) {
        nodes.breakPrompt(nodes[0], {"atOneEngine"}, 1);
        nodes[0].recordBroken(service, engine(10 + i), prompt({"ofOnePrompt", "session"}), std::nullopt, nodes.now());
        nodes.wait(absl::Milliseconds(300));
        nodes.outliveOtherAnswers();
    }
    nodes.wait(absl::Seconds(1));
    BOOST_TEST(nodes.countRefusing({"atOneEngine"}) == 0U);
    BOOST_TEST(nodes.countRefusing({"ofOnePrompt"}) == 0U);
}

// Guards against BUDGET: a node, then the caller, repeat each broken prompt, so that three prompts crash far more than three engines.
BOOST_AUTO_TEST_CASE(repeatedPromptsCountAndSuspiciousOnesAreNotRepeated)
{
    Nodes nodes(1);
    const std::vector<PromptPartId> repeated = prompt({"first", "deadly", "own"});
    nodes[0].recordBroken(service, engine(100), repeated, std::nullopt, nodes.now());
    nodes.wait(absl::Milliseconds(300));
    BOOST_TEST(!nodes[0].isSuspicious(repeated, nodes.now()));
    nodes[0].recordBroken(service, engine(101), repeated, std::nullopt, nodes.now());
    BOOST_TEST(nodes[0].isSuspicious(repeated, nodes.now()));
    BOOST_TEST(nodes[0].isSuspicious(prompt({"first", "deadly", "another"}), nodes.now()));
    BOOST_TEST(!nodes[0].isSuspicious(prompt({"another", "own"}), nodes.now()));
    nodes.wait(absl::Milliseconds(300));
    nodes.outliveOtherAnswers();
    BOOST_TEST(nodes.countRefusing({"first", "deadly"}) == 0U);
    nodes.crashEngines(1, {"first", "deadly"});
    BOOST_TEST(nodes.allRefuse({"first", "deadly"}));
    BOOST_TEST(nodes.countRefusing({"first"}) == 0U);
}

// Guards against blaming the last part, which no other prompt shares, and prompts without parts.
BOOST_AUTO_TEST_CASE(theLastPartIsNeverBlamed)
{
    Nodes nodes(1);
    for (int i = 0; i < 10; ++i) {
        nodes[0].recordBroken(service, engine(i), prompt({"own"}), std::nullopt, nodes.now());
        nodes[0].recordBroken(service, engine(i), {}, std::nullopt, nodes.now());
        nodes.wait(absl::Milliseconds(300));
        nodes.outliveOtherAnswers();
    }
    nodes.wait(absl::Seconds(1));
    BOOST_TEST(!isRefused(nodes[0].check(prompt({"own"}), std::nullopt, nodes.now())));
    BOOST_TEST(!isRefused(nodes[0].check({}, std::nullopt, nodes.now())));
}

// Guards against nodes that miss a report for good: datagrams get lost, arrive twice and overtake each other.
BOOST_AUTO_TEST_CASE(lostRepeatedAndReorderedReportsLeadToTheSameResult)
{
    Nodes nodes(3);
    std::vector<PromptReport> sent;
    for (int i = 0; i < 3; ++i) {
        nodes.breakPrompt(nodes[1], {"first", "deadly"}, i);
        sent.push_back(nodes[1].report(nodes.now()));
        nodes.wait(absl::Milliseconds(400));
        sent.push_back(nodes[1].report(nodes.now()));
    }
    nodes.wait(absl::Seconds(1));
    for (std::size_t i = sent.size(); i-- > 2;) { // the first two are lost
        nodes[0].merge(sent[i], nodes.now());
        nodes[0].merge(sent[i], nodes.now());
    }
    nodes.outliveOtherAnswers();
    nodes.wait(absl::Seconds(1));
    nodes.exchange();
    BOOST_TEST(nodes.allRefuse({"first", "deadly"}));
    BOOST_TEST(nodes.countRefusing({"first"}) == 0U);
}

// Guards against a node that starts or was cut off during the crashes and sends such calls afterwards.
BOOST_AUTO_TEST_CASE(aNodeThatStartsLearnsTheQuarantineFromOneMessage)
{
    Nodes nodes(2);
    nodes.crashEngines(3, {"first", "deadly"});
    nodes.wait(absl::Seconds(10));
    PromptQuarantine late(NodeId("late"));
    late.merge(nodes[1].report(nodes.now()), nodes.now());
    const PromptVerdict verdict = nodes.check(late, {"first", "deadly"});
    BOOST_REQUIRE(isRefused(verdict));
    BOOST_TEST(std::get<PromptRefused>(verdict).parts.text() == "deadly");
    BOOST_TEST(std::get<PromptRefused>(verdict).retryAfter < Limits::firstRound - absl::Seconds(10));
}

// Guards against BUDGET after the quarantine: all nodes would let a call through at the same moment.
BOOST_AUTO_TEST_CASE(oneCallOfOneNodeTriesThePartOut)
{
    Nodes nodes(4);
    nodes.crashEngines(3, {"first", "deadly"});
    nodes.wait(Limits::firstRound);
    std::size_t trials = 0;
    for (int i = 0; i < 3; ++i) {
        trials += 4 - nodes.countRefusing({"first", "deadly"});
        nodes.exchange();
    }
    BOOST_TEST(trials == 1U);
}

// Guards against a part that stays quarantined after it has stopped crashing engines.
BOOST_AUTO_TEST_CASE(aTrialWhoseAnswerIsOutlivedReleasesThePartEverywhere)
{
    Nodes nodes(3);
    nodes.crashEngines(3, {"first", "deadly"});
    nodes.wait(Limits::firstRound);
    for (std::size_t i = 0; i < 3; ++i) {
        if (!isRefused(nodes.check(nodes[i], {"first", "deadly"}))) {
            nodes.outlive(nodes[i], {"first", "deadly", "own"});
        }
    }
    nodes.exchange();
    nodes.exchange();
    BOOST_TEST(nodes.countRefusing({"first", "deadly"}) == 0U);
}

// Guards against a crash at short intervals for as long as such calls come.
BOOST_AUTO_TEST_CASE(aTrialThatCrashesAnEngineDoublesTheQuarantine)
{
    Nodes nodes(3);
    nodes.crashEngines(3, {"first", "deadly"});
    absl::Duration length = Limits::firstRound;
    for (std::int64_t round = 0; round < 8; ++round) {
        nodes.wait(length);
        const PromptTrial trial{PromptPartSet(prompt({"deadly"})), round};
        for (std::size_t i = 0; i < 3; ++i) {
            const PromptVerdict verdict = nodes.check(nodes[i], {"first", "deadly"});
            if (verdict == PromptVerdict(trial)) {
                nodes.breakPrompt(nodes[i], {"first", "deadly"}, 100 + static_cast<int>(round), trial);
                nodes[i].endTrial(trial, nodes.now());
            }
        }
        nodes.exchange();
        length = std::min(length * 2, Limits::longestRound);
        BOOST_TEST(nodes.allRefuse({"first", "deadly"}));
        nodes.wait(length - absl::Seconds(1));
        BOOST_TEST(nodes.allRefuse({"first", "deadly"}));
        nodes.wait(absl::Seconds(1) - length);
        BOOST_TEST(nodes.countRefusing({"first"}) == 0U);
    }
}

// Guards against a trial that ends without a result, because its caller left or no engine took it, and is the last one.
BOOST_AUTO_TEST_CASE(aTrialWithoutResultIsFollowedByAnother)
{
    Nodes nodes(1);
    nodes.crashEngines(3, {"first", "deadly"});
    nodes.wait(Limits::firstRound);
    const PromptVerdict verdict = nodes.check(nodes[0], {"first", "deadly"});
    BOOST_REQUIRE(std::holds_alternative<PromptTrial>(verdict));
    BOOST_TEST(nodes.allRefuse({"first", "deadly"}));
    const PromptTrial trial = std::get<PromptTrial>(verdict);
    BOOST_TEST((nodes[0].check(prompt({"first", "deadly", "own"}), trial, nodes.now()) == PromptVerdict(trial)));
    nodes[0].endTrial(trial, nodes.now());
    BOOST_TEST(nodes.allRefuse({"first", "deadly"}));
    nodes.wait(Limits::trialInterval);
    BOOST_TEST(nodes.countRefusing({"first", "deadly"}) == 0U);
}

// Guards against state that grows without end, from calls or from the messages of a peer.
BOOST_AUTO_TEST_CASE(memoryAndMessagesAreBounded)
{
    Nodes nodes(2);
    for (int i = 0; i < 3000; ++i) {
        const std::string part = std::to_string(i);
        nodes.outlive(nodes[0], {"a" + part, "own"});
        nodes.breakPrompt(nodes[0], {"b" + part, "c" + part}, i);
        PromptReport report;
        report.cleared = {ClearedPart{PromptPartId("d" + part), absl::ZeroDuration()}};
        report.broken = {BrokenPrompt{service, engine(i), static_cast<std::uint64_t>(i), prompt({"e" + part}), absl::ZeroDuration()}};
        report.quarantined = {QuarantinedParts{PromptPartSet(prompt({"f" + part})), i, absl::ZeroDuration()}};
        nodes[0].merge(report, nodes.now());
        nodes.wait(absl::Milliseconds(1));
    }
    BOOST_TEST(nodes[0].quarantinedCount() == Limits::maxQuarantined);
    const PromptReport report = nodes[0].report(nodes.now());
    BOOST_TEST(report.broken.size() <= Limits::maxBrokenPerReport);
    BOOST_TEST(report.cleared.size() <= Limits::maxClearedPerReport);
    BOOST_TEST(report.quarantined.size() <= Limits::maxQuarantined);
}

// Guards against a part that is refused for good, although no call with it has come for long.
BOOST_AUTO_TEST_CASE(aPartThatNoCallAsksForIsForgotten)
{
    Nodes nodes(3);
    nodes.crashEngines(3, {"first", "deadly"});
    for (absl::Duration waited; waited <= Limits::firstRound + Limits::forgetAfter; waited += absl::Seconds(1)) {
        nodes.wait(absl::Seconds(1));
        nodes.exchange(); // the nodes do not keep it alive by telling each other
    }
    nodes.exchange();
    BOOST_TEST(nodes[0].quarantinedCount() == 0U);
    BOOST_TEST(nodes.countRefusing({"first", "deadly"}) == 0U);
}

// Guards against a quarantine that a peer, which has missed the release, brings back.
BOOST_AUTO_TEST_CASE(anOutdatedReportDoesNotRenewAnEndedQuarantine)
{
    Nodes nodes(2);
    nodes.crashEngines(3, {"first", "deadly"});
    nodes.outlive(nodes[0], {"first", "deadly", "own"});
    nodes.wait(Limits::announceTime * 2); // node 1 has not heard of it
    BOOST_TEST(isRefused(nodes.check(nodes[1], {"first", "deadly"})));
    nodes.exchange();
    BOOST_TEST(!isRefused(nodes.check(nodes[0], {"first", "deadly"})));
    nodes.exchange();
    BOOST_TEST(nodes.countRefusing({"first", "deadly"}) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
