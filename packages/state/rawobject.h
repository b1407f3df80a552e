#pragma once

#include "state/immutable.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

/// Value of an object's field as written by the operator, before validation.
using FieldValue = std::variant<bool, std::int64_t, double, std::string, std::vector<std::string>>;

struct RawObjectFields
{
    std::string kind;
    std::string name;
    std::uint64_t version = 0; ///< version in the object API; 0 for an object that exists only on disk
    std::map<std::string, FieldValue> fields;

    friend bool operator==(const RawObjectFields &, const RawObjectFields &) = default;
};

/// One configuration object before validation.
using RawObject = Immutable<RawObjectFields>;

/// One validation error of a configuration: the object and field, the problem and its remedy.
struct ConfigFault
{
    std::string object; ///< "Kind/name"
    std::string field;
    std::string problem;
    std::string remedy;

    friend auto operator<=>(const ConfigFault &, const ConfigFault &) = default;
};

}
