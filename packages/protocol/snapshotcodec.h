#pragma once

#include "protocol/objectjson.h"
#include "state/error.h"
#include "state/rawobject.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Apricot {

/// Largest chunk of a snapshot in the store, bytes; the store holds values up to a megabyte.
inline constexpr std::size_t mostChunkBytes = 700 * 1024;

/// Writes a set of objects as one text. The same set gives the same text whatever the order of \a objects.
std::string encodeSnapshot(std::vector<StoredObject> objects);

/// Reads the objects of a snapshot.
Result<std::vector<RawObject>> decodeSnapshot(const std::string &snapshot);

/// Content hash of a snapshot, 32 hex digits.
std::string snapshotHash(const std::string &snapshot);

/// Cuts a snapshot into chunks, and the JSON text that holds one chunk.
std::vector<std::string> cutSnapshot(const std::string &snapshot);
std::string encodeChunk(const std::string &chunk);
Result<std::string> decodeChunk(const StoredObject &object);

/// Name of chunk object number \a index of the snapshot with content \a hash.
std::string chunkName(const std::string &hash, std::uint64_t index);

}
