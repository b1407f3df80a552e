#pragma once

#include "apricotladderd/currentconfig.h"
#include "apricotladderd/slicehost.h"
#include "transport/periodictask.h"

#include <map>
#include <memory>
#include <string>

namespace Apricot {

/**
 * \class EnginePoller
 * \brief Polls the load reports of the engines of the slices that this node owns, and reports engines that stop answering.
 */
class EnginePoller
{
public:
    EnginePoller(SliceHost &host, CurrentConfig &config, CellService &cell, Journal &journal);

    void start();
    void stop();

private:
    struct EngineState
    {
        int failures = 0;
        bool lost = false;
    };

    void poll();
    void pollService(const ServiceName &service);
    void pollEngine(const ServiceName &service, const Endpoint &endpoint);

    SliceHost &m_host;
    CurrentConfig &m_config;
    CellService &m_cell;
    Journal &m_journal;
    std::map<std::string, EngineState> m_engineStates; ///< by endpoint name; used only by the polling thread
    std::unique_ptr<PeriodicTask> m_task;
};

}
