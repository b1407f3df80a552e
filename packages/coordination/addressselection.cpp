#include "coordination/addressselection.h"

#include <algorithm>

namespace Apricot {

namespace {

void appendRotated(const std::vector<std::string> &from, std::uint64_t rotation, std::vector<std::string> *to)
{
    for (std::size_t i = 0; i < from.size(); ++i) {
        to->push_back(from[(i + rotation) % from.size()]);
    }
}

}

AddressAnswer chooseAddresses(const std::vector<Member> &members, const DataCentreName &callerDataCentre, std::uint64_t rotation,
                              std::size_t maxCount)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    std::vector<std::string> suspect;
    for (const Member &member : members) {
        if (member->leaving || member->state == MemberState::Dead) {
            continue;
        }
        if (member->state == MemberState::Suspect) {
            suspect.push_back(member->callerAddress);
        } else if (member->dataCentre == callerDataCentre) {
            near.push_back(member->callerAddress);
        } else {
            far.push_back(member->callerAddress);
        }
    }
    std::vector<std::string> addresses;
    appendRotated(near, rotation, &addresses);
    appendRotated(far, rotation, &addresses);
    if (addresses.empty()) {
        appendRotated(suspect, rotation, &addresses);
    }
    addresses.resize(std::min(addresses.size(), maxCount));
    return AddressAnswer(AddressAnswerFields{addresses, absl::ToInt64Milliseconds(addressKeepTime)});
}

}
