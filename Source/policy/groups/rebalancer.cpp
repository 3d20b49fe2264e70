#include "policy/groups/rebalancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <queue>

namespace rampgap {

namespace {

    constexpr double baseGainPerMove = 0.002;
    constexpr double minTarget = 1.03;
    constexpr double maxTarget = 1.5;
    constexpr double targetPerRatio = 0.035;
    constexpr double sameSpeed = 0.02;

    class static_map : public rebalancer {
    public:
        expert_placement decide(const expert_placement& current, const std::vector<double>&, const std::vector<double>&) const override
        {
            return current;
        }
    };

    // Replicates the most popular experts, then assigns the experts, largest share first, to the rank
    // that would finish first.
    class full_rebalance : public rebalancer {
    public:
        expert_placement decide(const expert_placement& current, const std::vector<double>& popularity, const std::vector<double>& speeds) const override
        {
            const auto replicas = shareReplicas(current, popularity);
            const auto ranks = assign(current, popularity, speeds, replicas);
            return match(current, ranks, speeds);
        }

    private:
        using rank_contents = std::vector<std::vector<expert_index>>;

        static std::vector<std::uint16_t> shareReplicas(const expert_placement& current, const std::vector<double>& popularity)
        {
            std::vector<std::uint16_t> replicas(current.experts(), 1);
            using entry = std::pair<double, expert_index>;
            std::priority_queue<entry> hottest;
            for (std::size_t expert = 0; expert < replicas.size(); ++expert)
                hottest.emplace(popularity[expert], static_cast<expert_index>(expert));
            for (std::size_t spare = current.slots().size() - replicas.size(); spare > 0; --spare) {
                const expert_index expert = hottest.top().second;
                hottest.pop();
                ++replicas[expert];
                hottest.emplace(popularity[expert] / replicas[expert], expert);
            }
            return replicas;
        }

        static rank_contents assign(const expert_placement& current, const std::vector<double>& popularity, const std::vector<double>& speeds, const std::vector<std::uint16_t>& replicas)
        {
            std::vector<std::pair<double, expert_index>> items;
            for (std::size_t expert = 0; expert < replicas.size(); ++expert)
                items.insert(items.end(), replicas[expert], { popularity[expert] / replicas[expert], static_cast<expert_index>(expert) });
            std::sort(items.begin(), items.end(), std::greater<>());
            rank_contents contents(current.ranks());
            std::vector<double> load(current.ranks(), 0.0);
            for (const auto& [share, expert] : items) {
                std::size_t best = contents.size();
                for (std::size_t rank = 0; rank < contents.size(); ++rank) {
                    if (contents[rank].size() >= current.slotsPerRank())
                        continue;
                    if (best == contents.size() || (load[rank] + share) / speeds[rank] < (load[best] + share) / speeds[best])
                        best = rank;
                }
                contents[best].push_back(expert);
                load[best] += share;
            }
            return contents;
        }

        // Assigns each new set of experts to the rank that already holds most of it.
        static expert_placement match(const expert_placement& current, const rank_contents& contents, const std::vector<double>& speeds)
        {
            struct overlap {
                int shared;
                std::size_t set;
                rank_index rank;
            };
            std::vector<overlap> overlaps;
            for (std::size_t set = 0; set < contents.size(); ++set) {
                for (std::size_t rank = 0; rank < current.ranks(); ++rank) {
                    // A set that was planned for a slow rank must go to a rank of the same speed.
                    if (std::abs(speeds[set] - speeds[rank]) > sameSpeed)
                        continue;
                    int shared = 0;
                    for (const expert_index expert : contents[set])
                        shared += current.holds(static_cast<rank_index>(rank), expert) ? 1 : 0;
                    overlaps.push_back({ shared, set, static_cast<rank_index>(rank) });
                }
            }
            std::stable_sort(overlaps.begin(), overlaps.end(), [](const overlap& a, const overlap& b) { return a.shared > b.shared; });
            std::vector<bool> setDone(contents.size(), false);
            std::vector<bool> rankDone(current.ranks(), false);
            expert_placement placement = current;
            for (const auto& best : overlaps) {
                if (setDone[best.set] || rankDone[best.rank])
                    continue;
                setDone[best.set] = true;
                rankDone[best.rank] = true;
                for (std::size_t s = 0; s < current.slotsPerRank(); ++s)
                    placement.set(best.rank * current.slotsPerRank() + s, contents[best.set][s]);
            }
            return placement;
        }
    };

