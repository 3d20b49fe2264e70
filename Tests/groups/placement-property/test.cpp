// Guards against placements that lose an expert, that are worse than before by prediction, or that take
// more moves than allowed, for any popularity and policy.

#include "policy/groups/popularity_estimate.h"
#include "policy/groups/rebalancer.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

std::vector<double> drawPopularity(std::size_t experts)
{
    std::vector<double> counts;
    for (std::size_t i = 0; i < experts; ++i)
        counts.push_back(1 + *rc::gen::inRange(0, 1'000));
    return counts;
}

} // namespace

TEST_CASE("every policy keeps every expert, and few moves never predicts worse than before")
{
    CHECK(rc::check("placements", [] {
        const auto ranks = *rc::gen::inRange<std::size_t>(2, 9);
        const auto slots = *rc::gen::inRange<std::size_t>(2, 6);
        const auto experts = *rc::gen::inRange<std::size_t>(ranks, ranks * slots + 1);
        const auto popularity = drawPopularity(experts);
        const std::vector<double> speeds(ranks, 1.0);
        const expert_placement start(ranks, slots, experts);
        RC_ASSERT(start.complete());
        rebalance_settings settings;
        settings.maxMoves = *rc::gen::inRange<std::size_t>(0, 20);
        for (const std::string name : { "static", "full", "few_moves" }) {
            const auto policy = std::move(rebalancer::make(name, settings).value());
            const auto made = policy->decide(start, popularity, speeds);
            RC_ASSERT(made.complete());
            if (name != "few_moves")
                continue;
            RC_ASSERT(weightsMoved(start, made) <= settings.maxMoves + 1);
            RC_ASSERT(stepSkew(rankTimes(made, popularity, speeds)) <= stepSkew(rankTimes(start, popularity, speeds)) + 1e-9);
        }
    }));
}

TEST_CASE("a slow rank gets less load")
{
    constexpr std::size_t ranks = 8;
    const std::vector<double> popularity(32, 100.0);
    std::vector<double> speeds(ranks, 1.0);
    speeds[3] = 0.5;
    const expert_placement start(ranks, 6, 32);
    const auto policy = std::move(rebalancer::make("few_moves", rebalance_settings::make(4, 1)).value());
    const auto made = policy->decide(start, popularity, speeds);
    const auto before = rankTimes(start, popularity, speeds);
    const auto after = rankTimes(made, popularity, speeds);
    CHECK(after[3] < before[3]);
    CHECK(stepSkew(after) < stepSkew(before));
}

TEST_CASE("a higher weight of cost leads to fewer moves")
{
    std::mt19937 random(5);
    std::lognormal_distribution<double> draw(0, 1);
    std::vector<double> popularity;
    for (int i = 0; i < 128; ++i)
        popularity.push_back(1'000 * draw(random));
    const std::vector<double> speeds(32, 1.0);
    const expert_placement start(32, 5, 128);
    const auto moved = [&](double skewWeight, double costWeight) {
        return weightsMoved(start, rebalancer::make("few_moves", rebalance_settings::make(skewWeight, costWeight)).value()->decide(start, popularity, speeds));
    };
    CHECK(moved(1, 4) < moved(4, 1));
    CHECK(moved(1, 4) > 0);
}

TEST_CASE("the estimate follows a steady drift")
{
    popularity_estimate estimate(1, 0.7, 0.8);
    double count = 100;
    for (int i = 0; i < 50; ++i) {
        estimate.observe({ count });
        count *= 1.05;
    }
    CHECK(std::abs(estimate.predicted()[0] / count - 1) < 0.05);
}
