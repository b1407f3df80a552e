#pragma once

#include "state/mutex.h"

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class AddressLookup
 * \brief Client-side node discovery: queries any node for the addresses of a service, and caches them as long as the response
 * allows.
 */
class AddressLookup
{
public:
    explicit AddressLookup(std::vector<std::string> entryUrls);

    /// Returns the URL of the node with index \a nodeIndex, modulo the number of known nodes, for \a service.
    std::string node(const std::string &service, int nodeIndex);

    /// Drops the cached addresses of \a service after a node could not be reached.
    void invalidate(const std::string &service);

private:
    struct CachedAddresses
    {
        std::vector<std::string> urls;
        absl::Time expiry = absl::InfinitePast();
    };

    std::vector<std::string> queryNodes(const std::string &service, absl::Duration *keep) const;

    const std::vector<std::string> m_entryUrls;
    Mutex m_mutex;
    std::map<std::string, CachedAddresses> m_cache ABSL_GUARDED_BY(m_mutex);
};

}
