#include "soak/soakledger.h"

#include "state/overloaded.h"
#include "transport/httpmessage.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <map>

namespace Apricot {

namespace {

/// Whether a node that answers with \a status guarantees that the call has not run and will not run.
bool statusMeansNotRun(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

bool isStream(CallKind kind)
{
    return kind == CallKind::Streaming || kind == CallKind::ResumableStreaming;
}

std::string completeStreamBody(const std::string &attemptId)
{
    std::string events;
    for (int id = 1; id <= eventsPerStream; ++id) {
        events += streamEvent(attemptId, id);
    }
    return events;
}

std::string expectedBody(const SoakCall &call)
{
    return isStream(call.kind) ? completeStreamBody(call.attemptId) : completeResponseBody(call.attemptId);
}

/// Checks that the received part of an incomplete response is a prefix of the engine's response.
void checkPartialBody(const SoakCall &call, const std::string &part, std::vector<std::string> *violations)
{
    if (expectedBody(call).substr(0, part.size()) != part) {
        violations->push_back("the incomplete response is no prefix of the engine's response");
    }
}

void checkResponse(const SoakCall &call, const ResponseComplete &answer, std::vector<std::string> *violations)
{
    if (answer.status == statusOk) {
        if (!answer.isSigned) {
            violations->push_back("a success response without an engine's signature");
        }
        if (answer.body != expectedBody(call)) {
            violations->push_back("the response differs from the engine's complete response");
        }
        if (call.runs.empty()) {
            violations->push_back("a success response, but no engine ran the call");
        }
    }
    if (statusMeansNotRun(answer.status) && call.kind != CallKind::Idempotent && call.kind != CallKind::ResumableStreaming
        && !call.runs.empty()) {
        violations->push_back(
            absl::StrCat("status ", answer.status, " means that the call has not run, but it ran at ", call.runs.front()));
    }
}

}

std::string completeResponseBody(const std::string &attemptId)
{
    return absl::StrCat("done ", attemptId);
}

std::string streamEvent(const std::string &attemptId, int id)
{
    return absl::StrCat("id: ", id, "\ndata: ", attemptId, " ", id, "\n\n");
}

bool isNodeFailure(const SoakCall &call)
{
    return std::visit(Overloaded{
                          [](const RequestNotSent &) { return false; },
                          [](const ResponseComplete &it) { return it.status != statusOk && !it.isSigned; },
                          // If no engine ran the call, the connection may have failed before a node read the request.
                          [&](const ResponseIncomplete &) { return !call.runs.empty(); },
                          [](const CallerDisconnected &) { return false; },
                      },
                      call.outcome);
}

std::vector<std::string> findViolations(const SoakCall &call)
{
    std::vector<std::string> violations = call.unexpectedRequests;
    if (call.runs.size() > 1 && (call.kind == CallKind::NonIdempotent || call.kind == CallKind::Streaming)) {
        violations.push_back(absl::StrCat("the call may run only once, but ran more than once: ", absl::StrJoin(call.runs, ", ")));
    }
    std::visit(Overloaded{
                   [&](const RequestNotSent &) {
                       if (!call.runs.empty()) {
                           violations.push_back("no connection was established, but the call ran");
                       }
                   },
                   [&](const ResponseComplete &it) { checkResponse(call, it, &violations); },
                   [&](const ResponseIncomplete &it) {
                       checkPartialBody(call, it.body, &violations);
                       // A call that is sent while the node closes the idle connection reaches no engine.
                       if (call.wasUndisturbed && !call.runs.empty()) {
                           violations.push_back("the call ran, and its response was cut off although no fault was injected");
                       }
                   },
                   [&](const CallerDisconnected &it) { checkPartialBody(call, it.body, &violations); },
               },
               call.outcome);
    return violations;
}

void SoakLedger::recordSent(const SoakCall &call)
{
    m_calls.update(call.attemptId, [&](SoakCall &it) { it = call; });
}

void SoakLedger::recordRun(const std::string &attemptId, const std::string &engine, const std::string &target, const std::string &body)
{
    m_calls.update(attemptId, [&](SoakCall &it) {
        it.runs.push_back(engine);
        if (it.attemptId.empty()) {
            it.attemptId = attemptId;
            it.unexpectedRequests.push_back("an engine ran a call that no caller sent");
        } else if (it.target != target || it.body != body) {
            it.unexpectedRequests.push_back("an engine ran the call with another target or body than the caller sent");
        }
    });
}

void SoakLedger::recordOutcome(const std::string &attemptId, const SoakOutcome &outcome, bool wasUndisturbed)
{
    m_calls.update(attemptId, [&](SoakCall &it) {
        it.outcome = outcome;
        it.wasUndisturbed = wasUndisturbed;
    });
}

std::vector<std::string> SoakLedger::findViolations() const
{
    std::vector<std::string> all;
    m_calls.forEach([&](const std::string &attemptId, const SoakCall &call) {
        for (const std::string &it : Apricot::findViolations(call)) {
            all.push_back(absl::StrCat("call ", attemptId, " (", call.target, "): ", it));
        }
    });
    return all;
}

std::vector<SoakCall> SoakLedger::callsFailedByNodes() const
{
    std::vector<SoakCall> failed;
    m_calls.forEach([&](const std::string &, const SoakCall &call) {
        if (isNodeFailure(call)) {
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
                                [](const RequestNotSent &) { return std::string("not sent"); },
                                [](const ResponseComplete &it) { return absl::StrCat("status ", it.status); },
                                [](const ResponseIncomplete &) { return std::string("cut off"); },
                                [](const CallerDisconnected &) { return std::string("given up"); },
                            },
                            call.outcome)];
    });
    return absl::StrJoin(counts, ", ", [](std::string *out, const auto &it) { absl::StrAppend(out, it.second, " ", it.first); });
}

}
