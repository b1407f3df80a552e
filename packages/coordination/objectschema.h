#pragma once

#include "state/rawobject.h"

#include <string>
#include <vector>

namespace Apricot {

/// Type of a field of a configuration object.
enum class FieldType { Boolean, Integer, Number, Text, TextList };

/// Schema of one field of a configuration object.
struct FieldSpec
{
    std::string kind;
    std::string field;
    FieldType type = FieldType::Text;
    std::string unit; ///< empty if the field has no unit
    bool required = false;
    std::string defaultValue; ///< default value as text; empty if required
    double min = 0;
    double max = 0; ///< the range is unlimited if min equals max
    std::string choices; ///< allowed values of a text field, separated as in "a|b"; empty: any text
    std::string referencedKind; ///< kind of the object that the value must name; empty: none
    std::string description; ///< description for messages and documentation
};

/// Returns the fields of all kinds, in the order of the documentation.
const std::vector<FieldSpec> &objectSchema();

/// Returns the kinds that operators edit.
std::vector<std::string> objectKinds();

/// Returns the name of a field type for messages.
std::string fieldTypeName(FieldType type);

}
