#include "policy/groups/placement_planner.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace rampgap {

namespace {

    using expert = std::uint16_t;
    using layer_ranks = std::vector<std::vector<expert>>;

    // Smallest useful gain as a share of the mean load; less is within the error of the estimate.
    constexpr double minGainOfMean = 0.04;

    // Rounding error as a share of the mean load: sums of the same loads in another order may differ
    // by this.
    constexpr double roundingError = 1e-9;

    // Most of the least loaded ranks that are tried for one replica: usually the first one fits.
    constexpr std::size_t maxRanksTried = 4;

    bool contains(const std::vector<expert>& experts, expert wanted)
    {
        return std::find(experts.begin(), experts.end(), wanted) != experts.end();
    }

    // Plans the placement of one layer set. Layer sets share the budget of new experts of each rank.
    class layer_planner {
    public:
        layer_planner(layer_ranks ranks, const std::vector<double>& shares, const rank_paces& paces, const planner_limits& limits, std::vector<std::size_t>& newBudget)
            : m_before(ranks)
            , m_ranks(std::move(ranks))
            , m_shares(shares)
            , m_paces(paces)
            , m_limits(limits)
            , m_newBudget(newBudget)
            , m_holders(shares.size())
            , m_newInSet(m_ranks.size(), 0)
        {
            for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
                for (const expert e : m_ranks[rank])
                    m_holders[e].push_back(rank);
            }
            m_mean = std::accumulate(shares.begin(), shares.end(), 0.0) / static_cast<double>(m_ranks.size());
            m_minGain = minGainOfMean * m_mean;
            measure();
        }

        double skew() const { return m_loads.empty() ? 1 : worstLoad() / m_mean; }

        // Makes one change that relieves the most loaded rank; false if there is none.
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

        layer_ranks extractRanks() { return std::move(m_ranks); }

    private:
        std::size_t replicas(expert e) const { return m_holders[e].size(); }
        double share(expert e) const { return m_shares[e] / static_cast<double>(replicas(e)); }

        // An expert only affects the loads of the ranks that hold it, so the loads are updated in
        // place. Recomputing them over all ranks would make a plan for 129 ranks and 16 sets of 258
        // experts take 20 ms of a core instead of 2 ms.
        void add(std::size_t rank, expert e)
        {
            addLoad(e, -1);
            m_ranks[rank].push_back(e);
            m_holders[e].push_back(rank);
            addLoad(e, 1);
        }

        void remove(std::size_t rank, expert e)
        {
            addLoad(e, -1);
            std::erase(m_ranks[rank], e);
            std::erase(m_holders[e], rank);
            addLoad(e, 1);
        }

        void addLoad(expert e, double factor)
        {
            for (const std::size_t rank : m_holders[e])
                m_loads[rank] += factor * share(e) * m_paces[rank];
        }

