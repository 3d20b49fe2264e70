// Membership by gossip, and the choice of the processes that read the store.
#include "policy/configuration/store_reading.h"
#include "policy/membership/peer_table.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace rampgap;

namespace {

const instant zero {};
constexpr milliseconds silence { 5'000 };

peer_info entry(const std::string& host, const std::string& zone, std::uint64_t incarnation = 1)
{
    return { host, zone, peer_role::entry, incarnation };
}

} // namespace

TEST_CASE("a silent process is dropped, one that others report is kept")
{
    peer_table table(entry("10.0.0.1", "a"), { "10.0.0.2" }, silence);
    CHECK(table.seedsToContact() == std::vector<std::string> { "10.0.0.2" });
    table.recordContact(entry("10.0.0.2", "a"), zero);
    table.recordContact(entry("10.0.0.3", "b"), zero);
    CHECK(table.seedsToContact().empty());
    table.mergeReport(entry("10.0.0.3", "b"), milliseconds(100), zero + milliseconds(4'000));
    const auto dropped = table.dropSilent(zero + silence);
    CHECK(dropped == std::vector<std::string> { "10.0.0.2" });
    CHECK(table.count(peer_role::entry) == 1);
    CHECK(table.maxLiveEntries() == 3);
}

TEST_CASE("messages of an earlier incarnation of a process change nothing")
{
    peer_table table(entry("10.0.0.1", "a"), {}, silence);
    CHECK(table.recordContact(entry("10.0.0.2", "a", 7), zero));
    CHECK_FALSE(table.recordContact(entry("10.0.0.2", "a", 6), zero + milliseconds(10)));
    CHECK(table.recordContact(entry("10.0.0.2", "a", 8), zero + milliseconds(20)));
    table.mergeReport(entry("10.0.0.1", "a", 99), milliseconds(0), zero);
    CHECK(table.count(peer_role::entry) == 1);
}

TEST_CASE("all processes of a zone agree on its reader, and one without a fresh copy reads too")
{
    const std::vector<peer_info> all { entry("10.0.0.1", "a"), entry("10.0.0.2", "a"), entry("10.0.0.3", "a"), entry("10.0.1.1", "b") };
    int readers = 0;
    for (const auto& self : all) {
        peer_table table(self, {}, silence);
        for (const auto& other : all)
            table.recordContact(other, zero);
        const bool reads = shouldRead(table, milliseconds(100), {});
        readers += reads && self.zone == "a" ? 1 : 0;
        CHECK(chosenReaders(table, {}).size() == 2);
        CHECK(shouldRead(table, std::nullopt, {}));
        CHECK(shouldRead(table, reading_settings {}.maxFreshnessAge + milliseconds(1), {}));
    }
    CHECK(readers == 1);
}

TEST_CASE("when 149 entry VMs start at one moment their seeds read the store, and others only where all seeds are gone")
{
    const reading_settings settings;
    const auto readersAt = [&](milliseconds sinceStart) {
        int readers = 0;
        for (int vm = 0; vm < 149; ++vm)
            readers += shouldReadToJoin({ vm < 3, sinceStart, vm / 149.0, true }, settings) ? 1 : 0;
        return readers;
    };
    CHECK(readersAt(milliseconds(0)) == 3);
    CHECK(readersAt(settings.joinDelay - milliseconds(1)) == 3);
    // From here on the first readers serve the others.
    CHECK(readersAt(settings.joinDelay + milliseconds(30)) < 10);
    CHECK(readersAt(settings.joinDelay + settings.joinJitter) == 149);
}

TEST_CASE("a seed whose peers hold something asks them first, since a restored store may have lost it")
{
    const reading_settings settings;
    const bool peersEmpty = false;
    CHECK_FALSE(shouldReadToJoin({ true, milliseconds(0), 0.0, peersEmpty }, settings));
    CHECK_FALSE(shouldReadToJoin({ true, settings.joinDelay - milliseconds(1), 0.0, peersEmpty }, settings));
    CHECK(shouldReadToJoin({ true, settings.joinDelay, 0.0, peersEmpty }, settings));
}

namespace {

// Processes wrongly dropped while all of a fleet are alive and gossip: every 250 ms each sends its state to 12 others,
// every second also when it last heard from a part of the fleet.
int wronglyDropped(int size, int rounds)
{
    std::mt19937_64 random(4);
    std::vector<peer_table> fleet;
    for (int i = 0; i < size; ++i)
        fleet.emplace_back(entry("10.0.0." + std::to_string(i), std::string(1, static_cast<char>('a' + i % 5))), std::vector<std::string>(), milliseconds(3'000));
    for (auto& table : fleet) {
        for (const auto& other : fleet)
            table.recordContact(other.self(), zero);
    }
    std::map<std::string, std::size_t> indexOf;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        indexOf[fleet[i].self().host] = i;
    int lost = 0;
    for (int round = 1; round <= rounds; ++round) {
        const instant now = zero + round * milliseconds(250);
        for (auto& table : fleet) {
            lost += static_cast<int>(table.dropSilent(now).size());
            const auto known = round % 4 == 0 ? table.sampleHeartbeats(now, random) : std::vector<heartbeat>();
            for (const auto& target : table.samplePreferringOwnZone(peer_role::entry, gossipFanout, random)) {
                auto& receiver = fleet[indexOf[target.host]];
                receiver.recordContact(table.self(), now);
                for (const auto& other : known)
                    receiver.mergeHeartbeat(other.host, other.age, now);
            }
        }
    }
    return lost;
}

} // namespace

TEST_CASE("fleets of 149 and 531 processes that gossip with 12 at a time wrongly drop none")
{
    CHECK(wronglyDropped(149, 240) == 0);
    CHECK(wronglyDropped(531, 80) == 0);
}

TEST_CASE("gossip prefers the own zone if that has enough processes")
{
    std::mt19937_64 random(4);
    peer_table table(entry("10.0.0.1", "a"), {}, silence);
    for (int i = 2; i < 60; ++i)
        table.recordContact(entry("10.0.0." + std::to_string(i), i % 2 == 0 ? "a" : "b"), zero);
    const auto far = [](const std::vector<peer_info>& peers) {
        return std::count_if(peers.begin(), peers.end(), [](const peer_info& peer) { return peer.zone != "a"; });
    };
    const auto chosen = table.samplePreferringOwnZone(peer_role::entry, 12, random);
    CHECK(chosen.size() == 12);
    // The larger the zone, the fewer messages each of its processes sends to others.
    CHECK(far(chosen) == 1);
    peer_table small(entry("10.0.0.1", "a"), {}, silence);
    for (int i = 2; i < 24; ++i)
        small.recordContact(entry("10.0.0." + std::to_string(i), i % 2 == 0 ? "a" : "b"), zero);
    CHECK(far(small.samplePreferringOwnZone(peer_role::entry, 12, random)) == 4);
    CHECK(far(table.ownZoneAndSome(peer_role::entry, 2, random)) == 2);
    CHECK(table.ownZoneAndSome(peer_role::entry, 2, random).size() == 31);
    CHECK(table.samplePreferringOwnZone(peer_role::entry, 100, random).size() == 58);
    CHECK(table.onePerZone(peer_role::entry, random).size() == 2);
}
