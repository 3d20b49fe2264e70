// Which rank holds which experts of one layer, and what that means for the step time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace rampgap {

using expert_index = std::uint16_t;
using rank_index = std::uint16_t;

// Slots rank by rank: slot s of rank r is at r * slotsPerRank + s. An expert may stand in
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
    // True if the rank holds the expert.
    bool holds(rank_index, expert_index) const;
    // True if every expert stands somewhere.
    bool complete() const;

    bool operator==(const expert_placement&) const = default;

private:
    std::size_t m_ranks;
    std::size_t m_slotsPerRank;
    std::vector<expert_index> m_slots;
    std::vector<std::uint16_t> m_replicas;
};

// Time of each rank in one step: its experts' shares of the tokens over its speed.
std::vector<double> rankTimes(const expert_placement&, const std::vector<double>& popularity, const std::vector<double>& speeds);
// Slowest over mean rank time; 1 is perfect. In lock-step all wait for the slowest.
double stepSkew(const std::vector<double>& rankTimes);
// Weights to load to get from one placement to the other, slot by slot.
std::size_t weightsMoved(const expert_placement& from, const expert_placement& to);

} // namespace rampgap
