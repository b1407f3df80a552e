#pragma once

#include "protocol/jsonreader.h"
#include "transport/httpserver.h"

namespace Apricot {

/// Returns a stand-in's response with a JSON body.
inline HttpResponse jsonAnswer(int status, const Json &json)
{
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = jsonDump(json);
    return response;
}

}
