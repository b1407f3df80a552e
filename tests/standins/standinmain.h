#pragma once

#include "transport/httpserver.h"

#include <string>

namespace Apricot {

/// Serves \a handler on \a address until the process gets SIGTERM or SIGINT; returns the exit code.
int serveStandIn(const std::string &address, const HttpServer::Handler &handler);

}
