#include "policy/group_roster.h"

#include <algorithm>

namespace rampgap {

namespace {

    // A question and its answer are two datagrams; one that was lost is asked again.
    constexpr milliseconds questionPause { 500 };
    // A rank that moves tells everybody; this is for those whom that did not reach.
    constexpr milliseconds toldLife { 10'000 };

    const std::string nobodyTold;

    bool contains(const std::vector<std::string>& ids, const std::string& id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

} // namespace

void group_roster::note(const std::string& backendId, const std::string& group, instant now)
{
    if (!group.empty())
        m_told[backendId] = { group, now };
}

const std::string& group_roster::groupOf(const std::string& backendId) const
{
    const auto told = m_told.find(backendId);
    return told == m_told.end() ? nobodyTold : told->second.group;
}

std::vector<std::string> group_roster::members(const std::vector<std::string>& pool, const std::string& group, std::size_t size) const
{
    const bool oneGroup = pool.size() <= size;
    std::vector<std::string> found;
    for (const auto& id : pool) {
        const std::string& told = groupOf(id);
        if (told == group || (told.empty() && oneGroup))
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

std::vector<std::string> group_roster::takeQuestions(const std::vector<std::string>& pool, const std::string& ownId, instant now)
{
    const auto gone = [&pool](const auto& entry) { return !contains(pool, entry.first); };
    std::erase_if(m_told, gone);
    std::erase_if(m_askedAt, gone);
    std::vector<std::string> due;
    for (const auto& id : pool) {
        const auto told = m_told.find(id);
        const bool fresh = told != m_told.end() && now - told->second.toldAt < toldLife;
        const auto asked = m_askedAt.find(id);
        const bool askedLately = asked != m_askedAt.end() && now - asked->second < questionPause;
        if (id == ownId || fresh || askedLately)
            continue;
        m_askedAt[id] = now;
        due.push_back(id);
    }
    return due;
}

} // namespace rampgap
