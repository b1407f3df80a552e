#include "protocol/callerjson.h"

#include <cstddef>
#include <cstdint>

using namespace Apricot;

/// Decodes callers' request bodies and headers, with a configuration that has one rank, one model service and one plain service.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const ConfigSet config = [] {
        ConfigSetFields set;
        set.ranks = {{RankName("r"), Rank::Builder().set(&RankFields::name, RankName("r")).build()}};
        const Service model = Service::Builder().set(&ServiceFields::name, ServiceName("m")).build();
        const Service plain = model.with(&ServiceFields::name, ServiceName("p"))
                                  .with(&ServiceFields::type, ServiceType::Plain)
                                  .with(&ServiceFields::operations, {"o"});
        set.services = {{ServiceName("m"), model}, {ServiceName("p"), plain}};
        return ConfigSet(set);
    }();
    const std::string text(reinterpret_cast<const char *>(data), size);
    toVariant<CompletionRequest>([&] { return decodeCompletion(text, {}, config, "id"); });
    toVariant<PlainCall>([&] { return decodePlainCall("p", text, CallerHeaders{text, text, text, text}, config, "id"); });
    return 0;
}
