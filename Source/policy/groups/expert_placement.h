// Assigns the experts of one layer to the slots of the ranks, and computes the resulting step times.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace rampgap {

using expert_index = std::uint16_t;
using rank_index = std::uint16_t;

// Slots are ordered by rank: slot s of rank r is at r * slotsPerRank + s. An expert may be in
// several slots: its replicas share its load evenly.
class expert_placement {
public:
    expert_placement(std::size_t ranks, std::size_t slotsPerRank, std::size_t experts);

    std::size_t ranks() const { return m_ranks; }
    std::size_t slotsPerRank() const { return m_slotsPerRank; }
    std::size_t experts() const { return m_replicas.size(); }
    expert_index at(std::size_t slot) const { return m_slots[slot]; }
    std::uint16_t replicas(expert_index expert) const { return m_replicas[expert]; }
    rank_index rankOf(std::size_t slot) const { return static_cast<rank_index>(slot / m_slotsPerRank); }
    const std::vector<expert_index>& slots() const { return m_slots; }

    void set(std::size_t slot, expert_index);
    bool holds(rank_index, expert_index) const;
    // True if every expert is in at least one slot.
    bool complete() const;

    bool operator==(const expert_placement&) const = default;

private:
    std::size_t m_ranks;
    std::size_t m_slotsPerRank;
    std::vector<expert_index> m_slots;
    std::vector<std::uint16_t> m_replicas;
};

// Time of each rank in one step: its experts' shares of the tokens, divided by its speed.
std::vector<double> rankTimes(const expert_placement&, const std::vector<double>& popularity, const std::vector<double>& speeds);
// Time of the slowest rank divided by the mean; 1 is perfect. In lock-step all wait for the slowest.
double stepSkew(const std::vector<double>& rankTimes);
// Number of slots whose weights must be loaded to change from one placement to the other.
std::size_t weightsMoved(const expert_placement& from, const expert_placement& to);

} // namespace rampgap
