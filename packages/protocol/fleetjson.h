#pragma once

#include "protocol/objectjson.h"
#include "state/error.h"
#include "state/rolechange.h"

#include <string>

namespace Apricot {

/// Spec of an EngineWish object: what an engine is wanted to be.
std::string encodeWish(const std::string &role, const std::string &model, const std::string &modelVersion);

/// Spec of a RoleChange object.
std::string encodeRoleChange(const RoleChange &change);
Result<RoleChange> decodeRoleChange(const StoredObject &object);

/// Whether two JSON texts say the same.
bool sameJson(const std::string &a, const std::string &b);

/// A spec with one field set; "true" and "false" become flags.
std::string withField(const std::string &spec, const std::string &field, const std::string &value);

}
