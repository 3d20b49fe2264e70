// Numbers of placements and fences: they increase with each change and identify the leader that made it.
#pragma once

#include <cstdint>

namespace rampgap {

// The number modulo this is the rank of the leader that made it, so that two leaders never make the same number in the same
// millisecond. Larger than the groups that the users plan.
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

// A change takes two fences: the orders that build it up carry the first, those that disarm and release the second. The second is
// higher, so that a rank which has obeyed one of these refuses what is still on its way with the first.
inline constexpr std::uint64_t fencesPerChange = 2;

// The first fence of a change. It holds the leader's rank, so that leaders at two ranks never use the same one: a rank would obey
// both. `sequence`: Unix milliseconds, or a little more; up to the year 2109 the fence stays below 2^53, which JSON carries exactly.
constexpr std::uint64_t fenceNumber(std::uint64_t sequence, std::uint64_t leaderRank)
{
    return placementNumber(sequence, leaderRank) * fencesPerChange;
}

// JSON carries integers up to here exactly.
inline constexpr std::uint64_t largestFence = (std::uint64_t { 1 } << 53U) - 1;

// The sequence that a fence was made of.
constexpr std::uint64_t fenceSequence(std::uint64_t fence)
{
    return fence / fencesPerChange / leadersPerNumber;
}

} // namespace rampgap
