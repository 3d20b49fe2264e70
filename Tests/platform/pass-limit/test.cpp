// Load pattern: passes of a group become longer than its model predicts, with more callers than fit.
#include "policy/requests/start_budget.h"
#include "policy/routing/pass_feedback.h"
#include "policy/routing/upstream_choice.h"
#include "support/engine_costs.h"

#include <deque>
#include <doctest/doctest.h>
#include <list>

using namespace rampgap;

namespace {

const std::string service = "model";
const group_key key { service, "g" };
constexpr std::size_t ranks = 24;
constexpr milliseconds gapTarget { 90 };
constexpr milliseconds tick { 5 };
constexpr double skew = 1.2;
constexpr milliseconds typicalRun { 1'500 };
// What sequences add to a pass, or the pace of a rank, is more than predicted or published in this time.
constexpr double excessFrom = 2, excessUntil = 4, endAt = 5.5;

struct entry_vm {
    load_table loads { loadReportLifetime };
    group_directory groups { groupUpdateLifetime };
    pass_feedback feedback;
    start_budget starts;
    std::deque<instant> waiting;
    int running = 0;
    double draw = 0;
};

struct stream {
    entry_vm* vm;
    std::size_t rank;
    int eventsLeft;
    std::optional<instant> lastEvent {};
};

struct report {
    instant due;
    load_report_by_hash loads;
    milliseconds pass;
};

struct test_run {
    std::size_t entries;
    bool measures = true; // False: the model alone.
    bool ownGaps = true;
    double demand = 1.5; // Of what fits without the excess.
    double tokens = 1.6;
    double pace = 1;
};

struct outcome {
    std::vector<std::array<double, 3>> passes; // End in seconds, duration in ms, requests that ran.
    int starts = 0, waited = 0; // Waited: for more than 100 ms.

    // Mean over the passes that begin in the time.
    template <typename Function>
    double mean(double from, double until, const Function& of) const
    {
        double sum = 0, count = 0;
        for (const auto& [at, ms, number] : passes) {
            const bool counts = at >= from && at < until;
            sum += counts ? of(ms, number) : 0;
            count += counts ? 1 : 0;
        }
        return sum / count;
    }
    double share(double from, double until) const
    {
        return mean(from, until, [](double ms, double) { return ms > static_cast<double>(gapTarget.count()) ? 1.0 : 0.0; });
    }
    double running(double from, double until) const
    {
        return mean(from, until, [](double, double number) { return number; });
    }
    double spread(double from, double until) const
    {
        return std::sqrt(mean(from, until, [average = running(from, until)](double, double number) { return (number - average) * (number - average); }));
    }
};

class simulation {
public:
    explicit simulation(const test_run& run)
        : m_run(run)
        , m_vms(run.entries)
    {
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            m_ids.push_back("r" + std::to_string(rank));
            m_backends.list({ m_ids.back(), service, "10.0.0." + std::to_string(rank) + ":80", "a", m_costs.capacity, false, 1 });
        }
        for (auto& vm : m_vms) {
            vm.draw = draw();
            for (const auto& id : m_ids)
                vm.groups.recordMember(backendHash(id), key);
        }
    }

    // Counts and passes are 250 to 400 ms old where they are used; an entry VM looks at its queue each 100 ms.
    outcome play()
    {
        const double perTick = m_run.demand * ranks * m_costs.capacity * 0.85 / 1.5 * std::chrono::duration<double>(tick).count();
        instant passEnd {};
        for (; m_now.time_since_epoch() < milliseconds(static_cast<int>(endAt * 1'000)); m_now += tick) {
            if (m_now >= passEnd)
                passEnd = m_now + std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(nextPass()));
            if (m_now.time_since_epoch() % milliseconds(150) == duration::zero())
                publish();
            for (int i = std::poisson_distribution<int>(perTick)(m_random); i > 0; --i) {
                entry_vm& vm = m_vms[m_random() % m_vms.size()];
                vm.waiting.push_back(m_now);
                admit(vm);
            }
            for (auto& vm : m_vms) {
                if ((vm.running > 0 || !vm.waiting.empty()) && m_now.time_since_epoch() % milliseconds(100) == duration::zero())
                    admit(vm);
            }
        }
        return m_outcome;
    }

private:
    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void admit(entry_vm& vm)
    {
        if (m_run.measures)
            vm.feedback.update(service, m_costs, m_backends, vm.loads, vm.groups, m_now);
        const pool_load load = poolLoad({ service, m_costs, passTimeLimit(gapTarget), typicalRun, m_now }, m_backends, vm.loads, vm.groups, {});
        const int slots = vm.feedback.measures(service).empty() ? 0 : load.capacity;
        admission_share_input input { load.targetRunning, load.requests, vm.running, m_vms.size(), milliseconds(5'000), slots, load.sentRecently, vm.draw };
        vm.starts.update(input, typicalRun, !vm.waiting.empty(), draw(), m_now);
        input.starts = vm.starts.starts();
        const int share = admissionShare(input);
        for (; !vm.waiting.empty() && vm.running < share; vm.waiting.pop_front()) {
            if (m_now - vm.waiting.front() > milliseconds(1'500))
                continue;
            ++m_outcome.starts;
            m_outcome.waited += m_now - vm.waiting.front() > milliseconds(100) ? 1 : 0;
            std::size_t best = m_random() % ranks;
            for (int i = 0; i < 3; ++i) {
                const std::size_t other = m_random() % ranks;
                best = vm.loads.total(m_ids[other], m_now).requests < vm.loads.total(m_ids[best], m_now).requests ? other : best;
            }
            vm.loads.recordSent(m_ids[best], 0, m_now);
            vm.starts.recordStart();
            ++vm.running;
            m_streams.push_back({ &vm, best, static_cast<int>(6 + 30 * draw()) });
        }
    }

    // Ends a pass and begins the next one; returns its duration in ms.
    double nextPass()
    {
        std::vector<int> active(ranks);
        std::vector<entry_vm*> freed;
        for (auto& each : m_streams) {
            if (++active[each.rank] > m_costs.capacity)
                continue;
            if (each.lastEvent && m_run.ownGaps)
                each.vm->feedback.recordGap(service, m_costs, backendHash(m_ids[each.rank]), m_now - *each.lastEvent, each.vm->groups, m_now);
            each.lastEvent = m_now;
            if (--each.eventsLeft > 0)
                continue;
            --each.vm->running;
            each.vm->loads.recordEnded(m_ids[each.rank], 0);
            freed.push_back(each.vm);
        }
        std::erase_if(m_streams, [](const stream& each) { return each.eventsLeft <= 0; });
        for (auto* vm : freed)
            admit(*vm);
        std::fill(active.begin(), active.end(), 0);
        double sum = 0;
        for (const auto& each : m_streams)
            sum += ++active[each.rank] > m_costs.capacity ? 0 : 1;
        const double at = std::chrono::duration<double>(m_now.time_since_epoch()).count();
        const bool excess = at >= excessFrom && at < excessUntil;
        m_passMs = passTime(m_costs, sum / ranks, { skew, excess ? m_run.pace : 1, excess ? m_run.tokens : 1 }) * (0.95 + 0.1 * draw());
        m_meanPassMs += 0.4 * (m_passMs - m_meanPassMs);
        m_outcome.passes.push_back({ at, m_passMs, sum });
        return m_passMs;
    }

    void publish()
    {
        report made { m_now + milliseconds(250), {}, milliseconds(static_cast<int>(m_meanPassMs)) };
        for (const auto& id : m_ids)
            made.loads[backendHash(id)] = {};
        for (const auto& each : m_streams)
            ++made.loads[backendHash(m_ids[each.rank])].requests;
        m_reports.push_back(std::move(made));
        for (; m_reports.front().due <= m_now; m_reports.pop_front()) {
            for (auto& vm : m_vms) {
                vm.loads.mergeRankLoads(m_reports.front().loads, m_now);
                vm.groups.recordSlowdown(key, { skew, 1 }, m_now);
                vm.groups.recordPublishedPass(key, m_reports.front().pass, m_now);
                vm.groups.mergeUpdate({ key, { 1, true } }, milliseconds(250), m_now);
            }
        }
    }

    test_run m_run;
    engine_costs m_costs = test::usualCosts();
    std::mt19937_64 m_random { 7 };
    backend_directory m_backends;
    std::vector<std::string> m_ids;
    std::vector<entry_vm> m_vms;
    std::list<stream> m_streams;
    std::deque<report> m_reports;
    outcome m_outcome;
    double m_passMs = 80, m_meanPassMs = 80;
    instant m_now {};
};

outcome play(const test_run& run)
{
    return simulation(run).play();
}

} // namespace

TEST_CASE("passes longer than predicted reduce what runs until they are short enough, and then all capacity is used again")
{
    constexpr double shared = 0.85 * ranks * 10;
    const outcome before = play({ 15, false });
    CHECK(before.share(excessFrom + 0.5, excessUntil) == 1);
    const test_run runs[] = { { 15 }, { 15, true, false }, { 531 }, { 531, true, false } };
    for (const auto& run : runs) {
        CAPTURE(run.entries);
        CAPTURE(run.ownGaps);
        const outcome after = play(run);
        // Half a second to find out, and until enough of the running answers have ended.
        CHECK(after.share(excessFrom + 1, excessUntil) <= 0.05);
        CHECK(after.spread(excessFrom + 1, excessUntil) < 0.125 * shared);
        CHECK(after.running(excessFrom + 1, excessUntil) > 0.4 * shared);
        CHECK(after.running(excessUntil + 1, endAt) > 0.8 * shared);
    }
}

TEST_CASE("with a slow rank that nobody reports, fewer sequences would be as late: the group serves as many as by the model alone")
{
    CHECK(play({ 15, true, true, 1.5, 1, 5 }).starts > 0.95 * play({ 15, false, true, 1.5, 1, 5 }).starts);
}

TEST_CASE("in a large fleet with room, callers get their slots at once")
{
    const outcome roomy = play({ 531, true, true, 0.6, 1 });
    CHECK(roomy.waited < 0.05 * roomy.starts);
}

TEST_CASE("a held step and a single delay in the network are no passes, and a jump of the published skew cancels out")
{
    const engine_costs costs = test::usualCosts();
    pass_estimate estimate;
    instant now {};
    const auto pass = [&](milliseconds gap, milliseconds delayed) {
        now += gap;
        for (int i = 0; i < 5; ++i)
            estimate.recordGap(i == 0 ? delayed : gap, now);
        estimate.update(8, std::nullopt, now + milliseconds(100));
    };
    for (int i = 0; i < 12; ++i)
        pass(milliseconds(80), milliseconds(i % 2 == 0 ? 400 : 80));
    REQUIRE(estimate.value(now));
    CHECK(estimate.value(now)->meanMs == doctest::Approx(80));
    pass(milliseconds(1'700), milliseconds(1'700));
    pass(milliseconds(80), milliseconds(80));
    CHECK(estimate.value(now)->meanMs == doctest::Approx(80));
    const measured_pass measured { 80, 8, true };
    for (const double published : { 1.0, 1.5 }) {
        const auto factor = tokenFactor(costs, { published, 1 }, measured);
        REQUIRE(factor);
        CHECK(passTime(costs, 8, { published, 1, *factor }) == doctest::Approx(80));
    }
    CHECK_FALSE(tokenFactor(costs, {}, { 80, 0.5, true }));
}
