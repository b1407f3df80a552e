#pragma once

#include "protocol/objectjson.h"
#include "state/error.h"
#include "state/rolechange.h"

#include <string>

namespace Apricot {

/// Encodes the spec of an EngineWish object: the desired role and model of an engine.
std::string encodeEngineWish(const std::string &role, const std::string &model, const std::string &modelVersion);

/// Encodes and decodes the spec of a RoleChange object.
std::string encodeRoleChange(const RoleChange &change);
Result<RoleChange> decodeRoleChange(const StoredObject &object);

/// Whether two JSON texts have equal values, regardless of their formatting.
bool jsonEquals(const std::string &a, const std::string &b);

/// Returns \a spec with \a field set to \a value. "true" and "false" become booleans, other values strings.
std::string withField(const std::string &spec, const std::string &field, const std::string &value);

}
