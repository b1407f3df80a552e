#include "apricotladderd/entry/engines/enginerequest.h"

namespace Apricot {

namespace {

constexpr absl::Duration connectTimeout = absl::Milliseconds(100);

}

std::string connectionKey(const EngineEntry &engine)
{
    return engine->id.text() + "@" + engine->address;
}

EngineRequestOptions makeEngineOptions(const EngineEntry &engine, const CallFacts &facts, absl::Time now)
{
    EngineRequestOptions options;
    options.engine = engine->id;
    options.timeLeft = facts.deadline() - now;
    options.workspace = facts.workspaceName();
    options.forwardsAuthorization = !facts.requiresKeys;
    return options;
}

ExchangeRequest makeEngineExchange(const EngineEntry &engine, const HttpRequestHead &head, const std::string &body,
                                   const EngineRequestOptions &options, const RequestId &requestId)
{
    ExchangeRequest request;
    request.address = engine->address;
    request.poolKey = connectionKey(engine);
    request.encodedRequest = encodeHttpRequest(engineRequest(head, options), body);
    request.connectTimeout = connectTimeout;
    request.findOwner = [expectedId = requestId.text()](const HttpResponseHead &response) {
        const std::string receivedId = readEngineResponse(response).requestId;
        if (receivedId.empty()) {
            return ResponseOwner::Unidentified;
        }
        return receivedId == expectedId ? ResponseOwner::ThisRequest : ResponseOwner::OtherRequest;
    };
    return request;
}

AttemptOutcome classifyOutcome(const HttpResponseHead &head, ExchangeOutcome outcome)
{
    if (outcome == ExchangeOutcome::NotSent) {
        return NotSent{};
    }
    if (outcome == ExchangeOutcome::Incomplete) {
        return NoUsableAnswer{};
    }
    const EngineResponseInfo info = readEngineResponse(head);
    if (provesNotRun(head.status, info)) {
        return Declined{};
    }
    const bool isSuccess = head.status >= 200 && head.status < 300;
    if (info.isEncoded || (isSuccess && (!info.isSigned || info.requestId.empty()))) {
        return NoUsableAnswer{};
    }
    return Answered{head.status};
}

}
