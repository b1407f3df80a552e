#include "standins/vmliststandin.h"

#include "protocol/jsonreader.h"

#include <absl/time/clock.h>

namespace Apricot {

HttpResponse VmListStandIn::handle(const HttpRequest &request)
{
    const absl::Time now = absl::Now();
    const Json json = Json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
    HttpResponse response;
    response.headers["Content-Type"] = "application/json";
    if (json.is_discarded()) {
        response.status = 400;
        return response;
    }
    const MutexLock lock(m_mutex);
    if (request.method == "PUT") {
        m_pendingChanges.push_back(
            Change{now + m_lag, Vm(VmFields{jsonText(json, "name"), jsonText(json, "address"), jsonFlag(json, "leaving")}), false});
    } else if (request.method == "DELETE") {
        m_pendingChanges.push_back(Change{now + m_lag, Vm(VmFields{request.parameter("name"), {}, false}), true});
    } else if (request.method == "POST") {
        m_lag = absl::Milliseconds(jsonInteger(json, "lagMs"));
    }
    applyDueChanges(now);
    Json list = Json::array();
    for (const auto &[name, vm] : m_vms) {
        list.push_back(Json{{"name", vm->name}, {"address", vm->address}, {"leaving", vm->leaving}});
    }
    response.body = jsonDump(Json{{"vms", std::move(list)}});
    return response;
}

void VmListStandIn::applyDueChanges(absl::Time now)
{
    while (!m_pendingChanges.empty() && m_pendingChanges.front().visibleFrom <= now) {
        const Change &change = m_pendingChanges.front();
        if (change.removed) {
            m_vms.erase(change.vm->name);
        } else {
            m_vms.insert_or_assign(change.vm->name, change.vm);
        }
        m_pendingChanges.pop_front();
    }
}

}
