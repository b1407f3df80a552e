#pragma once

#include "apricotladderd/entry/entryloop.h"
#include "state/engineentry.h"

#include <absl/time/time.h>

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

    /// Stores that \a engine holds a KV cache under the handle \a name until \a expiry.
    void set(const EngineEntry &engine, const std::string &name, absl::Time expiry);

    bool hasHandle() const
    {
        return m_handle.has_value();
    }

    /// Whether the engine should still hold the KV cache at \a now.
    bool isFresh(absl::Time now) const;

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
        absl::Time expiry;
    };

    EntryLoop &m_loop;
    std::int64_t m_promptTokens;
    std::optional<Handle> m_handle;
};

}
