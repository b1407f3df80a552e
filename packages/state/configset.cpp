#include "state/configset.h"

namespace Apricot {

std::vector<Endpoint> endpointsOf(const ConfigSet &config, const ServiceName &service, PoolRole role)
{
    std::vector<Endpoint> found;
    for (const auto &[name, endpoint] : config->endpoints) {
        const auto it = config->pools.find(endpoint->pool);
        if (it != config->pools.end() && it->second->service == service && it->second->role == role) {
            found.push_back(endpoint);
        }
    }
    return found;
}

}
