#include "apricotladderd/completionflow.h"

#include "protocol/callerjson.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <utility>

namespace Apricot {

namespace {

constexpr absl::Duration prefillLimit = absl::Seconds(10);
constexpr absl::Duration engineConnectLimit = absl::Milliseconds(300);
constexpr absl::Duration cancelLimit = absl::Milliseconds(500);

/// Number of words at the start of a prompt that are hashed as its shared prefix.
constexpr std::int64_t prefixTokens = 64;

/// Number of tokens between two progress reports to the machine.
constexpr std::int64_t tellEvery = 16;

}

CompletionFlow::CompletionFlow(NodeContext context, CompletionRequest request, std::shared_ptr<StreamBuffer> buffer, absl::Time arrival)
    : m_context(context)
    , m_request(std::move(request))
    , m_buffer(std::move(buffer))
    , m_arrival(arrival)
    , m_machine(makePlan(arrival))
    , m_toldNext(m_buffer->base())
{
}

void CompletionFlow::run()
{
    if (!m_context.owners.admits(m_request->service, m_request->rank)) {
        m_context.journal.record(m_request->id, "request.refusedHere", "the owner's limit for this rank is exhausted");
        answerFailed(AnswerFailed{ErrorKind::RateLimited, absl::Seconds(1), {}});
        return;
    }
    m_context.journal.record(
        m_request->id, "request.started",
        absl::StrCat("service ", m_request->service.text(), " rank ", m_request->rank.text(), " tokens ", m_request->promptTokens));
    loop(m_machine.start(absl::Now()));
}

void CompletionFlow::resume()
{
    m_context.journal.record(m_request->id, "request.resumed", absl::StrCat("at offset ", m_buffer->base()));
    loop(m_machine.startResume(absl::Now()));
}

CompletionPlan CompletionFlow::makePlan(absl::Time arrival) const
{
    const std::shared_ptr<const ConfigSet> config = m_context.config.current();
    CompletionPlan plan;
    plan.target = absl::Milliseconds(RankFields().firstTokenMs);
    plan.resultLifetime = absl::Milliseconds(PoolFields().resultLifetimeMs);
    plan.base = m_buffer->base();
    if (const auto rank = (*config)->ranks.find(m_request->rank); rank != (*config)->ranks.end()) {
        plan.target = absl::Milliseconds(rank->second->firstTokenMs);
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
                    .set(&WorkFields::arrival, arrival)
                    .build();
    return plan;
}

void CompletionFlow::loop(CompletionActions actions)
{
    m_pending = m_context.owners.open(m_request->service, m_request->id);
    add(std::move(actions));
    while (!m_actions.empty()) {
        const CompletionAction action = std::move(m_actions.front());
        m_actions.pop_front();
        carryOut(action);
    }
    m_context.owners.close(m_request->id, m_pending);
}

void CompletionFlow::add(CompletionActions actions)
{
    for (CompletionAction &action : actions) {
        m_actions.push_back(std::move(action));
    }
}

void CompletionFlow::tell(const CompletionEvent &event)
{
    add(m_machine.handle(event, absl::Now()));
}

void CompletionFlow::carryOut(const CompletionAction &action)
{
    std::visit(Overloaded{
                   [&](const TellOwner &it) { m_context.owners.send(m_request->service, {it.event}); },
                   [&](const AwaitOwner &it) { awaitOwner(it.wait); },
                   [&](const RunPrefill &it) { runPrefill(it); },
                   [&](const OpenStream &it) { openStream(it); },
                   [&](const ResumeStream &it) { resumeStream(it); },
                   [&](const CancelEngines &it) { cancelEngines(it); },
                   [&](const KeepRenewing &it) { m_pending->setRenewal(it.renewal); },
                   [&](const SpendRetry &) { tell(RetryDecided{m_context.retries.trySpend(absl::Now())}); },
                   [&](const Pause &it) {
                       absl::SleepFor(it.length);
                       tell(m_buffer->isAbandoned() ? CompletionEvent(CallerGone{}) : CompletionEvent(PauseOver{}));
                   },
                   [&](const AnswerComplete &) { answerComplete(); },
                   [&](const AnswerFailed &it) { answerFailed(it); },
               },
               action);
}

void CompletionFlow::awaitOwner(absl::Duration wait)
{
    const std::optional<Action> order = m_pending->next(wait);
    if (m_buffer->isAbandoned()) {
        tell(CallerGone{});
    } else if (order) {
        tell(OwnerOrdered{*order});
    } else {
        tell(OwnerQuiet{});
    }
}

void CompletionFlow::runPrefill(const RunPrefill &order)
{
    m_context.journal.record(m_request->id, "prefill.started", order.engine.text());
    HttpCall call;
    call.method = "POST";
    call.url = absl::StrCat("http://", addressOf(order.engine), "/v1/prefill");
    call.body = encodePrefillOrder(PrefillOrder{m_request->id, order.attempt, m_request->prompt, m_buffer->tokens(), 0});
    call.connectLimit = engineConnectLimit;
    call.limit = prefillLimit;
    const HttpReply reply = HttpClient::call(call);
    const auto decoded = collect<PrefillResult>([&] { return decodePrefillResult(reply.body); });
    const auto *result = std::get_if<PrefillResult>(&decoded);
    if (m_buffer->isAbandoned()) {
        tell(CallerGone{});
    } else if (reply.end != CallEnd::Answered || reply.status != 200 || result == nullptr) {
        m_context.journal.record(m_request->id, "prefill.failed",
                                 absl::StrCat(order.engine.text(), ": ", reply.problem, " status ", reply.status));
        tell(PrefillUnreachable{});
    } else {
        m_context.journal.record(m_request->id, "prefill.done", absl::StrCat(order.engine.text(), " took ", result->tookMs, " ms"));
        tell(PrefillReturned{result->handle, absl::Milliseconds(result->tookMs), result->cachedTokens});
    }
}

void CompletionFlow::openStream(const OpenStream &order)
{
    m_context.journal.record(m_request->id, "decode.started", order.decode.text());
    HttpCall call;
    call.method = "POST";
    call.url = absl::StrCat("http://", addressOf(order.decode), "/v1/decode");
    call.body = encodeDecodeOrder(
        DecodeOrder{m_request->id, order.attempt, addressOf(order.prefill), order.handle, m_request->maxTokens, order.offset, 0});
    follow(order.decode, std::move(call));
}

void CompletionFlow::resumeStream(const ResumeStream &order)
{
    m_context.journal.record(m_request->id, "stream.resumed", absl::StrCat(order.decode.text(), " at offset ", order.offset));
    HttpCall call;
    call.url = absl::StrCat("http://", addressOf(order.decode), "/v1/streams/", m_request->id.text(), "?offset=", order.offset);
    follow(order.decode, std::move(call));
}

void CompletionFlow::follow(const EngineId &engine, HttpCall call)
{
    call.connectLimit = engineConnectLimit;
    call.limit = absl::InfiniteDuration();
    call.silenceLimit = absl::Milliseconds(m_context.settings->silenceMs);
    std::string rest;
    bool done = false;
    bool broken = false;
    const HttpReply reply = HttpClient::stream(call, [&](std::string_view part) {
        rest.append(part);
        std::size_t end = rest.find('\n');
        while (end != std::string::npos && !broken && !done) {
            takeLine(rest.substr(0, end), &done, &broken);
            rest.erase(0, end + 1);
            end = rest.find('\n');
        }
        return !broken && !done && !m_buffer->isAbandoned();
    });
    tellAdvanced();
    if (done) {
        m_context.retries.succeeded(engine);
        tell(StreamFinished{});
        return;
    }
    if (m_buffer->isAbandoned()) {
        tell(CallerGone{});
        return;
    }
    m_context.journal.record(m_request->id, "stream.broken",
                             absl::StrCat(engine.text(), " at offset ", m_buffer->next(), ": ", reply.problem, " status ", reply.status));
    if (reply.end == CallEnd::Answered && reply.status != 200) {
        tell(StreamBroke{StreamFault::Refused, FailureVerdict::EngineLost});
    } else if (reply.end == CallEnd::NotSent) {
        tell(StreamBroke{StreamFault::NotConnected, m_context.retries.newConnectionFailed(engine, absl::Now())});
    } else {
        tell(StreamBroke{StreamFault::Silent, m_context.retries.connectionWentSilent(engine)});
    }
}

void CompletionFlow::takeLine(const std::string &line, bool *done, bool *broken)
{
    const auto decoded = collect<StreamLine>([&] { return decodeStreamLine(line); });
    const auto *it = std::get_if<StreamLine>(&decoded);
    if (it == nullptr) {
        *broken = true;
        return;
    }
    std::visit(Overloaded{
                   [&](const StreamImported &imported) {
                       tell(StreamOpened{absl::Milliseconds(imported.tookMs), imported.attempt, imported.promptTokens, imported.maxTokens});
                   },
                   [&](const StreamToken &token) { takeToken(token, broken); },
                   [&](const StreamDone &end) {
                       *done = end.tokens == m_buffer->next();
                       *broken = !*done;
                   },
               },
               *it);
    // Messages to the owner and renewals must be sent immediately, not after the end of the stream.
    while (!m_actions.empty()
           && (std::holds_alternative<TellOwner>(m_actions.front()) || std::holds_alternative<KeepRenewing>(m_actions.front()))) {
        const CompletionAction action = std::move(m_actions.front());
        m_actions.pop_front();
        carryOut(action);
    }
}

void CompletionFlow::takeToken(StreamToken token, bool *broken)
{
    const std::int64_t next = m_buffer->next();
    if (next == 0) {
        m_context.metrics.observeFirstToken(absl::ToDoubleSeconds(absl::Now() - m_arrival));
    }
    // A token with a lower offset is a duplicate and is ignored. One with a higher offset reveals a gap: the stream counts as
    // broken, and a resume fetches the missing tokens.
    *broken = token.offset > next;
    if (m_buffer->accept(token.offset, std::move(token.token)) && next + 1 - m_toldNext >= tellEvery) {
        tellAdvanced();
    }
}

void CompletionFlow::tellAdvanced()
{
    const std::int64_t next = m_buffer->next();
    if (next > m_toldNext) {
        m_toldNext = next;
        tell(StreamAdvanced{next});
    }
}

void CompletionFlow::cancelEngines(const CancelEngines &order)
{
    for (const EngineId &engine : order.engines) {
        HttpCall call;
        call.method = "POST";
        call.url = absl::StrCat("http://", addressOf(engine), "/v1/cancel");
        call.body = encodeCancel(CancelOrder{m_request->id, order.attempt});
        call.limit = cancelLimit;
        HttpClient::call(call);
    }
}

void CompletionFlow::answerComplete()
{
    m_context.journal.record(m_request->id, "request.done", absl::StrCat(m_buffer->next(), " tokens"));
    m_context.metrics.countRequest(m_request->service.text(), "Answered");
    m_buffer->finish();
}

void CompletionFlow::answerFailed(const AnswerFailed &answer)
{
    const ErrorAnswer &row = errorAnswer(answer.kind);
    const std::string detail = absl::StrCat(std::string(row.name), answer.message.empty() ? "" : ": ", answer.message);
    m_context.journal.record(m_request->id, "request.failed", detail);
    m_context.metrics.countRequest(m_request->service.text(), std::string(outcomeName(row.outcome)));
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
