#include "caller/callerclient.h"
#include "caller/requestsource.h"
#include "caller/verdict.h"
#include "transport/httpclient.h"
#include "transport/thread.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <cxxopts.hpp>

#include <atomic>
#include <csignal>
#include <iostream>

using namespace Apricot;

namespace {

/// One scheduled send of a request. A request with several copies has several of them.
struct PlannedSend
{
    InputRequest request;
    std::string id;
    int nodeIndex = 0;
    absl::Duration offset; ///< time of the send, from the start of the run
};

/**
 * \class Run
 * \brief Sends all requests at their scheduled times on a fixed number of threads.
 */
class Run
{
public:
    Run(std::vector<PlannedSend> sends, AddressLookup &addresses, bool print)
        : m_sends(std::move(sends))
        , m_addresses(addresses)
        , m_print(print)
        , m_results(m_sends.size())
    {
    }

    std::vector<CallerResult> sendAll(int threads)
    {
        m_started = absl::Now();
        std::vector<Thread> pool;
        for (int i = 0; i < threads; ++i) {
            pool.emplace_back("caller", [this] { work(); });
        }
        pool.clear();
        return m_results;
    }

private:
    void work()
    {
        CallerClient client(m_addresses);
        for (std::size_t i = m_next++; i < m_sends.size(); i = m_next++) {
            const PlannedSend &planned = m_sends[i];
            absl::SleepFor(m_started + planned.offset - absl::Now());
            m_results[i] = client.send(planned.request, planned.id, planned.nodeIndex);
            if (m_print) {
                printResult(planned, m_results[i]);
            }
        }
    }

    void printResult(const PlannedSend &planned, const CallerResult &result)
    {
        static constexpr const char *names[] = {"answered", "not run", "may have run", "LOST", "WRONG"};
        const std::string what
            = planned.request.operation.empty() ? absl::StrCat("summary (", planned.request.rank, ")") : planned.request.operation;
        const MutexLock lock(m_printMutex);
        std::cout << planned.id << "  " << planned.request.service << "  " << what << "  " << names[static_cast<int>(result.outcome)]
                  << "  " << absl::ToInt64Milliseconds(result.took) << " ms" << (result.kind.empty() ? "" : "  " + result.kind)
                  << (result.resumes > 0 ? absl::StrCat("  resumed ", result.resumes, " times") : "") << "  " << result.text.substr(0, 40)
                  << "\n";
    }

    std::vector<PlannedSend> m_sends;
    AddressLookup &m_addresses;
    bool m_print;
    std::vector<CallerResult> m_results;
    absl::Time m_started;
    std::atomic<std::size_t> m_next{0};
    Mutex m_printMutex;
};

std::vector<std::string> splitList(const cxxopts::ParseResult &parsed, const std::string &name)
{
    return parsed.count(name) > 0 ? std::vector<std::string>(absl::StrSplit(parsed[name].as<std::string>(), ',', absl::SkipEmpty()))
                                  : std::vector<std::string>();
}

std::vector<PlannedSend> planSends(const std::vector<InputRequest> &requests, const std::string &run, double perSecond)
{
    std::vector<PlannedSend> sends;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        for (int copy = 0; copy < requests[i].copies; ++copy) {
            const double seconds = perSecond > 0 ? static_cast<double>(sends.size()) / perSecond : 0;
            const std::string id = absl::StrCat(run, "-", i, requests[i].copies > 1 ? absl::StrCat("-tap", copy) : "");
            sends.push_back(PlannedSend{requests[i], id, static_cast<int>(i) + copy, absl::Seconds(seconds)});
        }
    }
    return sends;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("caller", "Sends requests to a running deployment and checks every answer.");
    auto add = options.add_options();
    add("nodes", "URLs of nodes, separated by commas", cxxopts::value<std::string>());
    add("engines", "URLs of the engine stand-ins", cxxopts::value<std::string>());
    add("services", "URLs of the plain-service stand-ins", cxxopts::value<std::string>());
    add("input", "File with one JSON request per line", cxxopts::value<std::string>());
    add("prompts", "Directory of text prompts for the generated mix", cxxopts::value<std::string>());
    add("requests", "Requests of the generated mix", cxxopts::value<int>()->default_value("220"));
    add("mix", "Names of the mix: model,plain,urgent,patient,booking,lookup",
        cxxopts::value<std::string>()->default_value("summarizer,crew-desk,paying,draft,confirm,schedule"));
    add("rate", "Requests per second; 0 sends as fast as the threads allow", cxxopts::value<double>()->default_value("0"));
    add("threads", "Maximum number of concurrent requests", cxxopts::value<int>()->default_value("24"));
    add("run", "Name of the run, used as the prefix of all request ids", cxxopts::value<std::string>()->default_value("run"));
    add("fault", "Name of the injected fault; prints the JSON line of a fault run", cxxopts::value<std::string>());
    add("fault-after-ms", "Time of the fault after the start, in milliseconds", cxxopts::value<int>()->default_value("2000"));
    add("quiet", "Do not print each result");
    return options;
}

int run(const cxxopts::ParseResult &parsed)
{
    const std::string name = parsed["run"].as<std::string>();
    VerdictSources sources{splitList(parsed, "nodes"), splitList(parsed, "engines"), splitList(parsed, "services")};
    std::vector<InputRequest> requests;
    if (parsed.count("input") > 0) {
        requests = readInputFile(parsed["input"].as<std::string>());
    } else {
        const std::vector<std::string> names = absl::StrSplit(parsed["mix"].as<std::string>(), ',');
        requests = generateMix(parsed["prompts"].as<std::string>(), parsed["requests"].as<int>(),
                               MixNames{names.at(0), names.at(1), names.at(2), names.at(3), names.at(4), names.at(5)}, name);
    }
    AddressLookup addresses(sources.nodes);
    Run runner(planSends(requests, name, parsed["rate"].as<double>()), addresses, parsed.count("quiet") == 0);
    const absl::Time started = absl::Now();
    const std::vector<CallerResult> results = runner.sendAll(parsed["threads"].as<int>());
    if (parsed.count("fault") > 0) {
        sources.faultAt = started + absl::Milliseconds(parsed["fault-after-ms"].as<int>());
    }
    const Verdict verdict = evaluateRun(results, sources);
    std::cout << (parsed.count("fault") > 0 ? faultLine(parsed["fault"].as<std::string>(), verdict) : demoLine(verdict)) << "\n";
    return guaranteesHold(verdict) ? 0 : 1;
}

}

int main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    HttpClient::initialize();
    try {
        return run(makeOptions().parse(argc, argv));
    } catch (const std::exception &ec) {
        std::cerr << "caller: " << ec.what() << "\n" << makeOptions().help() << "\n";
        return 2;
    }
}