        void measure()
        {
            m_loads.assign(m_ranks.size(), 0);
            for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
                for (const expert e : m_ranks[rank])
                    m_loads[rank] += share(e) * m_paces[rank];
            }
        }

        bool mayAdd(std::size_t rank, expert e) const
        {
            const bool wasHeld = contains(m_before[rank], e);
            return wasHeld || (m_newBudget[rank] > 0 && m_newInSet[rank] < m_limits.maxNewPerSet);
        }

        // The replica with the smallest load that a full rank can drop; null if all its experts are
        // the only ones of their kind.
        const expert* cheapest(std::size_t rank, expert except) const
        {
            const expert* best = nullptr;
            for (const expert& e : m_ranks[rank]) {
                if (e == except || replicas(e) < 2)
                    continue;
                if (!best || share(e) < share(*best))
                    best = &e;
            }
            return best;
        }

        double worstLoad() const { return *std::max_element(m_loads.begin(), m_loads.end()); }

        // Adds a replica of an expert of the most loaded rank to one of the least loaded ranks.
        bool replicate(std::size_t hot, expert e)
        {
            const double before = m_loads[hot];
            const double gain = (share(e) - m_shares[e] / static_cast<double>(replicas(e) + 1)) * m_paces[hot];
            if (gain < m_minGain)
                return false;
            std::vector<bool> tried(m_ranks.size(), false);
            std::size_t tries = 0;
            for (auto next = leastLoaded(tried); next && tries < maxRanksTried; next = leastLoaded(tried)) {
                const std::size_t rank = *next;
                tried[rank] = true;
                if (rank == hot || contains(m_ranks[rank], e) || !mayAdd(rank, e))
                    continue;
                ++tries;
                const std::vector<expert> saved = m_ranks[rank];
                expert dropped = e;
                if (m_ranks[rank].size() >= m_limits.slotsPerRank) {
                    const expert* candidate = cheapest(rank, e);
                    if (!candidate)
                        continue;
                    dropped = *candidate;
                    remove(rank, dropped);
                }
                add(rank, e);
                if (m_loads[hot] < before - m_minGain / 2 && m_loads[rank] < before - m_minGain / 2 && worstLoad() <= before + roundingError * m_mean) {
                    countNew(rank, e);
                    return true;
                }
                remove(rank, e);
                if (dropped != e)
                    add(rank, dropped);
                m_ranks[rank] = saved;
            }
            return false;
        }

        // The least loaded of the ranks that were not tried yet; none if all were.
        std::optional<std::size_t> leastLoaded(const std::vector<bool>& tried) const
        {
            std::optional<std::size_t> least;
            for (std::size_t rank = 0; rank < m_loads.size(); ++rank) {
                if (!tried[rank] && (!least || m_loads[rank] < m_loads[*least]))
                    least = rank;
            }
            return least;
        }

        // Exchanges an expert of the most loaded rank for a lighter one of another rank.
        bool swap(std::size_t hot)
        {
            const double before = m_loads[hot];
            double best = before - m_minGain;
            std::size_t bestRank = hot;
            expert outgoing = 0;
            expert incoming = 0;
            for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
                if (m_loads[rank] >= best)
                    continue;
                for (const expert mine : m_ranks[hot]) {
                    if (contains(m_ranks[rank], mine) || !mayAdd(rank, mine))
                        continue;
                    for (const expert theirs : m_ranks[rank]) {
                        if (share(theirs) >= share(mine) || contains(m_ranks[hot], theirs) || !mayAdd(hot, theirs))
                            continue;
                        const double difference = share(mine) - share(theirs);
                        const double worse = std::max(before - difference * m_paces[hot], m_loads[rank] + difference * m_paces[rank]);
                        if (worse >= best)
                            continue;
                        best = worse;
                        bestRank = rank;
                        outgoing = mine;
                        incoming = theirs;
                    }
                }
            }
            if (bestRank == hot)
                return false;
            remove(hot, outgoing);
            remove(bestRank, incoming);
            add(hot, incoming);
            add(bestRank, outgoing);
            countNew(hot, incoming);
            countNew(bestRank, outgoing);
            return true;
        }

        // Drops a replica on the most loaded rank if the other replicas can take over its load.
        bool drop(std::size_t hot)
        {
            const double before = m_loads[hot];
            const std::vector<expert> experts = m_ranks[hot];
            for (const expert e : experts) {
                if (replicas(e) < 2)
                    continue;
                remove(hot, e);
                if (worstLoad() < before - m_minGain)
                    return true;
                add(hot, e);
            }
            return false;
        }

        void countNew(std::size_t rank, expert e)
        {
            if (contains(m_before[rank], e))
                return;
            ++m_newInSet[rank];
            --m_newBudget[rank];
        }

        layer_ranks m_before;
        layer_ranks m_ranks;
        const std::vector<double>& m_shares;
        const rank_paces& m_paces;
        const planner_limits& m_limits;
        std::vector<std::size_t>& m_newBudget;
        // Ranks that hold each expert.
        std::vector<std::vector<std::size_t>> m_holders;
        std::vector<std::size_t> m_newInSet;
        std::vector<double> m_loads;
        double m_mean = 0;
        double m_minGain = 0;
    };

} // namespace

double layerSkew(const layer_ranks& ranks, const std::vector<double>& shares, const rank_paces& paces)
{
    std::vector<int> replicas(shares.size(), 0);
    for (const auto& experts : ranks) {
        for (const expert e : experts)
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
    std::vector<std::size_t> newBudget(current.front().size(), limits.maxNewPerRank);
    std::vector<layer_planner> layers;
    layers.reserve(current.size());
    for (std::size_t set = 0; set < current.size(); ++set)
        layers.emplace_back(current[set], shares[set], paces, limits, newBudget);
    // The layer set with the highest skew is improved first, so that the sets share the budget of
    // copies fairly. A set that cannot be improved any more gets the value `finished`.
    constexpr double finished = 0;
    std::vector<double> skews;
    skews.reserve(layers.size());
    for (const auto& layer : layers)
        skews.push_back(layer.skew());
    for (;;) {
        const auto worst = std::max_element(skews.begin(), skews.end());
        if (*worst == finished)
            break;
        auto& layer = layers[static_cast<std::size_t>(worst - skews.begin())];
        *worst = layer.improve() ? layer.skew() : finished;
    }
    group_placement planned;
    for (auto& layer : layers)
        planned.push_back(layer.extractRanks());
    return planned;
}

namespace {

    // Number of new experts of each rank over all layer sets.
    std::vector<std::size_t> newExperts(const group_placement& from, const group_placement& to)
    {
        std::vector<std::size_t> added(from.empty() ? 0 : from.front().size(), 0);
        for (std::size_t set = 0; set < from.size(); ++set) {
            for (std::size_t rank = 0; rank < from[set].size(); ++rank) {
                for (const expert e : to[set][rank])
                    added[rank] += contains(from[set][rank], e) ? 0 : 1;
            }
        }
        return added;
    }

} // namespace

std::size_t totalNewExperts(const group_placement& from, const group_placement& to)
{
    const auto added = newExperts(from, to);
    return std::accumulate(added.begin(), added.end(), std::size_t { 0 });
}

std::size_t maxNewExperts(const group_placement& from, const group_placement& to)
{
    const auto added = newExperts(from, to);
    return added.empty() ? 0 : *std::max_element(added.begin(), added.end());
}

} // namespace rampgap
