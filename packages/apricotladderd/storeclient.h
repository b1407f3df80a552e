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

/// A conditional write was refused: the object has another version.
struct StoreConflicted
{
};

/// The reply was lost; the write may have taken effect.
struct StoreReplyLost
{
};

/// The write surely did not take effect.
struct StoreNotDone
{
};

using StoreWriteEnd = std::variant<StoreWritten, StoreConflicted, StoreReplyLost, StoreNotDone>;

/**
 * \class StoreClient
 * \brief Calls to the platform's object API, within this node's part of its rates.
 */
class StoreClient
{
public:
    StoreClient(std::string url, absl::Duration limit, NodeMetrics &metrics);

    /// Reads one object; an empty optional if it does not exist.
    Result<std::optional<StoredObject>> get(const std::string &kind, const std::string &name);

    /// Reads all objects of the given kinds (separated by commas).
    Result<ObjectList> list(const std::string &kinds);

    /// Waits at most \a wait for a change of these kinds after \a version; an empty list if there was none.
    Result<ObjectList> watch(const std::string &kinds, std::uint64_t version, absl::Duration wait);

    /// Writes a spec if the object's version is \a ifVersion (0: if it does not exist).
    StoreWriteEnd put(const std::string &kind, const std::string &name, std::uint64_t ifVersion, const std::string &spec);

    /// Writes the status of an object; its version stays as it is.
    StoreWriteEnd putStatus(const std::string &kind, const std::string &name, const std::string &status);

    StoreWriteEnd remove(const std::string &kind, const std::string &name, std::uint64_t ifVersion);

    /// The number of nodes that share the store's rates.
    void setNodes(std::size_t nodes);

private:
    void waitForBudget(bool write);
    Result<std::string> read(const std::string &call, const std::string &path, absl::Duration limit, bool *missing);
    StoreWriteEnd write(const std::string &method, const std::string &path, const std::string &body);

    std::string m_url;
    absl::Duration m_limit;
    NodeMetrics &m_metrics;
    Mutex m_mutex;
    StoreRateLimiter m_budget ABSL_GUARDED_BY(m_mutex);
};

}
