#include "apricotladderd/completionflow.h"

#include "protocol/callerjson.h"
#include "transport/httpclient.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// A question to the owner, or a report, is sent again after this long without an order.
constexpr absl::Duration askAgain = absl::Milliseconds(100);

/// After its target a request waits this much longer for the owner's word.
constexpr absl::Duration ownerGrace = absl::Milliseconds(500);

/// A request whose first token was sent waits this long for a new place.
constexpr absl::Duration resumeWait = absl::Seconds(10);

constexpr absl::Duration prefillLimit = absl::Seconds(10);
constexpr absl::Duration engineConnectLimit = absl::Milliseconds(300);
constexpr absl::Duration cancelLimit = absl::Milliseconds(500);

/// Attempts of one request on this node, the first included.
constexpr int mostAttempts = 4;

/// New connections to one engine during one stream.
constexpr int mostReconnects = 6;

/// Words of a prompt that are taken as its shared prefix.
constexpr std::int64_t prefixTokens = 64;

}

CompletionFlow::CompletionFlow(NodeContext context, CompletionRequest request, std::shared_ptr<StreamBuffer> buffer, absl::Time arrival)
    : m_context(context)
    , m_request(std::move(request))
    , m_buffer(std::move(buffer))
    , m_arrival(arrival)
    , m_attempt(static_cast<std::uint64_t>(absl::ToUnixMillis(arrival)))
{
}

void CompletionFlow::run()
{
    if (!m_context.owners.admits(m_request->service, m_request->rank)) {
        m_context.journal.record(m_request->id, "request.refusedHere", "the owner's limit for the rank is used up");
        m_buffer->fail(Error{ErrorKind::RateLimited, {}}, absl::Seconds(1));
        m_context.metrics.countRequest(m_request->service.text(), "NotRun");
        return;
    }
    m_context.journal.record(
        m_request->id, "request.started",
        absl::StrCat("service ", m_request->service.text(), " rank ", m_request->rank.text(), " tokens ", m_request->promptTokens));
    m_pending = m_context.owners.open(m_request->service, m_request->id);
    AttemptEnd end = AttemptEnd::TryAgain;
    for (int i = 0; i < mostAttempts && end == AttemptEnd::TryAgain; ++i) {
        if (i > 0) {
            if (!m_context.retries.trySpend(absl::Now())) {
                break;
            }
            ++m_attempt;
            absl::SleepFor(backoff(i, static_cast<double>(m_attempt % 97) / 97.0));
        }
        end = runAttempt();
        m_pending->setRenewal(std::nullopt);
    }
    if (end == AttemptEnd::TryAgain) {
        fail(isResumed() ? ErrorKind::AnswerIncomplete : ErrorKind::NoCapacity, "every attempt failed; see the time line of the request");
    }
    endCancelled();
    m_context.owners.close(m_request->id);
}

void CompletionFlow::resume()
{
    m_pending = m_context.owners.open(m_request->service, m_request->id);
    const std::shared_ptr<const ConfigSet> config = m_context.config.current();
    AttemptEnd end = AttemptEnd::TryAgain;
    for (const Endpoint &endpoint : endpointsOf(*config, m_request->service, PoolRole::Decode)) {
        const EngineId engine(endpoint->name);
        m_decodeEngine = engine;
        end = followStream(engine, resumeCall(engine), makeWork(), m_buffer->next());
        if (end != AttemptEnd::TryAgain) {
            break;
        }
    }
    if (end == AttemptEnd::TryAgain) {
        fail(ErrorKind::RangeNotAvailable,
             absl::StrCat("no engine holds the stream of this request at offset ", m_buffer->next(),
                          "; send the request anew without Last-Event-ID"));
    }
    endCancelled();
    m_context.owners.close(m_request->id);
}

void CompletionFlow::endCancelled()
{
    if (!m_buffer->hasEnded()) {
        m_buffer->fail(Error{ErrorKind::Cancelled, {}}, absl::ZeroDuration());
    }
}

CompletionFlow::AttemptEnd CompletionFlow::runAttempt()
{
    const Work work = makeWork();
    const std::optional<StartPrefill> order = askOwner(work);
    if (!order) {
        return m_buffer->hasEnded() ? AttemptEnd::Failed : AttemptEnd::Cancelled;
    }
    m_prefillEngine = order->prefill;
    m_decodeEngine = order->decode;
    m_pending->setRenewal(WorkRenewed{work, m_prefillEngine, m_decodeEngine, false, 0});
    const std::optional<PrefillResult> result = prefill(*order, work);
    if (!result) {
        sendOwner(PrefillFailed{work->id, work->attempt});
        m_avoid = order->prefill;
        return AttemptEnd::TryAgain;
    }
    if (m_buffer->isAbandoned()) {
        cancelEverywhere(work);
        return AttemptEnd::Cancelled;
    }
    const std::optional<StartDecode> go = reportPrefill(*result, work);
    if (!go) {
        return m_buffer->hasEnded() ? AttemptEnd::Failed : AttemptEnd::TryAgain;
    }
    m_decodeEngine = go->decode;
    m_pending->setRenewal(WorkRenewed{work, m_prefillEngine, m_decodeEngine, true, 0});
    return decode(*go, *result, work);
}

