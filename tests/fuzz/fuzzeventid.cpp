#include "protocol/callerjson.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace Apricot;

/// Decodes Last-Event-ID headers, and counts and hashes the tokens of prompts. Offsets and token counts must not be negative.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const std::optional<std::int64_t> offset = decodeEventId(text);
    if ((offset && *offset < 0) || countTokens(text) < 0) {
        std::abort();
    }
    prefixHashOf(text, 3);
    return 0;
}
