#include "apricotladderd/entry/enginerequest.h"

namespace Apricot {

namespace {

constexpr absl::Duration connectTimeout = absl::Milliseconds(100);

}

std::string connectionKey(const EngineEntry &engine)
{
    return engine->id.text() + "@" + engine->address;
}

ExchangeRequest exchangeWith(const EngineEntry &engine, const HttpRequestHead &head, const std::string &body,
                             const EngineRequestOptions &terms, const RequestId &attempt)
{
    ExchangeRequest request;
    request.address = engine->address;
    request.key = connectionKey(engine);
    request.bytes = encodeHttpRequest(engineRequest(head, terms), body);
    request.connectTimeout = connectTimeout;
    request.isMine = [expected = attempt.text()](const HttpResponseHead &answer) {
        const std::string answered = readEngineResponse(answer).requestId;
        return answered.empty() || answered == expected;
    };
    return request;
}

}
