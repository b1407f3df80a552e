#include "apricotladderd/frontend.h"

#include "apricotladderd/completionflow.h"
#include "apricotladderd/plainflow.h"
#include "coordination/addressselection.h"
#include "protocol/timelinejson.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <utility>

namespace Apricot {

namespace {

/// Time without a token after which a stream sends a comment line, so that both ends detect a lost connection.
constexpr absl::Duration keepAliveInterval = absl::Seconds(1);

/// Time for a disconnected caller to resume before its request is cancelled.
constexpr absl::Duration resumeGrace = absl::Seconds(2);

/// Retention of ended answers, for callers that resume.
constexpr absl::Duration answerRetention = absl::Seconds(30);

/// Maximum wait for a whole answer, and for the first part of a streamed one.
constexpr absl::Duration wholeAnswerTimeout = absl::Minutes(5);

const std::string completionsPath = "/v1/completions";
const std::string servicesPath = "/v1/services/";
const std::string callsSuffix = "/calls";

CallerHeaders callerHeadersOf(const HttpRequest &request)
{
    return CallerHeaders{request.header("x-request-id"), request.header("x-workspace"), request.header("x-rank"),
                         request.header("idempotency-key")};
}

HttpResponse jsonResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = std::move(body);
    return response;
}

HttpResponse textResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = "text/plain; version=0.0.4";
    response.body = std::move(body);
    return response;
}

HttpResponse errorResponse(const Error &error, const RequestId &id, absl::Duration retryAfter = absl::ZeroDuration())
{
    const ErrorDescriptor &descriptor = errorDescriptor(error.kind);
    HttpResponse response = jsonResponse(descriptor.httpStatus, encodeError(error, id, retryAfter));
    if (descriptor.retryable) {
        const std::int64_t seconds = std::max<std::int64_t>(1, absl::ToInt64Seconds(retryAfter + absl::Milliseconds(999)));
        response.headers["Retry-After"] = std::to_string(seconds);
    }
    if (!id.isEmpty()) {
        response.headers["X-Request-Id"] = id.text();
    }
    return response;
}

}

FrontEnd::FrontEnd(NodeContext context, CallThreads &callThreads, Callbacks callbacks)
    : m_context(context)
    , m_callThreads(callThreads)
    , m_callbacks(std::move(callbacks))
{
}

std::string FrontEnd::start()
{
    HttpServer::Limits limits;
    limits.bodyBytes = static_cast<std::size_t>(m_context.settings->maxBodyBytes);
    m_server = std::make_unique<HttpServer>(m_context.settings->callerAddress, limits,
                                            [this](const HttpRequest &request) { return handle(request); });
    if (!m_server->isOpen()) {
        return absl::StrCat("callerAddress: cannot listen on ", m_context.settings->callerAddress, "; choose a free port of this VM");
    }
    return {};
}

void FrontEnd::refuseCalls()
{
    m_refusing = true;
}

bool FrontEnd::finishAnswers(absl::Duration timeout)
{
    return m_server->drain(timeout);
}

void FrontEnd::stop()
{
    m_server.reset();
}

void FrontEnd::removeExpiredAnswers(absl::Time now)
{
    m_buffers.eraseIf([&](const RequestId &, const std::shared_ptr<StreamBuffer> &buffer) {
        return buffer->hasEnded() && now - buffer->endedAt() > answerRetention;
    });
}

HttpResponse FrontEnd::handle(const HttpRequest &request)
{
    const std::string &path = request.path;
    if (request.bodyTooLarge) {
        return errorResponse(Error{ErrorKind::BodyTooLarge, absl::StrCat("body: over ", m_context.settings->maxBodyBytes, " bytes")},
                             RequestId());
    }
    if (request.method == "GET") {
        if (path == "/healthz") {
            return textResponse(200, "ok\n");
        }
        if (path == "/readyz") {
            return handleReady();
        }
        if (path == "/metrics") {
            m_context.metrics.setActiveCalls(static_cast<double>(m_callThreads.active()));
            return textResponse(200, m_context.metrics.text());
        }
        if (path == "/v1/address") {
            return handleAddress(request);
        }
        if (path == "/v1/status") {
            return jsonResponse(200, m_callbacks.statusJson());
        }
        if (path == "/v1/timeline") {
            return handleTimeline(request);
        }
    }
    if (request.method == "POST" && path == completionsPath) {
        return handleCompletion(request);
    }
    if (request.method == "POST" && path == "/v1/drain") {
        m_callbacks.onDrainRequested();
        return jsonResponse(200, "{\"draining\":true}");
    }
    if (request.method == "DELETE" && absl::StartsWith(path, completionsPath + "/")) {
        return handleCancel(path.substr(completionsPath.size() + 1));
    }
    if (request.method == "POST" && absl::StartsWith(path, servicesPath) && absl::EndsWith(path, callsSuffix)
        && path.size() > servicesPath.size() + callsSuffix.size()) {
        return handlePlainCall(request, path.substr(servicesPath.size(), path.size() - servicesPath.size() - callsSuffix.size()));
    }
    return errorResponse(
        Error{ErrorKind::BadRequest, absl::StrCat(request.method, " ", path, ": unknown path or method; see docs/CALLERS.md")},
        RequestId());
}

