#include "gateway/fleet_decoder.h"

namespace rampgap {

std::optional<item_rank> fleet_decoder::rank(const published_item& item) const
{
    if (isConfiguration(item.key)) {
        const auto decoded = configuration(item.value);
        return decoded ? std::optional(item_rank { decoded.value()->version(), item_stage::current }) : std::nullopt;
    }
    if (!isBackend(item.key))
        return std::nullopt;
    const auto decoded = backend(item);
    if (!decoded)
        return std::nullopt;
    return item_rank { decoded.value().incarnation, decoded.value().draining ? item_stage::leaving : item_stage::current };
}

// Without a configuration nobody is served; a server without an entry is gone, or says soon
// that it is not.
bool fleet_decoder::staysInForceUnlisted(const published_item& item) const
{
    return isConfiguration(item.key);
}

} // namespace rampgap
