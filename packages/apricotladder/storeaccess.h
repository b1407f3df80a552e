#pragma once

#include "protocol/objectjson.h"
#include "state/error.h"
#include "transport/httpclient.h"

#include <optional>
#include <string>

namespace Apricot {

/**
 * \class StoreAccess
 * \brief Calls of the command line to the platform's object API.
 */
class StoreAccess
{
public:
    explicit StoreAccess(std::string url);

    Result<std::optional<StoredObject>> get(const std::string &kind, const std::string &name) const;
    Result<ObjectList> list(const std::string &kinds) const;

    /// How a conditional write ended.
    enum class WriteEnd { Written, Conflict, Unknown, Failed };
    WriteEnd put(const std::string &kind, const std::string &name, std::uint64_t ifVersion, const std::string &spec) const;

private:
    std::string m_url;
};

}
