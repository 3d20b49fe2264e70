// Numbers that a leader gives to its changes: of placements, and fences of the orders.
#pragma once

#include <cstddef>
#include <cstdint>

namespace rampgap {

// Increases with each number that it gives, also if the wall clock is put back or is behind that of an earlier leader: two
// placements with one number but different contents would not be told apart, and two changes with one fence would not refuse each
// other's orders.
class change_numbers {
public:
    // The fence of the next change of the leader at this rank; `wallMs`: its wall clock in Unix milliseconds.
    std::uint64_t nextFence(std::size_t ownRank, std::uint64_t wallMs);
    // Records the fence of another leader's order: the next one is above it, also where the wall clocks differ.
    void recordFence(std::uint64_t fence);
    // The number of the next placement, above `highestKnown`.
    std::uint64_t nextPlacement(std::size_t ownRank, std::uint64_t highestKnown, std::uint64_t wallMs);

private:
    std::uint64_t m_lastFence = 0;
    std::uint64_t m_lastPlacement = 0;
};

} // namespace rampgap
