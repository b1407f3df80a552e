#include "standins/relaystandin.h"
#include "standins/standinmain.h"

#include <iostream>

using namespace Apricot;

/// Runs a datagram relay between nodes. Arguments: listen address, target address, control address.
int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: standin_relay LISTEN TARGET CONTROL (each IP:port)\n";
        return 2;
    }
    RelayStandIn relay(argv[1], argv[2]);
    if (!relay.isOpen()) {
        std::cerr << "standin_relay: cannot listen on address " << argv[1] << "\n";
        return 1;
    }
    return serveStandIn(argv[3], [&](const HttpRequest &request) { return relay.handle(request); });
}
