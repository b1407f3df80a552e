#pragma once

#include "state/mutex.h"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <string>

namespace Apricot {

/**
 * \class BoundedLabels
 * \brief Limits the number of values of a metric's label. Any thread may call it.
 */
class BoundedLabels
{
public:
    static constexpr std::size_t maxCount = 100;

    /// Returns \a value, or "other" if as many different values were used before.
    std::string label(const std::string &value)
    {
        const MutexLock lock(m_mutex);
        if (m_values.contains(value)) {
            return value;
        }
        if (m_values.size() >= maxCount) {
            return "other";
        }
        m_values.insert(value);
        return value;
    }

private:
    Mutex m_mutex;
    absl::flat_hash_set<std::string> m_values ABSL_GUARDED_BY(m_mutex);
};

}