HttpResponse FrontEnd::handleReady()
{
    const bool ready = !m_refusing && m_context.config.generation()->number > 0;
    return textResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready: the node is draining, or no configuration is active yet\n");
}

HttpResponse FrontEnd::handleAddress(const HttpRequest &request)
{
    const ServiceName service(request.parameter("service"));
    const std::shared_ptr<const ConfigSet> config = m_context.config.current();
    if (m_context.config.generation()->number == 0) {
        return errorResponse(Error{ErrorKind::NotConfigured, {}}, RequestId(), absl::Seconds(1));
    }
    if (!(*config)->services.contains(service)) {
        return errorResponse(Error{ErrorKind::UnknownService, absl::StrCat("service: there is no service \"", service.text(), "\"")},
                             RequestId());
    }
    const std::string dataCentre = request.parameter("dataCentre");
    const AddressAnswer answer = chooseAddresses(
        m_context.cell.members(), dataCentre.empty() ? m_context.settings->dataCentre : DataCentreName(dataCentre), m_sequence++);
    return jsonResponse(200, encodeAddresses(answer->addresses, answer->keepMs));
}

HttpResponse FrontEnd::handleCompletion(const HttpRequest &request)
{
    if (m_context.config.generation()->number == 0) {
        return errorResponse(Error{ErrorKind::NotConfigured, {}}, RequestId(), absl::Seconds(1));
    }
    const std::shared_ptr<const ConfigSet> config = m_context.config.current();
    const auto decoded
        = toVariant<CompletionRequest>([&] { return decodeCompletion(request.body, callerHeadersOf(request), *config, newId()); });
    if (const auto *error = std::get_if<Error>(&decoded)) {
        return errorResponse(*error, RequestId());
    }
    const CompletionRequest &completion = std::get<CompletionRequest>(decoded);
    std::optional<std::int64_t> offset;
    const std::string eventId = request.header("last-event-id");
    if (!eventId.empty()) {
        offset = decodeEventId(eventId);
        if (!offset) {
            return errorResponse(
                Error{ErrorKind::BadRequest, "Last-Event-ID: not an event id of this interface; send the id of the last event received"},
                completion->id);
        }
    }
    const std::shared_ptr<StreamBuffer> buffer = startFlow(completion, offset);
    if (!buffer) {
        return errorResponse(Error{m_refusing ? ErrorKind::Draining : ErrorKind::NoCapacity, {}}, completion->id, absl::Seconds(1));
    }
    return completion->stream ? streamAnswer(completion, buffer, offset.value_or(0)) : wholeAnswer(completion, buffer);
}

std::shared_ptr<StreamBuffer> FrontEnd::startFlow(const CompletionRequest &request, std::optional<std::int64_t> offset)
{
    // A repeated request that this node serves, or has served without an error, gets the same answer.
    std::shared_ptr<StreamBuffer> known = m_buffers.find(request->id);
    const bool failed
        = known && known->hasEnded() && std::holds_alternative<BufferFailed>(known->read(known->nextOffset(), absl::ZeroDuration()));
    if (known && !failed && offset.value_or(0) >= known->base()) {
        known->addReader();
        return known;
    }
    if (m_refusing) {
        return nullptr;
    }
    const bool isResume = offset.value_or(0) > 0;
    auto buffer = std::make_shared<StreamBuffer>(offset.value_or(0));
    buffer->setResumeGrace(resumeGrace);
    buffer->addReader();
    m_buffers.update(request->id, [&](std::shared_ptr<StreamBuffer> &entry) { entry = buffer; });
    const absl::Time arrival = absl::Now();
    const bool started = m_callThreads.run([context = m_context, request, buffer, arrival, isResume] {
        CompletionFlow flow(context, request, buffer, arrival);
        if (isResume) {
            flow.resume();
        } else {
            flow.run();
        }
    });
    if (!started) {
        m_buffers.erase(request->id);
        return nullptr;
    }
    return buffer;
}