    // Applies the best single change for the slowest rank until no change is worth its cost.
    class few_moves : public rebalancer {
    public:
        explicit few_moves(rebalance_settings settings)
            : m_settings(settings)
        {
        }

        expert_placement decide(const expert_placement& current, const std::vector<double>& popularity, const std::vector<double>& speeds) const override
        {
            expert_placement local = searchLocally(current, popularity, speeds);
            const double localSkew = stepSkew(rankTimes(local, popularity, speeds));
            if (localSkew <= m_settings.targetSkew)
                return local;
            // Single changes can end in a local optimum; a full rebalance has the same cost per weight.
            expert_placement full = full_rebalance().decide(current, popularity, speeds);
            const double gain = localSkew - stepSkew(rankTimes(full, popularity, speeds));
            const auto moreMoves = static_cast<double>(weightsMoved(current, full)) - static_cast<double>(weightsMoved(current, local));
            const bool allowed = weightsMoved(current, full) <= m_settings.maxMoves;
            return allowed && gain > m_settings.gainPerMove * std::max(1.0, moreMoves) ? full : local;
        }

    private:
        struct search {
            expert_placement placement;
            const std::vector<double>& popularity;
            const std::vector<double>& speeds;
            std::vector<double> times;
        };

        expert_placement searchLocally(const expert_placement& current, const std::vector<double>& popularity, const std::vector<double>& speeds) const
        {
            search state { current, popularity, speeds, rankTimes(current, popularity, speeds) };
            const double mean = std::accumulate(state.times.begin(), state.times.end(), 0.0) / static_cast<double>(state.times.size());
            std::size_t moves = 0;
            while (moves < m_settings.maxMoves && stepSkew(state.times) > m_settings.targetSkew) {
                const candidate best = bestChange(state);
                const double slowest = *std::max_element(state.times.begin(), state.times.end());
                const double gain = (slowest - best.worst) / mean;
                if (best.cost == 0 || gain < m_settings.gainPerMove * static_cast<double>(best.cost))
                    break;
                expert_placement before = state.placement;
                apply(state, best);
                // Another rank may be equally slow: then this change alone has gained nothing.
                if (*std::max_element(state.times.begin(), state.times.end()) >= slowest)
                    return before;
                moves += best.cost;
            }
            return state.placement;
        }

        // A change of one or two slots, and the time of the slowest rank that it affects.
        struct candidate {
            std::size_t cost = 0;
            double worst = std::numeric_limits<double>::infinity();
            std::size_t firstSlot = 0;
            expert_index firstExpert = 0;
            std::size_t secondSlot = 0;
            expert_index secondExpert = 0;

            // Compares by how much the time of the slowest rank falls for each weight loaded.
            bool betterThan(const candidate& other, double slowest) const
            {
                if (other.cost == 0)
                    return worst < slowest;
                return (slowest - worst) * static_cast<double>(other.cost) > (slowest - other.worst) * static_cast<double>(cost);
            }
        };

        static double share(const search& state, expert_index expert)
        {
            return state.popularity[expert] / state.placement.replicas(expert);
        }

        static candidate bestChange(const search& state)
        {
            const auto slowestRank = static_cast<rank_index>(std::max_element(state.times.begin(), state.times.end()) - state.times.begin());
            const double slowest = state.times[slowestRank];
            candidate best;
            const std::size_t width = state.placement.slotsPerRank();
            for (std::size_t s = 0; s < width; ++s) {
                const std::size_t slot = slowestRank * width + s;
                for (std::size_t other = 0; other < state.placement.slots().size(); ++other) {
                    const rank_index otherRank = state.placement.rankOf(other);
                    if (otherRank == slowestRank)
                        continue;
                    considerReplica(state, slot, other, slowestRank, otherRank, slowest, best);
                    considerSwap(state, slot, other, slowestRank, otherRank, slowest, best);
                }
            }
            return best;
        }

