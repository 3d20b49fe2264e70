#include "policy/groups/expert_placement.h"

#include <algorithm>
#include <numeric>

namespace rampgap {

expert_placement::expert_placement(std::size_t ranks, std::size_t slotsPerRank, std::size_t experts)
    : m_ranks(ranks)
    , m_slotsPerRank(slotsPerRank)
    , m_slots(ranks * slotsPerRank)
    , m_replicas(experts, 0)
{
    // Round robin over the ranks; slots beyond the experts hold replicas of the first ones.
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        const auto expert = static_cast<expert_index>(i % experts);
        m_slots[(i % ranks) * slotsPerRank + i / ranks] = expert;
        ++m_replicas[expert];
    }
}

void expert_placement::set(std::size_t slot, expert_index expert)
{
    --m_replicas[m_slots[slot]];
    m_slots[slot] = expert;
    ++m_replicas[expert];
}

bool expert_placement::holds(rank_index rank, expert_index expert) const
{
    const auto first = m_slots.begin() + static_cast<std::ptrdiff_t>(rank * m_slotsPerRank);
    const auto last = first + static_cast<std::ptrdiff_t>(m_slotsPerRank);
    return std::find(first, last, expert) != last;
}

bool expert_placement::complete() const
{
    return std::none_of(m_replicas.begin(), m_replicas.end(), [](std::uint16_t count) { return count == 0; });
}

std::vector<double> rankTimes(const expert_placement& placement, const std::vector<double>& popularity, const std::vector<double>& speeds)
{
    std::vector<double> times(placement.ranks(), 0.0);
    for (std::size_t slot = 0; slot < placement.slots().size(); ++slot) {
        const expert_index expert = placement.at(slot);
        times[placement.rankOf(slot)] += popularity[expert] / placement.replicas(expert);
    }
    for (std::size_t rank = 0; rank < times.size(); ++rank)
        times[rank] /= speeds[rank];
    return times;
}

double stepSkew(const std::vector<double>& times)
{
    const double total = std::accumulate(times.begin(), times.end(), 0.0);
    const double slowest = *std::max_element(times.begin(), times.end());
    return total > 0 ? slowest * static_cast<double>(times.size()) / total : 1;
}

std::size_t weightsMoved(const expert_placement& from, const expert_placement& to)
{
    std::size_t moved = 0;
    for (std::size_t rank = 0; rank < to.ranks(); ++rank) {
        for (std::size_t s = 0; s < to.slotsPerRank(); ++s)
            moved += from.holds(static_cast<rank_index>(rank), to.at(rank * to.slotsPerRank() + s)) ? 0 : 1;
    }
    return moved;
}

} // namespace rampgap
