#pragma once

#include "protocol/objectjson.h"
#include "state/error.h"
#include "state/rawobject.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Apricot {

/// Maximum size of a snapshot chunk in the store, in bytes. The store accepts values of up to one megabyte.
inline constexpr std::size_t maxChunkBytes = 700 * 1024;

/// Encodes a set of objects as one text, which does not depend on the order of \a objects.
std::string encodeSnapshot(std::vector<StoredObject> objects);

/// Decodes the objects of a snapshot.
Result<std::vector<RawObject>> decodeSnapshot(const std::string &snapshot);

/// Returns the content hash of a snapshot as 32 hex digits.
std::string snapshotHash(const std::string &snapshot);

/// Splits a snapshot into chunks. encodeChunk() and decodeChunk() convert one chunk to and from the JSON spec that stores it.
std::vector<std::string> splitSnapshot(const std::string &snapshot);
std::string encodeChunk(const std::string &chunk);
Result<std::string> decodeChunk(const StoredObject &object);

/// Returns the name of the object for chunk \a index of the snapshot with content hash \a hash.
std::string chunkName(const std::string &hash, std::uint64_t index);

}
