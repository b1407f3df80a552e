#include "apricotladderd/completionflow.h"

#include "protocol/callerjson.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <utility>

namespace Apricot {

namespace {

constexpr absl::Duration prefillTimeout = absl::Seconds(10);
constexpr absl::Duration engineConnectTimeout = absl::Milliseconds(300);
constexpr absl::Duration cancelTimeout = absl::Milliseconds(500);

/// Number of words at the start of a prompt that are hashed as its shared prefix.
constexpr std::int64_t prefixTokens = 64;

/// Number of tokens between two progress reports to the machine.
constexpr std::int64_t tokensPerProgressReport = 16;

}

CompletionFlow::CompletionFlow(NodeContext context, CompletionRequest request, std::shared_ptr<StreamBuffer> buffer, absl::Time arrival)
    : m_context(context)
    , m_request(std::move(request))
    , m_buffer(std::move(buffer))
    , m_arrival(arrival)
    , m_machine(makePlan(arrival))
    , m_reportedNext(m_buffer->base())
{
}

void CompletionFlow::run()
{
    if (!m_context.ownerClient.admits(m_request->service, m_request->rank)) {
        m_context.journal.record(m_request->id, "request.refusedHere", "the owner's limit for this rank is exhausted");
        answerFailed(AnswerFailed{ErrorKind::RateLimited, absl::Seconds(1), {}});
        return;
    }
    m_context.journal.record(
        m_request->id, "request.started",
        absl::StrCat("service ", m_request->service.text(), " rank ", m_request->rank.text(), " prompt tokens ", m_request->promptTokens));
    runActions(m_machine.start(absl::Now()));
}

void CompletionFlow::resume()
{
    m_context.journal.record(m_request->id, "request.resumed", absl::StrCat("at offset ", m_buffer->base()));
    runActions(m_machine.startResume(absl::Now()));
}

CompletionPlan CompletionFlow::makePlan(absl::Time arrival) const
{
    const std::shared_ptr<const ConfigSet> config = m_context.config.current();
    CompletionPlan plan;
    plan.targetLatency = absl::Milliseconds(RankFields().firstTokenMs);
    plan.resultLifetime = absl::Milliseconds(PoolFields().resultLifetimeMs);
    plan.baseTokens = m_buffer->base();
    if (const auto rank = (*config)->ranks.find(m_request->rank); rank != (*config)->ranks.end()) {
        plan.targetLatency = absl::Milliseconds(rank->second->firstTokenMs);
    }
    for (const auto &[name, pool] : (*config)->pools) {
        if (pool->service == m_request->service && pool->role == PoolRole::Prefill) {
            plan.resultLifetime = absl::Milliseconds(pool->resultLifetimeMs);
        }
    }
    for (const Endpoint &endpoint : endpointsOf(*config, m_request->service, PoolRole::Decode)) {
        plan.decodeEngines.emplace_back(endpoint->name);
    }
    const std::uint64_t prefix = prefixHashOf(m_request->prompt, prefixTokens);
    // The attempt number is the arrival time, so that a later attempt by the caller at any node supersedes an earlier one.
    plan.work = Work::Builder()
                    .set(&WorkFields::id, m_request->id)
                    .set(&WorkFields::attempt, static_cast<std::uint64_t>(absl::ToUnixMillis(arrival)))
                    .set(&WorkFields::rank, m_request->rank)
                    .set(&WorkFields::workspace, m_request->workspace)
                    .set(&WorkFields::promptTokens, m_request->promptTokens)
                    .set(&WorkFields::maxTokens, m_request->maxTokens)
                    .set(&WorkFields::prefixHash, prefix)
                    .set(&WorkFields::prefixTokens, prefix == 0 ? 0 : prefixTokens)
                    .set(&WorkFields::dataCentre, m_context.settings->dataCentre)
                    .set(&WorkFields::arrivalTime, arrival)
                    .build();
    return plan;
}

void CompletionFlow::runActions(CompletionActions actions)
{
    m_ownerActions = m_context.ownerClient.registerRequest(m_request->service, m_request->id);
    enqueue(std::move(actions));
    while (!m_actions.empty()) {
        const CompletionAction action = std::move(m_actions.front());
        m_actions.pop_front();
        execute(action);
    }
    m_context.ownerClient.unregisterRequest(m_request->id, m_ownerActions);
}

void CompletionFlow::enqueue(CompletionActions actions)
{
    for (CompletionAction &action : actions) {
        m_actions.push_back(std::move(action));
    }
}

void CompletionFlow::notifyMachine(const CompletionEvent &event)
{
    enqueue(m_machine.handle(event, absl::Now()));
}

void CompletionFlow::execute(const CompletionAction &action)
{
    std::visit(Overloaded{
                   [&](const NotifyOwner &it) { m_context.ownerClient.send(m_request->service, {it.event}); },
                   [&](const AwaitOwnerAction &it) { waitForOwnerAction(it.wait); },
                   [&](const RunPrefill &it) { runPrefill(it); },
                   [&](const OpenStream &it) { openStream(it); },
                   [&](const ResumeStream &it) { resumeStream(it); },
                   [&](const CancelEngines &it) { cancelEngines(it); },
                   [&](const SetRenewal &it) { m_ownerActions->setRenewal(it.renewal); },
                   [&](const RequestRetry &) { notifyMachine(RetryBudgetAnswered{m_context.retries.trySpend(absl::Now())}); },
                   [&](const WaitBeforeRetry &it) {
                       absl::SleepFor(it.length);
                       notifyMachine(m_buffer->isAbandoned() ? CompletionEvent(CallerCancelled{}) : CompletionEvent(RetryWaitElapsed{}));
                   },
                   [&](const AnswerComplete &) { answerComplete(); },
                   [&](const AnswerFailed &it) { answerFailed(it); },
               },
               action);
}

void CompletionFlow::waitForOwnerAction(absl::Duration wait)
{
    const std::optional<Action> action = m_ownerActions->waitAndPop(wait);
    if (m_buffer->isAbandoned()) {
        notifyMachine(CallerCancelled{});
    } else if (action) {
        notifyMachine(OwnerActionReceived{*action});
    } else {
        notifyMachine(OwnerActionTimedOut{});
    }
}

void CompletionFlow::runPrefill(const RunPrefill &action)
{
    m_context.journal.record(m_request->id, "prefill.started", action.engine.text());
    HttpCall call;
    call.method = "POST";
    call.url = absl::StrCat("http://", addressOf(action.engine), "/v1/prefill");
    call.body = encodePrefillRequest(PrefillRequest{m_request->id, action.attempt, m_request->prompt, m_buffer->tokens(), 0});
    call.connectTimeout = engineConnectTimeout;
    call.timeout = prefillTimeout;
    call.maxBodyBytes = maxEngineMessageBytes;
    const HttpReply reply = HttpClient::call(call);
    const auto decoded = toVariant<PrefillResult>([&] { return decodePrefillResult(reply.body); });
    const auto *result = std::get_if<PrefillResult>(&decoded);
    if (m_buffer->isAbandoned()) {
        notifyMachine(CallerCancelled{});
    } else if (reply.outcome != CallOutcome::Answered || reply.status != 200 || result == nullptr) {
        m_context.journal.record(m_request->id, "prefill.failed",
                                 absl::StrCat(action.engine.text(), ": ", reply.errorMessage, " status ", reply.status));
        notifyMachine(PrefillUnreachable{});
    } else {
        m_context.journal.record(m_request->id, "prefill.done", absl::StrCat(action.engine.text(), " took ", result->tookMs, " ms"));
        notifyMachine(PrefillReturned{result->handle, absl::Milliseconds(result->tookMs), result->cachedTokens});
    }
}

void CompletionFlow::openStream(const OpenStream &action)
{
    m_context.journal.record(m_request->id, "decode.started", action.decode.text());
    HttpCall call;
    call.method = "POST";
    call.url = absl::StrCat("http://", addressOf(action.decode), "/v1/decode");
    call.body = encodeDecodeRequest(
        DecodeRequest{m_request->id, action.attempt, addressOf(action.prefill), action.handle, m_request->maxTokens, action.offset, 0});
    readStream(action.decode, std::move(call));
}

void CompletionFlow::resumeStream(const ResumeStream &action)
{
    m_context.journal.record(m_request->id, "stream.resumed", absl::StrCat(action.decode.text(), " at offset ", action.offset));
    HttpCall call;
    call.url = absl::StrCat("http://", addressOf(action.decode), "/v1/streams/", m_request->id.text(), "?offset=", action.offset);
    readStream(action.decode, std::move(call));
}

void CompletionFlow::readStream(const EngineId &engine, HttpCall call)
{
    call.connectTimeout = engineConnectTimeout;
    call.timeout = absl::InfiniteDuration();
    call.idleTimeout = absl::Milliseconds(m_context.settings->silenceMs);
    std::string unparsed;
    bool done = false;
    bool broken = false;
    const HttpReply reply = HttpClient::stream(call, [&](std::string_view part) {
        unparsed.append(part);
        std::size_t end = unparsed.find('\n');
        while (end != std::string::npos && !broken && !done) {
            handleLine(unparsed.substr(0, end), &done, &broken);
            unparsed.erase(0, end + 1);
            end = unparsed.find('\n');
        }
        broken = broken || unparsed.size() > maxEngineMessageBytes;
        return !broken && !done && !m_buffer->isAbandoned();
    });
    reportProgress();
    if (done) {
        m_context.retries.recordSuccess(engine);
        notifyMachine(StreamFinished{});
        return;
    }
    if (m_buffer->isAbandoned()) {
        notifyMachine(CallerCancelled{});
        return;
    }
    m_context.journal.record(
        m_request->id, "stream.broken",
        absl::StrCat(engine.text(), " at offset ", m_buffer->nextOffset(), ": ", reply.errorMessage, " status ", reply.status));
    if (reply.outcome == CallOutcome::Answered && reply.status != 200) {
        notifyMachine(StreamFailed{StreamFault::Refused, FailureAction::EngineLost});
    } else if (reply.outcome == CallOutcome::NotSent) {
        notifyMachine(StreamFailed{StreamFault::NotConnected, m_context.retries.recordConnectFailure(engine, absl::Now())});
    } else {
        notifyMachine(StreamFailed{StreamFault::Interrupted, m_context.retries.recordStalledConnection(engine)});
    }
}

void CompletionFlow::handleLine(const std::string &line, bool *done, bool *broken)
{
    const auto decoded = toVariant<StreamLine>([&] { return decodeStreamLine(line); });
    const auto *it = std::get_if<StreamLine>(&decoded);
    if (it == nullptr) {
        *broken = true;
        return;
    }
    std::visit(Overloaded{
                   [&](const StreamImported &imported) {
                       notifyMachine(
                           StreamOpened{absl::Milliseconds(imported.tookMs), imported.attempt, imported.promptTokens, imported.maxTokens});
                   },
                   [&](const StreamToken &token) { handleToken(token, broken); },
                   [&](const StreamDone &finished) {
                       *done = finished.tokens == m_buffer->nextOffset();
                       *broken = !*done;
                   },
               },
               *it);
    // Messages to the owner and renewals must be sent immediately, not after the end of the stream.
    while (!m_actions.empty()
           && (std::holds_alternative<NotifyOwner>(m_actions.front()) || std::holds_alternative<SetRenewal>(m_actions.front()))) {
        const CompletionAction action = std::move(m_actions.front());
        m_actions.pop_front();
        execute(action);
    }
}

void CompletionFlow::handleToken(StreamToken token, bool *broken)
{
    const std::int64_t next = m_buffer->nextOffset();
    if (next == 0) {
        m_context.metrics.observeFirstToken(absl::ToDoubleSeconds(absl::Now() - m_arrival));
    }
    // A token with a lower offset is a duplicate and is ignored. One with a higher offset reveals a gap: the stream counts as
    // broken, and a resume fetches the missing tokens.
    *broken = token.offset > next;
    if (m_buffer->tryAppend(token.offset, std::move(token.token)) && next + 1 - m_reportedNext >= tokensPerProgressReport) {
        reportProgress();
    }
}

void CompletionFlow::reportProgress()
{
    const std::int64_t next = m_buffer->nextOffset();
    if (next > m_reportedNext) {
        m_reportedNext = next;
        notifyMachine(StreamAdvanced{next});
    }
}

void CompletionFlow::cancelEngines(const CancelEngines &action)
{
    for (const EngineId &engine : action.engines) {
        HttpCall call;
        call.method = "POST";
        call.url = absl::StrCat("http://", addressOf(engine), "/v1/cancel");
        call.body = encodeCancelRequest(CancelRequest{m_request->id, action.attempt});
        call.timeout = cancelTimeout;
        call.maxBodyBytes = maxEngineMessageBytes;
        HttpClient::call(call);
    }
}

void CompletionFlow::answerComplete()
{
    m_context.journal.record(m_request->id, "request.done", absl::StrCat(m_buffer->nextOffset(), " tokens"));
    m_context.metrics.countRequest(m_request->service.text(), "Answered");
    m_buffer->finish();
}

void CompletionFlow::answerFailed(const AnswerFailed &answer)
{
    const ErrorDescriptor &descriptor = errorDescriptor(answer.kind);
    const std::string detail = absl::StrCat(std::string(descriptor.name), answer.message.empty() ? "" : ": ", answer.message);
    m_context.journal.record(m_request->id, "request.failed", detail);
    m_context.metrics.countRequest(m_request->service.text(), std::string(outcomeName(descriptor.outcome)));
    m_buffer->fail(Error{answer.kind, answer.message}, answer.retryAfter);
}

std::string CompletionFlow::addressOf(const EngineId &engine) const
{
    const std::shared_ptr<const ConfigSet> config = m_context.config.current();
    const auto it = (*config)->endpoints.find(engine.text());
    // An engine that was removed from the configuration in the meantime gets the address of port 9 on the local host, where
    // connections are refused, and so counts as unreachable.
    return it == (*config)->endpoints.end() ? std::string("127.0.0.1:9") : it->second->address;
}

}
