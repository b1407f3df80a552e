#include "standins/standinmain.h"

#include "transport/httpclient.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <pthread.h>

namespace Apricot {

int serveStandIn(const std::string &address, const HttpServer::Handler &handler)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    HttpClient::initialize();
    HttpServer::Limits limits;
    limits.bodyBytes = 4 * 1024 * 1024;
    const HttpServer server(address, limits, handler);
    if (!server.isOpen()) {
        std::cerr << "stand-in: cannot listen on address " << address << "\n";
        return EXIT_FAILURE;
    }
    int received = 0;
    sigwait(&signals, &received);
    // Exits without cleanup: handlers of open connections may block, and a stand-in has no state to save.
    std::_Exit(EXIT_SUCCESS);
}

}
