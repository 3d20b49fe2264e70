#include "policy/configuration/store_reading.h"

#include "policy/configuration/reader_choice.h"
#include "policy/membership/rendezvous.h"
#include <algorithm>
#include <map>

namespace rampgap {

namespace {

    // Longest pause between two failing readings of a reader or one of the first standbys. Each call has
    // its price, but only the first one after the store's return ends the outage.
    constexpr milliseconds readerPause { 600 };
    // The same for all others: they learn of the store's return from the readers.
    constexpr milliseconds longestPause { 5'000 };

    using places = std::vector<rendezvous_place>;

    // The entry VMs of this process's zone in the order in which they become readers.
    const std::vector<std::string>& zoneOrder(const peer_table& peers)
    {
        return peers.zoneOrder(readerOrderKey);
    }

    // Position of this process in the order of its zone.
    std::size_t readingPosition(const peer_table& peers)
    {
        const auto& order = zoneOrder(peers);
        return static_cast<std::size_t>(std::find(order.begin(), order.end(), peers.self().host) - order.begin());
    }

    // How many stages of standbys begin to read before this process does.
    int stagesBefore(std::size_t position, const reading_settings& settings)
    {
        const std::size_t first = settings.readersPerZone + settings.standbysPerStage;
        if (position < first)
            return 0;
        return position < first + settings.standbysPerStage ? 1 : 2;
    }

} // namespace

std::vector<std::string> chosenReaders(const peer_table& peers, const reading_settings& settings)
{
    const rendezvous_order order(readerOrderKey);
    std::map<std::string_view, places> zones;
    const auto consider = [&](const peer_info& peer) {
        auto& chosen = zones[peer.zone];
        const rendezvous_place place = order.placeOf(peer.host);
        chosen.insert(std::upper_bound(chosen.begin(), chosen.end(), place), place);
        if (chosen.size() > settings.readersPerZone)
            chosen.pop_back();
    };
    const peer_info& self = peers.self();
    if (self.role == peer_role::entry)
        consider(self);
    peers.visitLive(peer_role::entry, consider);
    std::vector<std::string> chosen;
    for (const auto& [zone, readers] : zones) {
        const auto at = zone == self.zone ? chosen.begin() : chosen.end();
        std::vector<std::string> hosts;
        for (const auto& place : readers)
            hosts.emplace_back(place.member);
        chosen.insert(at, hosts.begin(), hosts.end());
    }
    return chosen;
}

bool isReader(const peer_table& peers, const reading_settings& settings)
{
    return peers.self().role == peer_role::entry && readingPosition(peers) < settings.readersPerZone;
}

bool shouldReadToJoin(const joining_process& process, const reading_settings& settings)
{
    const auto spread = static_cast<std::int64_t>(process.draw * static_cast<double>(settings.joinJitter.count()));
    if (process.isSeed)
        return process.peersEmpty || process.sinceStart >= settings.joinDelay;
    return process.sinceStart >= settings.joinDelay + milliseconds(spread);
}

// Load pattern: the store is slow, or turns away a third of the VMs. If all processes whose copy is
// no longer fresh read at once, a fleet of 531 entry VMs makes some hundred calls where the standbys' few
// are enough.
bool shouldRead(const peer_table& peers, std::optional<milliseconds> freshnessAge, const reading_settings& settings)
{
    if (!freshnessAge)
        return true;
    const std::size_t position = readingPosition(peers);
    if (position < settings.readersPerZone)
        return true;
    return *freshnessAge > settings.maxFreshnessAge + stagesBefore(position, settings) * settings.stage;
}

// Load pattern: the store is down for 8 s. Each process at a pause of 0.6 s would make 7,000 calls in
// a fleet of 531 entry VMs. The pause of those after the standbys grows with their number.
milliseconds longestReadingPause(const peer_table& peers, const reading_settings& settings)
{
    const std::size_t position = readingPosition(peers);
    if (stagesBefore(position, settings) < 2)
        return readerPause;
    const auto standbys = static_cast<std::int64_t>(settings.readersPerZone + 2 * settings.standbysPerStage);
    return std::clamp(readerPause * static_cast<std::int64_t>(position) / standbys, readerPause, longestPause);
}

// The first of a zone is its reader, the next ones are the relays. Without relays a reader of a zone
// with 100 entry VMs and 100 agents would answer some hundred queries a second.
std::string freshnessSource(const peer_table& peers, const reading_settings& settings)
{
    const auto& order = zoneOrder(peers);
    const std::size_t position = readingPosition(peers);
    if (order.empty() || position == 0)
        return {};
    const std::size_t relays = order.size() > settings.entriesPerRelay ? order.size() / settings.entriesPerRelay : 0;
    if (relays == 0 || position <= relays)
        return order.front();
    const auto first = order.begin() + 1;
    const std::vector<std::string> hosts(first, first + static_cast<std::ptrdiff_t>(relays));
    return std::string(rendezvousPick(peers.self().host, hosts));
}

} // namespace rampgap
