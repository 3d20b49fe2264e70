// Numbers of placements and fences: they increase with each change and identify the leader that made it.
#pragma once

#include <cstdint>

namespace rampgap {

// The number modulo this is the rank of the leader that made it. It is large enough for groups of
// hundreds of ranks: two leaders must not make the same number in the same millisecond.
inline constexpr std::uint64_t leadersPerNumber = 1'024;

constexpr std::uint64_t placementNumber(std::uint64_t sequence, std::uint64_t leaderRank)
{
    return sequence * leadersPerNumber + leaderRank % leadersPerNumber;
}

// True if the leader at this rank made the number. In groups of more ranks than leadersPerNumber the
// leaders at several ranks match.
constexpr bool madeBy(std::uint64_t number, std::uint64_t rank)
{
    return number % leadersPerNumber == rank % leadersPerNumber;
}

// A change that is cancelled uses the next fence, too.
inline constexpr std::uint64_t fencesPerChange = 2;

// Fence of a leader's change: no leader at another rank makes the same, also in the same millisecond. Two leaders with one fence
// would not refuse each other's orders. Below 2^53 for sequences of milliseconds, so that JSON carries it exactly.
constexpr std::uint64_t fenceNumber(std::uint64_t sequence, std::uint64_t leaderRank)
{
    return placementNumber(sequence, leaderRank) * fencesPerChange;
}

// The sequence that a fence was made of.
constexpr std::uint64_t fenceSequence(std::uint64_t fence)
{
    return fence / fencesPerChange / leadersPerNumber;
}

} // namespace rampgap
