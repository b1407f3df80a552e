#pragma once

#include "state/configobjects.h"
#include "state/configset.h"
#include "state/error.h"
#include "state/lease.h"
#include "state/rawobject.h"
#include "state/runrecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

/// An object as it is stored. Its spec and status are JSON texts that only the protocol layer parses.
struct StoredObject
{
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    std::string spec; ///< JSON object
    std::string status; ///< JSON object; empty if none was written

    friend bool operator==(const StoredObject &, const StoredObject &) = default;
};

/// Decodes an object of the store, or an object written by an operator ({"kind", "name", "spec"}).
Result<StoredObject> decodeStoredObject(const std::string &json);

/// Response to a list or watch: the objects, and the version of the store that they reflect.
struct ObjectList
{
    std::uint64_t version = 0;
    std::vector<StoredObject> objects;
};

Result<ObjectList> decodeObjectList(const std::string &json);

/// Decodes the new version from the response to a write.
Result<std::uint64_t> decodeVersion(const std::string &json);

/// Decodes the fields of a configuration object. A field that is not a string, number, boolean or list of strings is an error.
Result<RawObject> rawObjectOf(const StoredObject &object);

std::string encodeRunPage(const RunPage &page);
Result<RunPage> decodeRunPage(const StoredObject &object);

std::string encodeLease(const Lease &lease);
Result<Lease> decodeLease(const StoredObject &object);

std::string encodeGeneration(const Generation &generation);
Result<Generation> decodeGeneration(const StoredObject &object);

/// Decodes the VM list of the platform.
Result<std::vector<Vm>> decodeVmList(const std::string &json);

/// Status of one configuration object after the whole set has been validated.
struct ObjectStatus
{
    std::uint64_t observedVersion = 0;
    bool valid = false;
    std::vector<std::string> reasons; ///< validation errors of this object
    std::uint64_t generation = 0; ///< active generation when the status was written
    std::uint64_t nodesInForce = 0; ///< nodes that are not dead and use this generation or a newer one
    std::uint64_t nodesKnown = 0; ///< nodes that are not dead

    friend bool operator==(const ObjectStatus &, const ObjectStatus &) = default;
};

std::string encodeObjectStatus(const ObjectStatus &status);
Result<ObjectStatus> decodeObjectStatus(const std::string &json);

}