        // Considers a replica of an expert of the slowest rank, in a slot whose expert has other replicas.
        static void considerReplica(const search& state, std::size_t slot, std::size_t other, rank_index hot, rank_index cold, double slowest, candidate& best)
        {
            const expert_index expert = state.placement.at(slot);
            const expert_index replaced = state.placement.at(other);
            if (expert == replaced || state.placement.replicas(replaced) < 2 || state.placement.holds(cold, expert))
                return;
            const double after = state.popularity[expert] / (state.placement.replicas(expert) + 1);
            const double relief = (share(state, expert) - after) * copiesOn(state, hot, expert);
            const double dropped = share(state, replaced);
            const double grown = state.popularity[replaced] / (state.placement.replicas(replaced) - 1) - dropped;
            const double hotTime = state.times[hot] + (grown * copiesOn(state, hot, replaced) - relief) / state.speeds[hot];
            const double coldTime = state.times[cold] + (after - dropped + grown * (copiesOn(state, cold, replaced) - 1)) / state.speeds[cold];
            candidate offered { 1, std::max(hotTime, coldTime), other, expert, other, expert };
            if (offered.worst >= slowest || !offered.betterThan(best, slowest))
                return;
            offered.worst = std::max(offered.worst, slowestWithReplica(state, replaced, hot, cold, grown));
            keepBetter(offered, slowest, best);
        }

        static double copiesOn(const search& state, rank_index rank, expert_index expert)
        {
            const auto first = state.placement.slots().begin() + static_cast<std::ptrdiff_t>(rank * state.placement.slotsPerRank());
            return static_cast<double>(std::count(first, first + static_cast<std::ptrdiff_t>(state.placement.slotsPerRank()), expert));
        }

        // The longest time of the other ranks with a replica of a replaced expert, which take over its share.
        static double slowestWithReplica(const search& state, expert_index expert, rank_index hot, rank_index cold, double grown)
        {
            double worst = 0;
            for (std::size_t slot = 0; slot < state.placement.slots().size(); ++slot) {
                const rank_index rank = state.placement.rankOf(slot);
                if (state.placement.at(slot) == expert && rank != hot && rank != cold)
                    worst = std::max(worst, state.times[rank] + grown * copiesOn(state, rank, expert) / state.speeds[rank]);
            }
            return worst;
        }

        // Considers an exchange of two experts between the slowest rank and another one.
        static void considerSwap(const search& state, std::size_t slot, std::size_t other, rank_index hot, rank_index cold, double slowest, candidate& best)
        {
            const expert_index expert = state.placement.at(slot);
            const expert_index partner = state.placement.at(other);
            if (expert == partner || state.placement.holds(cold, expert) || state.placement.holds(hot, partner))
                return;
            const double difference = share(state, expert) - share(state, partner);
            if (difference <= 0)
                return;
            const double worst = std::max(state.times[hot] - difference / state.speeds[hot], state.times[cold] + difference / state.speeds[cold]);
            keepBetter({ 2, worst, slot, partner, other, expert }, slowest, best);
        }

        static void keepBetter(const candidate& offered, double slowest, candidate& best)
        {
            if (offered.worst < slowest && offered.betterThan(best, slowest))
                best = offered;
        }

        static void apply(search& state, const candidate& change)
        {
            state.placement.set(change.firstSlot, change.firstExpert);
            if (change.cost == 2)
                state.placement.set(change.secondSlot, change.secondExpert);
            state.times = rankTimes(state.placement, state.popularity, state.speeds);
        }

        rebalance_settings m_settings;
    };

} // namespace

// With equal weights a move must pay by baseGainPerMove. A higher weight of skew accepts smaller gains
// and aims at a lower skew; a higher weight of cost does the reverse.
rebalance_settings rebalance_settings::make(double skewWeight, double costWeight)
{
    const double ratio = std::clamp(costWeight / std::max(skewWeight, 1e-9), 0.01, 100.0);
    rebalance_settings settings;
    settings.gainPerMove = baseGainPerMove * ratio;
    settings.targetSkew = std::clamp(1 + targetPerRatio * ratio, minTarget, maxTarget);
    return settings;
}

result<std::unique_ptr<rebalancer>> rebalancer::make(std::string_view name, rebalance_settings settings)
{
    if (name == "static")
        return std::unique_ptr<rebalancer>(std::make_unique<static_map>());
    if (name == "full")
        return std::unique_ptr<rebalancer>(std::make_unique<full_rebalance>());
    if (name == "few_moves")
        return std::unique_ptr<rebalancer>(std::make_unique<few_moves>(settings));
    return notRun(failure_reason::invalid_request, "no rebalancer named '" + std::string(name) + "'");
}

} // namespace rampgap
