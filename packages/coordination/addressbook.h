#pragma once

#include "state/member.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

struct AddressAnswerFields
{
    std::vector<std::string> addresses; ///< "IP:port", best first
    std::int64_t keepMs = 0; ///< how long the caller may keep the answer

    friend auto operator<=>(const AddressAnswerFields &, const AddressAnswerFields &) = default;
};

/// What a caller is told to connect to.
using AddressAnswer = Immutable<AddressAnswerFields>;

/// How long callers keep an answer; a leaving node takes calls for this long.
inline constexpr absl::Duration addressKeepTime = absl::Seconds(3);

/// Addresses in one answer, unless the caller of chooseAddresses() says otherwise.
inline constexpr std::size_t usualAddresses = 3;

/// Chooses at most \a most nodes for one caller: alive, not leaving, its own data centre first, rotated by \a turn to spread load.
/// When every node is suspect or leaving, the suspect ones are better than none.
AddressAnswer chooseAddresses(const std::vector<Member> &members, const DataCentreName &callerDataCentre, std::uint64_t turn,
                              std::size_t most = usualAddresses);

}
