#pragma once

#include "apricotladderd/entry/entryloop.h"
#include "state/engineentry.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Apricot {

/**
 * \class HeldHandle
 * \brief The KV cache of a prompt that a prefill engine keeps for one call, until a decode engine takes it or it is freed.
 */
class HeldHandle
{
public:
    HeldHandle(EntryLoop &loop, std::int64_t promptTokens);

    /// Takes over what \a engine keeps under \a name.
    void hold(const EngineEntry &engine, const std::string &name);

    bool isHeld() const
    {
        return m_held.has_value();
    }

    /// The engine that keeps it. Only while isHeld().
    const EngineEntry &engine() const
    {
        return m_held->engine;
    }

    /// Where a decode engine fetches it; empty if none is held.
    std::string source() const;

    /// A decode engine has it now.
    void taken();

    /// Frees it at its engine, if one is held. \a why goes into the metrics.
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
