#include "policy/group_roster.h"

#include <algorithm>

namespace rampgap {

namespace {

    // A query and its reply are two datagrams; after this time one of them counts as lost, and the
    // query is repeated.
    constexpr milliseconds queryInterval { 500 };
    // A rank that moves to another group announces it to all; this repeats the query for agents
    // that did not receive the announcement.
    constexpr milliseconds groupLifetime { 10'000 };

    const std::string unknownGroup;

    bool contains(const std::vector<std::string>& ids, const std::string& id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

} // namespace

void group_roster::recordGroup(const std::string& backendId, const std::string& group, instant now)
{
    if (!group.empty())
        m_known[backendId] = { group, now };
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
    const auto unlisted = [&pool](const auto& entry) { return !contains(pool, entry.first); };
    std::erase_if(m_known, unlisted);
    std::erase_if(m_queriedAt, unlisted);
    std::vector<std::string> due;
    for (const auto& id : pool) {
        const auto known = m_known.find(id);
        const bool fresh = known != m_known.end() && now - known->second.recordedAt < groupLifetime;
        const auto queried = m_queriedAt.find(id);
        const bool queriedRecently = queried != m_queriedAt.end() && now - queried->second < queryInterval;
        if (id == ownId || fresh || queriedRecently)
            continue;
        m_queriedAt[id] = now;
        due.push_back(id);
    }
    return due;
}

} // namespace rampgap
