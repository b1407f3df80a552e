#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Apricot {

/**
 * \class Invariants
 * \brief Counts and reports broken invariants. The count is process-wide; the handler says what else happens.
 */
class Invariants
{
public:
    using Handler = std::function<void(std::string_view name, const std::string &values)>;

    /// Replaces the handler that is run on each violation (log it, end the process, or collect it in a test).
    static void setHandler(Handler handler);

    /// Number of violations since the start of the process or the last reset().
    static std::uint64_t violations();

    static void reset();

    /// Counts one violation of \a name and runs the handler.
    static void violated(std::string_view name, const std::string &values);
};

}

/// Checks \a condition; on failure counts the violation under \a name and reports the text \a values.
#define APRICOT_INVARIANT(condition, name, values)                                                                                         \
    do {                                                                                                                                   \
        if (!(condition)) [[unlikely]] {                                                                                                   \
            ::Apricot::Invariants::violated(name, values);                                                                                 \
        }                                                                                                                                  \
    } while (false)
