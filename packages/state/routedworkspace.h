#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace Apricot {

/**
 * \class KeyDigest
 * \brief The digest of an API key. Only the platform adapter sees keys; all other code, messages and logs hold digests.
 */
class KeyDigest
{
public:
    KeyDigest() = default;

    KeyDigest(std::uint64_t high, std::uint64_t low)
        : m_high(high)
        , m_low(low)
    {
    }

    std::uint64_t high() const
    {
        return m_high;
    }

    std::uint64_t low() const
    {
        return m_low;
    }

    friend bool operator==(const KeyDigest &, const KeyDigest &) = default;
    friend auto operator<=>(const KeyDigest &, const KeyDigest &) = default;

    template<class H>
    friend H AbslHashValue(H h, const KeyDigest &it)
    {
        return H::combine(std::move(h), it.m_high, it.m_low);
    }

private:
    std::uint64_t m_high = 0;
    std::uint64_t m_low = 0;
};

/// What an allowance counts.
enum class AllowanceUnit : std::uint8_t { Requests, Tokens };

struct AllowanceFields
{
    AllowanceUnit unit = AllowanceUnit::Requests;
    double ratePerSecond = 0; ///< 0: unlimited
    double burst = 0; ///< what can be used at once after a pause
    std::int64_t defaultTokens = 0; ///< cost of a request that does not state its tokens

    friend auto operator<=>(const AllowanceFields &, const AllowanceFields &) = default;
};

/// The limit on the requests of a workspace, for all nodes together.
using Allowance = Immutable<AllowanceFields>;

struct RoutedWorkspaceFields
{
    WorkspaceName name;
    std::vector<KeyDigest> keys; ///< all of them are valid at the same time
    std::optional<std::int64_t> rank; ///< replaces the rank of the routes
    Allowance allowance;

    friend auto operator<=>(const RoutedWorkspaceFields &, const RoutedWorkspaceFields &) = default;
};

/// A workspace as the desired state defines it. A request belongs to it if it has one of its API keys.
using RoutedWorkspace = Immutable<RoutedWorkspaceFields>;

}
