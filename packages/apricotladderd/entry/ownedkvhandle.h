#pragma once

#include "apricotladderd/entry/entryloop.h"
#include "state/engineentry.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Apricot {

/**
 * \class OwnedKvHandle
 * \brief The handle of a KV cache that a prefill engine holds for one call, until a decode engine fetches it or the call
 * releases it.
 */
class OwnedKvHandle
{
public:
    OwnedKvHandle(EntryLoop &loop, std::int64_t promptTokens);

    /// Stores that \a engine holds a KV cache under the handle \a name.
    void set(const EngineEntry &engine, const std::string &name);

    bool hasHandle() const
    {
        return m_handle.has_value();
    }

    /// The engine that holds the KV cache. May be called only while hasHandle() is true.
    const EngineEntry &engine() const
    {
        return m_handle->engine;
    }

    /// Address and handle from which a decode engine fetches the KV cache; empty without a handle.
    std::string source() const;

    /// Records that a decode engine has fetched the KV cache.
    void markFetched();

    /// Releases the handle at its engine, if there is one. \a why is the label under which the metrics count it.
    void release(const char *why);

private:
    struct Handle
    {
        EngineEntry engine;
        std::string name;
    };

    EntryLoop &m_loop;
    std::int64_t m_promptTokens;
    std::optional<Handle> m_handle;
};

}
