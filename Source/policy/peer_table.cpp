#include "policy/peer_table.h"

#include <algorithm>

namespace rampgap {

peer_table::peer_table(peer_info self, std::vector<std::string> seedHosts, milliseconds silence)
    : m_self(std::move(self))
    , m_seeds(std::move(seedHosts))
    , m_silence(silence)
{
}

bool peer_table::noteHeard(const peer_info& peer, instant now)
{
    if (peer.host == m_self.host)
        return false;
    const auto held = m_peers.find(peer.host);
    const bool isNew = held == m_peers.end() || held->second.info.incarnation < peer.incarnation;
    if (!isNew && held->second.info.incarnation > peer.incarnation)
        return false;
    m_peers[peer.host] = { peer, now };
    countEntries();
    return isNew;
}

void peer_table::noteTold(const peer_info& peer, milliseconds age, instant now)
{
    if (peer.host == m_self.host || age >= m_silence)
        return;
    const auto held = m_peers.find(peer.host);
    const instant heardAt = now - age;
    if (held == m_peers.end()) {
        m_peers[peer.host] = { peer, heardAt };
    } else if (held->second.info.incarnation <= peer.incarnation) {
        held->second.info = peer;
        held->second.heardAt = std::max(held->second.heardAt, heardAt);
    }
    countEntries();
}

void peer_table::noteLeaving(const std::string& host)
{
    m_peers.erase(host);
}

std::vector<std::string> peer_table::dropSilent(instant now)
{
    std::vector<std::string> dropped;
    for (const auto& [host, held] : m_peers) {
        if (now - held.heardAt >= m_silence)
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
    for (const auto& [host, held] : m_peers) {
        if (held.info.role == role)
            found.push_back(held.info);
    }
    return found;
}

std::size_t peer_table::count(peer_role role) const
{
    return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [role](const auto& held) { return held.second.info.role == role; }));
}

void peer_table::countEntries()
{
    const std::size_t own = m_self.role == peer_role::entry ? 1 : 0;
    m_mostEntries = std::max(m_mostEntries, count(peer_role::entry) + own);
}

std::vector<std::string> peer_table::seedsToAsk() const
{
    std::vector<std::string> ask;
    for (const auto& host : m_seeds) {
        if (host != m_self.host && !m_peers.contains(host))
            ask.push_back(host);
    }
    return ask;
}

milliseconds peer_table::age(const std::string& host, instant now) const
{
    const auto held = m_peers.find(host);
    return held == m_peers.end() ? m_silence : std::chrono::duration_cast<milliseconds>(now - held->second.heardAt);
}

std::vector<peer_info> peer_table::sample(peer_role role, std::size_t count, std::mt19937_64& random) const
{
    std::vector<peer_info> all = live(role);
    std::shuffle(all.begin(), all.end(), random);
    if (all.size() > count)
        all.resize(count);
    return all;
}

} // namespace rampgap
