#include "policy/groups/group_roster.h"

#include <algorithm>

namespace rampgap {

namespace {

    // A query and its reply are two datagrams; after this time one of them counts as lost, and the
    // query is repeated. The pause doubles while there is no reply: a server may have no agent.
    constexpr milliseconds firstQueryPause { 500 };
    // A rank that moves to another group announces it to all; this repeats the query for agents
    // that did not receive the announcement.
    constexpr milliseconds minGroupLifetime { 10'000 };
    // In a larger fleet the queries are repeated less often, so that an agent sends no more of them than this.
    constexpr std::int64_t queriesPerSecond = 8;

    const std::string unknownGroup;

    milliseconds groupLifetime(std::size_t servers)
    {
        return std::max(minGroupLifetime, milliseconds(1'000 * static_cast<std::int64_t>(servers) / queriesPerSecond));
    }

} // namespace

void group_roster::recordGroup(const std::string& backendId, const std::string& group, instant now)
{
    if (group.empty())
        return;
    auto& known = m_known[backendId];
    m_revision += known.group == group ? 0 : 1;
    known = { group, now };
    m_queries.erase(backendId);
}

const std::string& group_roster::groupOf(const std::string& backendId) const
{
    const auto known = m_known.find(backendId);
    return known == m_known.end() ? unknownGroup : known->second.group;
}

std::vector<std::string> group_roster::members(const std::vector<std::string>& pool, const std::string& group, std::size_t size) const
{
    const bool oneGroup = pool.size() <= size;
    std::vector<std::string> found;
    for (const auto& id : pool) {
        const std::string& ownGroup = groupOf(id);
        if (ownGroup == group || (ownGroup.empty() && oneGroup))
            found.push_back(id);
    }
    return found;
}

std::vector<std::string> group_roster::unknown(const std::vector<std::string>& pool) const
{
    std::vector<std::string> found;
    std::copy_if(pool.begin(), pool.end(), std::back_inserter(found), [this](const std::string& id) { return groupOf(id).empty(); });
    return found;
}

std::vector<std::string> group_roster::selectDueQueries(const std::vector<std::string>& pool, const std::string& ownId, instant now)
{
    const auto unlisted = [&pool](const auto& entry) { return !std::binary_search(pool.begin(), pool.end(), entry.first); };
    m_revision += std::erase_if(m_known, unlisted);
    std::erase_if(m_queries, unlisted);
    const milliseconds lifetime = groupLifetime(pool.size());
    std::vector<std::string> due;
    for (const auto& id : pool) {
        const auto known = m_known.find(id);
        const bool fresh = known != m_known.end() && now - known->second.recordedAt < lifetime;
        if (id == ownId || fresh)
            continue;
        auto& latest = m_queries[id];
        if (now < latest.sentAt + latest.pause)
            continue;
        latest = { now, std::clamp(latest.pause * 2, firstQueryPause, lifetime) };
        due.push_back(id);
    }
    return due;
}

} // namespace rampgap
