#include "policy/store_reading.h"

#include "policy/reader_choice.h"
#include <algorithm>

namespace rampgap {

bool shouldRead(const peer_table& peers, std::optional<milliseconds> proofAge, const reading_settings& settings)
{
    if (!proofAge || *proofAge > settings.oldestProof)
        return true;
    std::vector<std::string> zone { peers.self().host };
    for (const auto& peer : peers.live(peer_role::entry)) {
        if (peer.zone == peers.self().zone)
            zone.push_back(peer.host);
    }
    const auto order = readerOrder(zone);
    const auto last = order.begin() + static_cast<std::ptrdiff_t>(std::min(settings.readersPerZone, order.size()));
    return std::find(order.begin(), last, peers.self().host) != last;
}

} // namespace rampgap
