#include "policy/groups/change_numbers.h"

#include "policy/groups/placement_number.h"

#include <algorithm>

namespace rampgap {

std::uint64_t change_numbers::nextFence(std::size_t ownRank, std::uint64_t wallMs)
{
    m_lastFence = std::max(m_lastFence + 1, wallMs);
    return fenceNumber(m_lastFence, ownRank);
}

void change_numbers::recordFence(std::uint64_t fence)
{
    // A larger one was made by no leader, and no fence of this process could be above it.
    if (fence <= largestFence)
        m_lastFence = std::max(m_lastFence, fenceSequence(fence));
}

std::uint64_t change_numbers::nextPlacement(std::size_t ownRank, std::uint64_t highestKnown, std::uint64_t wallMs)
{
    m_lastPlacement = std::max({ m_lastPlacement + 1, highestKnown / leadersPerNumber + 1, wallMs });
    return placementNumber(m_lastPlacement, ownRank);
}

} // namespace rampgap
