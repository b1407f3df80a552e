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

/// One sending of a request; a double tap is two of them.
struct Sending
{
    InputRequest request;
    std::string id;
    int turn = 0;
    absl::Duration offset; ///< after the start of the run
};

/// Sends everything, each at its time, on a bounded number of threads.
class Run
{
public:
    Run(std::vector<Sending> sendings, AddressLookup &addresses, bool print)
        : m_sendings(std::move(sendings))
        , m_addresses(addresses)
        , m_print(print)
        , m_results(m_sendings.size())
    {
    }

    std::vector<CallerResult> all(int threads)
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
        for (std::size_t i = m_next++; i < m_sendings.size(); i = m_next++) {
            const Sending &sending = m_sendings[i];
            absl::SleepFor(m_started + sending.offset - absl::Now());
            m_results[i] = client.send(sending.request, sending.id, sending.turn);
            if (m_print) {
                printResult(sending, m_results[i]);
            }
        }
    }

    void printResult(const Sending &sending, const CallerResult &result)
    {
        static constexpr const char *names[] = {"answered", "not run", "may have run", "LOST", "WRONG"};
        const std::string what
            = sending.request.operation.empty() ? absl::StrCat("summary (", sending.request.rank, ")") : sending.request.operation;
        const MutexLock lock(m_printMutex);
        std::cout << sending.id << "  " << sending.request.service << "  " << what << "  " << names[static_cast<int>(result.end)] << "  "
                  << absl::ToInt64Milliseconds(result.took) << " ms" << (result.kind.empty() ? "" : "  " + result.kind)
                  << (result.resumes > 0 ? absl::StrCat("  resumed ", result.resumes, " times") : "") << "  " << result.text.substr(0, 40)
                  << "\n";
    }

    std::vector<Sending> m_sendings;
    AddressLookup &m_addresses;
    bool m_print;
    std::vector<CallerResult> m_results;
    absl::Time m_started;
    std::atomic<std::size_t> m_next{0};
    Mutex m_printMutex;
};

std::vector<std::string> listOf(const cxxopts::ParseResult &parsed, const std::string &name)
{
    return parsed.count(name) > 0 ? std::vector<std::string>(absl::StrSplit(parsed[name].as<std::string>(), ',', absl::SkipEmpty()))
                                  : std::vector<std::string>();
}

std::vector<Sending> planSendings(const std::vector<InputRequest> &requests, const std::string &run, double perSecond)
{
    std::vector<Sending> sendings;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        for (int tap = 0; tap < requests[i].taps; ++tap) {
            const double seconds = perSecond > 0 ? static_cast<double>(sendings.size()) / perSecond : 0;
            const std::string id = absl::StrCat(run, "-", i, requests[i].taps > 1 ? absl::StrCat("-tap", tap) : "");
            sendings.push_back(Sending{requests[i], id, static_cast<int>(i) + tap, absl::Seconds(seconds)});
        }
    }
    return sendings;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("caller", "Sends requests to a running deployment and checks every answer.");
    auto add = options.add_options();
    add("nodes", "URLs of nodes, separated by commas", cxxopts::value<std::string>());
    add("engines", "URLs of the engine stand-ins", cxxopts::value<std::string>());
    add("services", "URLs of the plain stand-ins", cxxopts::value<std::string>());
    add("input", "File with one JSON request a line", cxxopts::value<std::string>());
    add("prompts", "Directory of text prompts for the generated mix", cxxopts::value<std::string>());
    add("requests", "Requests of the generated mix", cxxopts::value<int>()->default_value("220"));
    add("mix", "Names of the mix: model,plain,urgent,patient,booking,lookup",
        cxxopts::value<std::string>()->default_value("summarizer,crew-desk,paying,draft,confirm,schedule"));
    add("rate", "Requests a second; 0 sends as fast as the threads allow", cxxopts::value<double>()->default_value("0"));
    add("threads", "Requests at once", cxxopts::value<int>()->default_value("24"));
    add("run", "Name of the run, part of every id", cxxopts::value<std::string>()->default_value("run"));
    add("fault", "Name of the fault; prints the line of a fault run", cxxopts::value<std::string>());
    add("fault-after-ms", "When the fault is caused, after the start", cxxopts::value<int>()->default_value("2000"));
    add("quiet", "Do not print each result");
    return options;
}

int run(const cxxopts::ParseResult &parsed)
{
    const std::string name = parsed["run"].as<std::string>();
    VerdictSources sources{listOf(parsed, "nodes"), listOf(parsed, "engines"), listOf(parsed, "services")};
    std::vector<InputRequest> requests;
    if (parsed.count("input") > 0) {
        requests = readInputFile(parsed["input"].as<std::string>());
    } else {
        const std::vector<std::string> names = absl::StrSplit(parsed["mix"].as<std::string>(), ',');
        requests = makeMix(parsed["prompts"].as<std::string>(), parsed["requests"].as<int>(),
                           MixNames{names.at(0), names.at(1), names.at(2), names.at(3), names.at(4), names.at(5)}, name);
    }
    AddressLookup addresses(sources.nodes);
    Run all(planSendings(requests, name, parsed["rate"].as<double>()), addresses, parsed.count("quiet") == 0);
    const absl::Time started = absl::Now();
    const std::vector<CallerResult> results = all.all(parsed["threads"].as<int>());
    if (parsed.count("fault") > 0) {
        sources.faultAt = started + absl::Milliseconds(parsed["fault-after-ms"].as<int>());
    }
    const Verdict verdict = judge(results, sources);
    std::cout << (parsed.count("fault") > 0 ? faultLine(parsed["fault"].as<std::string>(), verdict) : demoLine(verdict)) << "\n";
    return promisesHeld(verdict) ? 0 : 1;
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
