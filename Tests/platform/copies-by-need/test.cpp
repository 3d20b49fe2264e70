// Guards against copies of experts that no caller notices, and against copies that come too late for
// callers. Load pattern: demand shifts each 2.2 s among the experts of a large group, whose passes are
// longer than the published costs say, at half of the load that the group can carry or near all of it.
#include "model/expert_demand.h"
#include "policy/groups/group_monitor.h"
#include "support/engine_costs.h"

#include <cmath>
#include <deque>
#include <doctest/doctest.h>

using namespace rampgap;

namespace {

const instant zero {};
constexpr std::uint32_t ranks = 72;
constexpr std::size_t layerSets = 12;
constexpr std::size_t experts = 144;
constexpr milliseconds pollInterval { 100 };
constexpr milliseconds changeTime { 400 };
constexpr milliseconds copyTime { 250 };
constexpr milliseconds shiftPause { 2'200 };
constexpr milliseconds length { 11'000 };
constexpr milliseconds gap { 120 };
// A shift brings the skew to about 2.
constexpr double demandExponent = 0.3;
constexpr double shiftedShare = 0.55;
constexpr double choicesPerPoll = 40'000;
// Passes vary, and are longer than the published costs say.
constexpr double passDeviation = 0.1;
constexpr double realPartOfPredicted = 1.1;
constexpr std::size_t eventsPerAnswer = 20;

struct scenario {
    int requestsPerRank = 5;
    // Requests that run from `changesAt` on.
    int laterRequests = 5;
    milliseconds changesAt { length };
    bool measured = true;
    milliseconds acceptedGap = gap;
    std::uint64_t seed = 9;
};

struct outcome {
    int changes = 0;
    int copies = 0;
    // Share of the answers with a longer gap than callers accept.
    double late = 0;
    double meanPass = 0;
};

monitor_settings largeGroup()
{
    engine_costs costs = test::usualCosts();
    costs.layerSets = layerSets;
    costs.experts = experts;
    costs.slotsPerRank = 4;
    costs.newExpertsPerPrepare = 2;
    costs.expertMb = 370;
    costs.linkMbps = 185'000;
    return monitorSettingsFor(costs);
}

// One group with its leader, in virtual time.
class replay {
public:
    explicit replay(scenario given)
        : m_given(given)
        , m_monitor(largeGroup())
        , m_demand(layerSets, experts, demandExponent, given.seed)
    {
        m_monitor.setLongestGap(given.acceptedGap);
    }

    outcome run()
    {
        int passes = 0;
        int late = 0;
        double untilPass = 0;
        std::deque<double> gaps;
        for (milliseconds at { 0 }; at < length; at += milliseconds(1)) {
            if (at % shiftPause == milliseconds(0))
                m_demand.shift(shiftedShare);
            finishChange(at);
            if (at.count() >= untilPass) {
                const double pass = passAt(at);
                untilPass += pass;
                ++m_step;
                gaps.push_back(pass);
                if (gaps.size() > eventsPerAnswer)
                    gaps.pop_front();
                late += *std::max_element(gaps.begin(), gaps.end()) > static_cast<double>(gap.count()) ? 1 : 0;
                m_outcome.meanPass += pass;
                ++passes;
            }
            if (at % pollInterval == milliseconds(0))
                poll(at);
        }
        m_outcome.late = static_cast<double>(late) / passes;
        m_outcome.meanPass /= passes;
        return m_outcome;
    }

private:
    int requests(milliseconds at) const { return at < m_given.changesAt ? m_given.requestsPerRank : m_given.laterRequests; }

    double passAt(milliseconds at)
    {
        const double skew = groupSkew(m_inUse, m_demand.shares(), rank_paces(ranks, 1));
        const double copying = m_change && at < m_changeBegan + copyTime ? 1.15 : 1;
        return passTime(test::usualCosts(), requests(at), { skew, 1 }) * realPartOfPredicted * copying * std::exp(m_varied(m_random));
    }

    void finishChange(milliseconds at)
    {
        if (!m_change || at < m_changeBegan + changeTime)
            return;
        m_inUse = std::move(*m_change);
        m_change.reset();
        m_monitor.recordPlacementChange(++m_number, m_inUse);
    }

    void poll(milliseconds at)
    {
        const instant now = zero + at;
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            rank_view view { "g", 1, rank, true, ranks, m_step, m_number };
            view.active = requests(at);
            m_monitor.observe({ "s", view, {} }, now);
        }
        std::vector<std::uint64_t> choices;
        for (const auto& set : m_demand.shares()) {
            for (const double share : set)
                choices.push_back(static_cast<std::uint64_t>(share * choicesPerPoll));
        }
        m_monitor.recordChoices(choices, now);
        m_rate.record(m_monitor.progress(), now);
        if (m_given.measured)
            m_monitor.recordMeasuredPass(m_rate.mean(now), now);
        if (!m_change)
            decide(at);
    }

    void decide(milliseconds at)
    {
        const auto task = m_monitor.decide(zero + at);
        if (task == leader_task::query_placement)
            m_monitor.setPlacement(m_number, m_inUse);
        if (task != leader_task::change_placement)
            return;
        ++m_outcome.changes;
        m_outcome.copies += static_cast<int>(totalNewExperts(m_inUse, m_monitor.planned()));
        m_change = m_monitor.planned();
        m_changeBegan = at;
    }

    scenario m_given;
    group_monitor m_monitor;
    step_rate m_rate;
    model::expert_demand m_demand;
    std::mt19937 m_random { 5 };
    std::normal_distribution<double> m_varied { 0, passDeviation };
    group_placement m_inUse = initialPlacement(layerSets, experts, ranks);
    std::uint64_t m_number = 0;
    std::uint64_t m_step = 1;
    std::optional<group_placement> m_change;
    milliseconds m_changeBegan { 0 };
    outcome m_outcome;
};

outcome play(scenario given, bool measured)
{
    given.measured = measured;
    return replay(given).run();
}

} // namespace

TEST_CASE("well below the load that makes answers late, far fewer copies serve callers as well")
{
    for (const auto& [load, part] : { std::pair { 2, 3.0 }, std::pair { 3, 1.8 } }) {
        const scenario given { load, load };
        const outcome byGain = play(given, false);
        const outcome byNeed = play(given, true);
        INFO(load << " requests: " << byGain.copies << " and " << byNeed.copies << " copies, passes of " << byGain.meanPass << " and " << byNeed.meanPass << " ms");
        CHECK(byNeed.copies * part <= byGain.copies);
        CHECK(byNeed.late <= byGain.late);
    }
}

TEST_CASE("near all of the load every change is made that was made without a measure")
{
    for (const int load : { 8, 10 }) {
        const outcome byGain = play({ load, load }, false);
        const outcome byNeed = play({ load, load }, true);
        CHECK(byNeed.changes == byGain.changes);
        CHECK(byNeed.copies == byGain.copies);
        CHECK(byNeed.late == byGain.late);
    }
}

TEST_CASE("when the load grows by half or doubles at once, no more answers are late")
{
    for (const auto& [before, later] : { std::pair { 2, 3 }, std::pair { 4, 6 }, std::pair { 2, 4 }, std::pair { 3, 6 } }) {
        for (const std::uint64_t seed : { 1, 2, 3 }) {
            scenario given { before, later, length / 2 };
            given.seed = seed;
            CHECK(play(given, true).late <= play(given, false).late);
        }
    }
}

TEST_CASE("where callers accept any gap the measure changes nothing")
{
    scenario given { 4, 4 };
    given.acceptedGap = milliseconds(0);
    const outcome byNeed = play(given, true);
    const outcome byGain = play(given, false);
    CHECK(byNeed.changes == byGain.changes);
    CHECK(byNeed.copies == byGain.copies);
}

TEST_CASE("a group that has just opened tolerates no skew, and then only while its passes are short")
{
    group_monitor monitor(largeGroup());
    monitor.setLongestGap(gap);
    int active = 2;
    const auto measureAt = [&](milliseconds at, milliseconds pass, std::uint64_t epoch) {
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            rank_view view { "g", epoch, rank, true, ranks };
            view.active = active;
            monitor.observe({ "s", view, {} }, zero + at);
        }
        monitor.recordMeasuredPass(pass, zero + at);
        return monitor.toleratedSkew(zero + at);
    };
    CHECK_FALSE(measureAt(milliseconds(0), milliseconds(40), 1));
    CHECK_FALSE(measureAt(milliseconds(1'900), milliseconds(40), 1));
    CHECK(measureAt(milliseconds(2'000), milliseconds(40), 1) == largeGroup().maxToleratedSkew);
    CHECK_FALSE(measureAt(milliseconds(2'100), milliseconds(78), 1));
    CHECK_FALSE(measureAt(milliseconds(2'200), milliseconds(0), 1));
    CHECK(measureAt(milliseconds(2'300), milliseconds(40), 1));
    CHECK(measureAt(milliseconds(2'400), milliseconds(44), 1));
    // The measure is still that of fewer requests.
    active = 10;
    CHECK_FALSE(measureAt(milliseconds(2'500), milliseconds(44), 1));
    // The leader has polled nobody since.
    CHECK_FALSE(monitor.toleratedSkew(zero + milliseconds(3'400)));
    CHECK_FALSE(measureAt(milliseconds(3'300), milliseconds(40), 2));
}

TEST_CASE("one skew is left as it is while passes are short, and mended when they are long")
{
    const model::expert_demand demand(layerSets, experts, 0.2, 9);
    std::vector<std::uint64_t> choices;
    for (const auto& set : demand.shares()) {
        for (const double share : set)
            choices.push_back(static_cast<std::uint64_t>(share * choicesPerPoll));
    }
    for (const milliseconds pass : { milliseconds(40), milliseconds(78) }) {
        group_monitor monitor(largeGroup());
        monitor.setLongestGap(gap);
        for (const instant now : { zero, zero + milliseconds(2'000) }) {
            for (std::uint32_t rank = 0; rank < ranks; ++rank) {
                rank_view view { "g", 1, rank, true, ranks };
                view.active = 4;
                monitor.observe({ "s", view, {} }, now);
            }
            if (now == zero)
                monitor.setPlacement(0, initialPlacement(layerSets, experts, ranks));
            monitor.recordChoices(choices, now);
            monitor.recordMeasuredPass(pass, now);
        }
        const auto task = monitor.decide(zero + milliseconds(2'000));
        INFO("skew of " << monitor.currentSkew());
        CHECK(monitor.deferred() == (pass == milliseconds(40)));
        CHECK((task == leader_task::change_placement) == !monitor.deferred());
    }
}
