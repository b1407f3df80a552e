#include "caller/callerclient.h"

#include "protocol/jsonreader.h"
#include "standins/enginestandin.h"
#include "transport/httpclient.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/clock.h>

#include <algorithm>

namespace Apricot {

namespace {

/// Maximum number of attempts of one request, including the first.
constexpr int maxAttempts = 8;

/// A stream that delivers no data for this long is resumed at another node. Nodes send a comment every second.
constexpr absl::Duration streamIdleTimeout = absl::Seconds(4);

constexpr absl::Duration retryDelay = absl::Milliseconds(250);
constexpr absl::Duration plainCallTimeout = absl::Seconds(8);

/// Number of received tokens after which a request with InputRequest::cancel is cancelled.
constexpr std::size_t cancelAfterTokens = 5;

/// The part of a stream received so far, over all attempts.
struct ReceivedStream
{
    std::vector<std::string> tokens;
    bool done = false;
    bool wrong = false;
    std::string errorBody;
};

void handleEvent(const std::string &event, ReceivedStream *received)
{
    std::int64_t id = 0;
    std::string data;
    bool isError = false;
    std::size_t from = 0;
    while (from < event.size()) {
        const std::size_t end = std::min(event.find('\n', from), event.size());
        const std::string line = event.substr(from, end - from);
        if (absl::StartsWith(line, "id: ")) {
            received->wrong = !absl::SimpleAtoi(line.substr(4), &id) || received->wrong;
        } else if (absl::StartsWith(line, "data: ")) {
            data = line.substr(6);
        } else if (line == "event: error") {
            isError = true;
        }
        from = end + 1;
    }
    if (data.empty()) {
        return;
    }
    if (data == "[DONE]") {
        received->done = true;
    } else if (isError) {
        received->errorBody = data;
    } else {
        const Json json = Json::parse(data, nullptr, false);
        // The event id is the offset after this token: ids must be consecutive, without a gap or a repeat.
        received->wrong = received->wrong || json.is_discarded() || id != static_cast<std::int64_t>(received->tokens.size()) + 1;
        if (!received->wrong) {
            received->tokens.push_back(json["choices"][0]["text"].get<std::string>());
        }
    }
}

std::string errorKind(const std::string &body, std::string *outcome, std::string *message)
{
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_discarded() || !json.contains("error") || !json["error"].is_object()) {
        return {};
    }
    *outcome = jsonText(json["error"], "outcome");
    *message = jsonText(json["error"], "message");
    return jsonText(json["error"], "kind");
}

RequestOutcome parseOutcome(const std::string &outcome)
{
    return outcome == "NotRun" ? RequestOutcome::NotRun : RequestOutcome::MayHaveRun;
}

}

CallerClient::CallerClient(AddressLookup &addresses)
    : m_addresses(addresses)
{
}

CallerResult CallerClient::send(const InputRequest &request, const std::string &id, int firstNodeIndex)
{
    const absl::Time started = absl::Now();
    CallerResult result
        = request.operation.empty() ? sendCompletion(request, id, firstNodeIndex) : callPlainService(request, id, firstNodeIndex);
    result.key = request.idempotencyKey;
    result.ended = absl::Now();
    result.took = result.ended - started;
    return result;
}

