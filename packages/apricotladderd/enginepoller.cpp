#include "apricotladderd/enginepoller.h"

#include "protocol/enginejson.h"
#include "transport/httpclient.h"

#include <absl/strings/str_cat.h>

namespace Apricot {

namespace {

constexpr absl::Duration pollInterval = absl::Milliseconds(250);
constexpr absl::Duration pollTimeout = absl::Milliseconds(300);

/// Number of consecutive failed reports after which an engine counts as lost.
constexpr int failuresUntilLost = 2;

}

EnginePoller::EnginePoller(SliceHost &host, CurrentConfig &config, CellService &cell, Journal &journal)
    : m_host(host)
    , m_config(config)
    , m_cell(cell)
    , m_journal(journal)
{
}

void EnginePoller::start()
{
    m_task = std::make_unique<PeriodicTask>("engine-poll", pollInterval, [this] { poll(); });
}

void EnginePoller::stop()
{
    m_task.reset();
}

void EnginePoller::poll()
{
    for (const ServiceName &service : m_host.hostedServices()) {
        if (m_cell.ownerOf(service) == m_cell.self()) {
            pollService(service);
        }
    }
}

void EnginePoller::pollService(const ServiceName &service)
{
    const std::shared_ptr<const ConfigSet> config = m_config.current();
    for (const PoolRole role : {PoolRole::Prefill, PoolRole::Decode}) {
        for (const Endpoint &endpoint : endpointsOf(*config, service, role)) {
            pollEngine(service, endpoint);
        }
    }
}

void EnginePoller::pollEngine(const ServiceName &service, const Endpoint &endpoint)
{
    const EngineId engine(endpoint->name);
    HttpCall call;
    call.url = absl::StrCat("http://", endpoint->address, "/v1/report");
    call.timeout = pollTimeout;
    call.connectTimeout = pollTimeout;
    call.maxBodyBytes = maxEngineMessageBytes;
    const HttpReply reply = HttpClient::call(call);
    EngineState &state = m_engineStates[endpoint->name];
    if (reply.outcome != CallOutcome::Answered || reply.status != 200) {
        ++state.failures;
        if (state.failures < failuresUntilLost) {
            return;
        }
        if (!state.lost) {
            state.lost = true;
            m_journal.warning(
                RequestId(), "engine.lost",
                absl::StrCat("endpoint ", endpoint->name, " at ", endpoint->address, " does not answer: ", reply.errorMessage));
        }
        // Sent after every failed poll, as a configuration change may have replaced the scheduler and its state.
        m_host.handleEvents(service, m_cell.self(), {EngineLost{engine}});
        return;
    }
    if (state.lost) {
        m_journal.info(RequestId(), "engine.back", absl::StrCat("endpoint ", endpoint->name, " answers again"));
        m_host.handleEvents(service, m_cell.self(), {EngineRecovered{engine}});
    }
    state = EngineState{};
    const auto report = toVariant<EngineReported>([&] { return decodeEngineReport(reply.body, engine); });
    if (const auto *it = std::get_if<EngineReported>(&report)) {
        m_host.handleEvents(service, m_cell.self(), {*it});
    }
}

}
