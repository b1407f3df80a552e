#include "standins/servicestandin.h"
#include "standins/standinmain.h"

#include <iostream>

using namespace Apricot;

/// Runs a plain service. The only argument is the listen address.
int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: standin_service IP:port\n";
        return 2;
    }
    ServiceStandIn service;
    return serveStandIn(argv[1], [&](const HttpRequest &request) { return service.handle(request); });
}
