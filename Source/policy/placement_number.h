// Numbers of placements: higher with each change, and telling whose change it is.
#pragma once

#include <cstdint>

namespace rampgap {

// Numbers leave room below for the rank of the leader that made them, also in groups of hundreds
// of ranks: two leaders of one millisecond must not make one number.
inline constexpr std::uint64_t leadersPerNumber = 1'024;

constexpr std::uint64_t placementNumber(std::uint64_t sequence, std::uint64_t leaderRank)
{
    return sequence * leadersPerNumber + leaderRank % leadersPerNumber;
}

// True if the leader at this rank made the number; in groups of more ranks also one of others.
constexpr bool madeBy(std::uint64_t number, std::uint64_t rank)
{
    return number % leadersPerNumber == rank % leadersPerNumber;
}

} // namespace rampgap