Work CompletionFlow::makeWork() const
{
    const std::int64_t produced = m_buffer->next() - m_buffer->base();
    const std::uint64_t prefix = prefixHashOf(m_request->prompt, prefixTokens);
    return Work::Builder()
        .set(&WorkFields::id, m_request->id)
        .set(&WorkFields::attempt, m_attempt)
        .set(&WorkFields::rank, m_request->rank)
        .set(&WorkFields::workspace, m_request->workspace)
        .set(&WorkFields::promptTokens, m_request->promptTokens + produced)
        .set(&WorkFields::maxTokens, m_request->maxTokens - produced)
        .set(&WorkFields::prefixHash, prefix)
        .set(&WorkFields::prefixTokens, prefix == 0 ? 0 : prefixTokens)
        .set(&WorkFields::dataCentre, m_context.settings->dataCentre)
        .set(&WorkFields::arrival, m_arrival)
        .set(&WorkFields::avoid, m_avoid)
        .set(&WorkFields::resumed, isResumed())
        .build();
}

std::optional<StartPrefill> CompletionFlow::askOwner(const Work &work)
{
    const absl::Time until = isResumed() ? absl::Now() + resumeWait : m_arrival + target() + ownerGrace;
    while (absl::Now() < until) {
        sendOwner(WorkArrived{work});
        const std::optional<Action> action = m_pending->next(askAgain);
        if (m_buffer->isAbandoned()) {
            cancelEverywhere(work);
            return std::nullopt;
        }
        if (!action) {
            continue;
        }
        if (const auto *order = std::get_if<StartPrefill>(&*action); order != nullptr && order->attempt == work->attempt) {
            return *order;
        }
        if (const auto *refusal = std::get_if<Refuse>(&*action); refusal != nullptr && refusal->attempt == work->attempt) {
            refuse(*refusal);
            return std::nullopt;
        }
    }
    sendOwner(WorkCancelled{work->id, work->attempt});
    fail(isResumed() ? ErrorKind::AnswerIncomplete : ErrorKind::PeerUnreachable, "the owner of the slice gave no order in time");
    return std::nullopt;
}

std::optional<PrefillResult> CompletionFlow::prefill(const StartPrefill &order, const Work &work)
{
    m_context.journal.record(m_request->id, "prefill.started", absl::StrCat(order.prefill.text(), " then ", order.decode.text()));
    HttpCall call;
    call.method = "POST";
    call.url = absl::StrCat("http://", addressOf(order.prefill), "/v1/prefill");
    call.body = encodePrefillOrder(PrefillOrder{work->id, work->attempt, m_request->prompt, m_buffer->tokens(), 0});
    call.connectLimit = engineConnectLimit;
    call.limit = prefillLimit;
    const HttpReply reply = HttpClient::call(call);
    if (reply.end != CallEnd::Answered || reply.status != 200) {
        m_context.journal.record(m_request->id, "prefill.failed",
                                 absl::StrCat(order.prefill.text(), ": ", reply.problem, " status ", reply.status));
        return std::nullopt;
    }
    const auto decoded = collect<PrefillResult>([&] { return decodePrefillResult(reply.body); });
    const auto *result = std::get_if<PrefillResult>(&decoded);
    if (result == nullptr) {
        return std::nullopt;
    }
    m_context.journal.record(m_request->id, "prefill.done", absl::StrCat(order.prefill.text(), " took ", result->tookMs, " ms"));
    return *result;
}

