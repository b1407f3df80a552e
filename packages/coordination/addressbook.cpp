#include "coordination/addressbook.h"

#include <algorithm>

namespace Apricot {

namespace {

void appendRotated(const std::vector<std::string> &from, std::uint64_t turn, std::vector<std::string> *to)
{
    for (std::size_t i = 0; i < from.size(); ++i) {
        to->push_back(from[(i + turn) % from.size()]);
    }
}

}

AddressAnswer chooseAddresses(const std::vector<Member> &members, const DataCentreName &callerDataCentre, std::uint64_t turn,
                              std::size_t most)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    std::vector<std::string> doubtful;
    for (const Member &member : members) {
        if (member->leaving || member->state == MemberState::Dead) {
            continue;
        }
        if (member->state == MemberState::Suspect) {
            doubtful.push_back(member->callerAddress);
        } else if (member->dataCentre == callerDataCentre) {
            near.push_back(member->callerAddress);
        } else {
            far.push_back(member->callerAddress);
        }
    }
    std::vector<std::string> addresses;
    appendRotated(near, turn, &addresses);
    appendRotated(far, turn, &addresses);
    if (addresses.empty()) {
        appendRotated(doubtful, turn, &addresses);
    }
    addresses.resize(std::min(addresses.size(), most));
    return AddressAnswer(AddressAnswerFields{addresses, absl::ToInt64Milliseconds(addressKeepTime)});
}

}
