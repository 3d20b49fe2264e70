#include "policy/leader_choice.h"

namespace rampgap {

leader_choice::leader_choice(milliseconds patience, milliseconds penalty)
    : m_patience(patience)
    , m_penalty(penalty)
{
}

std::string leader_choice::choose(const std::vector<std::string>& members, instant now)
{
    for (const auto& member : members) {
        const auto waiting = m_unansweredSince.find(member);
        if (waiting != m_unansweredSince.end() && now - waiting->second >= m_patience) {
            m_passedOverUntil[member] = now + m_penalty;
            m_unansweredSince.erase(waiting);
        }
        const auto passedOver = m_passedOverUntil.find(member);
        if (passedOver == m_passedOverUntil.end() || now >= passedOver->second)
            return member;
    }
    return members.empty() ? std::string() : members.front();
}

void leader_choice::noteReportSent(const std::string& leader, instant now)
{
    m_unansweredSince.emplace(leader, now);
}

void leader_choice::noteAnswer(const std::string& leader)
{
    m_unansweredSince.erase(leader);
    m_passedOverUntil.erase(leader);
}

// After a cut its two sides have different leaders, and each of these hears of a part of the
// ranks until the penalties end.
void leader_choice::forgive()
{
    m_unansweredSince.clear();
    m_passedOverUntil.clear();
}

} // namespace rampgap
