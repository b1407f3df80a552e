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

/// Tries of one request, the first included.
constexpr int mostTries = 8;

/// A stream without a line for this long is resumed elsewhere; nodes send a comment every second.
constexpr absl::Duration silenceLimit = absl::Seconds(4);

constexpr absl::Duration triesPause = absl::Milliseconds(250);
constexpr absl::Duration plainLimit = absl::Seconds(8);

/// Tokens after which a request that is to be cancelled is cancelled.
constexpr std::size_t cancelAfter = 5;

/// What has come of a stream so far.
struct Received
{
    std::vector<std::string> tokens;
    bool done = false;
    bool wrong = false;
    std::string errorBody;
};

void takeEvent(const std::string &event, Received *received)
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
        // The id is the offset after this token: it must follow the last one without a gap or a repeat.
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

CallerEnd endOf(const std::string &outcome)
{
    return outcome == "NotRun" ? CallerEnd::NotRun : CallerEnd::MayHaveRun;
}

}

CallerClient::CallerClient(AddressLookup &addresses)
    : m_addresses(addresses)
{
}

CallerResult CallerClient::send(const InputRequest &request, const std::string &id, int firstTurn)
{
    const absl::Time started = absl::Now();
    CallerResult result = request.operation.empty() ? complete(request, id, firstTurn) : callPlain(request, id, firstTurn);
    result.key = request.idempotencyKey;
    result.ended = absl::Now();
    result.took = result.ended - started;
    return result;
}

CallerResult CallerClient::complete(const InputRequest &request, const std::string &id, int firstTurn)
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
    Received received;
    for (int i = 0; i < mostTries; ++i) {
        const std::string url = m_addresses.node(request.service, firstTurn + i);
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
        call.idleTimeout = silenceLimit;
        std::string rest;
        bool cancelSent = false;
        const HttpReply reply = HttpClient::stream(call, [&](std::string_view part) {
            rest.append(part);
            std::size_t end = rest.find("\n\n");
            while (end != std::string::npos) {
                takeEvent(rest.substr(0, end), &received);
                rest.erase(0, end + 2);
                end = rest.find("\n\n");
            }
            if (request.cancel && !cancelSent && received.tokens.size() >= cancelAfter) {
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
            result.end = CallerEnd::Wrong;
            return result;
        }
        if (received.done) {
            const std::int64_t length = standInLength(request.prompt, request.maxTokens > 0 ? request.maxTokens : 400);
            bool right = static_cast<std::int64_t>(received.tokens.size()) == length;
            for (std::size_t n = 0; right && n < received.tokens.size(); ++n) {
                right = received.tokens[n] == standInToken(request.prompt, static_cast<std::int64_t>(n));
            }
            result.end = right ? CallerEnd::Answered : CallerEnd::Wrong;
            result.text = absl::StrJoin(received.tokens, " ");
            return result;
        }
        const bool tryElsewhere = result.kind.empty() || result.kind == "AnswerIncomplete" || result.kind == "Draining"
            || result.kind == "NotConfigured" || result.kind == "PeerUnreachable" || result.kind == "Superseded";
        if (!tryElsewhere) {
            result.end = endOf(outcome);
            return result;
        }
        result.end = result.kind.empty() ? CallerEnd::Lost : endOf(outcome);
        received.errorBody.clear();
        m_addresses.failed(request.service);
        absl::SleepFor(triesPause);
    }
    return result;
}

CallerResult CallerClient::callPlain(const InputRequest &request, const std::string &id, int firstTurn)
{
    CallerResult result;
    const Json body{{"operation", request.operation}, {"input", Json{{"note", request.prompt}}}};
    bool unanswered = false;
    for (int i = 0; i < mostTries; ++i) {
        HttpCall call;
        call.method = "POST";
        call.url = absl::StrCat(m_addresses.node(request.service, firstTurn + i), "/v1/services/", request.service, "/calls");
        call.body = jsonDump(body);
        call.headers["X-Request-Id"] = id;
        call.headers["X-Workspace"] = request.workspace.empty() ? "default" : request.workspace;
        if (!request.idempotencyKey.empty()) {
            call.headers["Idempotency-Key"] = request.idempotencyKey;
        }
        call.timeout = plainLimit;
        call.dedicatedConnection = true;
        const HttpReply reply = HttpClient::call(call);
        if (reply.outcome == CallOutcome::Answered && reply.status == 200) {
            result.end = CallerEnd::Answered;
            result.text = reply.body;
            return result;
        }
        std::string outcome;
        result.kind = reply.outcome == CallOutcome::Answered ? errorKind(reply.body, &outcome, &result.text) : std::string();
        // A call under a key may be repeated: it runs at most once. A call without one is repeated if it was not run.
        const bool mayRepeat = reply.outcome == CallOutcome::NotSent || !request.idempotencyKey.empty() || outcome == "NotRun";
        const bool wouldHelp
            = result.kind.empty() || result.kind == "Draining" || result.kind == "DuplicateInProgress" || result.kind == "NotConfigured";
        result.end = result.kind.empty() ? (reply.outcome == CallOutcome::NotSent ? CallerEnd::NotRun : CallerEnd::Lost) : endOf(outcome);
        if (unanswered && result.end == CallerEnd::NotRun) {
            // "Not run" speaks of the call that it answers; the try before it that got no answer may still have run.
            result.end = CallerEnd::MayHaveRun;
        }
        unanswered = unanswered || result.end == CallerEnd::Lost;
        if (!mayRepeat || !wouldHelp) {
            return result;
        }
        m_addresses.failed(request.service);
        absl::SleepFor(triesPause);
    }
    return result;
}

}
