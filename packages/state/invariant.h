#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Apricot {

/**
 * \class Invariants
 * \brief Counts invariant violations of the process and reports each one to a handler.
 */
class Invariants
{
public:
    using Handler = std::function<void(std::string_view name, const std::string &values)>;

    /// Replaces the handler that runs on each violation, for example to log it, to end the process, or to record it in a test.
    static void setHandler(Handler handler);

    /// Returns the number of violations since the start of the process or the last reset().
    static std::uint64_t violationCount();

    static void reset();

    /// Counts one violation of \a name and runs the handler.
    static void reportViolation(std::string_view name, const std::string &values);
};

}

/// Checks \a condition. If it is false, reports a violation of the invariant \a name with the text \a values.
#define APRICOT_INVARIANT(condition, name, values)                                                                                         \
    do {                                                                                                                                   \
        if (!(condition)) [[unlikely]] {                                                                                                   \
            ::Apricot::Invariants::reportViolation(name, values);                                                                          \
        }                                                                                                                                  \
    } while (false)
