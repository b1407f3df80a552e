#pragma once

#include "state/member.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

/// Fields of AddressAnswer.
struct AddressAnswerFields
{
    std::vector<std::string> addresses; ///< "IP:port", best first
    std::int64_t keepMs = 0; ///< how long the caller may cache the answer

    friend auto operator<=>(const AddressAnswerFields &, const AddressAnswerFields &) = default;
};

/// The addresses that a caller should connect to.
using AddressAnswer = Immutable<AddressAnswerFields>;

/// How long callers may cache an answer. A leaving node accepts calls for this time, because cached answers still name it.
inline constexpr absl::Duration addressKeepTime = absl::Seconds(3);

/// Default maximum number of addresses in one answer.
inline constexpr std::size_t defaultAddressCount = 3;

/// Chooses at most \a maxCount nodes for one caller: alive and not leaving, those in the caller's data centre first, each group
/// rotated by \a rotation to spread load. If no such node exists, the answer contains suspect nodes.
AddressAnswer chooseAddresses(const std::vector<Member> &members, const DataCentreName &callerDataCentre, std::uint64_t rotation,
                              std::size_t maxCount = defaultAddressCount);

}