CallerResult CallerClient::sendCompletion(const InputRequest &request, const std::string &id, int firstNodeIndex)
{
    Json body{{"model", request.service}, {"prompt", request.prompt}, {"stream", true}};
    if (request.maxTokens > 0) {
        body["max_tokens"] = request.maxTokens;
    }
    if (!request.rank.empty()) {
        body["rank"] = request.rank;
    }
    if (!request.workspace.empty()) {
        body["user"] = request.workspace;
    }
    CallerResult result;
    ReceivedStream received;
    for (int i = 0; i < maxAttempts; ++i) {
        const std::string url = m_addresses.node(request.service, firstNodeIndex + i);
        HttpCall call;
        call.method = "POST";
        call.url = url + "/v1/completions";
        call.body = jsonDump(body);
        call.headers["X-Request-Id"] = id;
        call.headers["Content-Type"] = "application/json";
        if (!received.tokens.empty()) {
            call.headers["Last-Event-ID"] = std::to_string(received.tokens.size());
            ++result.resumes;
        }
        call.timeout = absl::InfiniteDuration();
        call.idleTimeout = streamIdleTimeout;
        std::string rest;
        bool cancelSent = false;
        const HttpReply reply = HttpClient::stream(call, [&](std::string_view part) {
            rest.append(part);
            std::size_t end = rest.find("\n\n");
            while (end != std::string::npos) {
                handleEvent(rest.substr(0, end), &received);
                rest.erase(0, end + 2);
                end = rest.find("\n\n");
            }
            if (request.cancel && !cancelSent && received.tokens.size() >= cancelAfterTokens) {
                cancelSent = true;
                HttpCall cancel;
                cancel.method = "DELETE";
                cancel.url = absl::StrCat(url, "/v1/completions/", id);
                HttpClient::call(cancel);
            }
            return !received.wrong;
        });
        std::string outcome;
        const std::string errorBody = reply.outcome == CallOutcome::Answered && reply.status != 200 ? reply.body : received.errorBody;
        result.kind = errorKind(errorBody, &outcome, &result.text);
        if (received.wrong) {
            result.outcome = RequestOutcome::Wrong;
            return result;
        }
        if (received.done) {
            const std::int64_t length = standInLength(request.prompt, request.maxTokens > 0 ? request.maxTokens : 400);
            bool isCorrect = static_cast<std::int64_t>(received.tokens.size()) == length;
            for (std::size_t n = 0; isCorrect && n < received.tokens.size(); ++n) {
                isCorrect = received.tokens[n] == standInToken(request.prompt, static_cast<std::int64_t>(n));
            }
            result.outcome = isCorrect ? RequestOutcome::Answered : RequestOutcome::Wrong;
            result.text = absl::StrJoin(received.tokens, " ");
            return result;
        }
        const bool shouldRetry = result.kind.empty() || result.kind == "AnswerIncomplete" || result.kind == "Draining"
            || result.kind == "NotConfigured" || result.kind == "PeerUnreachable" || result.kind == "Superseded";
        if (!shouldRetry) {
            result.outcome = parseOutcome(outcome);
            return result;
        }
        result.outcome = result.kind.empty() ? RequestOutcome::Lost : parseOutcome(outcome);
        received.errorBody.clear();
        m_addresses.invalidate(request.service);
        absl::SleepFor(retryDelay);
    }
    return result;
}

CallerResult CallerClient::callPlainService(const InputRequest &request, const std::string &id, int firstNodeIndex)
{
    CallerResult result;
    const Json body{{"operation", request.operation}, {"input", Json{{"note", request.prompt}}}};
    bool unanswered = false;
    for (int i = 0; i < maxAttempts; ++i) {
        HttpCall call;
        call.method = "POST";
        call.url = absl::StrCat(m_addresses.node(request.service, firstNodeIndex + i), "/v1/services/", request.service, "/calls");
        call.body = jsonDump(body);
        call.headers["X-Request-Id"] = id;
        call.headers["X-Workspace"] = request.workspace.empty() ? "default" : request.workspace;
        if (!request.idempotencyKey.empty()) {
            call.headers["Idempotency-Key"] = request.idempotencyKey;
        }
        call.timeout = plainCallTimeout;
        call.dedicatedConnection = true;
        const HttpReply reply = HttpClient::call(call);
        if (reply.outcome == CallOutcome::Answered && reply.status == 200) {
            result.outcome = RequestOutcome::Answered;
            result.text = reply.body;
            return result;
        }
        std::string outcome;
        result.kind = reply.outcome == CallOutcome::Answered ? errorKind(reply.body, &outcome, &result.text) : std::string();
        // A call with an idempotency key runs at most once, so it may be retried. A call without one is retried only if it has not run.
        const bool mayRetry = reply.outcome == CallOutcome::NotSent || !request.idempotencyKey.empty() || outcome == "NotRun";
        const bool retryMayHelp
            = result.kind.empty() || result.kind == "Draining" || result.kind == "DuplicateInProgress" || result.kind == "NotConfigured";
        result.outcome = result.kind.empty() ? (reply.outcome == CallOutcome::NotSent ? RequestOutcome::NotRun : RequestOutcome::Lost)
                                             : parseOutcome(outcome);
        if (unanswered && result.outcome == RequestOutcome::NotRun) {
            // NotRun refers only to the attempt that it answers; an earlier attempt without a response may still have run.
            result.outcome = RequestOutcome::MayHaveRun;
        }
        unanswered = unanswered || result.outcome == RequestOutcome::Lost;
        if (!mayRetry || !retryMayHelp) {
            return result;
        }
        m_addresses.invalidate(request.service);
        absl::SleepFor(retryDelay);
    }
    return result;
}

}