std::optional<StartDecode> CompletionFlow::reportPrefill(const PrefillResult &result, const Work &work)
{
    const std::shared_ptr<const ConfigSet> config = m_context.config.current();
    const auto endpoint = (*config)->endpoints.find(m_prefillEngine.text());
    absl::Duration lifetime = absl::Milliseconds(PoolFields().resultLifetimeMs);
    if (endpoint != (*config)->endpoints.end()) {
        lifetime = absl::Milliseconds((*config)->pools.at(endpoint->second->pool)->resultLifetimeMs);
    }
    const absl::Time until = absl::Now() + lifetime;
    while (absl::Now() < until) {
        sendOwner(PrefillFinished{work->id, work->attempt, absl::Milliseconds(result.tookMs), result.cachedTokens});
        const std::optional<Action> action = m_pending->next(askAgain);
        if (!action) {
            continue;
        }
        if (const auto *order = std::get_if<StartDecode>(&*action); order != nullptr && order->attempt == work->attempt) {
            return *order;
        }
        if (const auto *refusal = std::get_if<Refuse>(&*action); refusal != nullptr && refusal->attempt == work->attempt) {
            refuse(*refusal);
            return std::nullopt;
        }
    }
    sendOwner(TakeoverFailed{work->id, work->attempt});
    return std::nullopt;
}

CompletionFlow::AttemptEnd CompletionFlow::decode(const StartDecode &order, const PrefillResult &result, const Work &work)
{
    m_context.journal.record(m_request->id, "decode.started", order.decode.text());
    const std::int64_t offset = m_buffer->next();
    HttpCall call;
    call.method = "POST";
    call.url = absl::StrCat("http://", addressOf(order.decode), "/v1/decode");
    call.body
        = encodeDecodeOrder(DecodeOrder{work->id, work->attempt, addressOf(order.prefill), result.handle, m_request->maxTokens, offset, 0});
    return followStream(order.decode, call, work, offset);
}

CompletionFlow::AttemptEnd CompletionFlow::followStream(const EngineId &engine, const HttpCall &first, const Work &work,
                                                        std::int64_t firstToken)
{
    HttpCall call = first;
    call.connectLimit = engineConnectLimit;
    call.limit = absl::InfiniteDuration();
    call.silenceLimit = absl::Milliseconds(m_context.settings->silenceMs);
    for (int i = 0; i <= mostReconnects; ++i) {
        bool done = false;
        const HttpReply reply = streamOnce(call, work, &done);
        if (done) {
            m_context.retries.succeeded(engine);
            return settleStream(work);
        }
        if (m_buffer->isAbandoned()) {
            cancelEverywhere(work);
            return AttemptEnd::Cancelled;
        }
        m_context.journal.record(
            m_request->id, "stream.broken",
            absl::StrCat(engine.text(), " at offset ", m_buffer->next(), ": ", reply.problem, " status ", reply.status));
        const bool refused = reply.end == CallEnd::Answered && reply.status != 200;
        const bool noConnection = reply.end == CallEnd::NotSent;
        const FailureVerdict verdict
            = noConnection ? m_context.retries.newConnectionFailed(engine, absl::Now()) : m_context.retries.connectionWentSilent(engine);
        if (refused || (noConnection && verdict == FailureVerdict::EngineLost)) {
            break;
        }
        // The engine goes on by itself: a new connection gets the rest, without a new prefill.
        call = resumeCall(engine);
        call.connectLimit = engineConnectLimit;
        call.limit = absl::InfiniteDuration();
        call.silenceLimit = absl::Milliseconds(m_context.settings->silenceMs);
        m_context.journal.record(m_request->id, "stream.resumed", absl::StrCat(engine.text(), " at offset ", m_buffer->next()));
    }
    sendOwner(TakeoverFailed{work->id, work->attempt});
    m_avoid = m_buffer->next() > firstToken ? engine : m_avoid;
    return AttemptEnd::TryAgain;
}

HttpReply CompletionFlow::streamOnce(const HttpCall &call, const Work &work, bool *done)
{
    std::string rest;
    bool broken = false;
    return HttpClient::stream(call, [&](std::string_view part) {
        rest.append(part);
        std::size_t end = rest.find('\n');
        while (end != std::string::npos && !broken && !*done) {
            takeLine(rest.substr(0, end), work, done, &broken);
            rest.erase(0, end + 1);
            end = rest.find('\n');
        }
        return !broken && !*done && !m_buffer->isAbandoned();
    });
}

