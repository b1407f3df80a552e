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
    void hold(const EngineEntry &engine, const std::string &name);

    bool isHeld() const
    {
        return m_held.has_value();
    }

    /// The engine that holds the KV cache. May be called only while isHeld() is true.
    const EngineEntry &engine() const
    {
        return m_held->engine;
    }

    /// Address and handle from which a decode engine fetches the KV cache; empty without a handle.
    std::string source() const;

    /// Records that a decode engine has fetched the KV cache.
    void taken();

    /// Releases the handle at its engine, if there is one. \a why is the label under which the metrics count it.
    void release(const char *why);

private:
    struct Held
    {
        EngineEntry engine;
        std::string name;
    };

    EntryLoop &m_loop;
    std::int64_t m_promptTokens;
    std::optional<Held> m_held;
};

}
