#pragma once

#include "state/mutex.h"

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class AddressLookup
 * \brief What a caller does to find a node: ask any node, keep the answer as long as it says, try another one on failure.
 */
class AddressLookup
{
public:
    explicit AddressLookup(std::vector<std::string> entryUrls);

    /// URL of the node for try number \a turn at \a service.
    std::string node(const std::string &service, int turn);

    /// The node could not be reached: the kept answer is dropped.
    void failed(const std::string &service);

private:
    struct Kept
    {
        std::vector<std::string> urls;
        absl::Time until = absl::InfinitePast();
    };

    std::vector<std::string> ask(const std::string &service, absl::Duration *keep) const;

    const std::vector<std::string> m_entryUrls;
    Mutex m_mutex;
    std::map<std::string, Kept> m_kept ABSL_GUARDED_BY(m_mutex);
};

}
