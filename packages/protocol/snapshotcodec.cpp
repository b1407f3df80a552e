#include "protocol/snapshotcodec.h"

#include "protocol/jsonreader.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace Apricot {

std::string encodeSnapshot(std::vector<StoredObject> objects)
{
    std::sort(objects.begin(), objects.end(),
              [](const StoredObject &a, const StoredObject &b) { return std::tie(a.kind, a.name) < std::tie(b.kind, b.name); });
    Json list = Json::array();
    for (const StoredObject &object : objects) {
        Json spec = parseJson(object.spec);
        list.push_back(
            Json{{"kind", object.kind}, {"name", object.name}, {"spec", spec.is_discarded() ? Json::object() : std::move(spec)}});
    }
    return jsonDump(Json{{"objects", std::move(list)}});
}

Result<std::vector<RawObject>> decodeSnapshot(const std::string &snapshot)
{
    BOOST_LEAF_AUTO(list, decodeObjectList(snapshot));
    std::vector<RawObject> objects;
    for (const StoredObject &stored : list.objects) {
        BOOST_LEAF_AUTO(object, rawObjectOf(stored));
        objects.push_back(std::move(object));
    }
    return objects;
}

std::string snapshotHash(const std::string &snapshot)
{
    const XXH128_hash_t hash = XXH3_128bits(snapshot.data(), snapshot.size());
    return absl::StrFormat("%016x%016x", hash.high64, hash.low64);
}

std::vector<std::string> splitSnapshot(const std::string &snapshot)
{
    std::vector<std::string> chunks;
    for (std::size_t i = 0; i < snapshot.size(); i += maxChunkBytes) {
        chunks.push_back(snapshot.substr(i, maxChunkBytes));
    }
    return chunks;
}

std::string encodeChunk(const std::string &chunk)
{
    return jsonDump(Json{{"data", chunk}});
}

Result<std::string> decodeChunk(const StoredObject &object)
{
    BOOST_LEAF_AUTO(spec, parseJsonObject(object.spec, "Snapshot/" + object.name));
    return jsonText(spec, "data");
}

std::string chunkName(const std::string &hash, std::uint64_t index)
{
    return absl::StrCat(hash, "-", index);
}

}