void CompletionFlow::takeLine(const std::string &line, const Work &work, bool *done, bool *broken)
{
    const auto decoded = collect<StreamLine>([&] { return decodeStreamLine(line); });
    const auto *it = std::get_if<StreamLine>(&decoded);
    if (it == nullptr) {
        *broken = true;
        return;
    }
    std::visit(Overloaded{
                   [&](const StreamImported &imported) {
                       if (imported.tookMs > 0) {
                           sendOwner(DecodeStarted{work->id, work->attempt, absl::Milliseconds(imported.tookMs)});
                       }
                       m_attempt = std::max(m_attempt, imported.attempt);
                       const Work known = work.with(&WorkFields::attempt, imported.attempt)
                                              .with(&WorkFields::promptTokens, imported.promptTokens)
                                              .with(&WorkFields::maxTokens, imported.maxTokens);
                       m_pending->setRenewal(WorkRenewed{known, m_prefillEngine, m_decodeEngine, true, m_buffer->next()});
                   },
                   [&](StreamToken token) {
                       if (m_buffer->next() == 0) {
                           m_context.metrics.observeFirstToken(absl::ToDoubleSeconds(absl::Now() - m_arrival));
                       }
                       *broken = token.offset > m_buffer->next();
                       // A token that is known already came twice; one beyond the next shows a gap, which a resume closes.
                       if (m_buffer->accept(token.offset, std::move(token.token))) {
                           const std::optional<WorkRenewed> renewal = m_pending->renewal();
                           if (renewal) {
                               WorkRenewed next = *renewal;
                               next.tokens = m_buffer->next();
                               m_pending->setRenewal(std::move(next));
                           }
                       }
                   },
                   [&](const StreamDone &end) {
                       *done = end.tokens == m_buffer->next();
                       *broken = !*done;
                   },
               },
               *it);
}

CompletionFlow::AttemptEnd CompletionFlow::settleStream(const Work &work)
{
    m_pending->setRenewal(std::nullopt);
    sendOwner(WorkFinished{work->id, std::max(work->attempt, m_attempt), m_buffer->next()});
    m_context.journal.record(m_request->id, "request.done", absl::StrCat(m_buffer->next(), " tokens"));
    m_context.metrics.countRequest(m_request->service.text(), "Answered");
    m_buffer->finish();
    return AttemptEnd::Done;
}

HttpCall CompletionFlow::resumeCall(const EngineId &engine) const
{
    HttpCall call;
    call.url = absl::StrCat("http://", addressOf(engine), "/v1/streams/", m_request->id.text(), "?offset=", m_buffer->next());
    return call;
}

std::string CompletionFlow::addressOf(const EngineId &engine) const
{
    const std::shared_ptr<const ConfigSet> config = m_context.config.current();
    const auto it = (*config)->endpoints.find(engine.text());
    // Port 9 of the own host refuses connections: an engine that was removed meanwhile counts as not reachable.
    return it == (*config)->endpoints.end() ? std::string("127.0.0.1:9") : it->second->address;
}

void CompletionFlow::refuse(const Refuse &refusal)
{
    m_context.journal.record(m_request->id, "request.refused", std::string(errorAnswer(refusal.kind).name));
    m_context.metrics.countRequest(m_request->service.text(), std::string(outcomeName(errorAnswer(refusal.kind).outcome)));
    m_buffer->fail(Error{refusal.kind, {}}, refusal.retryAfter);
}

void CompletionFlow::fail(ErrorKind kind, const std::string &message)
{
    m_context.journal.warning(m_request->id, "request.failed", absl::StrCat(errorAnswer(kind).name.data(), ": ", message));
    m_context.metrics.countRequest(m_request->service.text(), std::string(outcomeName(errorAnswer(kind).outcome)));
    m_buffer->fail(Error{kind, message}, absl::Seconds(1));
}

void CompletionFlow::cancelEverywhere(const Work &work)
{
    m_pending->setRenewal(std::nullopt);
    sendOwner(WorkCancelled{work->id, std::max(work->attempt, m_attempt)});
    m_context.journal.record(m_request->id, "request.cancelled", "the caller went away or cancelled");
    m_context.metrics.countRequest(m_request->service.text(), "Cancelled");
    // The engines are told directly too: the memory is free at once even if the owner's word is lost.
    for (const EngineId &engine : {m_prefillEngine, m_decodeEngine}) {
        if (engine.isEmpty()) {
            continue;
        }
        HttpCall call;
        call.method = "POST";
        call.url = absl::StrCat("http://", addressOf(engine), "/v1/cancel");
        call.body = encodeCancel(CancelOrder{work->id, std::max(work->attempt, m_attempt)});
        call.limit = cancelLimit;
        HttpClient::call(call);
    }
}

void CompletionFlow::sendOwner(const Event &event)
{
    m_context.owners.send(m_request->service, {event});
}

absl::Duration CompletionFlow::target() const
{
    const std::shared_ptr<const ConfigSet> config = m_context.config.current();
    const auto it = (*config)->ranks.find(m_request->rank);
    return absl::Milliseconds(it == (*config)->ranks.end() ? RankFields().firstTokenMs : it->second->firstTokenMs);
}

bool CompletionFlow::isResumed() const
{
    return m_buffer->next() > 0;
}

}
