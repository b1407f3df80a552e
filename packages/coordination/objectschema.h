#pragma once

#include "state/rawobject.h"

#include <string>
#include <vector>

namespace Apricot {

/// Type of a field of a configuration object.
enum class FieldType { Boolean, Integer, Number, Text, TextList };

/// One documented field of a configuration object.
struct FieldSpec
{
    std::string kind;
    std::string field;
    FieldType type = FieldType::Text;
    std::string unit; ///< empty if it has none
    bool required = false;
    std::string standard; ///< default as text; empty if required
    double least = 0;
    double most = 0; ///< least == most: no range
    std::string choices; ///< "a|b" for texts with fixed values
    std::string refersTo; ///< kind of the object that is named
    std::string text; ///< what it means
};

/// All fields of all kinds, in the order of the documents.
const std::vector<FieldSpec> &objectSchema();

/// Kinds that operators edit.
std::vector<std::string> objectKinds();

/// Name of a field type for messages.
std::string fieldTypeName(FieldType type);

}
