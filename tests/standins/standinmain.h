#pragma once

#include "transport/httpserver.h"

#include <string>

namespace Apricot {

/// Serves HTTP requests with \a handler on \a address until SIGTERM or SIGINT. Returns a failure code if it cannot listen;
/// otherwise the process exits and the function does not return.
int serveStandIn(const std::string &address, const HttpServer::Handler &handler);

}
