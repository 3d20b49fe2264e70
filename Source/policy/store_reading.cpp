#include "policy/store_reading.h"

#include "policy/reader_choice.h"
#include <algorithm>
#include <map>

namespace rampgap {

std::vector<std::string> chosenReaders(const peer_table& peers, const reading_settings& settings)
{
    std::map<std::string, std::vector<std::string>> zones;
    const peer_info& self = peers.self();
    if (self.role == peer_role::entry)
        zones[self.zone].push_back(self.host);
    for (const auto& peer : peers.live(peer_role::entry))
        zones[peer.zone].push_back(peer.host);
    std::vector<std::string> chosen;
    for (const auto& [zone, hosts] : zones) {
        const auto order = readerOrder(hosts);
        const auto count = static_cast<std::ptrdiff_t>(std::min(settings.readersPerZone, order.size()));
        chosen.insert(zone == self.zone ? chosen.begin() : chosen.end(), order.begin(), order.begin() + count);
    }
    return chosen;
}

bool isReader(const peer_table& peers, const reading_settings& settings)
{
    const auto chosen = chosenReaders(peers, settings);
    return std::find(chosen.begin(), chosen.end(), peers.self().host) != chosen.end();
}

bool shouldReadToJoin(const joining_process& process, const reading_settings& settings)
{
    const auto spread = static_cast<std::int64_t>(process.draw * static_cast<double>(settings.joinJitter.count()));
    if (process.isSeed)
        return process.peersEmpty || process.sinceStart >= settings.joinDelay;
    return process.sinceStart >= settings.joinDelay + milliseconds(spread);
}

bool shouldRead(const peer_table& peers, std::optional<milliseconds> freshnessAge, const reading_settings& settings)
{
    return !freshnessAge || *freshnessAge > settings.maxFreshnessAge || isReader(peers, settings);
}

} // namespace rampgap
