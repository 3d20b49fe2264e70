#include "policy/placement_planner.h"

#include <algorithm>
#include <numeric>

namespace rampgap {

namespace {

    using expert = std::uint16_t;
    using layer_ranks = std::vector<std::vector<expert>>;

    // Of the mean load: below this a copy moves less than the estimate is sure of.
    constexpr double leastGainOfMean = 0.04;

    // Least loaded ranks that are tried for one replica: the first mostly fits.
    constexpr std::size_t mostRanksTried = 4;

    bool contains(const std::vector<expert>& held, expert wanted)
    {
        return std::find(held.begin(), held.end(), wanted) != held.end();
    }

    // Layer sets share the budget of new experts of each rank.
    class layer_planner {
    public:
        layer_planner(layer_ranks ranks, const std::vector<double>& shares, const rank_paces& paces, const planner_limits& limits, std::vector<std::size_t>& newLeft)
            : m_before(ranks)
            , m_ranks(std::move(ranks))
            , m_shares(shares)
            , m_paces(paces)
            , m_limits(limits)
            , m_newLeft(newLeft)
            , m_replicas(shares.size(), 0)
            , m_newHere(m_ranks.size(), 0)
        {
            for (const auto& held : m_ranks) {
                for (const expert e : held)
                    ++m_replicas[e];
            }
            m_mean = std::accumulate(shares.begin(), shares.end(), 0.0) / static_cast<double>(m_ranks.size());
            m_leastGain = leastGainOfMean * m_mean;
            measure();
        }

        double skew() const { return m_loads.empty() ? 1 : *std::max_element(m_loads.begin(), m_loads.end()) / m_mean; }

        // One improvement for the most loaded rank; false if there is none.
        bool improve()
        {
            const auto hot = static_cast<std::size_t>(std::max_element(m_loads.begin(), m_loads.end()) - m_loads.begin());
            if (m_loads[hot] <= m_limits.targetSkew * m_mean)
                return false;
            std::vector<expert> byShare = m_ranks[hot];
            std::sort(byShare.begin(), byShare.end(), [this](expert a, expert b) { return share(a) > share(b); });
            for (const expert e : byShare) {
                if (replicate(hot, e))
                    return true;
            }
            return swap(hot) || drop(hot);
        }

        layer_ranks take() { return std::move(m_ranks); }

    private:
        double share(expert e) const { return m_shares[e] / m_replicas[e]; }

        void measure()
        {
            m_loads.assign(m_ranks.size(), 0);
            for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
                for (const expert e : m_ranks[rank])
                    m_loads[rank] += share(e) * m_paces[rank];
            }
        }

        bool mayGrow(std::size_t rank, expert e) const
        {
            const bool wasHere = contains(m_before[rank], e);
            return wasHere || (m_newLeft[rank] > 0 && m_newHere[rank] < m_limits.newPerSet);
        }

        // The expert that a full rank loses least by giving up; none if all are the last of their kind.
        const expert* cheapest(std::size_t rank, expert besides) const
        {
            const expert* best = nullptr;
            for (const expert& e : m_ranks[rank]) {
                if (e == besides || m_replicas[e] < 2)
                    continue;
                if (!best || m_shares[e] / m_replicas[e] < m_shares[*best] / m_replicas[*best])
                    best = &e;
            }
            return best;
        }

        double worstLoad() const { return *std::max_element(m_loads.begin(), m_loads.end()); }

