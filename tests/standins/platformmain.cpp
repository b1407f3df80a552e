#include "standins/objectapistandin.h"
#include "standins/standinmain.h"
#include "standins/vmliststandin.h"

#include <iostream>

using namespace Apricot;

/// Runs the platform's object API and, under /vms, its VM list. The only argument is the listen address.
int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: standin_platform IP:port\n";
        return 2;
    }
    ObjectApiStandIn objects;
    VmListStandIn vms;
    return serveStandIn(argv[1],
                        [&](const HttpRequest &request) { return request.path == "/vms" ? vms.handle(request) : objects.handle(request); });
}
