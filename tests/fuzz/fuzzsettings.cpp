#include "protocol/settingsjson.h"

#include <cstddef>
#include <cstdint>

using namespace Apricot;

/// Decodes settings files, and overrides of settings from the command line.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    toVariant<NodeSettings>([&] { return decodeSettings(text, {}); });
    toVariant<NodeSettings>([&] { return decodeSettings("{}", {{"silenceMs", text}, {"peerKeys", text}, {text, text}}); });
    return 0;
}
