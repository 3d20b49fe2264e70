#include "policy/membership/peer_table.h"

#include "policy/membership/rendezvous.h"
#include <algorithm>
#include <cmath>
#include <set>

namespace rampgap {

namespace {

    // Load pattern: 531 processes in five zones. With a third of each round's messages for other zones, their gossip is
    // most of the traffic between zones. So the processes of a zone send about this many in one round together, but
    // each of them one at the least and `maxFarPeers` at most.
    constexpr std::size_t farMessagesPerZone = 48;
    constexpr std::size_t maxFarPeers = 4;
    // Load pattern: each of 531 processes sends what it knows of 24 others with a quarter of its messages. News of a process then
    // takes 17 s to reach all, longer than the silence after which it counts as gone. So the number grows with the fleet; 224
    // heartbeats fill a packet.
    constexpr std::size_t heartbeatFraction = 5;
    constexpr std::size_t minHeartbeats = 24;
    constexpr std::size_t maxHeartbeats = 200;

    // Moves `count` random elements to the front; returns the end of these.
    template <typename Iterator>
    Iterator drawFirst(Iterator begin, Iterator end, std::size_t count, std::mt19937_64& random)
    {
        auto drawn = begin;
        for (; count > 0 && drawn != end; ++drawn, --count)
            std::iter_swap(drawn, drawn + std::uniform_int_distribution<std::ptrdiff_t>(0, end - drawn - 1)(random));
        return drawn;
    }

} // namespace

peer_table::peer_table(peer_info self, std::vector<std::string> seedHosts, milliseconds silence)
    : m_self(std::move(self))
    , m_seeds(std::move(seedHosts))
    , m_silence(silence)
{
}

void peer_table::store(const peer_info& peer, instant heardAt)
{
    erase(peer.host);
    ++m_revision;
    m_peers.emplace(peer.host, entry { peer, heardAt });
    m_entryCount += peer.role == peer_role::entry ? 1 : 0;
    const std::size_t own = m_self.role == peer_role::entry ? 1 : 0;
    m_maxLiveEntries = std::max(m_maxLiveEntries, m_entryCount + own);
}

void peer_table::erase(const std::string& host)
{
    const auto known = m_peers.find(host);
    if (known == m_peers.end())
        return;
    ++m_revision;
    m_entryCount -= known->second.info.role == peer_role::entry ? 1 : 0;
    m_peers.erase(known);
}

bool peer_table::recordContact(const peer_info& peer, instant now)
{
    if (peer.host == m_self.host)
        return false;
    const auto known = m_peers.find(peer.host);
    const bool isNew = known == m_peers.end() || known->second.info.incarnation < peer.incarnation;
    if (!isNew && known->second.info.incarnation > peer.incarnation)
        return false;
    if (!isNew && known->second.info == peer)
        known->second.heardAt = now;
    else
        store(peer, now);
    return isNew;
}

void peer_table::mergeReport(const peer_info& peer, milliseconds age, instant now)
{
    if (peer.host == m_self.host || age >= silenceLimit())
        return;
    const auto known = m_peers.find(peer.host);
    const instant heardAt = now - age;
    if (known == m_peers.end())
        store(peer, heardAt);
    else if (known->second.info == peer)
        known->second.heardAt = std::max(known->second.heardAt, heardAt);
    else if (known->second.info.incarnation <= peer.incarnation)
        store(peer, std::max(known->second.heardAt, heardAt));
}

void peer_table::mergeHeartbeat(const std::string& host, milliseconds age, instant now)
{
    const auto known = m_peers.find(host);
    if (known != m_peers.end())
        known->second.heardAt = std::max(known->second.heardAt, now - age);
}

void peer_table::recordLeaving(const std::string& host)
{
    erase(host);
}

// The rounds in which gossip reaches all processes grow in number with the logarithm of the fleet's
// size. With a fixed 3 s, each of 149 processes would wrongly drop two others per second even where
// nothing fails, 10,500 in 30 s.
milliseconds peer_table::silenceLimit() const
{
    const double spread = static_cast<double>(count(peer_role::entry) + 1) / static_cast<double>(gossipFanout);
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(m_silence.count()) * (1 + std::log(std::max(1.0, spread)))));
}

std::vector<std::string> peer_table::dropSilent(instant now)
{
    const milliseconds silence = silenceLimit();
    std::vector<std::string> dropped;
    for (const auto& [host, known] : m_peers) {
        if (now - known.heardAt >= silence)
            dropped.push_back(host);
    }
    for (const auto& host : dropped)
        erase(host);
    return dropped;
}

void peer_table::setSeeds(std::vector<std::string> seedHosts)
{
    m_seeds = std::move(seedHosts);
}

void peer_table::visitLive(peer_role role, const std::function<void(const peer_info&)>& visit) const
{
    for (const auto& [host, known] : m_peers) {
        if (known.info.role == role)
            visit(known.info);
    }
}

std::vector<peer_info> peer_table::live(peer_role role) const
{
    std::vector<peer_info> found;
    visitLive(role, [&found](const peer_info& peer) { found.push_back(peer); });
    return found;
}

