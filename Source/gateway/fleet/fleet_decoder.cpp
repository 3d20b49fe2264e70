#include "gateway/fleet/fleet_decoder.h"

namespace rampgap {

std::optional<item_rank> fleet_decoder::rank(const published_item& item) const
{
    if (isConfiguration(item.key)) {
        const auto decoded = configuration(item.value);
        return decoded ? std::optional(item_rank { decoded.value()->version(), item_stage::current }) : std::nullopt;
    }
    if (isEvacuation(item.key))
        return item_rank {};
    if (!isBackend(item.key))
        return std::nullopt;
    const auto decoded = backend(item);
    if (!decoded)
        return std::nullopt;
    return item_rank { decoded.value().incarnation, decoded.value().draining ? item_stage::leaving : item_stage::current };
}

// A configuration is kept when its item is missing, since without one no request is served, and an
// evacuation since its operators believe the zone to be empty. A server is not: without an item it is
// gone, or soon writes its item again.
bool fleet_decoder::staysInForceUnlisted(const published_item& item) const
{
    return isConfiguration(item.key) || isEvacuation(item.key);
}

bool fleet_decoder::endsByRemoval(const published_item& item) const
{
    return !isConfiguration(item.key);
}

} // namespace rampgap