HttpResponse FrontEnd::streamAnswer(const CompletionRequest &request, const std::shared_ptr<StreamBuffer> &buffer, std::int64_t offset)
{
    // The status line depends on the first part: an error before the first token is sent as an ordinary error response.
    BufferReadResult first = buffer->read(offset, wholeAnswerTimeout);
    if (const auto *failed = std::get_if<BufferFailed>(&first)) {
        buffer->removeReader();
        return errorResponse(failed->error, request->id, failed->retryAfter);
    }
    HttpResponse response;
    response.headers["Content-Type"] = "text/event-stream";
    response.headers["Cache-Control"] = "no-store";
    response.headers["X-Request-Id"] = request->id.text();
    struct Cursor
    {
        std::int64_t offset;
        bool ended = false;
    };
    auto cursor = std::make_shared<Cursor>(Cursor{offset});
    response.source = [buffer, cursor, id = request->id]() -> std::optional<std::string> {
        if (cursor->ended) {
            return std::nullopt;
        }
        return std::visit(Overloaded{
                              [&](const BufferToken &it) {
                                  ++cursor->offset;
                                  return encodeTokenEvent(id, it.offset, it.token);
                              },
                              [&](const BufferDone &) {
                                  cursor->ended = true;
                                  return encodeDoneEvent();
                              },
                              [&](const BufferFailed &it) {
                                  cursor->ended = true;
                                  return encodeErrorEvent(it.error, id);
                              },
                              [&](const BufferTimeout &) { return encodeKeepAliveComment(); },
                          },
                          buffer->read(cursor->offset, keepAliveInterval));
    };
    response.onClosed = [buffer] {
        buffer->removeReader();
    };
    return response;
}

HttpResponse FrontEnd::wholeAnswer(const CompletionRequest &request, const std::shared_ptr<StreamBuffer> &buffer)
{
    const auto result = buffer->waitForEnd(wholeAnswerTimeout);
    buffer->removeReader();
    if (const auto *failed = std::get_if<BufferFailed>(&result)) {
        return errorResponse(failed->error, request->id, failed->retryAfter);
    }
    HttpResponse response = jsonResponse(200, encodeCompletion(request, std::get<std::vector<std::string>>(result)));
    response.headers["X-Request-Id"] = request->id.text();
    return response;
}

HttpResponse FrontEnd::handleCancel(const std::string &id)
{
    const std::shared_ptr<StreamBuffer> buffer = m_buffers.find(RequestId(id));
    if (!buffer) {
        return errorResponse(
            Error{ErrorKind::RangeNotAvailable,
                  absl::StrCat("request \"", id, "\" is not in progress on this node; send the cancel request to the node that serves it")},
            RequestId(id));
    }
    buffer->setResumeGrace(absl::ZeroDuration());
    buffer->cancel();
    return jsonResponse(200, "{\"cancelled\":true}");
}

HttpResponse FrontEnd::handlePlainCall(const HttpRequest &request, const std::string &service)
{
    if (m_context.config.generation()->number == 0) {
        return errorResponse(Error{ErrorKind::NotConfigured, {}}, RequestId(), absl::Seconds(1));
    }
    if (m_refusing) {
        return errorResponse(Error{ErrorKind::Draining, {}}, RequestId(), absl::Seconds(1));
    }
    const std::shared_ptr<const ConfigSet> config = m_context.config.current();
    const auto decoded
        = toVariant<PlainCall>([&] { return decodePlainCall(service, request.body, callerHeadersOf(request), *config, newId()); });
    if (const auto *error = std::get_if<Error>(&decoded)) {
        return errorResponse(*error, RequestId());
    }
    const PlainCall &call = std::get<PlainCall>(decoded);
    const CallThreads::ActiveScope activeScope(m_callThreads);
    const auto result = PlainFlow(m_context, call, (*config)->services.at(call->service), m_sequence++).run();
    if (const auto *error = std::get_if<Error>(&result)) {
        return errorResponse(*error, call->id, absl::Milliseconds(500));
    }
    const PlainResponse &plain = std::get<PlainResponse>(result);
    HttpResponse response = jsonResponse(static_cast<int>(plain.status), plain.body);
    response.headers["X-Request-Id"] = call->id.text();
    return response;
}

HttpResponse FrontEnd::handleTimeline(const HttpRequest &request)
{
    return jsonResponse(200, encodeTimeline(m_context.journal.events(request.parameter("request"))));
}

std::string FrontEnd::newId()
{
    return absl::StrCat(m_context.settings->node.text(), "-", absl::ToUnixMicros(absl::Now()), "-", m_sequence++);
}

}
