#include "standins/enginestandin.h"
#include "standins/standinmain.h"

#include <cxxopts.hpp>

#include <iostream>

using namespace Apricot;

int main(int argc, char **argv)
{
    cxxopts::Options options("standin_engine", "Stand-in for an inference engine.");
    options.add_options()("address", "IP:port", cxxopts::value<std::string>())("pieces", "Memory capacity in pieces",
                                                                               cxxopts::value<std::int64_t>()->default_value("2000"))(
        "slots", "Number of requests decoded concurrently",
        cxxopts::value<std::int64_t>()->default_value("20"))("checks-fencing", "Refuse role orders with an old fencing number");
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        EngineTraits traits;
        traits.pieces = parsed["pieces"].as<std::int64_t>();
        traits.slots = parsed["slots"].as<std::int64_t>();
        traits.checksFencing = parsed.count("checks-fencing") > 0;
        EngineStandIn engine(traits);
        return serveStandIn(parsed["address"].as<std::string>(), [&](const HttpRequest &request) { return engine.handle(request); });
    } catch (const std::exception &ec) {
        std::cerr << "standin_engine: " << ec.what() << "\n" << options.help() << "\n";
        return 2;
    }
}
