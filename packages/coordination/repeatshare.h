#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace Apricot {

/// The bound on repeats that all nodes keep together, for each service.
struct RepeatBound
{
    double ratio = 0; ///< repeats for each request
    double headroom = 0; ///< repeats that are always allowed within the window
    absl::Duration window = absl::Seconds(10);

    friend bool operator==(const RepeatBound &, const RepeatBound &) = default;
};

/**
 * \class RepeatShare
 * \brief This node's part of the bound on repeats to one service.
 *
 * Every node keeps to its part of the headroom and to the ratio over its own requests, so that the sum holds whichever
 * nodes hear each other.
 */
class RepeatShare
{
public:
    explicit RepeatShare(const RepeatBound &bound);

    void noteRequest(absl::Time now);

    /// Spends one repeat if this node's part, as one of \a nodes, has one left; returns whether it had.
    bool trySpend(std::size_t nodes, absl::Time now);

    /// Whether trySpend() would succeed.
    bool allows(std::size_t nodes, absl::Time now);

private:
    static constexpr std::size_t slices = 20;

    struct Slice
    {
        std::int64_t index = -1;
        std::int64_t requests = 0;
        std::int64_t repeats = 0;
    };

    Slice &sliceAt(absl::Time now);

    RepeatBound m_bound;
    std::array<Slice, slices + 1> m_slices;
};

}
