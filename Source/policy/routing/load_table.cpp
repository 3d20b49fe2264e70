#include "policy/routing/load_table.h"

#include <algorithm>
#include <xxhash.h>

namespace rampgap {

namespace {

    // Age of an engine's count on its arrival here: an agent polls its engine every 100 ms, a
    // leader publishes every 150 ms. Requests sent since then are not in the count.
    constexpr milliseconds countLag { 200 };

} // namespace

backend_load backend_load::operator+(const backend_load& other) const
{
    return { requests + other.requests, unreadTokens + other.unreadTokens, std::max(pace, other.pace) };
}

std::uint32_t backendHash(const std::string& id)
{
    return XXH32(id.data(), id.size(), 0);
}

load_table::load_table(milliseconds reportLifetime)
    : m_reportLifetime(reportLifetime)
{
}

void load_table::recordSent(const std::string& id, std::int64_t promptTokens, instant now)
{
    auto& sent = m_sent[id];
    while (!sent.empty() && now - sent.front() > countLag)
        sent.pop_front();
    sent.push_back(now);
    auto& load = m_own[id];
    ++load.requests;
    load.unreadTokens += promptTokens;
}

void load_table::recordFirstByte(const std::string& id, std::int64_t promptTokens)
{
    m_own[id].unreadTokens -= promptTokens;
}

void load_table::recordEnded(const std::string& id, std::int64_t unreadTokens)
{
    auto& load = m_own[id];
    --load.requests;
    load.unreadTokens -= unreadTokens;
    if (load.requests <= 0)
        m_own.erase(id);
}

void load_table::mergePeerState(const std::string& peer, load_report_by_hash loads, instant now)
{
    m_peers[peer] = { std::move(loads), now };
}

void load_table::mergeRankLoads(const load_report_by_hash& counts, instant now)
{
    for (const auto& [hash, load] : counts)
        m_ranks[hash] = { load.requests, load.pace, now };
}

int load_table::sentRecently(const std::string& id, instant now) const
{
    const auto sent = m_sent.find(id);
    if (sent == m_sent.end())
        return 0;
    return static_cast<int>(std::count_if(sent->second.begin(), sent->second.end(), [now](instant at) { return now - at <= countLag; }));
}

void load_table::forgetPeer(const std::string& peer)
{
    m_peers.erase(peer);
}

backend_load load_table::own(const std::string& id) const
{
    const auto found = m_own.find(id);
    return found == m_own.end() ? backend_load {} : found->second;
}

backend_load load_table::total(const std::string& id, instant now) const
{
    backend_load sum = own(id);
    const std::uint32_t hash = backendHash(id);
    const auto counted = m_ranks.find(hash);
    if (counted != m_ranks.end() && now - counted->second.at < m_reportLifetime) {
        sum.requests = std::max(sum.requests, counted->second.requests + sentRecently(id, now));
        sum.pace = counted->second.pace;
        return sum;
    }
    for (const auto& [peer, report] : m_peers) {
        const auto load = report.loads.find(hash);
        if (load != report.loads.end() && now - report.at < m_reportLifetime)
            sum = sum + load->second;
    }
    return sum;
}

load_report_by_hash load_table::report() const
{
    load_report_by_hash loads;
    for (const auto& [id, load] : m_own)
        loads[backendHash(id)] = load;
    return loads;
}

} // namespace rampgap
