// The other processes of the fleet, found by gossip from a few seed addresses.
#pragma once

#include "policy/common/verdict.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace rampgap {

enum class peer_role { entry,
    agent };

// Number of peers to which a process sends its own state in one round of gossip.
inline constexpr std::size_t gossipFanout = 12;

// One process. A higher incarnation is a later start at the same address.
struct peer_info {
    std::string host;
    std::string zone;
    peer_role role = peer_role::entry;
    std::uint64_t incarnation = 0;

    bool operator==(const peer_info&) const = default;
};

// When any process last received a message of an entry VM.
struct heartbeat {
    std::string host;
    milliseconds age { 0 };

    bool operator==(const heartbeat&) const = default;
};

// The live processes, by their own messages and by what others report about them.
class peer_table {
public:
    // `silence`: time without a message or report after which a process counts as gone, in a fleet so small that
    // each process sends to all others. In a larger one gossip takes longer, so the time grows.
    peer_table(peer_info self, std::vector<std::string> seedHosts, milliseconds silence);

    // The process itself sent a message. True if it was unknown or has been restarted.
    bool recordContact(const peer_info&, instant now);
    // Another process reports that it heard from this one `age` ago.
    void mergeReport(const peer_info&, milliseconds age, instant now);
    // The same for a process that is known by its host only; ignored if it is not known here.
    void mergeHeartbeat(const std::string& host, milliseconds age, instant now);
    void recordLeaving(const std::string& host);
    // Drops the processes that were silent for too long; returns their hosts.
    std::vector<std::string> dropSilent(instant now);
    void setSeeds(std::vector<std::string> seedHosts);

    const peer_info& self() const { return m_self; }
    // Live peers of a role, in a fixed order, without this process. Copies them all: for rare use only.
    std::vector<peer_info> live(peer_role) const;
    std::size_t count(peer_role role) const { return role == peer_role::entry ? m_entryCount : m_peers.size() - m_entryCount; }
    // Calls `visit` with each live peer of a role, in the order of their hosts.
    void visitLive(peer_role, const std::function<void(const peer_info&)>& visit) const;
    // Highest number of entry VMs that were live at the same time, this one included.
    std::size_t maxLiveEntries() const { return m_maxLiveEntries; }
    // All seeds except this process.
    std::vector<std::string> otherSeeds() const;
    // Seeds that are not among the live peers: they are contacted until they answer.
    std::vector<std::string> seedsToContact() const;
    // Host of the entry VM that is responsible for `key`, possibly this one. All live entry VMs agree
    // on it once they have received the same gossip.
    std::string responsibleEntry(std::string_view key) const;
    bool isResponsibleEntry(std::string_view key) const { return responsibleEntry(key) == m_self.host; }
    // Hosts of the entry VMs of the own zone, this one included, in rendezvous order for `key`. Computed anew
    // only if the members have changed.
    const std::vector<std::string>& zoneOrder(std::string_view key) const;
    // Time since the last message of a peer or report about it.
    milliseconds age(const std::string& host, instant now) const;
    // Random live entry VMs, and when each was last heard from. Their number grows with the fleet.
    std::vector<heartbeat> sampleHeartbeats(instant now, std::mt19937_64&) const;
    // Up to `count` random live peers.
    std::vector<peer_info> sample(peer_role, std::size_t count, std::mt19937_64&) const;
    // The same, most of them from the own zone if it has that many: traffic between zones is
    // expensive, and the processes of the own zone matter most.
    std::vector<peer_info> samplePreferringOwnZone(peer_role, std::size_t count, std::mt19937_64&) const;
    // One random live peer of each zone.
    std::vector<peer_info> onePerZone(peer_role, std::mt19937_64&) const;
    // All live peers of the own zone and up to `perOtherZone` random ones of each other zone.
    std::vector<peer_info> ownZoneAndSome(peer_role, std::size_t perOtherZone, std::mt19937_64&) const;

private:
    struct entry {
        peer_info info;
        instant heardAt;
    };

    using peer_list = std::vector<const peer_info*>;

    // An order for one key, and the revision of the members that it is for.
    struct kept_order {
        std::uint64_t revision = 0;
        std::vector<std::string> hosts;
    };

    // Adds or replaces a peer.
    void store(const peer_info&, instant heardAt);
    void erase(const std::string& host);
    milliseconds silenceLimit() const;
    peer_list all(peer_role) const;
    static std::vector<peer_info> copyOf(const peer_list&);

    peer_info m_self;
    std::vector<std::string> m_seeds;
    milliseconds m_silence;
    std::map<std::string, entry> m_peers;
    std::size_t m_entryCount = 0;
    // Increases when a peer is added, replaced or dropped.
    std::uint64_t m_revision = 1;
    mutable std::map<std::string, kept_order, std::less<>> m_zoneOrders;
    std::size_t m_maxLiveEntries = 1;
};

} // namespace rampgap
