#include "policy/peer_table.h"

#include "policy/rendezvous.h"
#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    constexpr std::size_t ownZoneTenths = 7;

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

milliseconds peer_table::age(const std::string& host, instant now) const
{
    const auto known = m_peers.find(host);
    return known == m_peers.end() ? m_silence : std::chrono::duration_cast<milliseconds>(now - known->second.heardAt);
}

// Shuffles pointers: at 2,000 processes, copying all of them for each round of gossip took longer than sending it.
peer_table::peer_list peer_table::shuffled(peer_role role, std::mt19937_64& random) const
{
    peer_list all;
    all.reserve(m_peers.size());
    visitLive(role, [&all](const peer_info& peer) { all.push_back(&peer); });
    std::shuffle(all.begin(), all.end(), random);
    return all;
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
    peer_list all = shuffled(role, random);
    if (all.size() > count)
        all.resize(count);
    return copyOf(all);
}

std::vector<peer_info> peer_table::samplePreferringOwnZone(peer_role role, std::size_t count, std::mt19937_64& random) const
{
    peer_list all = shuffled(role, random);
    const auto near = std::stable_partition(all.begin(), all.end(), [this](const peer_info* peer) { return peer->zone == m_self.zone; });
    const std::size_t farWanted = std::min(count - count * ownZoneTenths / 10, static_cast<std::size_t>(all.end() - near));
    const std::size_t nearWanted = std::min(count - farWanted, static_cast<std::size_t>(near - all.begin()));
    peer_list chosen(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(nearWanted));
    const std::size_t rest = std::min(count - nearWanted, static_cast<std::size_t>(all.end() - near));
    chosen.insert(chosen.end(), near, near + static_cast<std::ptrdiff_t>(rest));
    return copyOf(chosen);
}

std::vector<peer_info> peer_table::onePerZone(peer_role role, std::mt19937_64& random) const
{
    peer_list chosen;
    for (const auto* peer : shuffled(role, random)) {
        const bool zoneKnown = std::any_of(chosen.begin(), chosen.end(), [peer](const peer_info* other) { return other->zone == peer->zone; });
        if (!zoneKnown)
            chosen.push_back(peer);
    }
    return copyOf(chosen);
}

} // namespace rampgap
