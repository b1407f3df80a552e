#include "coordination/configvalidator.h"
#include "protocol/snapshotcodec.h"

#include <cstddef>
#include <cstdint>

using namespace Apricot;

/// Decodes everything that a node reads from the platform: stored objects, object lists, the VM list, snapshots and object status.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto decoded = toVariant<StoredObject>([&] { return decodeStoredObject(text); });
    if (const auto *object = std::get_if<StoredObject>(&decoded)) {
        toVariant<RunPage>([&] { return decodeRunPage(*object); });
        toVariant<Lease>([&] { return decodeLease(*object); });
        toVariant<Generation>([&] { return decodeGeneration(*object); });
        toVariant<std::string>([&] { return decodeChunk(*object); });
        const auto raw = toVariant<RawObject>([&] { return rawObjectOf(*object); });
        if (const auto *it = std::get_if<RawObject>(&raw)) {
            validateConfig({*it, *it});
        }
    }
    toVariant<ObjectList>([&] { return decodeObjectList(text); });
    toVariant<std::vector<Vm>>([&] { return decodeVmList(text); });
    toVariant<std::vector<RawObject>>([&] { return decodeSnapshot(text); });
    toVariant<ObjectStatus>([&] { return decodeObjectStatus(text); });
    return 0;
}
