#pragma once

#include "state/immutable.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

/// A field of an object as the operator wrote it, before validation.
using FieldValue = std::variant<bool, std::int64_t, double, std::string, std::vector<std::string>>;

struct RawObjectFields
{
    std::string kind;
    std::string name;
    std::uint64_t version = 0; ///< version in the object API; 0 for an object that is only on disk
    std::map<std::string, FieldValue> fields;

    friend bool operator==(const RawObjectFields &, const RawObjectFields &) = default;
};

/// One named object of the configuration, not yet checked.
using RawObject = Immutable<RawObjectFields>;

/// One fault of a configuration: which object and field, what is wrong and how to mend it.
struct Fault
{
    std::string object; ///< "Kind/name"
    std::string field;
    std::string problem;
    std::string remedy;

    friend auto operator<=>(const Fault &, const Fault &) = default;
};

}
