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

bool peer_table::recordContact(const peer_info& peer, instant now)
{
    if (peer.host == m_self.host)
        return false;
    const auto known = m_peers.find(peer.host);
    const bool isNew = known == m_peers.end() || known->second.info.incarnation < peer.incarnation;
    if (!isNew && known->second.info.incarnation > peer.incarnation)
        return false;
    m_peers[peer.host] = { peer, now };
    updateMaxLiveEntries();
    return isNew;
}

void peer_table::mergeReport(const peer_info& peer, milliseconds age, instant now)
{
    if (peer.host == m_self.host || age >= silenceLimit())
        return;
    const auto known = m_peers.find(peer.host);
    const instant heardAt = now - age;
    if (known == m_peers.end()) {
        m_peers[peer.host] = { peer, heardAt };
    } else if (known->second.info.incarnation <= peer.incarnation) {
        known->second.info = peer;
        known->second.heardAt = std::max(known->second.heardAt, heardAt);
    }
    updateMaxLiveEntries();
}

void peer_table::recordLeaving(const std::string& host)
{
    m_peers.erase(host);
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
        m_peers.erase(host);
    return dropped;
}

void peer_table::setSeeds(std::vector<std::string> seedHosts)
{
    m_seeds = std::move(seedHosts);
}

std::vector<peer_info> peer_table::live(peer_role role) const
{
    std::vector<peer_info> found;
    for (const auto& [host, known] : m_peers) {
        if (known.info.role == role)
            found.push_back(known.info);
    }
    return found;
}

std::size_t peer_table::count(peer_role role) const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [role](const auto& known) { return known.second.info.role == role; }));
}

void peer_table::updateMaxLiveEntries()
{
    const std::size_t own = m_self.role == peer_role::entry ? 1 : 0;
    m_maxLiveEntries = std::max(m_maxLiveEntries, count(peer_role::entry) + own);
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
    std::vector<std::string> hosts { m_self.host };
    for (const auto& peer : live(peer_role::entry))
        hosts.push_back(peer.host);
    return std::string(rendezvousPick(key, hosts));
}

milliseconds peer_table::age(const std::string& host, instant now) const
{
    const auto known = m_peers.find(host);
    return known == m_peers.end() ? m_silence : std::chrono::duration_cast<milliseconds>(now - known->second.heardAt);
}

std::vector<peer_info> peer_table::sample(peer_role role, std::size_t count, std::mt19937_64& random) const
{
    std::vector<peer_info> all = live(role);
    std::shuffle(all.begin(), all.end(), random);
    if (all.size() > count)
        all.resize(count);
    return all;
}

std::vector<peer_info> peer_table::samplePreferringOwnZone(peer_role role, std::size_t count, std::mt19937_64& random) const
{
    std::vector<peer_info> all = sample(role, m_peers.size(), random);
    const auto near = std::stable_partition(all.begin(), all.end(), [this](const peer_info& peer) { return peer.zone == m_self.zone; });
    const std::size_t farWanted = std::min(count - count * ownZoneTenths / 10, static_cast<std::size_t>(all.end() - near));
    const std::size_t nearWanted = std::min(count - farWanted, static_cast<std::size_t>(near - all.begin()));
    std::vector<peer_info> chosen(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(nearWanted));
    const std::size_t rest = std::min(count - nearWanted, static_cast<std::size_t>(all.end() - near));
    chosen.insert(chosen.end(), near, near + static_cast<std::ptrdiff_t>(rest));
    return chosen;
}

std::vector<peer_info> peer_table::onePerZone(peer_role role, std::mt19937_64& random) const
{
    std::vector<peer_info> chosen;
    for (auto& peer : sample(role, m_peers.size(), random)) {
        const bool zoneKnown = std::any_of(chosen.begin(), chosen.end(), [&peer](const peer_info& other) { return other.zone == peer.zone; });
        if (!zoneKnown)
            chosen.push_back(std::move(peer));
    }
    return chosen;
}

} // namespace rampgap
