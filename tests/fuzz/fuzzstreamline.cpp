#include "protocol/enginejson.h"
#include "protocol/timelinejson.h"

#include <cstddef>
#include <cstdint>

using namespace Apricot;

/// Decodes HTTP responses of engines and other nodes.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    toVariant<StreamLine>([&] { return decodeStreamLine(text); });
    toVariant<PrefillResult>([&] { return decodePrefillResult(text); });
    toVariant<EngineReported>([&] { return decodeEngineReport(text, EngineId("e")); });
    toVariant<std::vector<TimelineEvent>>([&] { return decodeTimeline(text); });
    toVariant<NodeStatus>([&] { return decodeNodeStatus(text); });
    return 0;
}