        // One more replica of an expert of the most loaded rank, on the rank where it helps most.
        bool replicate(std::size_t hot, expert e)
        {
            std::vector<std::size_t> order(m_ranks.size());
            std::iota(order.begin(), order.end(), 0);
            std::sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) { return m_loads[a] < m_loads[b]; });
            const double before = m_loads[hot];
            const double gain = (share(e) - m_shares[e] / (m_replicas[e] + 1)) * m_paces[hot];
            if (gain < m_leastGain)
                return false;
            std::size_t tries = 0;
            for (const std::size_t rank : order) {
                if (rank == hot || contains(m_ranks[rank], e) || !mayGrow(rank, e))
                    continue;
                if (++tries > mostRanksTried)
                    break;
                const std::vector<expert> saved = m_ranks[rank];
                expert gone = e;
                if (m_ranks[rank].size() >= m_limits.slotsPerRank) {
                    const expert* given = cheapest(rank, e);
                    if (!given)
                        continue;
                    gone = *given;
                    std::erase(m_ranks[rank], gone);
                    --m_replicas[gone];
                }
                m_ranks[rank].push_back(e);
                ++m_replicas[e];
                measure();
                if (m_loads[hot] < before - m_leastGain / 2 && m_loads[rank] < before - m_leastGain / 2 && worstLoad() <= before) {
                    countNew(rank, e);
                    return true;
                }
                m_ranks[rank] = saved;
                --m_replicas[e];
                if (gone != e)
                    ++m_replicas[gone];
                measure();
            }
            return false;
        }

        // Exchanges an expert of the most loaded rank for a lighter one of another rank.
        bool swap(std::size_t hot)
        {
            const double before = m_loads[hot];
            double best = before - m_leastGain;
            std::size_t bestRank = hot;
            expert given = 0;
            expert taken = 0;
            for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
                if (m_loads[rank] >= best)
                    continue;
                for (const expert mine : m_ranks[hot]) {
                    if (contains(m_ranks[rank], mine) || !mayGrow(rank, mine))
                        continue;
                    for (const expert theirs : m_ranks[rank]) {
                        if (share(theirs) >= share(mine) || contains(m_ranks[hot], theirs) || !mayGrow(hot, theirs))
                            continue;
                        const double difference = share(mine) - share(theirs);
                        const double worse = std::max(before - difference * m_paces[hot], m_loads[rank] + difference * m_paces[rank]);
                        if (worse >= best)
                            continue;
                        best = worse;
                        bestRank = rank;
                        given = mine;
                        taken = theirs;
                    }
                }
            }
            if (bestRank == hot)
                return false;
            std::replace(m_ranks[hot].begin(), m_ranks[hot].end(), given, taken);
            std::replace(m_ranks[bestRank].begin(), m_ranks[bestRank].end(), taken, given);
            countNew(hot, taken);
            countNew(bestRank, given);
            measure();
            return true;
        }

        // Gives up a replica on the most loaded rank if the others can carry it.
        bool drop(std::size_t hot)
        {
            const double before = m_loads[hot];
            const std::vector<expert> held = m_ranks[hot];
            for (const expert e : held) {
                if (m_replicas[e] < 2)
                    continue;
                std::erase(m_ranks[hot], e);
                --m_replicas[e];
                measure();
                if (worstLoad() < before - m_leastGain)
                    return true;
                m_ranks[hot].push_back(e);
                ++m_replicas[e];
                measure();
            }
            return false;
        }

        void countNew(std::size_t rank, expert e)
        {
            if (contains(m_before[rank], e))
                return;
            ++m_newHere[rank];
            --m_newLeft[rank];
        }

        layer_ranks m_before;
        layer_ranks m_ranks;
        const std::vector<double>& m_shares;
        const rank_paces& m_paces;
        const planner_limits& m_limits;
        std::vector<std::size_t>& m_newLeft;
        std::vector<int> m_replicas;
        std::vector<std::size_t> m_newHere;
        std::vector<double> m_loads;
        double m_mean = 0;
        double m_leastGain = 0;
    };

} // namespace

double layerSkew(const layer_ranks& ranks, const std::vector<double>& shares, const rank_paces& paces)
{
    std::vector<int> replicas(shares.size(), 0);
    for (const auto& held : ranks) {
        for (const expert e : held)
            ++replicas[e];
    }
    double worst = 0;
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        double load = 0;
        for (const expert e : ranks[rank])
            load += shares[e] / replicas[e];
        worst = std::max(worst, load * paces[rank]);
    }
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    return sum > 0 ? worst * static_cast<double>(ranks.size()) / sum : 1;
}

double groupSkew(const group_placement& placement, const expert_shares& shares, const rank_paces& paces)
{
    double sum = 0;
    for (std::size_t set = 0; set < placement.size(); ++set)
        sum += layerSkew(placement[set], shares[set], paces);
    return placement.empty() ? 1 : sum / static_cast<double>(placement.size());
}

group_placement initialPlacement(std::size_t sets, std::size_t experts, std::size_t ranks)
{
    layer_ranks dealt(ranks);
    for (std::size_t e = 0; e < experts; ++e)
        dealt[e % ranks].push_back(static_cast<expert>(e));
    return group_placement(sets, dealt);
}

group_placement planPlacement(const group_placement& current, const expert_shares& shares, const rank_paces& paces, const planner_limits& limits)
{
    if (current.empty())
        return current;
    std::vector<std::size_t> newLeft(current.front().size(), limits.newPerRank);
    std::vector<layer_planner> layers;
    layers.reserve(current.size());
    for (std::size_t set = 0; set < current.size(); ++set)
        layers.emplace_back(current[set], shares[set], paces, limits, newLeft);
    // The worst layer set first, so that they share the budget of copies fairly.
    std::vector<bool> done(layers.size(), false);
    for (;;) {
        std::size_t worst = layers.size();
        for (std::size_t set = 0; set < layers.size(); ++set) {
            if (!done[set] && (worst == layers.size() || layers[set].skew() > layers[worst].skew()))
                worst = set;
        }
        if (worst == layers.size())
            break;
        done[worst] = !layers[worst].improve();
    }
    group_placement planned;
    for (auto& layer : layers)
        planned.push_back(layer.take());
    return planned;
}

std::size_t mostNewExperts(const group_placement& from, const group_placement& to)
{
    std::vector<std::size_t> added(from.empty() ? 0 : from.front().size(), 0);
    for (std::size_t set = 0; set < from.size(); ++set) {
        for (std::size_t rank = 0; rank < from[set].size(); ++rank) {
            for (const expert e : to[set][rank])
                added[rank] += contains(from[set][rank], e) ? 0 : 1;
        }
    }
    return added.empty() ? 0 : *std::max_element(added.begin(), added.end());
}

} // namespace rampgap
