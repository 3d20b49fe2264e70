// Guards against a slow estimate of the demand for experts, which shifts every few seconds: a shift is detected with
// the first counts that show it, and random variation of the counts does not count as a shift.
#include "policy/groups/demand_estimate.h"

#include <doctest/doctest.h>
#include <random>

using namespace rampgap;

namespace {

constexpr std::size_t experts = 48;
constexpr std::size_t ranks = 12;
constexpr milliseconds reportInterval { 100 };
constexpr int picksPerReport = 1'500;

demand_settings settingsOf(std::size_t sets)
{
    demand_settings settings;
    settings.layerSets = sets;
    settings.experts = experts;
    return settings;
}

// One expert gets a third of the choices, as the three most popular ones did together in recorded demand;
// the others share the rest.
std::vector<double> popularity(std::size_t favourite)
{
    std::vector<double> weights(experts, 0.67 / (experts - 1));
    weights[favourite] = 0.33;
    return weights;
}

std::vector<std::uint64_t> draw(const std::vector<double>& weights, std::mt19937& random)
{
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    std::vector<std::uint64_t> counts(experts, 0);
    for (int i = 0; i < picksPerReport; ++i)
        ++counts[pick(random)];
    return counts;
}

// All ranks report once per interval, one after the other.
instant report(demand_estimate& estimate, std::size_t favourite, int intervals, instant now, std::mt19937& random)
{
    for (int i = 0; i < intervals * static_cast<int>(ranks); ++i) {
        now += reportInterval / static_cast<int>(ranks);
        estimate.add(draw(popularity(favourite), random), now);
    }
    return now;
}

} // namespace

TEST_CASE("a shift of demand is followed within three reports of each rank")
{
    std::mt19937 random(11);
    demand_estimate estimate(settingsOf(1));
    const instant now = report(estimate, 3, 30, instant {}, random);
    REQUIRE(estimate.known());
    REQUIRE(estimate.shares()[0][3] > 0.31);
    report(estimate, 40, 3, now, random);
    CHECK(estimate.shares()[0][40] > 0.3);
    CHECK(estimate.shares()[0][3] < 0.05);
}

TEST_CASE("under steady demand the estimate averages over more than one report of each rank")
{
    std::mt19937 random(12);
    demand_estimate estimate(settingsOf(1));
    instant now = report(estimate, 3, 30, instant {}, random);
    double worst = 0;
    for (int i = 0; i < 50; ++i) {
        now = report(estimate, 3, 1, now, random);
        worst = std::max(worst, std::abs(estimate.shares()[0][3] - 0.33));
    }
    // With the 18,000 choices of one interval alone, a share would be off by 0.0035 in one of three cases.
    CHECK(worst < 0.01);
}

TEST_CASE("a layer set with steady demand keeps its average when the demand of another shifts")
{
    std::mt19937 random(13);
    demand_estimate estimate(settingsOf(2));
    instant now {};
    const auto both = [&](std::size_t first, std::size_t second) {
        auto counts = draw(popularity(first), random);
        const auto other = draw(popularity(second), random);
        counts.insert(counts.end(), other.begin(), other.end());
        now += reportInterval / static_cast<int>(ranks);
        estimate.add(counts, now);
    };
    for (std::size_t i = 0; i < 30 * ranks; ++i)
        both(3, 5);
    for (std::size_t i = 0; i < 3 * ranks; ++i)
        both(40, 5);
    CHECK(estimate.shares()[0][40] > 0.3);
    CHECK(std::abs(estimate.shares()[1][5] - 0.33) < 0.01);
}

TEST_CASE("reports without choices or with another number of experts change nothing")
{
    std::mt19937 random(14);
    demand_estimate estimate(settingsOf(1));
    const instant now = report(estimate, 3, 30, instant {}, random);
    const auto before = estimate.shares();
    estimate.add(std::vector<std::uint64_t>(experts, 0), now + milliseconds(6'000));
    estimate.add({ 5, 5 }, now + milliseconds(6'000));
    CHECK(estimate.shares() == before);
}
