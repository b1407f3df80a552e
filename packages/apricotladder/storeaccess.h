#pragma once

#include "protocol/objectjson.h"
#include "state/error.h"
#include "transport/httpclient.h"

#include <optional>
#include <string>

namespace Apricot {

/**
 * \class StoreAccess
 * \brief Client of the command line for the platform's object API.
 */
class StoreAccess
{
public:
    explicit StoreAccess(std::string url);

    /// Reads one object; returns an empty optional if it does not exist. Fails with StoreUnavailable.
    Result<std::optional<StoredObject>> get(const std::string &kind, const std::string &name) const;
    /// Reads all objects of the given kinds, separated by commas. Fails with StoreUnavailable.
    Result<ObjectList> list(const std::string &kinds) const;

    /// Result of a conditional write. Unknown: the reply was lost, and the write may have taken effect.
    enum class WriteResult { Written, Conflict, Unknown, Failed };
    /// Writes a spec if the object's version is \a ifVersion; 0 means that the object must not exist.
    WriteResult put(const std::string &kind, const std::string &name, std::uint64_t ifVersion, const std::string &spec) const;

private:
    std::string m_url;
};

}
