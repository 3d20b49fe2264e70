// The other processes of the fleet, found by gossip from a few seed addresses.
#pragma once

#include "policy/verdict.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace rampgap {

enum class peer_role { entry,
    agent };

// Peers that a process tells of itself at a time.
inline constexpr std::size_t gossipFanout = 12;

// One process. A higher incarnation is a later start at the same address.
struct peer_info {
    std::string host;
    std::string zone;
    peer_role role = peer_role::entry;
    std::uint64_t incarnation = 0;

    bool operator==(const peer_info&) const = default;
};

// Who is there, by what each was heard to say or was told about by others.
class peer_table {
public:
    // `silence`: a process not heard of for so long is taken for gone, in a fleet in which each
    // process tells all others; in a larger one news take longer.
    peer_table(peer_info self, std::vector<std::string> seedHosts, milliseconds silence);

    // Heard from the process itself. True if it was unknown or has been restarted.
    bool noteHeard(const peer_info&, instant now);
    // Another process heard from it `age` ago.
    void noteTold(const peer_info&, milliseconds age, instant now);
    void noteLeaving(const std::string& host);
    // Drops the silent ones; returns their hosts.
    std::vector<std::string> dropSilent(instant now);
    void setSeeds(std::vector<std::string> seedHosts);

    const peer_info& self() const { return m_self; }
    // Live peers of a role, in a fixed order, without this process.
    std::vector<peer_info> live(peer_role) const;
    std::size_t count(peer_role) const;
    // Most entry VMs that were live together, this one included.
    std::size_t mostEntries() const { return m_mostEntries; }
    // All seeds but this process.
    std::vector<std::string> otherSeeds() const;
    // Seeds that are not among the live peers: to be asked until one answers.
    std::vector<std::string> seedsToAsk() const;
    // Host of the entry VM that is picked for `key`, this one included; all live ones agree on it, but
    // for news under way.
    std::string pickedEntry(std::string_view key) const;
    bool isPickedEntry(std::string_view key) const { return pickedEntry(key) == m_self.host; }
    // How long ago a peer was heard of.
    milliseconds age(const std::string& host, instant now) const;
    // Up to `count` random live peers.
    std::vector<peer_info> sample(peer_role, std::size_t count, std::mt19937_64&) const;
    // The same, seven of ten from the own zone where there are so many: bytes between zones
    // are dear, and what matters most is who else is in the own zone.
    std::vector<peer_info> sampleNear(peer_role, std::size_t count, std::mt19937_64&) const;
    // One random live peer of each zone.
    std::vector<peer_info> onePerZone(peer_role, std::mt19937_64&) const;

private:
    struct entry {
        peer_info info;
        instant heardAt;
    };

    void countEntries();
    milliseconds silenceNow() const;

    peer_info m_self;
    std::vector<std::string> m_seeds;
    milliseconds m_silence;
    std::map<std::string, entry> m_peers;
    std::size_t m_mostEntries = 1;
};

} // namespace rampgap
