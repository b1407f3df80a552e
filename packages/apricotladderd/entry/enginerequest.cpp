#include "apricotladderd/entry/enginerequest.h"

namespace Apricot {

namespace {

constexpr absl::Duration connectTimeout = absl::Milliseconds(100);

}

std::string connectionKey(const EngineEntry &engine)
{
    return engine->id.text() + "@" + engine->address;
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

}
