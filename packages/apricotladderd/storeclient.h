#pragma once

#include "apricotladderd/nodemetrics.h"
#include "coordination/storeratelimiter.h"
#include "protocol/objectjson.h"
#include "state/error.h"
#include "state/mutex.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <variant>

namespace Apricot {

/// A conditional write took effect.
struct StoreWritten
{
    std::uint64_t version = 0;
};

/// A conditional write was refused because the object has another version.
struct StoreVersionConflict
{
};

/// No usable reply arrived; the write may have taken effect.
struct StoreReplyLost
{
};

/// The write certainly did not take effect.
struct StoreNotWritten
{
};

using StoreWriteResult = std::variant<StoreWritten, StoreVersionConflict, StoreReplyLost, StoreNotWritten>;

/**
 * \class StoreClient
 * \brief Client of the platform's object API. It keeps its calls within this node's fraction of the API's rate limits.
 */
class StoreClient
{
public:
    StoreClient(std::string url, absl::Duration timeout, NodeMetrics &metrics);

    /// Reads one object; returns an empty optional if it does not exist. Fails with StoreUnavailable.
    Result<std::optional<StoredObject>> get(const std::string &kind, const std::string &name);

    /// Reads all objects of the given kinds, separated by commas. Fails with StoreUnavailable.
    Result<ObjectList> list(const std::string &kinds);

    /// Waits at most \a wait for a change to objects of these kinds after \a version; returns an empty list if there was none.
    Result<ObjectList> watch(const std::string &kinds, std::uint64_t version, absl::Duration wait);

    /// Writes a spec if the object's version is \a ifVersion; 0 means that the object must not exist.
    StoreWriteResult put(const std::string &kind, const std::string &name, std::uint64_t ifVersion, const std::string &spec);

    /// Writes the status of an object without changing its version.
    StoreWriteResult putStatus(const std::string &kind, const std::string &name, const std::string &status);

    /// Removes an object if its version is \a ifVersion.
    StoreWriteResult remove(const std::string &kind, const std::string &name, std::uint64_t ifVersion);

    /// Sets the number of nodes that share the API's rate limits.
    void setNodeCount(std::size_t nodeCount);

private:
    void waitForRateLimit(bool write);
    Result<std::string> read(const std::string &call, const std::string &path, absl::Duration timeout, bool *notFound);
    StoreWriteResult write(const std::string &method, const std::string &path, const std::string &body);

    std::string m_url;
    absl::Duration m_timeout;
    NodeMetrics &m_metrics;
    Mutex m_mutex;
    StoreRateLimiter m_rateLimiter ABSL_GUARDED_BY(m_mutex);
};

}
