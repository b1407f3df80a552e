#pragma once

#include "state/configobjects.h"
#include "state/mutex.h"
#include "transport/httpserver.h"

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <string>

namespace Apricot {

/**
 * \class VmListStandIn
 * \brief Stand-in for the platform's VM list. Changes become visible after a delay.
 */
class VmListStandIn
{
public:
    /// GET lists the VMs; PUT with {"name", "address", "leaving"} changes one; DELETE with ?name= removes one;
    /// POST {"lagMs"} sets the delay of further changes in milliseconds.
    HttpResponse handle(const HttpRequest &request);

private:
    struct Change
    {
        absl::Time visibleFrom;
        Vm vm;
        bool removed = false;
    };

    void applyDueChanges(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    Mutex m_mutex;
    std::map<std::string, Vm> m_vms ABSL_GUARDED_BY(m_mutex);
    std::deque<Change> m_pendingChanges ABSL_GUARDED_BY(m_mutex);
    absl::Duration m_lag ABSL_GUARDED_BY(m_mutex) = absl::Milliseconds(300);
};

}