std::vector<std::string> peer_table::otherSeeds() const
{
    std::vector<std::string> others = m_seeds;
    std::erase(others, m_self.host);
    return others;
}

std::vector<std::string> peer_table::seedsToContact() const
{
    std::vector<std::string> missing = otherSeeds();
    std::erase_if(missing, [this](const std::string& host) { return m_peers.contains(host); });
    return missing;
}

std::string peer_table::responsibleEntry(std::string_view key) const
{
    const rendezvous_order order(key);
    rendezvous_place first = order.placeOf(m_self.host);
    visitLive(peer_role::entry, [&](const peer_info& peer) { first = std::min(first, order.placeOf(peer.host)); });
    return std::string(first.member);
}

// A process asks for the order 20 times a second.
const std::vector<std::string>& peer_table::zoneOrder(std::string_view key) const
{
    auto kept = m_zoneOrders.find(key);
    if (kept == m_zoneOrders.end())
        kept = m_zoneOrders.emplace(key, kept_order {}).first;
    auto& [revision, hosts] = kept->second;
    if (revision == m_revision)
        return hosts;
    std::vector<std::string> members;
    if (m_self.role == peer_role::entry)
        members.push_back(m_self.host);
    visitLive(peer_role::entry, [&](const peer_info& peer) {
        if (peer.zone == m_self.zone)
            members.push_back(peer.host);
    });
    hosts = rendezvousRank(key, members, members.size());
    revision = m_revision;
    return hosts;
}

milliseconds peer_table::age(const std::string& host, instant now) const
{
    const auto known = m_peers.find(host);
    return known == m_peers.end() ? m_silence : std::chrono::duration_cast<milliseconds>(now - known->second.heardAt);
}

// Lists of pointers: at 2,000 processes, copying all of them for each round of gossip takes longer than sending it.
peer_table::peer_list peer_table::all(peer_role role) const
{
    peer_list found;
    found.reserve(m_peers.size());
    visitLive(role, [&found](const peer_info& peer) { found.push_back(&peer); });
    return found;
}

std::vector<peer_info> peer_table::copyOf(const peer_list& peers)
{
    std::vector<peer_info> copies;
    copies.reserve(peers.size());
    for (const auto* peer : peers)
        copies.push_back(*peer);
    return copies;
}

std::vector<peer_info> peer_table::sample(peer_role role, std::size_t count, std::mt19937_64& random) const
{
    peer_list peers = all(role);
    const auto drawn = drawFirst(peers.begin(), peers.end(), count, random);
    return copyOf({ peers.begin(), drawn });
}

std::vector<heartbeat> peer_table::sampleHeartbeats(instant now, std::mt19937_64& random) const
{
    const std::size_t count = std::clamp(m_entryCount / heartbeatFraction, minHeartbeats, maxHeartbeats);
    std::vector<heartbeat> heartbeats;
    for (const auto& peer : sample(peer_role::entry, count, random))
        heartbeats.push_back({ peer.host, age(peer.host, now) });
    return heartbeats;
}

std::vector<peer_info> peer_table::samplePreferringOwnZone(peer_role role, std::size_t count, std::mt19937_64& random) const
{
    peer_list peers = all(role);
    const auto far = std::partition(peers.begin(), peers.end(), [this](const peer_info* peer) { return peer->zone == m_self.zone; });
    const auto nearCount = static_cast<std::size_t>(far - peers.begin());
    const auto farCount = static_cast<std::size_t>(peers.end() - far);
    const std::size_t farShare = std::min(count, std::clamp<std::size_t>(farMessagesPerZone / (nearCount + 1), 1, maxFarPeers));
    const std::size_t nearWanted = std::min(count - std::min(farShare, farCount), nearCount);
    const auto nearEnd = drawFirst(peers.begin(), far, nearWanted, random);
    const auto farEnd = drawFirst(far, peers.end(), count - nearWanted, random);
    peer_list chosen(peers.begin(), nearEnd);
    chosen.insert(chosen.end(), far, farEnd);
    return copyOf(chosen);
}

std::vector<peer_info> peer_table::ownZoneAndSome(peer_role role, std::size_t perOtherZone, std::mt19937_64& random) const
{
    peer_list peers = all(role);
    std::shuffle(peers.begin(), peers.end(), random);
    std::map<std::string_view, std::size_t> perZone;
    std::erase_if(peers, [&](const peer_info* peer) { return peer->zone != m_self.zone && perZone[peer->zone]++ >= perOtherZone; });
    return copyOf(peers);
}

std::vector<peer_info> peer_table::onePerZone(peer_role role, std::mt19937_64& random) const
{
    peer_list peers = all(role);
    std::shuffle(peers.begin(), peers.end(), random);
    std::set<std::string_view> zones;
    std::erase_if(peers, [&zones](const peer_info* peer) { return !zones.insert(peer->zone).second; });
    return copyOf(peers);
}

} // namespace rampgap
