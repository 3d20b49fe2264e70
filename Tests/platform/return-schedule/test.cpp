// Load pattern: callers that are refused for want of room, or since a group is closed, come back once. With random
// pauses they come back while there is still no room, and are refused again.
#include "policy/groups/group_wait.h"
#include "policy/requests/admission_queue.h"
#include "policy/requests/admission_wait.h"
#include "policy/requests/arrival_rate.h"
#include "policy/requests/return_schedule.h"

#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <random>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

const instant zero {};
constexpr milliseconds patience { 2'000 };
constexpr milliseconds deadline { 8'000 };
constexpr milliseconds run { 1'800 };

struct plan {
    bool schedules = true;
    bool knowsFirstEvent = true;
    std::size_t entries = 15;
    int slots = 48;
    milliseconds firstEvent { 200 };
    // All groups stand still or are closed from 1 s on.
    milliseconds closure { 0 };
    milliseconds hold { 0 };
    // Demand as a multiple of the capacity, until 5 s and after it.
    double load = 1.3;
    double loadAfter = 0.8;
};

// Callers in virtual time, each at a random VM and at another one after a refusal.
class crowd {
public:
    explicit crowd(const plan& how)
        : m_plan(how)
        , m_entries(how.entries)
    {
        for (auto& each : m_entries) {
            each.queue.setShedding(false);
            each.queue.reserve(lastChancePriority, lastChanceNth);
            each.queue.setLimits({ how.slots, 100'000 });
        }
        at(zero, [this] { arrive(); });
        while (!m_events.empty()) {
            const auto next = m_events.extract(m_events.begin());
            m_now = next.key();
            next.mapped()();
        }
        for (const auto& [tenth, returned] : m_returns)
            mostReturns = std::max(mostReturns, returned);
    }

    double callers = 0, timely = 0, late = 0, askedBack = 0, refusedAgain = 0, planned = 0, plannedRefused = 0, leftWithSlot = 0;
    int mostReturns = 0;

private:
    struct caller {
        instant cameAt;
        instant receivedAt {};
        std::size_t entry = 0;
        bool returned = false;
        bool planned = false;
    };
    struct entry {
        admission_queue queue { admission_limits {} };
        return_schedule returns;
        arrival_rate newCallers;
        std::map<admission_id, int> waiting;
        int lastChances = 0;
    };

    void at(instant when, std::function<void()> action) { m_events.emplace(when, std::move(action)); }
    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    milliseconds left(const caller& who) const { return std::chrono::duration_cast<milliseconds>(who.cameAt + deadline - m_now); }
    bool closed() const { return m_now >= zero + start && m_now < zero + start + m_plan.closure; }

    void arrive()
    {
        if (m_now > zero + milliseconds(12'000))
            return;
        const double starts = m_plan.slots / std::chrono::duration<double>(run).count() * static_cast<double>(m_plan.entries);
        const double load = m_now < zero + milliseconds(5'000) ? m_plan.load : m_plan.loadAfter;
        m_callers.push_back({ m_now });
        ++callers;
        connect(static_cast<int>(m_callers.size()) - 1);
        at(m_now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::exponential_distribution<double>(starts * load)(m_random))), [this] { arrive(); });
    }

    void connect(int id)
    {
        caller& who = m_callers[id];
        who.receivedAt = m_now;
        who.entry = static_cast<std::size_t>(draw() * static_cast<double>(m_plan.entries));
        if (who.returned)
            ++m_returns[(m_now - zero) / milliseconds(100)];
        else
            m_entries[who.entry].newCallers.record(m_now);
        if (!closed())
            return admit(id);
        group_wait_input input { left(who), patience, milliseconds(0), run };
        input.firstEvent = m_plan.knowsFirstEvent ? m_plan.firstEvent : milliseconds(0);
        const auto decision = decideGroupWait(input);
        at(std::min(m_now + decision.wait, zero + start + m_plan.closure), [this, id, decision] { closed() ? refuse(id, decision.retryAfter) : admit(id); });
    }

    void admit(int id)
    {
        const caller& who = m_callers[id];
        entry& to = m_entries[who.entry];
        admission_wait_input input { milliseconds(500), milliseconds(200) };
        input.slowFirstEvent = m_plan.knowsFirstEvent ? m_plan.firstEvent : milliseconds(0);
        input.run = run;
        input.waited = std::chrono::duration_cast<milliseconds>(m_now - who.receivedAt);
        input.timeLeft = left(who);
        input.patience = patience;
        input.firstTime = !who.returned;
        input.slotsFree = to.queue.running() < m_plan.slots;
        nextStage(id, planAdmission(input));
    }

    void nextStage(int id, std::vector<admission_stage> stages)
    {
        caller& who = m_callers[id];
        entry& to = m_entries[who.entry];
        if (stages.empty())
            return refuse(id, pauseFor(who, to));
        const admission_stage stage = stages.front();
        stages.erase(stages.begin());
        const int lastChance = stage.priority == lastChancePriority ? 1 : 0;
        admission_outcome outcome;
        const auto place = to.queue.offer({ "w", stage.priority, m_now + stage.longest }, m_now, outcome);
        to.waiting[place] = id;
        to.lastChances += lastChance;
        at(m_now + stage.longest, [this, id, place, stages, lastChance] {
            entry& of = m_entries[m_callers[id].entry];
            if (of.waiting.erase(place) == 0)
                return;
            of.lastChances -= lastChance;
            of.queue.withdraw(place);
            nextStage(id, stages);
        });
        serve(to, outcome);
    }

    // While all ranks stand still, nothing ends.
    instant after(milliseconds takes) const
    {
        const instant held = zero + start;
        const bool stands = m_now < held + m_plan.hold && m_now + takes > held;
        return m_now + takes + (stands ? held + m_plan.hold - std::max(m_now, held) : duration::zero());
    }

    void serve(entry& by, const admission_outcome& outcome)
    {
        for (const auto place : outcome.started) {
            if (!by.waiting.contains(place))
                continue;
            const caller& who = m_callers[by.waiting[place]];
            by.waiting.erase(place);
            by.lastChances -= who.returned ? 1 : 0;
            const instant firstAt = after(m_plan.firstEvent);
            const bool stays = firstAt <= who.receivedAt + patience;
            const bool inTime = firstAt <= who.cameAt + milliseconds(500);
            ++(!stays ? leftWithSlot : inTime ? timely
                                              : late);
            const instant end = stays ? after(std::chrono::duration_cast<milliseconds>(run * (0.5 + draw()))) : who.receivedAt + patience;
            at(end, [this, &by, place] {
                admission_outcome next;
                by.queue.finish(place, duration::zero(), m_now, next);
                serve(by, next);
            });
        }
    }

    milliseconds pauseFor(caller& who, entry& by)
    {
        if (!m_plan.schedules)
            return backlogRetryDelay(left(who), draw());
        by.returns.setRate(returnRate({ m_plan.slots, run, by.newCallers.perSecond(m_now) }));
        by.returns.setWaiting(by.lastChances);
        const return_request asked { left(who), run, 0, draw() };
        const auto pause = by.returns.reserve(asked, m_now);
        who.planned = who.planned || (pause && !who.returned);
        return pause ? *pause : by.returns.leastReserved(asked, m_now);
    }

    void refuse(int id, milliseconds pause)
    {
        caller& who = m_callers[id];
        refusedAgain += who.returned ? 1 : 0;
        plannedRefused += who.returned && who.planned ? 1 : 0;
        if (who.returned)
            return;
        who.returned = true;
        ++askedBack;
        planned += who.planned ? 1 : 0;
        at(m_now + pause, [this, id] { connect(id); });
    }

    static constexpr milliseconds start { 1'000 };
    plan m_plan;
    std::mt19937_64 m_random { 7 };
    std::vector<entry> m_entries;
    std::vector<caller> m_callers;
    std::multimap<instant, std::function<void()>> m_events;
    instant m_now = zero;
    std::map<std::int64_t, int> m_returns;
};

return_request usual(int urgency = 0)
{
    return { deadline, run, urgency, 0 };
}

} // namespace

TEST_CASE("after a hold at a load of 1.3 callers that return at a reserved moment find a slot")
{
    for (const double loadAfter : { 0.4, 0.8, 1.3 }) {
        plan how;
        how.hold = milliseconds(1'700);
        how.loadAfter = loadAfter;
        const crowd planned(how);
        how.schedules = false;
        const crowd drawn(how);
        // While the load lasts, those without a moment come back as well.
        const double bound = loadAfter < 1 ? 0.1 : 1.0 / 3;
        CHECK(planned.planned > 0.07 * planned.askedBack);
        CHECK(planned.plannedRefused / planned.planned < bound * drawn.refusedAgain / drawn.askedBack);
        CHECK(planned.refusedAgain / planned.askedBack < drawn.refusedAgain / drawn.askedBack);
        CHECK(planned.mostReturns < 0.7 * drawn.mostReturns);
        CHECK((planned.timely + planned.late) / planned.callers > (drawn.timely + drawn.late) / drawn.callers);
    }
}

TEST_CASE("with 531 VMs of two slots each no more callers are refused again")
{
    plan how { true, true, 531, 2 };
    how.hold = milliseconds(1'700);
    const crowd planned(how);
    how.schedules = false;
    const crowd drawn(how);
    CHECK(planned.planned > 0.2 * planned.askedBack);
    CHECK(planned.refusedAgain / planned.callers < 1.05 * drawn.refusedAgain / drawn.callers);
    CHECK((planned.timely + planned.late) / planned.callers > 0.99 * (drawn.timely + drawn.late) / drawn.callers);
}

TEST_CASE("closures of 1 to 7 s: callers that cannot get their first event any more take no slot")
{
    plan how;
    how.firstEvent = milliseconds(450);
    how.load = 0.8;
    double served[2] {}, left[2] {};
    for (const bool knows : { false, true }) {
        double callers = 0;
        how.knowsFirstEvent = knows;
        for (how.closure = milliseconds(1'000); how.closure <= milliseconds(7'000); how.closure += milliseconds(2'000)) {
            const crowd result(how);
            callers += result.callers;
            served[knows] += result.timely + result.late;
            left[knows] += result.leftWithSlot;
        }
        served[knows] /= callers;
    }
    CHECK(served[true] > served[false] + 0.02);
    CHECK(left[true] < 0.01 * left[false]);
}

TEST_CASE("the first event after an opening is expected late, but never so late that nobody waits")
{
    const first_event_times times { milliseconds(150), milliseconds(450) };
    CHECK(expectedFirstEvent(times, milliseconds(0), patience) == milliseconds(450));
    CHECK(expectedFirstEvent(times, milliseconds(1'000), patience) == milliseconds(150));
    CHECK(expectedFirstEvent({ milliseconds(1'900), {} }, milliseconds(5'000), patience) == milliseconds(1'000));
}

TEST_CASE("a more urgent caller gets an earlier moment, also after less urgent ones")
{
    return_schedule schedule;
    schedule.setRate(20);
    const instant now = zero + milliseconds(10'000);
    REQUIRE(schedule.reserve(usual(0), now));
    const auto lessUrgent = schedule.reserve(usual(2), now);
    const auto urgent = schedule.reserve(usual(0), now);
    REQUIRE(lessUrgent);
    REQUIRE(urgent);
    CHECK(*urgent < *lessUrgent);
    // Without more urgent callers lately, the less urgent get the next moments.
    return_schedule alone;
    alone.setRate(20);
    CHECK(*alone.reserve(usual(2), now) <= milliseconds(200));
}

TEST_CASE("two slots promise few moments, no room none, and the waiting come first")
{
    return_schedule schedule;
    const instant now = zero + milliseconds(10'000);
    CHECK_FALSE(schedule.reserve(usual(), now));
    schedule.setRate(returnRate({ 2, milliseconds(2'000), 1 }));
    CHECK(schedule.rate() == 0.25);
    CHECK(schedule.reserve(usual(), now));
    CHECK_FALSE(schedule.reserve(usual(), now));
    CHECK(schedule.reserve(usual(), now + milliseconds(2'500)));
    return_schedule waited;
    waited.setRate(10);
    waited.setWaiting(15);
    CHECK(*waited.reserve(usual(), now) >= milliseconds(1'500));
    waited.setWaiting(40);
    CHECK_FALSE(waited.reserve(usual(), now));
}

TEST_CASE("moments are never more than the starts, nor later than the caller complies with or can be served")
{
    CHECK(rc::check([] {
        return_schedule schedule;
        const double rate = *rc::gen::inRange(1, 400) / 10.0;
        schedule.setRate(rate);
        std::map<std::int64_t, int> seconds;
        instant now = zero + milliseconds(5'000);
        for (const int pause : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400))) {
            now += milliseconds(pause);
            const return_request asked { milliseconds(*rc::gen::inRange(0, 90'000)), milliseconds(*rc::gen::inRange(0, 4'000)), *rc::gen::inRange(-2, 12), 0.5 };
            if (const auto until = schedule.reserve(asked, now)) {
                RC_ASSERT(*until >= milliseconds(0) && *until <= longestRetryPause(asked.timeLeft) && *until <= asked.timeLeft - asked.run);
                ++seconds[(now + *until - zero) / milliseconds(1'000)];
            }
            const auto least = schedule.leastReserved(asked, now);
            RC_ASSERT(least >= milliseconds(0) && least <= longestRetryPause(asked.timeLeft));
        }
        for (const auto& [second, count] : seconds)
            RC_ASSERT(count <= 2 * rate + 2);
    }));
}
