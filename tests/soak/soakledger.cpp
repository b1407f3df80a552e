#include "soak/soakledger.h"

#include "state/overloaded.h"
#include "transport/httpmessage.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <map>

namespace Apricot {

namespace {

/// Statuses by which a node says that a call has not run and never will.
bool promisesNoRun(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

bool isStream(CallKind kind)
{
    return kind == CallKind::Draft || kind == CallKind::Resumable;
}

std::string wholeStreamOf(const std::string &attempt)
{
    std::string events;
    for (int id = 1; id <= eventsOfStream; ++id) {
        events += eventOf(attempt, id);
    }
    return events;
}

std::string expectedBody(const SoakCall &call)
{
    return isStream(call.kind) ? wholeStreamOf(call.attempt) : wholeAnswerOf(call.attempt);
}

/// What was passed on of an answer that is not whole.
void checkPart(const SoakCall &call, const std::string &part, std::vector<std::string> *broken)
{
    if (expectedBody(call).substr(0, part.size()) != part) {
        broken->push_back("what came is no part of the engine's answer");
    }
}

void checkAnswer(const SoakCall &call, const WasAnswered &answer, std::vector<std::string> *broken)
{
    if (answer.status == statusOk) {
        if (!answer.isSigned) {
            broken->push_back("a success without an engine's signature");
        }
        if (answer.body != expectedBody(call)) {
            broken->push_back("the answer is not the engine's whole answer");
        }
        if (call.runs.empty()) {
            broken->push_back("a success, and no engine ran it");
        }
    }
    if (promisesNoRun(answer.status) && call.kind != CallKind::Read && call.kind != CallKind::Resumable && !call.runs.empty()) {
        broken->push_back(absl::StrCat("status ", answer.status, " says that it has not run, and it ran at ", call.runs.front()));
    }
}

}

std::string wholeAnswerOf(const std::string &attempt)
{
    return absl::StrCat("done ", attempt);
}

std::string eventOf(const std::string &attempt, int id)
{
    return absl::StrCat("id: ", id, "\ndata: ", attempt, " ", id, "\n\n");
}

bool isFailureOfNode(const SoakCall &call)
{
    return std::visit(Overloaded{
                          [](const WasNotSent &) { return false; },
                          [](const WasAnswered &it) { return it.status != statusOk && !it.isSigned; },
                          // Without a run the connection itself may have failed before a node read anything.
                          [&](const WasCutOff &) { return !call.runs.empty(); },
                          [](const WasGivenUp &) { return false; },
                      },
                      call.end);
}

std::vector<std::string> brokenPromises(const SoakCall &call)
{
    std::vector<std::string> broken = call.strange;
    if (call.runs.size() > 1 && (call.kind == CallKind::Book || call.kind == CallKind::Draft)) {
        broken.push_back(absl::StrCat("ran more than once: ", absl::StrJoin(call.runs, ", ")));
    }
    std::visit(Overloaded{
                   [&](const WasNotSent &) {
                       if (!call.runs.empty()) {
                           broken.push_back("no connection was made, and it ran");
                       }
                   },
                   [&](const WasAnswered &it) { checkAnswer(call, it, &broken); },
                   [&](const WasCutOff &it) {
                       checkPart(call, it.body, &broken);
                       // A call that crosses the close of an idle connection reaches no engine.
                       if (call.wasCalm && !call.runs.empty()) {
                           broken.push_back("ran, and was cut off without an answer while nothing but planned work went on");
                       }
                   },
                   [&](const WasGivenUp &it) { checkPart(call, it.body, &broken); },
               },
               call.end);
    return broken;
}

void SoakLedger::sent(const SoakCall &call)
{
    m_calls.update(call.attempt, [&](SoakCall &it) { it = call; });
}

void SoakLedger::ran(const std::string &attempt, const std::string &engine, const std::string &target, const std::string &body)
{
    m_calls.update(attempt, [&](SoakCall &it) {
        it.runs.push_back(engine);
        if (it.attempt.empty()) {
            it.attempt = attempt;
            it.strange.push_back("an engine runs what no caller sent");
        } else if (it.target != target || it.body != body) {
            it.strange.push_back("an engine runs it with another target or body");
        }
    });
}

void SoakLedger::ended(const std::string &attempt, const SoakEnd &end, bool wasCalm)
{
    m_calls.update(attempt, [&](SoakCall &it) {
        it.end = end;
        it.wasCalm = wasCalm;
    });
}

std::vector<std::string> SoakLedger::brokenPromises() const
{
    std::vector<std::string> all;
    m_calls.forEach([&](const std::string &attempt, const SoakCall &call) {
        for (const std::string &it : Apricot::brokenPromises(call)) {
            all.push_back(absl::StrCat("call ", attempt, " (", call.target, "): ", it));
        }
    });
    return all;
}

std::vector<SoakCall> SoakLedger::failedByNodes() const
{
    std::vector<SoakCall> failed;
    m_calls.forEach([&](const std::string &, const SoakCall &call) {
        if (isFailureOfNode(call)) {
            failed.push_back(call);
        }
    });
    return failed;
}

std::string SoakLedger::summary() const
{
    std::map<std::string, int> counts;
    m_calls.forEach([&](const std::string &, const SoakCall &call) {
        ++counts[std::visit(Overloaded{
                                [](const WasNotSent &) { return std::string("not sent"); },
                                [](const WasAnswered &it) { return absl::StrCat("status ", it.status); },
                                [](const WasCutOff &) { return std::string("cut off"); },
                                [](const WasGivenUp &) { return std::string("given up"); },
                            },
                            call.end)];
    });
    return absl::StrJoin(counts, ", ", [](std::string *out, const auto &it) { absl::StrAppend(out, it.second, " ", it.first); });
}

}
